package main

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
)

// The stand-ins speak as their protocol pages say and do only what a test has them do. Nothing here sleeps: all
// waiting is for an event, up to a bound that only a failure reaches.
const patience = 20 * time.Second

// The test binary is the program too, where this names it so: that links it with the tests' own flags, and no
// change of the program leaves an old verdict standing.
const asProgram = "THISTLEQUAY_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const settings = `{"Categories":[
{"Effect":"repeatable","HardLimit":8000.0,"LateWorth":0.2,"Name":"look","OnTime":4000.0,"Window":5000.0,"Worth":1.0},
{"Effect":"by_key","HardLimit":8000.0,"LateWorth":0.2,"Name":"book","OnTime":4000.0,"Window":30000.0,"Worth":3.0},
{"Effect":"repeatable","HardLimit":900.0,"LateWorth":0.0,"Name":"brief","OnTime":600.0,"Window":5000.0,"Worth":1.0}],
"FamilyInfo":{"CallShare":9.0,"Callers":3,"CallsOver":5000.0,"Cold":false,"Cores":2,"Downstream":"common",
"EntryKb":10.0,"Halt":"drop","KeepaliveMax":30000.0,"Linger":200.0,"MemoryKb":80000.0,
"Meters":["core_use","on_cores","heap_share","links"],"RunFactor":8.0,"Say":"min_rank"},
"Limits":{"MaxRetryAfter":1000.0,"RetryAfter":true},"Period":2.0,"Servers":3,"Tenants":[{"Name":"acme"}],
"Rules":{"Cold":9000.0,"ColdFrom":0.3,"DrainGrace":300.0,"TipMultiple":8.0}}`

// rig is one program and all that it talks to.
type rig struct {
	*require.Assertions
	t         *testing.T
	vm        *standIn
	index     *standIn
	directory *standIn
	listen    string
	config    string
	path      string
	args      []string // of the program
	wrap      []string // a command that becomes it
	program   string   // another build of it; the test binary itself where empty
	service   string   // our own settings; none where empty
	process   *exec.Cmd
	log       *lines
	ended     chan struct{}
	ids       int
}

type (
	standIn = emulator.Listener
	link    = emulator.Link
)

func (r *rig) standIn() *standIn {
	s, err := emulator.Listen()
	r.NoError(err)
	r.t.Cleanup(func() { closeQuietly(s) })
	return s
}

func (r *rig) link(s *standIn) *link {
	select {
	case l := <-s.Links:
		r.NoError(l.SetDeadline(time.Now().Add(patience)))
		r.t.Cleanup(func() { closeQuietly(l) })
		return l
	case <-time.After(patience):
		r.FailNow("no link came")
		return nil
	}
}

func (r *rig) line(l *link) string {
	text, err := l.Reader.ReadString('\n')
	r.NoError(err)
	return strings.TrimRight(text, "\r\n")
}

func (r *rig) say(l *link, format string, args ...any) {
	_, err := fmt.Fprintf(l, format+"\n", args...)
	r.NoError(err)
}

// called gives the connection to the index on which the call of this work item came.
func (r *rig) called(id string) *link {
	x := r.link(r.index)
	r.Contains(r.line(x), "GET "+id)
	r.line(x) // its body
	return x
}

// prepare makes the parties and the configuration.
func prepare(t *testing.T) *rig {
	r := &rig{Assertions: require.New(t), t: t}
	r.vm, r.index, r.directory = r.standIn(), r.standIn(), r.standIn()
	var err error
	r.listen, err = emulator.FreeAddress()
	r.NoError(err)
	r.config = fmt.Sprintf(`{"name":"n3","listen":%q,"vm":%q,"lookup":%q,"index":%q,"seed":"8c1f30d27a5be964",
"stop_ms":1500,"limits":{"cores":1.0,"memory_mb":192,"sockets":64},"settings":%s}`,
		r.listen, r.vm.Address, r.directory.Address, r.index.Address, settings)
	return r
}

func (r *rig) configure() {
	r.NoError(os.WriteFile(r.path, []byte(r.config), 0o600))
	r.NoError(os.WriteFile(r.path+".yaml", []byte(r.service), 0o600))
}

// again has the program read its files again and waits until it has said what became of that.
func (r *rig) again() {
	count := func(event string) int { return strings.Count(logOf(r), "event="+event) }
	said, read, ready := count("configuration_"), count("configuration_read"), count("plugins_ready")
	r.configure()
	r.NoError(r.process.Process.Signal(syscall.SIGHUP))
	r.Eventually(func() bool { return count("configuration_") > said }, patience, time.Millisecond)
	if count("configuration_read") > read && strings.Contains(r.service, "plugins:") {
		r.Eventually(func() bool { return count("plugins_ready") > ready }, patience, time.Millisecond)
	}
}

func (r *rig) run() {
	r.path = filepath.Join(r.t.TempDir(), "config.json")
	r.configure()
	r.start()
}

// start starts the program with the files that are there.
func (r *rig) start() {
	program, err := os.Executable()
	r.NoError(err)
	line := append(append(r.wrap, cmp.Or(r.program, program)), r.args...)
	process, log, ended := exec.Command(line[0], line[1:]...), &lines{}, make(chan struct{})
	process.Env = append(os.Environ(), asProgram+"=1", "PROXY_CONFIG="+r.path)
	if r.service != "" {
		process.Env = append(process.Env, "THISTLEQUAY_SERVICE="+r.path+".yaml")
	}
	process.Stdout, process.Stderr = log, log
	r.NoError(process.Start())
	r.process, r.log, r.ended = process, log, ended
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

// lines is a log that is read while it is written.
type lines = clustertest.LogBuffer

func logOf(r *rig) string { return r.log.String() }

// exit waits for the program's end and gives its code and log.
func (r *rig) exit() (int, string) {
	select {
	case <-r.ended:
	case <-time.After(patience):
		r.FailNow("the program does not end")
	}
	return r.process.ProcessState.ExitCode(), r.log.String()
}

// start runs the program up to where it serves: the interpreter's link is the result.
func start(t *testing.T) (*rig, *vm) {
	r := prepare(t)
	r.run()
	v := r.up(0)
	return r, v
}

// startWith is start with something else in the configuration.
func startWith(t *testing.T, from, to string) (*rig, *vm) {
	r := prepare(t)
	r.Contains(r.config, from)
	r.config = strings.Replace(r.config, from, to, 1)
	r.run()
	return r, r.up(0)
}

// vm is the interpreter's end of its link.
type vm struct {
	r *rig
	*link
	n int
}

type order struct{ Type, Job, Kind, Data, Ref string }

func (r *rig) up(n int) *vm {
	v := &vm{r: r, link: r.link(r.vm)}
	r.JSONEq(fmt.Sprintf(`{"type":"CONNECT","n":%d}`, n), r.line(v.link))
	r.say(v.link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	c := r.router()
	defer closeQuietly(c)
	r.Eventually(func() bool { // the free value is said once the module has decided
		c.ask(1, "/health", "", nil)
		_, _, headers, _ := c.answer()
		return strings.Contains(headers, "Server-Hint: ")
	}, patience, time.Millisecond)
	return v
}

// next gives the next command that is no question for the gauges; those are answered.
func (v *vm) next() (o order) {
	for {
		o = order{}
		v.r.NoError(json.Unmarshal([]byte(v.r.line(v.link)), &o))
		if o.Type != "TOP" {
			return o
		}
		v.r.say(v.link, `{"type":"TOPS","ref":%q,"gauges":[1,2,0.1,3]}`, o.Ref)
	}
}

func (v *vm) value(job, state, result string) {
	v.n++
	v.r.say(v.link, `{"type":"VALUE","n":%d,"job":%q,"state":%q,"took":12.5,"data":%q}`, v.n, job, state,
		base64.StdEncoding.EncodeToString([]byte(result)))
}

func (v *vm) await(job, call string) {
	v.n++
	v.r.say(v.link, `{"type":"AWAIT","n":%d,"job":%q,"data":%q}`, v.n, job,
		base64.StdEncoding.EncodeToString([]byte(call)))
}

func (v *vm) applied(id, body string) {
	o := v.next()
	data, _ := base64.StdEncoding.DecodeString(o.Data)
	v.r.Equal("APPLY "+id+" "+body, o.Type+" "+o.Job+" "+string(data))
}

// router is a connection as routers open them.
type router struct {
	r *rig
	*link
}

func (r *rig) router() *router {
	var c net.Conn
	r.Eventually(func() (up bool) {
		var err error
		c, err = net.Dial("tcp", r.listen)
		return err == nil
	}, patience, 5*time.Millisecond)
	r.NoError(c.SetDeadline(time.Now().Add(patience)))
	r.t.Cleanup(func() { closeQuietly(c) })
	return &router{r, emulator.NewLink(c)}
}

// id is a new try's.
func (r *rig) id() string {
	r.ids++
	return fmt.Sprintf("%016x", 0xabc0000+r.ids)
}

func fields(id string) map[string]string {
	return emulator.RequestParameters(id, "acme", 7*time.Second)
}

func fcgi(kind byte, slot uint16, content string) []byte {
	return emulator.FastCGIRecord(kind, slot, content)
}

func (c *router) ask(slot uint16, path, body string, with map[string]string) {
	_, err := c.Write(emulator.FastCGIRequest(slot, path, body, with))
	c.r.NoError(err)
}

// look, book and brief ask for a work item of these categories and give its id.
func (c *router) look(slot uint16, body string) string {
	id := c.r.id()
	c.ask(slot, "/rpc/look", body, fields(id))
	return id
}

func (c *router) brief(slot uint16) string {
	id, with := c.r.id(), fields("")
	with["HTTP_REQUEST_ID"], with["HTTP_BUDGET_MS"] = id, "900"
	c.ask(slot, "/rpc/brief", "b", with)
	return id
}

func (c *router) book(slot uint16, key string) string {
	id := c.r.id()
	with := fields(id)
	with["HTTP_ONCE_KEY"] = key
	c.ask(slot, "/rpc/book", "entry "+key, with)
	return id
}

// answer gives the next answer on the connection: its slot, status, headers and body.
func (c *router) answer() (slot uint16, status int, headers, body string) {
	a, err := c.ReadResponse()
	c.r.NoError(err)
	return a.Slot, a.Status, a.Headers, a.Body
}

// answered checks the next answer.
func (c *router) answered(slot uint16, status int, body string) {
	s, got, headers, text := c.answer()
	c.r.Equal(fmt.Sprint(slot, " ", status, " ", body), fmt.Sprint(s, " ", got, " ", text), headers)
}

// serves asks for a work item, has it run and checks that its result is the answer.
func (v *vm) serves(c *router, slot uint16, body string) {
	id := c.look(slot, body)
	v.applied(id, body)
	v.value(id, "OK", "result of "+body)
	c.answered(slot, 200, "result of "+body)
}

// over says that the other side closed the connection.
func (c *router) over() { c.r.over(c.link) }

func (r *rig) over(l *link) {
	_, err := io.Copy(io.Discard, l.Reader)
	if err != nil {
		r.ErrorIs(err, syscall.ECONNRESET)
	}
}
