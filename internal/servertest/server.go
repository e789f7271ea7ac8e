// Package servertest runs one process of the program under test against emulators of the interpreter, index and
// directory, and connects to it as routers do. The emulators send only what a test tells them to, so tests wait for
// events, for at most EventTimeout, and not for fixed times. A failed check ends the test. Connections, listeners and
// processes that the package opens are closed at the end of the test.
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

// EventTimeout is the longest wait for an event. Only a failing test waits that long.
const EventTimeout = 20 * time.Second

// RunAsProgramEnv names the environment variable that makes the test binary run as the program. The program is then
// built with the flags of the tests, and a change of the program invalidates cached test results.
const RunAsProgramEnv = "THISTLEQUAY_AS_PROGRAM"

// RaceExitEnv is an environment entry that makes a program built with the race detector exit without delay. By default
// the race detector sleeps for a second before the exit, which production builds do not do and which could exceed
// stop_ms, after which the process is killed.
const RaceExitEnv = "GORACE=atexit_sleep_ms=0"

// Main implements TestMain for packages whose tests start the program. If RunAsProgramEnv is set, the test binary runs
// as the program.
func Main(m *testing.M) {
	if os.Getenv(RunAsProgramEnv) != "" {
		os.Exit(command.Main())
	}
	os.Exit(m.Run())
}

// PlatformSettings are settings in the format of the user documentation. They define three categories: look is
// idempotent, book uses idempotency keys, and brief has a short deadline.
const PlatformSettings = `{"Categories":[
{"Effect":"repeatable","HardLimit":8000.0,"LateWorth":0.2,"Name":"look","OnTime":4000.0,"Window":5000.0,"Worth":1.0},
{"Effect":"by_key","HardLimit":8000.0,"LateWorth":0.2,"Name":"book","OnTime":4000.0,"Window":30000.0,"Worth":3.0},
{"Effect":"repeatable","HardLimit":900.0,"LateWorth":0.0,"Name":"brief","OnTime":600.0,"Window":5000.0,"Worth":1.0}],
"FamilyInfo":{"CallShare":9.0,"Callers":3,"CallsOver":5000.0,"Cold":false,"Cores":2,"Downstream":"common",
"EntryKb":10.0,"Halt":"drop","KeepaliveMax":30000.0,"Linger":200.0,"MemoryKb":80000.0,
"Meters":["core_use","on_cores","heap_share","links"],"RunFactor":8.0,"Say":"min_rank"},
"Limits":{"MaxRetryAfter":1000.0,"RetryAfter":true},"Period":2.0,"Servers":3,"Tenants":[{"Name":"acme"}],
"Rules":{"Cold":9000.0,"ColdFrom":0.3,"DrainGrace":300.0,"TipMultiple":8.0}}`

// Server is one process of the program under test with the emulated interpreter, index and directory that it connects
// to. Its exported fields other than Process must be set before StartProcess.
type Server struct {
	*require.Assertions
	// T is the test that failed checks end.
	T *testing.T
	// Interpreter, Index and Directory are the listeners of the emulators that the program connects to.
	Interpreter *emulator.Listener
	Index       *emulator.Listener
	Directory   *emulator.Listener
	// Listen is the address on which the program serves routers.
	Listen string
	// Config is the text of the platform's configuration file; Path is the path of that file.
	Config string
	Path   string
	// Service is the text of the service settings file, which is Path with the suffix ".yaml". If it is empty, the
	// program gets no service settings.
	Service string
	// Args are the command line arguments of the program.
	Args []string
	// Wrapper is a command line that executes the program, such as a shell that sets a resource limit; may be empty.
	Wrapper []string
	// Program is the path of another build of the program; if it is empty, the test binary runs as the program.
	Program string
	// Process is the process that StartProcess started last.
	Process *exec.Cmd

	output       *clustertest.LogBuffer // the log of Process
	exited       chan struct{}          // closed once Process has exited
	requestCount int                    // number of identifiers returned by NewRequestID
}

// NewEmulator returns a listener on a free loopback address, for an emulated interpreter, index or directory. It is
// closed at the end of the test.
func (s *Server) NewEmulator() *emulator.Listener {
	s.T.Helper()
	listener, err := emulator.Listen()
	s.NoError(err)
	s.T.Cleanup(func() { CloseQuietly(listener) })
	return listener
}

// New starts the emulators and creates the configuration. It does not start the program.
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

// WriteFiles writes the platform's configuration file and the service settings file.
func (s *Server) WriteFiles() {
	s.T.Helper()
	s.NoError(os.WriteFile(s.Path, []byte(s.Config), 0o600))
	s.NoError(os.WriteFile(s.Path+".yaml", []byte(s.Service), 0o600))
}

// ReplaceConfig replaces the first occurrence of a text in Config. The test fails if Config does not change.
func (s *Server) ReplaceConfig(old, replacement string) {
	s.T.Helper()
	s.Contains(s.Config, old)
	before := s.Config
	s.Config = strings.Replace(s.Config, old, replacement, 1)
	s.NotEqual(before, s.Config, old)
}

// WriteFilesAndSignal writes the files and sends SIGHUP, on which the program reloads them. It does not wait for the
// reload.
func (s *Server) WriteFilesAndSignal() {
	s.T.Helper()
	s.WriteFiles()
	s.Signal(syscall.SIGHUP)
}

// Reload writes the files, makes the program reload them and waits until the program has logged the outcome. If the
// settings are accepted and include plug-ins, it also waits until the plug-ins are ready.
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

// WriteFilesAndStart writes the files to a new temporary directory and starts the program with them.
func (s *Server) WriteFilesAndStart() {
	s.T.Helper()
	s.Path = filepath.Join(s.T.TempDir(), "config.json")
	s.WriteFiles()
	s.StartProcess()
}

// StartProcess starts the program with the files as last written. At the end of the test the program is killed, and the
// test fails if the log reports a data race or a violated invariant.
func (s *Server) StartProcess() {
	s.T.Helper()
	process := s.newProcess()
	log := &clustertest.LogBuffer{}
	exited := make(chan struct{})
	process.Stdout = log
	process.Stderr = log
	s.NoError(process.Start())
	s.Process = process
	s.output = log
	s.exited = exited
	go func() {
		_ = process.Wait() // the exit code is read from ProcessState
		close(exited)
	}()
	s.T.Cleanup(func() {
		_ = process.Process.Signal(syscall.SIGKILL) // fails if the process has exited
		<-exited
		if s.T.Failed() {
			s.T.Log(log.String())
		}
		s.NotContains(log.String(), "DATA RACE")
		s.NotContains(log.String(), "invariant_violated")
	})
}

// newProcess returns the command that runs the program, with its wrapper, arguments and environment. It does not start
// the command.
func (s *Server) newProcess() *exec.Cmd {
	s.T.Helper()
	testBinary, err := os.Executable()
	s.NoError(err)
	commandLine := slices.Concat(s.Wrapper, []string{cmp.Or(s.Program, testBinary)}, s.Args)
	command := exec.Command(commandLine[0], commandLine[1:]...)
	command.Env = append(os.Environ(), RunAsProgramEnv+"=1", RaceExitEnv, "PROXY_CONFIG="+s.Path)
	if s.Service != "" {
		command.Env = append(command.Env, "THISTLEQUAY_SERVICE="+s.Path+".yaml")
	}
	return command
}

// Signal sends a signal to the program. The test fails if the program has exited.
func (s *Server) Signal(signal syscall.Signal) {
	s.T.Helper()
	s.NoError(s.Process.Process.Signal(signal))
}

// Kill sends SIGKILL to the program and waits until it has exited. The test fails if the program had exited before.
func (s *Server) Kill() {
	s.T.Helper()
	s.NoError(s.Process.Process.Kill())
	<-s.exited
}

// CloseQuietly closes a connection, listener or file and ignores the error, because the peer or the test may have
// closed it already.
func CloseQuietly(closer io.Closer) { _ = closer.Close() }

// LogText returns what the program has logged so far.
func (s *Server) LogText() string { return s.output.String() }

// EventCount returns the number of events logged so far whose name begins with event. The argument may continue with
// the text that follows a complete name.
func (s *Server) EventCount(event string) int { return strings.Count(s.LogText(), "event="+event) }

// Exited returns a channel that is closed once the process has exited.
func (s *Server) Exited() <-chan struct{} { return s.exited }

// WaitFor waits until a condition holds. The test fails if that takes longer than EventTimeout.
func (s *Server) WaitFor(condition func() bool) {
	s.T.Helper()
	s.Eventually(condition, EventTimeout, time.Millisecond)
}

// WaitUntilPast waits until a moment has passed, such as a deadline in the program that a test must exceed.
func (s *Server) WaitUntilPast(moment time.Time) {
	s.T.Helper()
	s.WaitFor(func() bool { return time.Now().After(moment) })
}

// WaitForLog waits until the program has logged a text. The test fails if that takes longer than EventTimeout.
func (s *Server) WaitForLog(text string) {
	s.T.Helper()
	s.WaitFor(func() bool { return strings.Contains(s.LogText(), text) })
}

// WaitForExit waits until the program exits and returns its exit code and log. The test fails if that takes longer than
// EventTimeout.
func (s *Server) WaitForExit() (int, string) {
	s.T.Helper()
	select {
	case <-s.exited:
	case <-time.After(EventTimeout):
		s.FailNow("the program did not exit within EventTimeout")
	}
	return s.Process.ProcessState.ExitCode(), s.output.String()
}

// Start starts the program with the default configuration and waits until it admits requests. The returned link is the
// interpreter's end of the connection.
func Start(t *testing.T) (*Server, *InterpreterLink) {
	t.Helper()
	server := New(t)
	server.WriteFilesAndStart()
	return server, server.AcceptInterpreter(0)
}

// StartWith is like Start, with one replacement in the configuration.
func StartWith(t *testing.T, old, replacement string) (*Server, *InterpreterLink) {
	t.Helper()
	server := New(t)
	server.ReplaceConfig(old, replacement)
	server.WriteFilesAndStart()
	return server, server.AcceptInterpreter(0)
}
