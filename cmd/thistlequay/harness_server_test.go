package main

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

// eventTimeout bounds every wait for an event; only a failure reaches it. The emulators speak as their protocol pages
// say and do only what a test has them do, so no test sleeps for something that it could wait for.
const eventTimeout = 20 * time.Second

// runAsProgramEnv names the environment variable under which the test binary runs as the program. The program is linked
// with the tests' own flags that way, and no cached test result outlives a change of the program.
const runAsProgramEnv = "THISTLEQUAY_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		os.Exit(command.Main())
	}
	os.Exit(m.Run())
}

const platformSettings = `{"Categories":[
{"Effect":"repeatable","HardLimit":8000.0,"LateWorth":0.2,"Name":"look","OnTime":4000.0,"Window":5000.0,"Worth":1.0},
{"Effect":"by_key","HardLimit":8000.0,"LateWorth":0.2,"Name":"book","OnTime":4000.0,"Window":30000.0,"Worth":3.0},
{"Effect":"repeatable","HardLimit":900.0,"LateWorth":0.0,"Name":"brief","OnTime":600.0,"Window":5000.0,"Worth":1.0}],
"FamilyInfo":{"CallShare":9.0,"Callers":3,"CallsOver":5000.0,"Cold":false,"Cores":2,"Downstream":"common",
"EntryKb":10.0,"Halt":"drop","KeepaliveMax":30000.0,"Linger":200.0,"MemoryKb":80000.0,
"Meters":["core_use","on_cores","heap_share","links"],"RunFactor":8.0,"Say":"min_rank"},
"Limits":{"MaxRetryAfter":1000.0,"RetryAfter":true},"Period":2.0,"Servers":3,"Tenants":[{"Name":"acme"}],
"Rules":{"Cold":9000.0,"ColdFrom":0.3,"DrainGrace":300.0,"TipMultiple":8.0}}`

// testServer is one process of the program under test together with the emulated interpreter, index and directory that
// it talks to.
type testServer struct {
	*require.Assertions
	t           *testing.T
	interpreter *emulatedListener
	index       *emulatedListener
	directory   *emulatedListener
	// listen is the address on which the program serves routers.
	listen string
	// config is the text of the platform's configuration file, and path is that file.
	config string
	path   string
	// args are the program's arguments.
	args []string
	// wrapper is a command that becomes the program, such as a shell with a resource limit.
	wrapper []string
	// program is the path of another build of the program; the test binary itself where empty.
	program string
	// service is the text of our own settings, which lie beside path; none where empty.
	service string
	// process is the running program, output its log; ended is closed once it has exited.
	process *exec.Cmd
	output  *logBuffer
	ended   chan struct{}
	// requestCount counts the identifiers that newRequestID has given.
	requestCount int
}

type (
	emulatedListener = emulator.Listener
	link             = emulator.Link
)

// newEmulator listens on a free loopback address as the interpreter, the index or the directory.
func (r *testServer) newEmulator() *emulatedListener {
	r.t.Helper()
	s, err := emulator.Listen()
	r.NoError(err)
	r.t.Cleanup(func() { closeQuietly(s) })
	return s
}

// nextLink waits for the program's next connection to an emulator.
func (r *testServer) nextLink(s *emulatedListener) *link {
	r.t.Helper()
	select {
	case l := <-s.Links:
		r.NoError(l.SetDeadline(time.Now().Add(eventTimeout)))
		r.t.Cleanup(func() { closeQuietly(l) })
		return l
	case <-time.After(eventTimeout):
		r.FailNow("no link came")
		return nil
	}
}

// readLine reads a line from a connection, without its end.
func (r *testServer) readLine(l *link) string {
	r.t.Helper()
	text, err := l.Reader.ReadString('\n')
	r.NoError(err)
	return strings.TrimRight(text, "\r\n")
}

// writeLine writes a formatted line to a connection.
func (r *testServer) writeLine(l *link, format string, args ...any) {
	r.t.Helper()
	_, err := fmt.Fprintf(l, format+"\n", args...)
	r.NoError(err)
}

// indexCall waits for the downstream call of this request and gives the connection to the index on which it came.
func (r *testServer) indexCall(id string) *link {
	r.t.Helper()
	x := r.nextLink(r.index)
	r.Contains(r.readLine(x), "GET "+id)
	r.readLine(x) // its body
	return x
}

// newTestServer makes the emulators and the configuration; the program is not started.
func newTestServer(t *testing.T) *testServer {
	t.Helper()
	r := &testServer{Assertions: require.New(t), t: t}
	r.interpreter = r.newEmulator()
	r.index = r.newEmulator()
	r.directory = r.newEmulator()
	var err error
	r.listen, err = emulator.FreeAddress()
	r.NoError(err)
	r.config = fmt.Sprintf(`{"name":"n3","listen":%q,"vm":%q,"lookup":%q,"index":%q,"seed":"8c1f30d27a5be964",
"stop_ms":1500,"limits":{"cores":1.0,"memory_mb":192,"sockets":64},"settings":%s}`,
		r.listen, r.interpreter.Address, r.directory.Address, r.index.Address, platformSettings)
	return r
}

// writeFiles writes the platform's configuration and our own settings to their files.
func (r *testServer) writeFiles() {
	r.t.Helper()
	r.NoError(os.WriteFile(r.path, []byte(r.config), 0o600))
	r.NoError(os.WriteFile(r.path+".yaml", []byte(r.service), 0o600))
}

// reload has the program read its files again and waits until it has logged the outcome.
func (r *testServer) reload() {
	r.t.Helper()
	count := func(event string) int { return strings.Count(logText(r), "event="+event) }
	said := count("configuration_")
	read := count("configuration_read")
	ready := count("plugins_ready")
	r.writeFiles()
	r.NoError(r.process.Process.Signal(syscall.SIGHUP))
	r.Eventually(func() bool { return count("configuration_") > said }, eventTimeout, time.Millisecond)
	if count("configuration_read") > read && strings.Contains(r.service, "plugins:") {
		r.Eventually(func() bool { return count("plugins_ready") > ready }, eventTimeout, time.Millisecond)
	}
}

// writeFilesAndStart writes the files to a new folder and starts the program with them.
func (r *testServer) writeFilesAndStart() {
	r.t.Helper()
	r.path = filepath.Join(r.t.TempDir(), "config.json")
	r.writeFiles()
	r.start()
}

// start starts the program with the files that are there. At the end of the test it is killed, and its log must show no
// data race and no violated invariant.
func (r *testServer) start() {
	r.t.Helper()
	program, err := os.Executable()
	r.NoError(err)
	line := append(append(r.wrapper, cmp.Or(r.program, program)), r.args...)
	process := exec.Command(line[0], line[1:]...)
	log := &logBuffer{}
	ended := make(chan struct{})
	process.Env = append(os.Environ(), runAsProgramEnv+"=1", "PROXY_CONFIG="+r.path)
	if r.service != "" {
		process.Env = append(process.Env, "THISTLEQUAY_SERVICE="+r.path+".yaml")
	}
	process.Stdout = log
	process.Stderr = log
	r.NoError(process.Start())
	r.process = process
	r.output = log
	r.ended = ended
	go func() {
		_ = process.Wait() // the exit code is read from ProcessState
		close(ended)
	}()
	r.t.Cleanup(func() {
		_ = process.Process.Signal(syscall.SIGKILL) // it fails where the process has ended
		<-ended
		if r.t.Failed() {
			r.t.Log(log.String())
		}
		r.NotContains(log.String(), "DATA RACE")
		r.NotContains(log.String(), "invariant_violated")
	})
}

// closeQuietly closes a connection, listener or file whose end no test looks at. An error is passed over: the other
// side, or the test itself, may have closed it before.
func closeQuietly(c io.Closer) { _ = c.Close() }

// logBuffer is a log that can be read while it is written.
type logBuffer = clustertest.LogBuffer

// logText is what the program has logged so far.
func logText(r *testServer) string { return r.output.String() }

// waitForLog waits until the program has logged this text.
func (r *testServer) waitForLog(text string) {
	r.t.Helper()
	r.Eventually(func() bool { return strings.Contains(logText(r), text) }, eventTimeout, time.Millisecond)
}

// waitForExit waits for the program's end and gives its exit code and log.
func (r *testServer) waitForExit() (int, string) {
	r.t.Helper()
	select {
	case <-r.ended:
	case <-time.After(eventTimeout):
		r.FailNow("the program does not end")
	}
	return r.process.ProcessState.ExitCode(), r.output.String()
}

// startServer starts a program and waits until it serves; it gives the interpreter's end of its link.
func startServer(t *testing.T) (*testServer, *interpreterLink) {
	t.Helper()
	r := newTestServer(t)
	r.writeFilesAndStart()
	v := r.acceptInterpreter(0)
	return r, v
}

// startServerWith is startServer with one replacement in the configuration.
func startServerWith(t *testing.T, from, to string) (*testServer, *interpreterLink) {
	t.Helper()
	r := newTestServer(t)
	r.Contains(r.config, from)
	r.config = strings.Replace(r.config, from, to, 1)
	r.writeFilesAndStart()
	return r, r.acceptInterpreter(0)
}
