package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/emulator"
)

// docs/races.md lists the pairs of events that can cross, with the test that forces each order of them.

func TestIdleTimeoutSparesOpenRequests(t *testing.T) {
	r, v := startServerWith(t, `"KeepaliveMax":30000.0`, `"KeepaliveMax":100.0`)
	busy := r.connectRouter()
	idle := r.connectRouter()
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

// A connection is evicted for a newcomer at the moment at which a request lies on it unread: the request is not run,
// and its sender sees a close, not a reset.
func TestCloseOverUnreadBytesDoesNotReset(t *testing.T) {
	r, v := startServer(t)
	var table int
	_, text, _ := strings.Cut(logText(r), "connections=")
	_, err := fmt.Sscan(text, &table)
	r.NoError(err)
	var oldest *routerLink
	for range table {
		c := r.connectRouter()
		v.serveOne(c, 1, "rests from now on")
		if oldest == nil {
			oldest = c
		}
	}
	r.NoError(r.process.Process.Signal(syscall.SIGSTOP))
	r.connectRouter() // the newcomer arrives first, then the request on the connection to evict
	id := oldest.sendLook(2, "crosses")
	r.NoError(r.process.Process.Signal(syscall.SIGCONT))
	r.Empty(r.readToEnd(oldest.link))
	other := r.connectRouter()
	other.send(1, "/health", "", nil)
	other.expectResponse(1, 200, "")
	next := other.sendLook(2, "goes on")
	o := v.nextCommand()
	r.Equal(next, o.Job, "%s was run after its connection ended", id)
}

// A response that its reader has not taken yet is written before the connection is closed.
func TestCloseWaitsForBufferedResponses(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	other := r.connectRouter()
	result := strings.Repeat("r", 4000)
	send := func(keep byte) {
		id := r.newRequestID()
		text := emulator.FastCGIRequest(1, "/rpc/look", "b", requestParameters(id))
		text[10] = keep // the keep-connection flag of the first record
		_, err := c.Write(text)
		r.NoError(err)
		v.expectApply(id, "b")
		v.sendValue(id, "OK", result)
		other.send(1, "/health", "", nil)
		other.expectResponse(1, 200, "") // by then the answer has been written
	}
	n := 0
	for before, full := -1, 0; full < 3; n++ { // until the socket buffers are full and the program buffers the rest
		send(1)
		if n%8 != 0 {
			continue
		}
		if lies := r.unreadBytes(c.link); lies > before {
			before = lies
			full = 0
		} else {
			full++
		}
	}
	send(0)
	for range n + 1 {
		_, status, _, body := c.readResponse()
		r.Equal(200, status)
		r.Equal(result, body)
	}
	r.Empty(r.readToEnd(c.link))
}

// A request that wants its connection closed does not discard the responses of the others open on it.
func TestCloseWaitsForOtherOpenRequests(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	first := c.sendLook(1, "stays")
	v.expectApply(first, "stays")
	id := r.newRequestID()
	text := emulator.FastCGIRequest(2, "/rpc/look", "ends", requestParameters(id))
	text[10] = 0
	_, err := c.Write(text)
	r.NoError(err)
	v.expectApply(id, "ends")
	v.sendValue(id, "OK", "e")
	c.expectResponse(2, 200, "e")
	v.sendValue(first, "OK", "s")
	c.expectResponse(1, 200, "s")
	r.Empty(r.readToEnd(c.link))
}

// A request behind one that wants its connection closed, in the same segment, crosses the close: it is not run.
func TestRequestBehindTheLastOneIsNotRun(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	last := emulator.FastCGIRequest(1, "/health", "", nil)
	last[10] = 0
	_, err := c.Write(append(last, emulator.FastCGIRequest(2, "/rpc/look", "crosses",
		requestParameters(r.newRequestID()))...))
	r.NoError(err)
	c.expectResponse(1, 200, "")
	r.Empty(r.readToEnd(c.link))
	v.serveOne(r.connectRouter(), 1, "the first to run")
}

// A request before a malformed record in the same segment is answered, and the connection ends without a reset.
func TestResponseBeforeBadRecordIsSent(t *testing.T) {
	r, _ := startServer(t)
	c := r.connectRouter()
	_, err := c.Write(append(emulator.FastCGIRequest(1, "/health", "", nil), "GET / HTTP/1.1\r\n\r\n"...))
	r.NoError(err)
	c.expectResponse(1, 200, "")
	r.Empty(r.readToEnd(c.link))
}

// The system grants fewer file descriptors than the configuration: a flood of connections is rejected, and nothing
// ends.
func TestFewerFileDescriptorsThanConfigured(t *testing.T) {
	r := newTestServer(t)
	r.config = strings.Replace(r.config, `"sockets":64`, `"sockets":512`, 1)
	r.wrapper = []string{"/bin/sh", "-c", `ulimit -n 90 && exec "$0" "$@"`}
	r.writeFilesAndStart()
	v := r.acceptInterpreter(0)
	for range 300 {
		if c, err := net.Dial("tcp", r.listen); err == nil {
			t.Cleanup(func() { closeQuietly(c) })
		}
	}
	c := r.connectRouter()
	v.serveOne(c, 1, "goes on")
	r.NotContains(logText(r), "engine_error")
}

// Clients that ask once or never and stay use up the descriptors while the directory is down: the program's own dials,
// health checks and routers with requests still get theirs, and load reports resume when the directory is back.
func TestMeasuredIdleConnections(t *testing.T) {
	r, v := startServerWith(t, `"sockets":64`, `"sockets":128`)
	d := r.nextLink(r.directory)
	r.NoError(r.directory.Listener.Close())
	closeQuietly(d)
	idle := 0
	served := 0
	crowd := func(n int) {
		for i := range n {
			c, err := emulator.Dial(r.listen)
			if err != nil {
				continue
			}
			t.Cleanup(func() { closeQuietly(c) })
			idle++
			switch i % 4 {
			case 0: // sends nothing
			case 1:
				_, _ = c.Write(emulator.FastCGIRequest(1, "/health", "", nil))
			case 2:
				_, _ = c.Write(emulator.FastCGIRequest(1, "/health", "", nil)[:30])
			case 3:
				_, _ = c.Write(emulator.FastCGIRequest(1, "/health", "", nil))
				r.NoError(c.Conn.(*net.TCPConn).SetLinger(0))
				closeQuietly(c) // by a reset, at once
			}
		}
	}
	work := func(n int) {
		for i := range n {
			c := r.connectRouter()
			c.send(1, "/health", "", nil)
			c.expectResponse(1, 200, "")
			id := c.sendLook(2, "w")
			v.expectApply(id, "w")
			if i == 0 {
				v.sendAwait(id, "call")
				x := r.indexCall(id)
				r.writeLine(x, "%s HIT 2\r\nok\r", id)
				r.Equal("RESOLVE "+id, func() string { o := v.nextCommand(); return o.Type + " " + o.Job }())
				closeQuietly(x)
			}
			v.sendValue(id, "OK", "done")
			c.expectResponse(2, 200, "done")
			served++
			closeQuietly(c)
		}
	}
	crowd(200)
	work(5)
	closeQuietly(v) // the program dials the interpreter again
	n := v.lastNotice
	v = &interpreterLink{server: r, link: r.nextLink(r.interpreter), lastNotice: n}
	r.JSONEq(fmt.Sprintf(`{"type":"CONNECT","n":%d}`, n), r.readLine(v.link))
	crowd(100)
	r.writeLine(v.link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	work(5)
	crowd(100)
	r.NoError(r.directory.Reopen())
	from := time.Now()
	d = r.nextLink(r.directory)
	r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.readLine(d))
	back := time.Since(from)
	work(5)
	fmt.Printf("measured idle connections=%d lost=%d served=%d reregistered_ms=%d source=stand-ins\n", idle,
		15-served, served, back.Milliseconds())
	r.Equal(15, served)
	r.Less(back, 3*time.Second) // the lapse of a registration; the measured time is printed above
	r.NotContains(logText(r), "engine_error")
}
