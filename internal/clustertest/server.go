package clustertest

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/gossip"
	"thistlequay/internal/quota/service"
)

// Server is one process of the program with its interpreter and its relay.
type Server struct {
	Index       int
	Name        string
	Zone        string
	Listen      string // address for routers
	Status      string // address of the status page
	Program     string // started instead of the plan's from the next Start on; empty for the plan's
	Interpreter *emulator.Interpreter
	Log         *LogBuffer // standard output and error of all its processes

	cluster *Cluster
	relay   *relay // nil without gossip
	process *exec.Cmd
	exited  chan struct{} // closed at the end of process
	args    []string      // added to the command line
	key     string
	fleet   string
}

// LogBuffer is a log that may be read while it is written.
type LogBuffer struct {
	lock sync.Mutex
	text strings.Builder
}

// Write appends to the log.
func (b *LogBuffer) Write(data []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.Write(data)
}

// String is the log so far.
func (b *LogBuffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.text.String()
}

// Configure changes what the server is started with from the next Start on: its name, its fleet, its keys (base64, one
// a line), each left as it is where empty, and the arguments added to its command line.
func (s *Server) Configure(name, fleet, key string, args ...string) *Server {
	s.Name = cmp.Or(name, s.Name)
	s.fleet = cmp.Or(fleet, s.fleet)
	s.key = cmp.Or(key, s.key)
	s.args = args
	return s
}

// Start starts a process of the server, which knows nothing of an earlier one but what that stored.
func (s *Server) Start() error {
	c := s.cluster
	if err := s.writeConfig(); err != nil {
		return err
	}
	args := []string{"serve", "--config=" + s.path(".json")}
	if c.Gossip || c.ServiceYAML != nil {
		if err := s.writeServiceFiles(); err != nil {
			return err
		}
		args = append(args, "--service="+s.path(".yaml"))
	}
	if c.Gossip {
		if err := s.relay.up(); err != nil {
			return err
		}
	}
	args = append(args, s.args...)
	process := exec.Command(cmp.Or(s.Program, c.Program), args...)
	process.Env = append(os.Environ(), c.Env...)
	process.Env = append(process.Env, "THISTLEQUAY_SERVICE=")
	process.Stdout = s.Log
	process.Stderr = s.Log
	s.process = process
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	s.exited = exited
	go s.reap(process, exited)
	c.Record(s.Name, "started")
	return nil
}

// reap waits for the end of a process, and refuses connections to its gossip address from then on.
func (s *Server) reap(process *exec.Cmd, exited chan struct{}) {
	_ = process.Wait() // Exit gives the code; being killed is no error here
	if s.relay != nil {
		s.relay.down()
	}
	close(exited)
}

// path is that of one of the server's files.
func (s *Server) path(extension string) string {
	return filepath.Join(s.cluster.WorkDirectory, fmt.Sprint(s.Name, "-", s.Index)+extension)
}

// filesMode is the mode of the servers' files: keys must not be readable by others.
const filesMode = 0o600

// writeConfig writes the settings of the users' pages.
func (s *Server) writeConfig() error {
	c := s.cluster
	stopTimeout := cmp.Or(c.StopTimeout, defaultStopTimeout)
	text, err := json.Marshal(map[string]any{
		"name":     s.Name,
		"listen":   s.Listen,
		"vm":       s.Interpreter.Address,
		"index":    c.Index.Address,
		"lookup":   c.Directory.Address,
		"seed":     fmt.Sprintf("%016x", c.Seed+int64(s.Index)),
		"stop_ms":  stopTimeout.Milliseconds(),
		"limits":   map[string]any{"cores": 1, "memory_mb": cmp.Or(c.MemoryMB, defaultMemoryMB), "sockets": 512},
		"settings": c.Settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(s.path(".json"), text, filesMode)
}

// writeServiceFiles writes the server's own settings and its keys.
func (s *Server) writeServiceFiles() error {
	c := s.cluster
	text := ""
	if c.Gossip {
		text = s.gossipYAML()
		if err := os.WriteFile(s.path(".keys"), []byte(s.key+"\n"), filesMode); err != nil {
			return err
		}
	}
	if c.ServiceYAML != nil {
		text += c.ServiceYAML(s)
	}
	return os.WriteFile(s.path(".yaml"), []byte(text), filesMode)
}

// gossipYAML is the section "peers" of the server's own settings.
func (s *Server) gossipYAML() string {
	c := s.cluster
	var seeds, founders []string
	for i := range min(Founders, c.Plan.Servers) {
		seeds = append(seeds, c.Servers[i].relay.advertised)
		founders = append(founders, serverName(i))
	}
	var out strings.Builder
	out.WriteString("peers:\n")
	put := func(key string, value any) { fmt.Fprintf(&out, "  %s: %v\n", key, value) }
	put("listen", s.relay.listen)
	put("advertise", s.relay.advertised)
	put("first", "["+strings.Join(seeds, ", ")+"]")
	put("founders", "["+strings.Join(founders, ", ")+"]")
	put("fleet", s.fleet)
	put("servers", cmp.Or(c.ConfiguredServers, c.Plan.Servers))
	put("zone", s.Zone)
	put("key_file", filepath.Base(s.path(".keys")))
	put("status", s.Status)
	return out.String()
}

// Waiting for a reload: how often the log is read, and the pause between.
const (
	reloadPolls    = 1000
	reloadInterval = 10 * time.Millisecond
)

// errNoReload is a server that does not say that it has read its files again.
var errNoReload = errors.New("it does not read its files again")

// ReloadWithKeys gives the server other keys, has it read its files again, and waits until it has logged that.
func (s *Server) ReloadWithKeys(keys string) error {
	s.key = keys
	if err := s.writeServiceFiles(); err != nil {
		return err
	}
	reloads := func() int { return strings.Count(s.Log.String(), "event=configuration_") }
	before := reloads()
	if err := s.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	for range reloadPolls {
		if reloads() > before {
			return nil
		}
		time.Sleep(reloadInterval)
	}
	return errNoReload
}

// Signal sends a signal to the process.
func (s *Server) Signal(signal os.Signal) error {
	s.cluster.Record(s.Name, "%v", signal)
	return s.process.Process.Signal(signal)
}

// Kill kills the process and waits for its end. Connections to its gossip address are refused from then on.
func (s *Server) Kill() error {
	err := s.Signal(syscall.SIGKILL)
	<-s.exited
	return err
}

// Ended is closed when the process has ended.
func (s *Server) Ended() <-chan struct{} { return s.exited }

// Exit is the exit code of the process once it has ended; -1 where it was killed.
func (s *Server) Exit() int { return s.process.ProcessState.ExitCode() }

// Process is the process ID.
func (s *Server) Process() int { return s.process.Process.Pid }

// Shares asks the server for the status of its quotas.
func (s *Server) Shares() (service.Status, error) {
	var status service.Status
	err := gossip.FetchJSON(s.Status, service.StatusPath, &status)
	return status, err
}

// View asks the server for its view of the cluster.
func (s *Server) View() (gossip.Status, error) { return gossip.FetchStatus(s.Status) }

// GossipAddresses gives the addresses of a server that the test itself speaks for: where it is to listen, and where
// others reach it.
func (s *Server) GossipAddresses() (listen, advertise string, err error) {
	if s.process == nil {
		err = s.relay.up()
	}
	return s.relay.listen, s.relay.advertised, err
}

// close kills the process, where there is one, and closes what stands around it.
func (s *Server) close() {
	if s.process != nil {
		_ = s.process.Process.Signal(syscall.SIGKILL) // it may have ended by itself
		<-s.exited
	}
	if s.relay != nil {
		s.relay.close()
	}
	s.Interpreter.Close()
}
