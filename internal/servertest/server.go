// Package servertest starts one process of the program under test together with emulators of the interpreter, index
// and directory that it talks to, and speaks to it over sockets as they and the routers do. The emulators send only
// what a test has them send, so every wait is for an event, up to EventTimeout. A failure ends the test; what a
// function of the package opened or started is closed at the end of the test.
package servertest

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/command"
	"thistlequay/internal/emulator"
)

// EventTimeout bounds every wait for an event; only a failure reaches it.
const EventTimeout = 20 * time.Second

// RunAsProgramEnv names the environment variable under which the test binary runs as the program. The program is
// linked with the tests' own flags that way, and no cached test result outlives a change of the program.
const RunAsProgramEnv = "THISTLEQUAY_AS_PROGRAM"

// RaceExitEnv has a program that was built with the race detector end at once: it would sleep for a second before it
// exits, which no program in service does and which a kill at stop_ms does not wait for.
const RaceExitEnv = "GORACE=atexit_sleep_ms=0"

// Main is the TestMain of packages whose tests start the program. Under RunAsProgramEnv the test binary becomes the
// program itself.
func Main(m *testing.M) {
	if os.Getenv(RunAsProgramEnv) != "" {
		os.Exit(command.Main())
	}
	os.Exit(m.Run())
}

// PlatformSettings are settings in the form of the users' pages, with three categories: look is idempotent, book has
// idempotency keys, brief has a short deadline.
const PlatformSettings = `{"Categories":[
{"Effect":"repeatable","HardLimit":8000.0,"LateWorth":0.2,"Name":"look","OnTime":4000.0,"Window":5000.0,"Worth":1.0},
{"Effect":"by_key","HardLimit":8000.0,"LateWorth":0.2,"Name":"book","OnTime":4000.0,"Window":30000.0,"Worth":3.0},
{"Effect":"repeatable","HardLimit":900.0,"LateWorth":0.0,"Name":"brief","OnTime":600.0,"Window":5000.0,"Worth":1.0}],
"FamilyInfo":{"CallShare":9.0,"Callers":3,"CallsOver":5000.0,"Cold":false,"Cores":2,"Downstream":"common",
"EntryKb":10.0,"Halt":"drop","KeepaliveMax":30000.0,"Linger":200.0,"MemoryKb":80000.0,
"Meters":["core_use","on_cores","heap_share","links"],"RunFactor":8.0,"Say":"min_rank"},
"Limits":{"MaxRetryAfter":1000.0,"RetryAfter":true},"Period":2.0,"Servers":3,"Tenants":[{"Name":"acme"}],
"Rules":{"Cold":9000.0,"ColdFrom":0.3,"DrainGrace":300.0,"TipMultiple":8.0}}`

// Server is one process of the program under test together with the emulated interpreter, index and directory that it
// talks to. Fields are set before StartProcess.
type Server struct {
	*require.Assertions
	// T is the test that all checks are made for.
	T *testing.T
	// Interpreter, Index and Directory listen where the program connects to.
	Interpreter *emulator.Listener
	Index       *emulator.Listener
	Directory   *emulator.Listener
	// Listen is the address on which the program serves routers.
	Listen string
	// Config is the text of the platform's configuration file, and Path is that file.
	Config string
	Path   string
	// Service is the text of our own settings, which lie beside Path; none where empty.
	Service string
	// Args are the program's arguments.
	Args []string
	// Wrapper is a command that becomes the program, such as a shell with a resource limit.
	Wrapper []string
	// Program is the path of another build of the program; the test binary itself where empty.
	Program string
	// Process is the running program.
	Process *exec.Cmd

	output       *clustertest.LogBuffer // what Process logs
	ended        chan struct{}          // closed once Process has exited
	requestCount int                    // number of identifiers that NewRequestID has returned
}

// NewEmulator listens on a free loopback address as the interpreter, the index or the directory, until the test ends.
func (s *Server) NewEmulator() *emulator.Listener {
	s.T.Helper()
	listener, err := emulator.Listen()
	s.NoError(err)
	s.T.Cleanup(func() { CloseQuietly(listener) })
	return listener
}

// New starts the emulators and makes the configuration; the program is not started.
func New(t *testing.T) *Server {
	t.Helper()
	server := &Server{Assertions: require.New(t), T: t}
	server.Interpreter = server.NewEmulator()
	server.Index = server.NewEmulator()
	server.Directory = server.NewEmulator()
	var err error
	server.Listen, err = emulator.FreeAddress()
	server.NoError(err)
	server.Config = fmt.Sprintf(`{"name":"n3","listen":%q,"vm":%q,"lookup":%q,"index":%q,"seed":"8c1f30d27a5be964",
"stop_ms":1500,"limits":{"cores":1.0,"memory_mb":192,"sockets":64},"settings":%s}`,
		server.Listen, server.Interpreter.Address, server.Directory.Address, server.Index.Address, PlatformSettings)
	return server
}

// WriteFiles writes the platform's configuration and our own settings to their files.
func (s *Server) WriteFiles() {
	s.T.Helper()
	s.NoError(os.WriteFile(s.Path, []byte(s.Config), 0o600))
	s.NoError(os.WriteFile(s.Path+".yaml", []byte(s.Service), 0o600))
}

// ReplaceConfig replaces the first occurrence of a text in Config. The test fails where that changes nothing.
func (s *Server) ReplaceConfig(from, to string) {
	s.T.Helper()
	s.Contains(s.Config, from)
	before := s.Config
	s.Config = strings.Replace(s.Config, from, to, 1)
	s.NotEqual(before, s.Config, from)
}

// WriteFilesAndSignal writes the files and has the program read them again; it does not wait until it has.
func (s *Server) WriteFilesAndSignal() {
	s.T.Helper()
	s.WriteFiles()
	s.Signal(syscall.SIGHUP)
}

// Reload has the program read its files again and waits until it has logged the outcome.
func (s *Server) Reload() {
	s.T.Helper()
	outcomes := s.EventCount("configuration_")
	accepted := s.EventCount("configuration_read")
	pluginsReady := s.EventCount("plugins_ready")
	s.WriteFilesAndSignal()
	s.WaitFor(func() bool { return s.EventCount("configuration_") > outcomes })
	if s.EventCount("configuration_read") > accepted && strings.Contains(s.Service, "plugins:") {
		s.WaitFor(func() bool { return s.EventCount("plugins_ready") > pluginsReady })
	}
}

// WriteFilesAndStart writes the files to a new folder and starts the program with them.
func (s *Server) WriteFilesAndStart() {
	s.T.Helper()
	s.Path = filepath.Join(s.T.TempDir(), "config.json")
	s.WriteFiles()
	s.StartProcess()
}

// StartProcess starts the program with the files that are there. At the end of the test it is killed, and the test
// fails where its log shows a data race or a violated invariant.
func (s *Server) StartProcess() {
	s.T.Helper()
	process := s.newProcess()
	log := &clustertest.LogBuffer{}
	ended := make(chan struct{})
	process.Stdout = log
	process.Stderr = log
	s.NoError(process.Start())
	s.Process = process
	s.output = log
	s.ended = ended
	go func() {
		_ = process.Wait() // the exit code is read from ProcessState
		close(ended)
	}()
	s.T.Cleanup(func() {
		_ = process.Process.Signal(syscall.SIGKILL) // it fails where the process has ended
		<-ended
		if s.T.Failed() {
			s.T.Log(log.String())
		}
		s.NotContains(log.String(), "DATA RACE")
		s.NotContains(log.String(), "invariant_violated")
	})
}

// newProcess returns the program with its wrapper, arguments and environment, not yet started.
func (s *Server) newProcess() *exec.Cmd {
	s.T.Helper()
	testBinary, err := os.Executable()
	s.NoError(err)
	line := slices.Concat(s.Wrapper, []string{cmp.Or(s.Program, testBinary)}, s.Args)
	process := exec.Command(line[0], line[1:]...)
	process.Env = append(os.Environ(), RunAsProgramEnv+"=1", RaceExitEnv, "PROXY_CONFIG="+s.Path)
	if s.Service != "" {
		process.Env = append(process.Env, "THISTLEQUAY_SERVICE="+s.Path+".yaml")
	}
	return process
}

// Signal sends a signal to the program. The test fails where the program has exited.
func (s *Server) Signal(signal syscall.Signal) {
	s.T.Helper()
	s.NoError(s.Process.Process.Signal(signal))
}

// Kill kills the program and waits until it has exited.
func (s *Server) Kill() {
	s.T.Helper()
	s.NoError(s.Process.Process.Kill())
	<-s.ended
}

// CloseQuietly closes a connection, listener or file. Its error is ignored: the other side, or the test itself, may
// have closed it before.
func CloseQuietly(closer io.Closer) { _ = closer.Close() }

// LogText returns what the program has logged so far.
func (s *Server) LogText() string { return s.output.String() }

// EventCount returns how many events the program has logged so far whose name, and the text after it, begin so.
func (s *Server) EventCount(event string) int { return strings.Count(s.LogText(), "event="+event) }

// Ended returns a channel that is closed once the process has exited.
func (s *Server) Ended() <-chan struct{} { return s.ended }

// WaitFor waits until a condition holds. The test fails where that takes longer than EventTimeout.
func (s *Server) WaitFor(condition func() bool) {
	s.T.Helper()
	s.Eventually(condition, EventTimeout, time.Millisecond)
}

// WaitUntilPast waits until a moment is past, for what is to happen after a deadline of the program.
func (s *Server) WaitUntilPast(moment time.Time) {
	s.T.Helper()
	s.WaitFor(func() bool { return time.Now().After(moment) })
}

// WaitForLog waits until the program has logged this text. The test fails where that takes longer than EventTimeout.
func (s *Server) WaitForLog(text string) {
	s.T.Helper()
	s.WaitFor(func() bool { return strings.Contains(s.LogText(), text) })
}

// WaitForExit waits for the program's end and returns its exit code and log. The test fails where that takes longer
// than EventTimeout.
func (s *Server) WaitForExit() (int, string) {
	s.T.Helper()
	select {
	case <-s.ended:
	case <-time.After(EventTimeout):
		s.FailNow("the program does not end")
	}
	return s.Process.ProcessState.ExitCode(), s.output.String()
}

// Start starts a program and waits until it admits requests. It returns the interpreter's end of their link too.
func Start(t *testing.T) (*Server, *InterpreterLink) {
	t.Helper()
	server := New(t)
	server.WriteFilesAndStart()
	return server, server.AcceptInterpreter(0)
}

// StartWith is Start with one replacement in the configuration.
func StartWith(t *testing.T, from, to string) (*Server, *InterpreterLink) {
	t.Helper()
	server := New(t)
	server.ReplaceConfig(from, to)
	server.WriteFilesAndStart()
	return server, server.AcceptInterpreter(0)
}
