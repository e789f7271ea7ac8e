package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestServedWithACallBelow(t *testing.T) {
	r, v := start(t)
	c := r.router()
	c.ask(1, "/health", "", nil)
	c.answered(1, 200, "")
	id := c.look(2, "\x00body\xff")
	v.applied(id, "\x00body\xff")
	v.await(id, "a\r\ncall")
	x := r.link(r.index)
	get := strings.Fields(r.line(x))
	r.Equal([]string{"GET", id, "7"}, []string{get[0], get[1], get[3]})
	r.Equal("a", r.line(x))
	r.Equal("call", r.line(x))
	r.say(x, "0000000000000bad SHED\r") // of a call that is not ours: passed over
	r.say(x, "%s HIT 5\r\nre\r\nx\r", id)
	o := v.next()
	r.Equal("RESOLVE "+id+" cmUNCng=", o.Type+" "+o.Job+" "+o.Data)
	result := strings.Repeat("r", 4096)
	v.value(id, "OK", result)
	c.answered(2, 200, result)
	id = c.look(3, "")
	v.applied(id, "")
	v.value(id, "ERROR", "")
	c.answered(3, 500, "")
}

func TestAnswersComeInAnyOrderOnOneConnection(t *testing.T) {
	r, v := start(t)
	c := r.router()
	one := c.look(1, "1")
	v.applied(one, "1")
	two := c.look(2, "2")
	v.applied(two, "2")
	v.value(two, "OK", "second")
	c.answered(2, 200, "second")
	v.value(one, "OK", "first")
	c.answered(1, 200, "first")
}

func TestDeclinedWhereItIsTooLate(t *testing.T) {
	r, v := start(t)
	c, with := r.router(), fields(r.id())
	with["HTTP_RECEIVED_AT"] = strconv.FormatInt(time.Now().UnixMilli()-1600, 10)
	with["HTTP_BUDGET_MS"] = "1700"
	c.ask(1, "/rpc/brief", "", with)
	_, status, headers, _ := c.answer()
	r.Equal(503, status)
	r.Contains(headers, "Final-Refusal: 1")
	v.applied(c.look(2, "goes on"), "goes on")
}

func TestAStrayWorkItemBeforeTheInterpreterIsUp(t *testing.T) {
	r := prepare(t)
	r.run()
	c := r.router()
	c.ask(1, "/health", "", nil)
	c.answered(1, 200, "")
	c.look(2, "")
	c.answered(2, 503, "")
	v := r.up(0)
	v.applied(c.look(3, "now"), "now")
}

func TestBrokenOffAtItsTimeAndStopped(t *testing.T) {
	r, v := start(t)
	c := r.router()
	id := c.brief(1)
	v.applied(id, "b")
	c.answered(1, 500, "")
	o := v.next()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.value(id, "STOPPED", "")
	v.serves(c, 2, "next")
}

// What came in while the machine stood still is read before late moments decide.
func TestAMachineThatStoodStill(t *testing.T) {
	r, v := start(t)
	c := r.router()
	id, due := c.brief(1), time.Now().Add(time.Second)
	v.applied(id, "b")
	r.NoError(r.process.Process.Signal(syscall.SIGSTOP))
	v.value(id, "OK", "in time")
	r.Eventually(func() bool { return time.Now().After(due) }, patience, time.Millisecond)
	r.NoError(r.process.Process.Signal(syscall.SIGCONT))
	c.answered(1, 200, "in time")
}

func TestACallerThatLeaves(t *testing.T) {
	r, v := start(t)
	c := r.router()
	id := c.look(1, "aborted")
	v.applied(id, "aborted")
	_, err := c.Write(fcgi(2, 1, ""))
	r.NoError(err)
	slot, _, headers, _ := c.answer()
	r.Equal("1 ", fmt.Sprint(slot, " ", headers)) // the end of the request, with nothing in it
	o := v.next()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.value(id, "STOPPED", "")
	lost := r.router()
	id = lost.look(1, "lost")
	v.applied(id, "lost")
	closeQuietly(lost)
	o = v.next()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.value(id, "MOOT", "")
	v.serves(c, 1, "again under the same record id")
}

// Each way that a try of a stamped work item can find another: held, running, ended well, ended badly.
func TestTriesOfAStampedWorkItem(t *testing.T) {
	r, v := start(t)
	c := r.router()
	first := c.look(1, "fills")
	v.applied(first, "fills")
	second := c.look(2, "the pool")
	v.applied(second, "the pool")
	c.book(3, "k1")
	held := c.book(4, "k1")
	c.answered(3, 503, "") // the later try takes the place of the one held
	v.value(first, "OK", "")
	c.answered(1, 200, "")
	v.applied(held, "entry k1")
	c.book(5, "k1")
	c.book(6, "k1")
	_, err := c.Write(fcgi(2, 5, "")) // one that shares leaves; the run is not touched
	r.NoError(err)
	slot, _, _, _ := c.answer()
	r.Equal(uint16(5), slot)
	v.value(held, "OK", "one run")
	for range 2 { // the order between the two is open
		slot, status, _, body := c.answer()
		r.Contains([]uint16{4, 6}, slot)
		r.Equal("200 one run", fmt.Sprint(status, " ", body))
	}
	c.book(7, "k1")
	c.answered(7, 200, "one run")
	v.value(second, "OK", "")
	c.answered(2, 200, "")
	failed := c.book(8, "k2")
	v.applied(failed, "entry k2")
	v.value(failed, "ERROR", "")
	c.answered(8, 500, "")
	c.book(9, "k2")
	c.answered(9, 500, "") // it ran, so it is neither run again nor declined
	v.applied(c.book(10, "k3"), "entry k3")
}

// Two tries that come in one piece know of each other: one is run.
func TestTwoTriesAtOnce(t *testing.T) {
	r, v := start(t)
	c := r.router()
	one, two := c.book(1, "k"), c.book(2, "k")
	o := v.next()
	r.Contains([]string{one, two}, o.Job)
	v.value(o.Job, "OK", "once")
	statuses := map[int]int{}
	for range 2 {
		_, status, _, _ := c.answer()
		statuses[status]++
	}
	r.Contains([]map[int]int{{200: 2}, {200: 1, 503: 1}}, statuses)
	v.applied(c.look(3, "no second run came before"), "no second run came before")
}

func TestABrokenLinkToTheInterpreter(t *testing.T) {
	r, v := start(t)
	c := r.router()
	look := c.look(1, "1")
	v.applied(look, "1")
	book := c.book(2, "k")
	v.applied(book, "entry k")
	closeQuietly(v)
	back := &vm{r: r, link: r.link(r.vm), n: 0}
	r.Equal(`{"type":"CONNECT","n":0}`, r.line(back.link))
	waits := c.brief(3)
	c.ask(4, "/health", "", nil)
	c.answered(4, 200, "") // the brief one has been read while there is no link
	r.say(back.link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	back.value(look, "OK", "replayed")
	c.answered(1, 200, "replayed")
	jobs := []string{back.next().Job, back.next().Job}
	r.ElementsMatch([]string{book, waits}, jobs) // what ended is not begun again
	back.value(book, "OK", "b")
	c.answered(2, 200, "b")
	back.value(waits, "OK", "w")
	c.answered(3, 200, "w")
}

// Commands of the last moment before a break may be lost: runs are asked for again, which begins none twice, and a
// reply is passed on again unless the run has been heard of since. What proves not to have begun frees its stamp.
func TestCommandsThatALinkMayHaveLost(t *testing.T) {
	r, v := start(t)
	c := r.router()
	waits := c.look(1, "waits")
	v.applied(waits, "waits")
	v.await(waits, "q")
	x := r.called(waits)
	r.say(x, "%s HIT 2\r\nok\r", waits)
	r.Equal("RESOLVE "+waits, func() string { o := v.next(); return o.Type + " " + o.Job }())
	book := c.book(2, "k")
	v.applied(book, "entry k")
	n := v.n
	closeQuietly(v)
	v = r.up(n)
	v.n = n
	again := map[string]bool{}
	for range 2 {
		o := v.next()
		again[o.Type+" "+o.Job+" "+o.Data] = true
	}
	r.Equal(map[string]bool{"APPLY " + book + " ZW50cnkgaw==": true, "RESOLVE " + waits + " b2s=": true}, again)
	v.value(waits, "OK", "w")
	c.answered(1, 200, "w")
	v.value(book, "MOOT", "")
	c.answered(2, 500, "")
	book = c.book(3, "k")
	v.applied(book, "entry k")
	v.value(book, "OK", "b")
	c.answered(3, 200, "b")
}

// A new configuration moves the program to other addresses: nothing in hand is lost, and a call that is out ends where
// it is. A file that can't be meant changes nothing.
func TestNewConfigurations(t *testing.T) {
	r, v := start(t)
	c := r.router()
	id := c.look(1, "a")
	v.applied(id, "a")
	v.await(id, "q")
	old := r.called(id)
	r.link(r.directory)
	config := r.config
	for _, s := range []**standIn{&r.vm, &r.index, &r.directory} {
		to := r.standIn()
		r.config = strings.Replace(r.config, (*s).Address, to.Address, 1)
		r.NoError((*s).Listener.Close())
		*s = to
	}
	r.configure()
	r.NoError(r.process.Process.Signal(syscall.SIGHUP))
	moved := r.up(v.n)
	moved.n = v.n
	_, err := v.Reader.ReadString(0)
	r.Error(err) // the old link is closed
	r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.line(r.link(r.directory)))
	r.say(old, "%s HIT 2\r\nok\r", id)
	o := moved.next()
	r.Equal("RESOLVE "+id, o.Type+" "+o.Job)
	moved.await(id, "q2")
	x := r.link(r.index)
	r.Contains(r.line(x), "GET "+id)
	moved.value(id, "OK", "a")
	c.answered(1, 200, "a")
	r.config = "{"
	r.configure()
	r.NoError(r.process.Process.Signal(syscall.SIGHUP))
	r.config = strings.Replace(config, `"sockets":64`, `"sockets":65`, 1)
	moved.serves(c, 2, "goes on")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	_, log := r.exit()
	r.Contains(log, "event=configuration_rejected reason=")
}

func TestALineThatIsNoNotice(t *testing.T) {
	r, v := start(t)
	r.say(v.link, "no notice")
	v = r.up(0)
	c := r.router()
	id := c.look(1, "x")
	v.applied(id, "x")
	r.say(v.link, `{"type":"ERROR","state":"APPLY","job":%q}`, id)
	c.answered(1, 500, "")
}

// A call that provably never ran is made again; one with effects that may have run is not.
func TestOutcomesOfCalls(t *testing.T) {
	r, v := start(t)
	c := r.router()
	id := c.book(1, "k")
	v.applied(id, "entry k")
	v.await(id, "q")
	for _, reply := range []string{"SHED", "NOBODY", "SLOW"} {
		x := r.called(id) // never the connection that a second copy could come on
		r.say(x, "%s %s\r", id, reply)
		closeQuietly(x) // closed while it rests
	}
	c.answered(1, 500, "")
	c.book(3, "k") // shares a run that waits at a call, and ends as it does
	v.value(id, "STOPPED", "")
	c.answered(3, 500, "")
	c.book(4, "k")
	c.answered(4, 500, "")
	harmless := c.look(2, "h")
	v.applied(harmless, "h")
	v.await(harmless, "q")
	x := r.called(harmless)
	r.say(x, "nonsense\r")
	r.over(x)
	x = r.called(harmless)
	r.say(x, "%s HIT 0\r\n\r", harmless)
	r.Equal("RESOLVE", v.next().Type)
	v.value(harmless, "OK", "h")
	c.answered(2, 200, "h")
}

func TestAHangingIndexDelaysNothingElse(t *testing.T) {
	r, v := start(t)
	c := r.router()
	id := c.brief(1)
	v.applied(id, "b")
	v.await(id, "q")
	x := r.called(id)
	v.serves(c, 2, "other")
	r.over(x) // which gives the call up
	c.answered(1, 500, "")
}

func TestAnIndexThatIsDown(t *testing.T) {
	r, v := start(t)
	r.NoError(r.index.Listener.Close())
	c := r.router()
	id := c.brief(1)
	v.applied(id, "b")
	v.await(id, "q")
	c.answered(1, 500, "")
	v.value(id, "STOPPED", "")
	r.NoError(r.index.Reopen())
	id = c.look(2, "l")
	v.applied(id, "l")
	v.await(id, "q")
	x := r.link(r.index)
	r.Contains(r.line(x), "GET "+id)
}

func TestReportsToTheDirectory(t *testing.T) {
	r, v := start(t)
	d := r.link(r.directory)
	report := func(mode string) {
		r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.line(d))
		for r.line(d) != "" {
		}
		body := make([]byte, len(`{"mode":""}`)+len(mode))
		_, err := d.Reader.Read(body)
		r.NoError(err)
		r.Equal(`{"mode":"`+mode+`"}`, string(body))
	}
	report("open")
	r.say(d, "HTTP/1.1 204 No Content\r\n\r")
	report("open")
	d = r.link(r.directory) // the last report was not answered: a new connection
	report("open")
	r.NoError(r.directory.Listener.Close())
	closeQuietly(d)
	c := r.router()
	v.serves(c, 1, "without a directory")
}

func TestBadPeersLoseOnlyTheirConnection(t *testing.T) {
	r, v := start(t)
	good := r.router()
	id := good.look(1, "good")
	v.applied(id, "good")
	for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", string(fcgi(5, 1, "x")[:4]) + "\xff\xff\x00\x00",
		string(fcgi(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00")) +
			string(fcgi(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00"))} {
		bad := r.router()
		_, err := bad.Write([]byte(data))
		r.NoError(err)
		if data[0] == 1 && len(data) == 8 { // of no open request: passed over until it ends
			closeQuietly(bad)
			continue
		}
		bad.over()
	}
	v.value(id, "OK", "g")
	good.answered(1, 200, "g")
}

func TestRequestsThatAreNoWorkItems(t *testing.T) {
	r, v := start(t)
	c := r.router()
	held := c.look(1, "in hand")
	v.applied(held, "in hand")
	refuse := func(status int, path, body, field, value string) {
		with := fields(r.id())
		if with[field] = value; value == "" {
			delete(with, field)
		}
		c.ask(2, path, body, with)
		c.answered(2, status, "")
	}
	refuse(404, "/other", "", "", "")
	refuse(404, "/rpc/none", "", "", "")
	refuse(413, "/rpc/look", strings.Repeat("x", 2049), "", "")
	refuse(400, "/rpc/book", "", "HTTP_ONCE_KEY", "")
	refuse(400, "/rpc/look", "", "HTTP_REQUEST_ID", held)
	for _, name := range []string{"HTTP_REQUEST_ID", "HTTP_RECEIVED_AT", "HTTP_SENT_BY", "HTTP_BUDGET_MS",
		"HTTP_FOOTPRINT_KB", "HTTP_PRIORITY_RANK", "HTTP_ACCOUNT"} {
		for _, value := range []string{"", "-x", "-1", "1e400", "NaN", "99999999999999999"} {
			refuse(400, "/rpc/look", "", name, value)
		}
	}
	refuse(405, "/rpc/look", "", "REQUEST_METHOD", "GET")
	refuse(400, "/rpc/look", "body", "CONTENT_LENGTH", "5")
	refuse(400, "/rpc/look", "", "HTTP_ONCE_KEY", strings.Repeat("k", 65))
	first := c.book(3, "k")
	v.applied(first, "entry k")
	other := fields(r.id()) // the key of another's body: neither its result nor its place
	other["HTTP_ONCE_KEY"] = "k"
	c.ask(2, "/rpc/book", "another body", other)
	c.answered(2, 422, "")
	v.value(first, "OK", "its own")
	c.answered(3, 200, "its own")
	unknown := c.book(2, "strange") // the interpreter knows no such work item: its stamp is free
	v.applied(unknown, "entry strange")
	r.say(v.link, `{"type":"ERROR","state":"APPLY","job":%q}`, unknown)
	c.answered(2, 500, "")
	v.applied(c.book(2, "strange"), "entry strange")
	v.value(held, "OK", "h")
	c.answered(1, 200, "h")
}

func TestDrainWithWorkInHand(t *testing.T) {
	r, v := start(t)
	c, checks := r.router(), r.router()
	stuck := c.look(1, "never ends")
	v.applied(stuck, "never ends")
	ends := c.look(2, "ends")
	v.applied(ends, "ends")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	r.Eventually(func() bool {
		checks.ask(1, "/health", "", nil)
		_, status, _, _ := checks.answer()
		return status == 503
	}, patience, time.Millisecond)
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	v.value(ends, "OK", "e")
	c.answered(2, 200, "e")
	go func() { // runs go on to be answered while there is grace
		for {
			line, err := v.Reader.ReadString('\n')
			if err != nil {
				return
			}
			if _, job, found := strings.Cut(line, `{"type":"APPLY","job":"`); found {
				v.n++
				_, _ = fmt.Fprintf(v, `{"type":"VALUE","n":%d,"job":"%s","state":"OK","took":1,"data":""}`+"\n", v.n,
					job[:16])
			}
		}
	}()
	late := r.router()
	r.Eventually(func() bool { // and past the grace nothing is run
		late.look(1, "late")
		_, status, _, _ := late.answer()
		return status == 503
	}, patience, time.Millisecond)
	c.answered(1, 500, "") // before the stop
	code, log := r.exit()
	r.Equal(0, code)
	r.Contains(log, "event=ended name=n3 requests=1 ") // the run itself, its answer is given
	c.over()
}

func TestKilledAndStartedAgainUnderItsAddress(t *testing.T) {
	r, v := start(t)
	c := r.router()
	v.applied(c.book(1, "k"), "entry k")
	r.NoError(r.process.Process.Kill())
	<-r.ended
	c.over()
	r.run()
	v = r.up(0)
	c = r.router()
	id := c.book(1, "k")
	v.applied(id, "entry k")
	v.value(id, "OK", "new life")
	c.answered(1, 200, "new life")
}

func TestIdleConnectionsCloseNeverUnderAnOpenRequest(t *testing.T) {
	r, v := startWith(t, `"KeepaliveMax":30000.0`, `"KeepaliveMax":100.0`)
	busy, idle := r.router(), r.router()
	id := busy.look(1, "busy")
	v.applied(id, "busy")
	idle.over()
	v.value(id, "OK", "b")
	busy.answered(1, 200, "b")
	busy.over()
}

// Silent connections fill no table: the oldest of them makes room for a newcomer, and none outlives its time.
func TestAFullTableAndNoDescriptorIsLost(t *testing.T) {
	r, v := start(t)
	descriptors := func() int {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.process.Process.Pid))
		r.NoError(err)
		return len(entries)
	}
	first := r.router()
	first.ask(1, "/health", "", nil)
	first.answered(1, 200, "")
	before := descriptors()
	var silent []*router
	for range 50 {
		silent = append(silent, r.router())
	}
	v.serves(r.router(), 1, "a newcomer")
	r.LessOrEqual(descriptors(), 64)
	v.serves(first, 1, "goes on")
	for _, c := range silent {
		c.over()
	}
	r.Eventually(func() bool { return descriptors() <= before+1 }, patience, 5*time.Millisecond)
}

// A request that does not come whole in its time is answered as it is; what else is open on the connection stays, and
// a connection that brings nothing whole is closed.
func TestRequestsThatStayHalf(t *testing.T) {
	r, v := start(t)
	half, c := r.router(), r.router()
	id := c.look(1, "whole")
	v.applied(id, "whole")
	for _, to := range []*router{half, c} {
		_, err := to.Write(append(fcgi(1, 7, "\x00\x01\x01\x00\x00\x00\x00\x00"), fcgi(4, 7, "begun")...))
		r.NoError(err)
	}
	half.answered(7, 408, "")
	half.over()
	c.answered(7, 408, "")
	huge := bytes.Join([][]byte{fcgi(1, 8, "\x00\x01\x01\x00\x00\x00\x00\x00"), fcgi(4, 8, ""),
		fcgi(5, 8, strings.Repeat("x", 9000))}, nil)
	_, err := c.Write(huge)
	r.NoError(err)
	c.answered(8, 413, "") // not when the last byte has come
	v.value(id, "OK", "w")
	c.answered(1, 200, "w")
	_, err = c.Write([]byte{1, 5, 0, 7}) // half a record of nothing that is open
	r.NoError(err)
	c.over()
}

func TestARouterThatDoesNotReadIsClosed(t *testing.T) {
	r, _ := start(t)
	c := r.router()
	check := []byte{}
	for range 200 {
		check = append(check, fcgi(9, 0, "\x0f\x00FCGI_MPXS_CONNS\x0f\x00FCGI_MPXS_CONNS\x0f\x00FCGI_MPXS_CONNS")...)
	}
	for {
		if _, err := c.Write(check); err != nil {
			r.NotErrorIs(err, os.ErrDeadlineExceeded)
			break
		}
	}
	other := r.router()
	other.ask(1, "/health", "", nil)
	other.answered(1, 200, "")
}

func TestConfigurationsThatCannotBeMeant(t *testing.T) {
	r := prepare(t)
	good := r.config
	for from, to := range map[string]string{
		`"name":"n3"`: `"name":""`, `"stop_ms":1500`: `"stop_ms":-1`, `"cores":1.0`: `"cores":0`,
		`"memory_mb":192`: `"memory_mb":1`, `"sockets":64`: `"sockets":3`, `"Cores":2`: `"Cores":0`,
		`"MemoryKb":80000.0`: `"MemoryKb":-1`, `"settings":`: `"others":`, r.vm.Address: "nowhere", `{"name"`: `"name"`,
		`"OnTime":4000.0`: `"OnTime":1e300`,
	} {
		r.config = strings.Replace(good, from, to, 1)
		r.NotEqual(good, r.config, from)
		r.run()
		code, log := r.exit()
		r.Equal(1, code, from)
		r.Equal(1, strings.Count(log, "\n"), log)
		r.Contains(log, "event=cannot_start reason=")
	}
	taken, err := net.Listen("tcp", r.listen)
	r.NoError(err)
	defer closeQuietly(taken)
	r.config = good
	r.run()
	code, log := r.exit()
	r.Equal(1, code)
	r.Contains(log, "address already in use")
}

func TestNoConfiguration(t *testing.T) {
	_, err := readPlatformConfig("")
	require.Error(t, err)
	_, err = readPlatformConfig("/nonexistent/config.json")
	require.Error(t, err)
}

// A server that has lived long is spoken to in numbers that grow for ever: of routers, of notices, of milliseconds.
func TestNumbersOfALongLife(t *testing.T) {
	r, v := start(t)
	c := r.router()
	for slot, number := range []string{"0", "1048575", "1048576", "4294967296", "9007199254740991"} {
		id, with := r.id(), fields("")
		with["HTTP_REQUEST_ID"], with["HTTP_SENT_BY"] = id, number
		c.ask(uint16(slot+1), "/rpc/look", number, with)
		v.applied(id, number)
		v.n += 1 << 31
		v.value(id, "OK", "result of "+number)
		c.answered(uint16(slot+1), 200, "result of "+number)
	}
}
