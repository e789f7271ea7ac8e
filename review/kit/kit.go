// Package kit holds what the cases of the review share: the record of a case, processes of the program that run with
// the commands of the deploy file, the configuration of a small deployment, and a router that speaks FastCGI.
package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"thistlequay/internal/emulator"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// startTimeout is the longest wait for a server to serve.
const startTimeout = 30 * time.Second

// startInterval is the time between two looks whether a server serves.
const startInterval = 20 * time.Millisecond

// Case is one run of a case. Its methods may be called from any goroutine.
type Case struct {
	// Trouble says whether the disruption takes place. It is false with TROUBLE=0.
	Trouble bool
	// TempDir is an empty directory that is removed at the end.
	TempDir string

	root      string // of the repository
	runLine   string // of the deploy file
	startedAt time.Time
	lock      sync.Mutex
	record    *os.File
	broken    []string
	servers   []*Server
}

// Main runs a case in the folder of its files and exits with its code. The root of the repository is the working
// directory.
func Main(folder string, run func(*Case) error) {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", startedAt: time.Now()}
	err := c.open(folder)
	if err == nil {
		err = c.runUntilSignal(run)
	}
	for _, server := range c.servers {
		server.Kill()
	}
	if c.TempDir != "" {
		_ = os.RemoveAll(c.TempDir) // a directory that stays behind does no harm
	}
	code := exitHeld
	switch {
	case len(c.broken) > 0:
		code = exitBroken
	case err != nil:
		code = exitNotRun
	}
	if err != nil {
		c.Record("the case could not run to its end: %v", err)
	}
	c.Record("exit code %d, rule broken %d times", code, len(c.broken))
	os.Exit(code)
}

// runUntilSignal runs the case, but returns early with an error when the script is ended by a signal.
func (c *Case) runUntilSignal(run func(*Case) error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan error, 1)
	go func() { ended <- run(c) }()
	select {
	case err := <-ended:
		return err
	case received := <-signals:
		return fmt.Errorf("ended by the signal %v", received)
	}
}

// open opens the record and reads the deploy file.
func (c *Case) open(folder string) error {
	var err error
	c.record, err = os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return err
	}
	c.Record("trouble: %v", c.Trouble)
	c.root, err = os.Getwd()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(c.root, "deploy", "balancer.toml"))
	if err != nil {
		return err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "run = "); found {
			c.runLine = strings.Trim(value, `"`)
		}
	}
	if c.runLine == "" {
		return errors.New("the deploy file has no run")
	}
	c.TempDir, err = os.MkdirTemp("", "review-")
	return err
}

// notePID tells run.sh of a process, so that it can end it should this program end early.
func (c *Case) notePID(pid int) {
	file, err := os.OpenFile(os.Getenv("REVIEW_PIDS"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return // not started by run.sh
	}
	_, _ = fmt.Fprintln(file, pid) // without the line, only an early end leaves the process behind
	_ = file.Close()
}

// Record writes a line to record.txt, with the time since the start of the case, and prints it.
func (c *Case) Record(format string, args ...any) { fmt.Print(c.RecordQuietly(format, args...)) }

// RecordQuietly writes a line to record.txt, with the time since the start of the case, and returns it.
func (c *Case) RecordQuietly(format string, args ...any) string {
	c.lock.Lock()
	defer c.lock.Unlock()
	line := fmt.Sprintf("%9.3f  %s\n", time.Since(c.startedAt).Seconds(), fmt.Sprintf(format, args...))
	if c.record != nil {
		_, _ = c.record.WriteString(line) // the exit code does not depend on the record
	}
	return line
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Record("RULE BROKEN: %s", text)
	c.lock.Lock()
	defer c.lock.Unlock()
	c.broken = append(c.broken, text)
}

// Server is one app server: its configuration and at most one process at a time.
type Server struct {
	// Name and Address are its name and the address at which routers connect.
	Name, Address string
	// Settings is the object of the platform's configuration.
	Settings map[string]any
	// Service is the text of the program's own settings; empty means none.
	Service string
	// Interpreter, Index and Directory are the addresses that the configuration names.
	Interpreter, Index, Directory string
	// StopMS is stop_ms of the configuration; MemoryMB is limits.memory_mb.
	StopMS, MemoryMB int

	owner   *Case
	process *exec.Cmd
	exited  chan struct{}
	starts  int
}

// NewServer returns a server without a process.
func (c *Case) NewServer(name string) (*Server, error) {
	address, err := emulator.FreeAddress()
	if err != nil {
		return nil, err
	}
	server := &Server{Name: name, Address: address, StopMS: 3200, MemoryMB: 192, owner: c}
	c.servers = append(c.servers, server)
	return server, nil
}

// Path returns the path of a file of the server with the given extension.
func (s *Server) Path(extension string) string {
	return filepath.Join(s.owner.TempDir, s.Name+extension)
}

// writeFiles writes the configuration of the platform and the program's own settings.
func (s *Server) writeFiles() error {
	text, err := json.Marshal(map[string]any{
		"name": s.Name, "listen": s.Address, "vm": s.Interpreter, "index": s.Index, "lookup": s.Directory,
		"seed": fmt.Sprintf("%016x", s.starts), "stop_ms": s.StopMS, "settings": s.Settings,
		"limits": map[string]any{"cores": 1, "memory_mb": s.MemoryMB, "sockets": 512},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.Path(".json"), text, 0o600); err != nil {
		return err
	}
	if s.Service == "" {
		return nil
	}
	return os.WriteFile(s.Path(".yaml"), []byte(s.Service), 0o600)
}

// Start starts a process with the command of the deploy file and waits until it serves.
func (s *Server) Start() error {
	s.starts++
	if err := s.writeFiles(); err != nil {
		return err
	}
	log, err := os.Create(s.Path(fmt.Sprintf(".%d.log", s.starts)))
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	s.process = exec.Command("/bin/sh", "-c", s.owner.runLine)
	s.process.Dir = s.owner.root
	s.process.Env = append(os.Environ(), "PROXY_NAME="+s.Name, "PROXY_LISTEN="+s.Address,
		"PROXY_CONFIG="+s.Path(".json"))
	if s.Service != "" {
		s.process.Env = append(s.process.Env, "THISTLEQUAY_SERVICE="+s.Path(".yaml"))
	}
	s.process.Stdout = log
	s.process.Stderr = log
	if err := s.process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	process := s.process
	go func() {
		_ = process.Wait() // how it ended is read from ProcessState
		close(exited)
	}()
	s.exited = exited
	s.owner.notePID(process.Process.Pid)
	s.owner.Record("%s: process %d started: %s", s.Name, process.Process.Pid, s.owner.runLine)
	return s.awaitServing()
}

// awaitServing waits until the server serves a read, as it does once its interpreter is up.
func (s *Server) awaitServing() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(startInterval) {
		if !s.Alive() {
			return fmt.Errorf("%s ended at its start:\n%s", s.Name, s.LogTail(20))
		}
		if s.servesRead() {
			s.owner.Record("%s: serves", s.Name)
			return nil
		}
	}
	return fmt.Errorf("%s does not serve:\n%s", s.Name, s.LogTail(20))
}

// servesRead reports whether the server serves a read now.
func (s *Server) servesRead() bool {
	router, err := s.owner.Connect(s.Address)
	if err != nil {
		return false
	}
	defer router.Close()
	router.Quiet = true
	answer := router.Do(Request{Class: ClassCount, Body: "1 first read", Tenant: Tenant, Budget: startTimeout / 10,
		Sender: "start"})
	return answer.Served()
}

// Alive reports whether the process runs.
func (s *Server) Alive() bool {
	if s.process == nil {
		return false
	}
	select {
	case <-s.exited:
		return false
	default:
		return true
	}
}

// Exited returns a channel that is closed once the process has ended.
func (s *Server) Exited() <-chan struct{} { return s.exited }

// ExitText tells how the process ended.
func (s *Server) ExitText() string { return s.process.ProcessState.String() }

// Signal sends a signal to the process.
func (s *Server) Signal(signal syscall.Signal) error {
	s.owner.Record("%s: signal %v", s.Name, signal)
	return s.process.Process.Signal(signal)
}

// Kill kills the process, if it runs, and waits for its end.
func (s *Server) Kill() {
	if !s.Alive() {
		return
	}
	_ = s.Signal(syscall.SIGKILL) // fails if it has just ended
	<-s.exited
}

// LogTail returns the last lines of the log of the last process.
func (s *Server) LogTail(lines int) string {
	text, _ := os.ReadFile(s.Path(fmt.Sprintf(".%d.log", s.starts))) // without a log there are no lines
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// LogText returns the whole log of the last process.
func (s *Server) LogText() string { return s.LogTail(1 << 20) }
