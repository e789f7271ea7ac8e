// Package servertest starts one process of the program under test together with the emulated interpreter, index and
// directory that it talks to, and speaks to it over sockets as they and the routers do. Every wait is for an event.
// Failures end the test that called; what was opened or started is closed at the end of that test.
package servertest

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/command"
	"thistlequay/internal/emulator"
)

// EventTimeout bounds every wait for an event; only a failure reaches it. The emulators speak as their protocol pages
// say and do only what a test has them do, so no test sleeps for something that it could wait for.
const EventTimeout = 20 * time.Second

// RunAsProgramEnv names the environment variable under which the test binary runs as the program. The program is linked
// with the tests' own flags that way, and no cached test result outlives a change of the program.
const RunAsProgramEnv = "THISTLEQUAY_AS_PROGRAM"

// Main is the TestMain of packages whose tests start the program: under RunAsProgramEnv the test binary is the program.
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
	requestCount int                    // identifiers that NewRequestID has given
}

// NewEmulator listens on a free loopback address as the interpreter, the index or the directory.
func (r *Server) NewEmulator() *emulator.Listener {
	r.T.Helper()
	s, err := emulator.Listen()
	r.NoError(err)
	r.T.Cleanup(func() { CloseQuietly(s) })
	return s
}

// NextLink waits for the program's next connection to an emulator.
func (r *Server) NextLink(s *emulator.Listener) *emulator.Link {
	r.T.Helper()
	select {
	case l := <-s.Links:
		r.NoError(l.SetDeadline(time.Now().Add(EventTimeout)))
		r.T.Cleanup(func() { CloseQuietly(l) })
		return l
	case <-time.After(EventTimeout):
		r.FailNow("no link came")
		return nil
	}
}

// ReadLine reads a line from a connection, without its end.
func (r *Server) ReadLine(l *emulator.Link) string {
	r.T.Helper()
	text, err := l.Reader.ReadString('\n')
	r.NoError(err)
	return strings.TrimRight(text, "\r\n")
}

// WriteLine writes a formatted line to a connection.
func (r *Server) WriteLine(l *emulator.Link, format string, args ...any) {
	r.T.Helper()
	_, err := fmt.Fprintf(l, format+"\n", args...)
	r.NoError(err)
}

// IndexCall waits for the downstream call of this request and gives the connection to the index on which it came.
func (r *Server) IndexCall(id string) *emulator.Link {
	r.T.Helper()
	x := r.NextLink(r.Index)
	r.Contains(r.ReadLine(x), "GET "+id)
	r.ReadLine(x) // its body
	return x
}

// New makes the emulators and the configuration; the program is not started.
func New(t *testing.T) *Server {
	t.Helper()
	r := &Server{Assertions: require.New(t), T: t}
	r.Interpreter = r.NewEmulator()
	r.Index = r.NewEmulator()
	r.Directory = r.NewEmulator()
	var err error
	r.Listen, err = emulator.FreeAddress()
	r.NoError(err)
	r.Config = fmt.Sprintf(`{"name":"n3","listen":%q,"vm":%q,"lookup":%q,"index":%q,"seed":"8c1f30d27a5be964",
"stop_ms":1500,"limits":{"cores":1.0,"memory_mb":192,"sockets":64},"settings":%s}`,
		r.Listen, r.Interpreter.Address, r.Directory.Address, r.Index.Address, PlatformSettings)
	return r
}

// WriteFiles writes the platform's configuration and our own settings to their files.
func (r *Server) WriteFiles() {
	r.T.Helper()
	r.NoError(os.WriteFile(r.Path, []byte(r.Config), 0o600))
	r.NoError(os.WriteFile(r.Path+".yaml", []byte(r.Service), 0o600))
}

// Reload has the program read its files again and waits until it has logged the outcome.
func (r *Server) Reload() {
	r.T.Helper()
	count := func(event string) int { return strings.Count(r.LogText(), "event="+event) }
	said := count("configuration_")
	read := count("configuration_read")
	ready := count("plugins_ready")
	r.WriteFiles()
	r.NoError(r.Process.Process.Signal(syscall.SIGHUP))
	r.Eventually(func() bool { return count("configuration_") > said }, EventTimeout, time.Millisecond)
	if count("configuration_read") > read && strings.Contains(r.Service, "plugins:") {
		r.Eventually(func() bool { return count("plugins_ready") > ready }, EventTimeout, time.Millisecond)
	}
}

// WriteFilesAndStart writes the files to a new folder and starts the program with them.
func (r *Server) WriteFilesAndStart() {
	r.T.Helper()
	r.Path = filepath.Join(r.T.TempDir(), "config.json")
	r.WriteFiles()
	r.StartProcess()
}

// StartProcess starts the program with the files that are there. At the end of the test it is killed, and its log must
// show no data race and no violated invariant.
func (r *Server) StartProcess() {
	r.T.Helper()
	program, err := os.Executable()
	r.NoError(err)
	line := append(append(r.Wrapper, cmp.Or(r.Program, program)), r.Args...)
	process := exec.Command(line[0], line[1:]...)
	log := &clustertest.LogBuffer{}
	ended := make(chan struct{})
	process.Env = append(os.Environ(), RunAsProgramEnv+"=1", "PROXY_CONFIG="+r.Path)
	if r.Service != "" {
		process.Env = append(process.Env, "THISTLEQUAY_SERVICE="+r.Path+".yaml")
	}
	process.Stdout = log
	process.Stderr = log
	r.NoError(process.Start())
	r.Process = process
	r.output = log
	r.ended = ended
	go func() {
		_ = process.Wait() // the exit code is read from ProcessState
		close(ended)
	}()
	r.T.Cleanup(func() {
		_ = process.Process.Signal(syscall.SIGKILL) // it fails where the process has ended
		<-ended
		if r.T.Failed() {
			r.T.Log(log.String())
		}
		r.NotContains(log.String(), "DATA RACE")
		r.NotContains(log.String(), "invariant_violated")
	})
}

// CloseQuietly closes a connection, listener or file whose end no test looks at. An error is passed over: the other
// side, or the test itself, may have closed it before.
func CloseQuietly(c io.Closer) { _ = c.Close() }

// LogText is what the program has logged so far.
func (r *Server) LogText() string { return r.output.String() }

// Ended is closed once the process has exited.
func (r *Server) Ended() <-chan struct{} { return r.ended }

// WaitForLog waits until the program has logged this text.
func (r *Server) WaitForLog(text string) {
	r.T.Helper()
	r.Eventually(func() bool { return strings.Contains(r.LogText(), text) }, EventTimeout, time.Millisecond)
}

// WaitForExit waits for the program's end and gives its exit code and log.
func (r *Server) WaitForExit() (int, string) {
	r.T.Helper()
	select {
	case <-r.ended:
	case <-time.After(EventTimeout):
		r.FailNow("the program does not end")
	}
	return r.Process.ProcessState.ExitCode(), r.output.String()
}

// Start starts a program and waits until it serves; it gives the interpreter's end of its link.
func Start(t *testing.T) (*Server, *InterpreterLink) {
	t.Helper()
	r := New(t)
	r.WriteFilesAndStart()
	v := r.AcceptInterpreter(0)
	return r, v
}

// StartWith is Start with one replacement in the configuration.
func StartWith(t *testing.T, from, to string) (*Server, *InterpreterLink) {
	t.Helper()
	r := New(t)
	r.Contains(r.Config, from)
	r.Config = strings.Replace(r.Config, from, to, 1)
	r.WriteFilesAndStart()
	return r, r.AcceptInterpreter(0)
}
