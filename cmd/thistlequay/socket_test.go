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

func TestRequestWithDownstreamCall(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	c.send(1, "/health", "", nil)
	c.expectResponse(1, 200, "")
	id := c.sendLook(2, "\x00body\xff")
	v.expectApply(id, "\x00body\xff")
	v.sendAwait(id, "a\r\ncall")
	x := r.nextLink(r.index)
	get := strings.Fields(r.readLine(x))
	r.Equal([]string{"GET", id, "7"}, []string{get[0], get[1], get[3]})
	r.Equal("a", r.readLine(x))
	r.Equal("call", r.readLine(x))
	r.writeLine(x, "0000000000000bad SHED\r") // of a call that is not ours: passed over
	r.writeLine(x, "%s HIT 5\r\nre\r\nx\r", id)
	o := v.nextCommand()
	r.Equal("RESOLVE "+id+" cmUNCng=", o.Type+" "+o.Job+" "+o.Data)
	result := strings.Repeat("r", 4096)
	v.sendValue(id, "OK", result)
	c.expectResponse(2, 200, result)
	id = c.sendLook(3, "")
	v.expectApply(id, "")
	v.sendValue(id, "ERROR", "")
	c.expectResponse(3, 500, "")
}

func TestResponsesComeInAnyOrderOnOneConnection(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	one := c.sendLook(1, "1")
	v.expectApply(one, "1")
	two := c.sendLook(2, "2")
	v.expectApply(two, "2")
	v.sendValue(two, "OK", "second")
	c.expectResponse(2, 200, "second")
	v.sendValue(one, "OK", "first")
	c.expectResponse(1, 200, "first")
}

func TestRequestPastItsDeadlineIsRejected(t *testing.T) {
	r, v := startServer(t)
	c, with := r.connectRouter(), requestParameters(r.newRequestID())
	with["HTTP_RECEIVED_AT"] = strconv.FormatInt(time.Now().UnixMilli()-1600, 10)
	with["HTTP_BUDGET_MS"] = "1700"
	c.send(1, "/rpc/brief", "", with)
	_, status, headers, _ := c.readResponse()
	r.Equal(503, status)
	r.Contains(headers, "Final-Refusal: 1")
	v.expectApply(c.sendLook(2, "goes on"), "goes on")
}

func TestRequestBeforeInterpreterIsUpIsRejected(t *testing.T) {
	r := newTestServer(t)
	r.writeFilesAndStart()
	c := r.connectRouter()
	c.send(1, "/health", "", nil)
	c.expectResponse(1, 200, "")
	c.sendLook(2, "")
	c.expectResponse(2, 503, "")
	v := r.acceptInterpreter(0)
	v.expectApply(c.sendLook(3, "now"), "now")
}

func TestRequestIsAbortedAtItsDeadline(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id := c.sendBrief(1)
	v.expectApply(id, "b")
	c.expectResponse(1, 500, "")
	o := v.nextCommand()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.sendValue(id, "STOPPED", "")
	v.serveOne(c, 2, "next")
}

// What arrived while the process was paused is read before deadlines that passed meanwhile fire.
func TestResultReadAfterPauseBeatsDeadline(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id, due := c.sendBrief(1), time.Now().Add(time.Second)
	v.expectApply(id, "b")
	r.NoError(r.process.Process.Signal(syscall.SIGSTOP))
	v.sendValue(id, "OK", "in time")
	r.Eventually(func() bool { return time.Now().After(due) }, eventTimeout, time.Millisecond)
	r.NoError(r.process.Process.Signal(syscall.SIGCONT))
	c.expectResponse(1, 200, "in time")
}

func TestClientAbortCancelsRequest(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id := c.sendLook(1, "aborted")
	v.expectApply(id, "aborted")
	_, err := c.Write(fastCGIRecord(2, 1, ""))
	r.NoError(err)
	slot, _, headers, _ := c.readResponse()
	r.Equal("1 ", fmt.Sprint(slot, " ", headers)) // the end of the request, with nothing in it
	o := v.nextCommand()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.sendValue(id, "STOPPED", "")
	lost := r.connectRouter()
	id = lost.sendLook(1, "lost")
	v.expectApply(id, "lost")
	closeQuietly(lost)
	o = v.nextCommand()
	r.Equal("BREAK "+id, o.Type+" "+o.Job)
	v.sendValue(id, "MOOT", "")
	v.serveOne(c, 1, "again under the same record id")
}

// Each way in which an attempt of a keyed request can find another: queued, running, succeeded, failed.
func TestRetriesOfKeyedRequestShareOneRun(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	first := c.sendLook(1, "fills")
	v.expectApply(first, "fills")
	second := c.sendLook(2, "the pool")
	v.expectApply(second, "the pool")
	c.sendBook(3, "k1")
	held := c.sendBook(4, "k1")
	c.expectResponse(3, 503, "") // the later try takes the place of the one held
	v.sendValue(first, "OK", "")
	c.expectResponse(1, 200, "")
	v.expectApply(held, "entry k1")
	c.sendBook(5, "k1")
	c.sendBook(6, "k1")
	_, err := c.Write(fastCGIRecord(2, 5, "")) // one that shares leaves; the run is not touched
	r.NoError(err)
	slot, _, _, _ := c.readResponse()
	r.Equal(uint16(5), slot)
	v.sendValue(held, "OK", "one run")
	for range 2 { // the order between the two is open
		slot, status, _, body := c.readResponse()
		r.Contains([]uint16{4, 6}, slot)
		r.Equal("200 one run", fmt.Sprint(status, " ", body))
	}
	c.sendBook(7, "k1")
	c.expectResponse(7, 200, "one run")
	v.sendValue(second, "OK", "")
	c.expectResponse(2, 200, "")
	failed := c.sendBook(8, "k2")
	v.expectApply(failed, "entry k2")
	v.sendValue(failed, "ERROR", "")
	c.expectResponse(8, 500, "")
	c.sendBook(9, "k2")
	c.expectResponse(9, 500, "") // it ran, so it is neither run again nor declined
	v.expectApply(c.sendBook(10, "k3"), "entry k3")
}

// Two attempts that arrive in one segment know of each other: one is run.
func TestSimultaneousRetriesRunOnce(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	one, two := c.sendBook(1, "k"), c.sendBook(2, "k")
	o := v.nextCommand()
	r.Contains([]string{one, two}, o.Job)
	v.sendValue(o.Job, "OK", "once")
	statuses := map[int]int{}
	for range 2 {
		_, status, _, _ := c.readResponse()
		statuses[status]++
	}
	r.Contains([]map[int]int{{200: 2}, {200: 1, 503: 1}}, statuses)
	v.expectApply(c.sendLook(3, "no second run came before"), "no second run came before")
}

// After a break the link states the last notice: finished runs are not started again, and queued requests follow.
func TestInterpreterLinkIsResumed(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	look := c.sendLook(1, "1")
	v.expectApply(look, "1")
	book := c.sendBook(2, "k")
	v.expectApply(book, "entry k")
	closeQuietly(v)
	back := &interpreterLink{server: r, link: r.nextLink(r.interpreter), lastNotice: 0}
	r.Equal(`{"type":"CONNECT","n":0}`, r.readLine(back.link))
	waits := c.sendBrief(3)
	c.send(4, "/health", "", nil)
	c.expectResponse(4, 200, "") // the brief one has been read while there is no link
	r.writeLine(back.link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	back.sendValue(look, "OK", "replayed")
	c.expectResponse(1, 200, "replayed")
	jobs := []string{back.nextCommand().Job, back.nextCommand().Job}
	r.ElementsMatch([]string{book, waits}, jobs) // what ended is not begun again
	back.sendValue(book, "OK", "b")
	c.expectResponse(2, 200, "b")
	back.sendValue(waits, "OK", "w")
	c.expectResponse(3, 200, "w")
}

// Commands of the last moment before a link breaks may be lost: runs are requested again, which starts none twice,
// and a
// reply is sent again unless the run has been heard of since. What provably did not start frees its idempotency entry.
func TestCommandsLostWithLinkAreSentAgain(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	waits := c.sendLook(1, "waits")
	v.expectApply(waits, "waits")
	v.sendAwait(waits, "q")
	x := r.indexCall(waits)
	r.writeLine(x, "%s HIT 2\r\nok\r", waits)
	r.Equal("RESOLVE "+waits, func() string { o := v.nextCommand(); return o.Type + " " + o.Job }())
	book := c.sendBook(2, "k")
	v.expectApply(book, "entry k")
	n := v.lastNotice
	closeQuietly(v)
	v = r.acceptInterpreter(n)
	v.lastNotice = n
	again := map[string]bool{}
	for range 2 {
		o := v.nextCommand()
		again[o.Type+" "+o.Job+" "+o.Data] = true
	}
	r.Equal(map[string]bool{"APPLY " + book + " ZW50cnkgaw==": true, "RESOLVE " + waits + " b2s=": true}, again)
	v.sendValue(waits, "OK", "w")
	c.expectResponse(1, 200, "w")
	v.sendValue(book, "MOOT", "")
	c.expectResponse(2, 500, "")
	book = c.sendBook(3, "k")
	v.expectApply(book, "entry k")
	v.sendValue(book, "OK", "b")
	c.expectResponse(3, 200, "b")
}

// A new configuration moves the program to other addresses: no request in flight is lost, and a downstream call that
// is out
// ends where it is. An invalid file changes nothing.
func TestReloadMovesAddressesWithoutLoss(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id := c.sendLook(1, "a")
	v.expectApply(id, "a")
	v.sendAwait(id, "q")
	old := r.indexCall(id)
	r.nextLink(r.directory)
	config := r.config
	for _, s := range []**emulatedListener{&r.interpreter, &r.index, &r.directory} {
		to := r.newEmulator()
		r.config = strings.Replace(r.config, (*s).Address, to.Address, 1)
		r.NoError((*s).Listener.Close())
		*s = to
	}
	r.writeFiles()
	r.NoError(r.process.Process.Signal(syscall.SIGHUP))
	moved := r.acceptInterpreter(v.lastNotice)
	moved.lastNotice = v.lastNotice
	_, err := v.Reader.ReadString(0)
	r.Error(err) // the old link is closed
	r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.readLine(r.nextLink(r.directory)))
	r.writeLine(old, "%s HIT 2\r\nok\r", id)
	o := moved.nextCommand()
	r.Equal("RESOLVE "+id, o.Type+" "+o.Job)
	moved.sendAwait(id, "q2")
	x := r.nextLink(r.index)
	r.Contains(r.readLine(x), "GET "+id)
	moved.sendValue(id, "OK", "a")
	c.expectResponse(1, 200, "a")
	r.config = "{"
	r.writeFiles()
	r.NoError(r.process.Process.Signal(syscall.SIGHUP))
	r.config = strings.Replace(config, `"sockets":64`, `"sockets":65`, 1)
	moved.serveOne(c, 2, "goes on")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	_, log := r.waitForExit()
	r.Contains(log, "event=configuration_rejected reason=")
}

func TestMalformedInterpreterLineReopensLink(t *testing.T) {
	r, v := startServer(t)
	r.writeLine(v.link, "no notice")
	v = r.acceptInterpreter(0)
	c := r.connectRouter()
	id := c.sendLook(1, "x")
	v.expectApply(id, "x")
	r.writeLine(v.link, `{"type":"ERROR","state":"APPLY","job":%q}`, id)
	c.expectResponse(1, 500, "")
}

// A downstream call that provably never ran is retried; one with effects that may have run is not.
func TestDownstreamCallIsRetriedOnlyWhenSafe(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id := c.sendBook(1, "k")
	v.expectApply(id, "entry k")
	v.sendAwait(id, "q")
	for _, reply := range []string{"SHED", "NOBODY", "SLOW"} {
		x := r.indexCall(id) // never the connection that a second copy could come on
		r.writeLine(x, "%s %s\r", id, reply)
		closeQuietly(x) // closed while it rests
	}
	c.expectResponse(1, 500, "")
	c.sendBook(3, "k") // shares a run that waits at a call, and ends as it does
	v.sendValue(id, "STOPPED", "")
	c.expectResponse(3, 500, "")
	c.sendBook(4, "k")
	c.expectResponse(4, 500, "")
	harmless := c.sendLook(2, "h")
	v.expectApply(harmless, "h")
	v.sendAwait(harmless, "q")
	x := r.indexCall(harmless)
	r.writeLine(x, "nonsense\r")
	r.requireClosed(x)
	x = r.indexCall(harmless)
	r.writeLine(x, "%s HIT 0\r\n\r", harmless)
	r.Equal("RESOLVE", v.nextCommand().Type)
	v.sendValue(harmless, "OK", "h")
	c.expectResponse(2, 200, "h")
}

func TestHangingIndexDelaysNothingElse(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	id := c.sendBrief(1)
	v.expectApply(id, "b")
	v.sendAwait(id, "q")
	x := r.indexCall(id)
	v.serveOne(c, 2, "other")
	r.requireClosed(x) // which gives the call up
	c.expectResponse(1, 500, "")
}

// While the index is down a call ends with its request's deadline; afterwards the index is dialled again.
func TestIndexOutageAndRecovery(t *testing.T) {
	r, v := startServer(t)
	r.NoError(r.index.Listener.Close())
	c := r.connectRouter()
	id := c.sendBrief(1)
	v.expectApply(id, "b")
	v.sendAwait(id, "q")
	c.expectResponse(1, 500, "")
	v.sendValue(id, "STOPPED", "")
	r.NoError(r.index.Reopen())
	id = c.sendLook(2, "l")
	v.expectApply(id, "l")
	v.sendAwait(id, "q")
	x := r.nextLink(r.index)
	r.Contains(r.readLine(x), "GET "+id)
}

func TestLoadReportsToTheDirectory(t *testing.T) {
	r, v := startServer(t)
	d := r.nextLink(r.directory)
	report := func(mode string) {
		r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.readLine(d))
		for r.readLine(d) != "" {
		}
		body := make([]byte, len(`{"mode":""}`)+len(mode))
		_, err := d.Reader.Read(body)
		r.NoError(err)
		r.Equal(`{"mode":"`+mode+`"}`, string(body))
	}
	report("open")
	r.writeLine(d, "HTTP/1.1 204 No Content\r\n\r")
	report("open")
	d = r.nextLink(r.directory) // the last report was not answered: a new connection
	report("open")
	r.NoError(r.directory.Listener.Close())
	closeQuietly(d)
	c := r.connectRouter()
	v.serveOne(c, 1, "without a directory")
}

func TestMalformedRecordsCloseOnlyTheirConnection(t *testing.T) {
	r, v := startServer(t)
	good := r.connectRouter()
	id := good.sendLook(1, "good")
	v.expectApply(id, "good")
	for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", string(fastCGIRecord(5, 1, "x")[:4]) + "\xff\xff\x00\x00",
		string(fastCGIRecord(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00")) +
			string(fastCGIRecord(1, 1, "\x00\x01\x01\x00\x00\x00\x00\x00"))} {
		bad := r.connectRouter()
		_, err := bad.Write([]byte(data))
		r.NoError(err)
		if data[0] == 1 && len(data) == 8 { // of no open request: passed over until it ends
			closeQuietly(bad)
			continue
		}
		bad.requireClosed()
	}
	v.sendValue(id, "OK", "g")
	good.expectResponse(1, 200, "g")
}

// Every malformed request gets its status, and the connection and its other request go on.
func TestMalformedRequestsAreRejected(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	held := c.sendLook(1, "in hand")
	v.expectApply(held, "in hand")
	refuse := func(status int, path, body, field, value string) {
		with := requestParameters(r.newRequestID())
		if with[field] = value; value == "" {
			delete(with, field)
		}
		c.send(2, path, body, with)
		c.expectResponse(2, status, "")
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
	first := c.sendBook(3, "k")
	v.expectApply(first, "entry k")
	other := requestParameters(r.newRequestID()) // the key of another's body: neither its result nor its place
	other["HTTP_ONCE_KEY"] = "k"
	c.send(2, "/rpc/book", "another body", other)
	c.expectResponse(2, 422, "")
	v.sendValue(first, "OK", "its own")
	c.expectResponse(3, 200, "its own")
	unknown := c.sendBook(2, "strange") // the interpreter knows no such work item: its stamp is free
	v.expectApply(unknown, "entry strange")
	r.writeLine(v.link, `{"type":"ERROR","state":"APPLY","job":%q}`, unknown)
	c.expectResponse(2, 500, "")
	v.expectApply(c.sendBook(2, "strange"), "entry strange")
	v.sendValue(held, "OK", "h")
	c.expectResponse(1, 200, "h")
}

// During a drain health checks fail, requests in flight are answered, and after the grace period nothing is run.
func TestDrainAnswersRequestsInFlight(t *testing.T) {
	r, v := startServer(t)
	c, checks := r.connectRouter(), r.connectRouter()
	stuck := c.sendLook(1, "never ends")
	v.expectApply(stuck, "never ends")
	ends := c.sendLook(2, "ends")
	v.expectApply(ends, "ends")
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	r.Eventually(func() bool {
		checks.send(1, "/health", "", nil)
		_, status, _, _ := checks.readResponse()
		return status == 503
	}, eventTimeout, time.Millisecond)
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	v.sendValue(ends, "OK", "e")
	c.expectResponse(2, 200, "e")
	go func() { // runs go on to be answered while there is grace
		for {
			line, err := v.Reader.ReadString('\n')
			if err != nil {
				return
			}
			if _, job, found := strings.Cut(line, `{"type":"APPLY","job":"`); found {
				v.lastNotice++
				_, _ = fmt.Fprintf(v, `{"type":"VALUE","n":%d,"job":"%s","state":"OK","took":1,"data":""}`+"\n",
					v.lastNotice,
					job[:16])
			}
		}
	}()
	late := r.connectRouter()
	r.Eventually(func() bool { // and past the grace nothing is run
		late.sendLook(1, "late")
		_, status, _, _ := late.readResponse()
		return status == 503
	}, eventTimeout, time.Millisecond)
	c.expectResponse(1, 500, "") // before the stop
	code, log := r.waitForExit()
	r.Equal(0, code)
	r.Contains(log, "event=ended name=n3 requests=1 ") // the run itself, its answer is given
	c.requireClosed()
}

func TestRestartAfterKillOnSameAddress(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	v.expectApply(c.sendBook(1, "k"), "entry k")
	r.NoError(r.process.Process.Kill())
	<-r.ended
	c.requireClosed()
	r.writeFilesAndStart()
	v = r.acceptInterpreter(0)
	c = r.connectRouter()
	id := c.sendBook(1, "k")
	v.expectApply(id, "entry k")
	v.sendValue(id, "OK", "new life")
	c.expectResponse(1, 200, "new life")
}

func TestIdleTimeoutSparesOpenRequests(t *testing.T) {
	r, v := startServerWith(t, `"KeepaliveMax":30000.0`, `"KeepaliveMax":100.0`)
	busy, idle := r.connectRouter(), r.connectRouter()
	id := busy.sendLook(1, "busy")
	v.expectApply(id, "busy")
	idle.requireClosed()
	v.sendValue(id, "OK", "b")
	busy.expectResponse(1, 200, "b")
	busy.requireClosed()
}

// Silent connections do not fill the table: the oldest is evicted for a newcomer, none outlives its timeout, and no
// descriptor is lost.
func TestFullConnectionTableEvictsOldestIdle(t *testing.T) {
	r, v := startServer(t)
	descriptors := func() int {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.process.Process.Pid))
		r.NoError(err)
		return len(entries)
	}
	first := r.connectRouter()
	first.send(1, "/health", "", nil)
	first.expectResponse(1, 200, "")
	before := descriptors()
	var silent []*routerLink
	for range 50 {
		silent = append(silent, r.connectRouter())
	}
	v.serveOne(r.connectRouter(), 1, "a newcomer")
	r.LessOrEqual(descriptors(), 64)
	v.serveOne(first, 1, "goes on")
	for _, c := range silent {
		c.requireClosed()
	}
	r.Eventually(func() bool { return descriptors() <= before+1 }, eventTimeout, 5*time.Millisecond)
}

// A request that is not complete in time is rejected; what else is open on the connection stays, and a connection that
// brings nothing complete is closed.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	r, v := startServer(t)
	half, c := r.connectRouter(), r.connectRouter()
	id := c.sendLook(1, "whole")
	v.expectApply(id, "whole")
	for _, to := range []*routerLink{half, c} {
		_, err := to.Write(append(fastCGIRecord(1, 7, "\x00\x01\x01\x00\x00\x00\x00\x00"),
			fastCGIRecord(4, 7, "begun")...))
		r.NoError(err)
	}
	half.expectResponse(7, 408, "")
	half.requireClosed()
	c.expectResponse(7, 408, "")
	huge := bytes.Join([][]byte{fastCGIRecord(1, 8, "\x00\x01\x01\x00\x00\x00\x00\x00"), fastCGIRecord(4, 8, ""),
		fastCGIRecord(5, 8, strings.Repeat("x", 9000))}, nil)
	_, err := c.Write(huge)
	r.NoError(err)
	c.expectResponse(8, 413, "") // not when the last byte has come
	v.sendValue(id, "OK", "w")
	c.expectResponse(1, 200, "w")
	_, err = c.Write([]byte{1, 5, 0, 7}) // half a record of nothing that is open
	r.NoError(err)
	c.requireClosed()
}

func TestRouterThatDoesNotReadIsClosed(t *testing.T) {
	r, _ := startServer(t)
	c := r.connectRouter()
	check := []byte{}
	for range 200 {
		check = append(check, fastCGIRecord(9, 0,
			"\x0f\x00FCGI_MPXS_CONNS\x0f\x00FCGI_MPXS_CONNS\x0f\x00FCGI_MPXS_CONNS")...)
	}
	for {
		if _, err := c.Write(check); err != nil {
			r.NotErrorIs(err, os.ErrDeadlineExceeded)
			break
		}
	}
	other := r.connectRouter()
	other.send(1, "/health", "", nil)
	other.expectResponse(1, 200, "")
}

// A program with an invalid configuration or a taken address logs one line and exits with 1.
func TestInvalidConfigurationsPreventStart(t *testing.T) {
	r := newTestServer(t)
	good := r.config
	for from, to := range map[string]string{
		`"name":"n3"`: `"name":""`, `"stop_ms":1500`: `"stop_ms":-1`, `"cores":1.0`: `"cores":0`,
		`"memory_mb":192`: `"memory_mb":1`, `"sockets":64`: `"sockets":3`, `"Cores":2`: `"Cores":0`,
		`"MemoryKb":80000.0`: `"MemoryKb":-1`, `"settings":`: `"others":`, r.interpreter.Address: "nowhere",
		`{"name"`:         `"name"`,
		`"OnTime":4000.0`: `"OnTime":1e300`,
	} {
		r.config = strings.Replace(good, from, to, 1)
		r.NotEqual(good, r.config, from)
		r.writeFilesAndStart()
		code, log := r.waitForExit()
		r.Equal(1, code, from)
		r.Equal(1, strings.Count(log, "\n"), log)
		r.Contains(log, "event=cannot_start reason=")
	}
	taken, err := net.Listen("tcp", r.listen)
	r.NoError(err)
	defer closeQuietly(taken)
	r.config = good
	r.writeFilesAndStart()
	code, log := r.waitForExit()
	r.Equal(1, code)
	r.Contains(log, "address already in use")
}

func TestMissingConfigurationIsAnError(t *testing.T) {
	_, err := readPlatformConfig("")
	require.Error(t, err)
	_, err = readPlatformConfig("/nonexistent/config.json")
	require.Error(t, err)
}

// A long-lived server meets numbers that grow without end: of routers, of notices, of milliseconds.
func TestCountersOfLongLivedServers(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	for slot, number := range []string{"0", "1048575", "1048576", "4294967296", "9007199254740991"} {
		id, with := r.newRequestID(), requestParameters("")
		with["HTTP_REQUEST_ID"], with["HTTP_SENT_BY"] = id, number
		c.send(uint16(slot+1), "/rpc/look", number, with)
		v.expectApply(id, number)
		v.lastNotice += 1 << 31
		v.sendValue(id, "OK", "result of "+number)
		c.expectResponse(uint16(slot+1), 200, "result of "+number)
	}
}
