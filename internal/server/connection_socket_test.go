package server_test

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// docs/races.md lists the pairs of events that can cross, with the test that forces each order of them.

func TestIdleTimeoutSparesOpenRequests(t *testing.T) {
	r, v := servertest.StartWith(t, `"KeepaliveMax":30000.0`, `"KeepaliveMax":100.0`)
	busy := r.ConnectRouter()
	idle := r.ConnectRouter()
	id := busy.SendLook(1, "busy")
	v.ExpectApply(id, "busy")
	idle.RequireClosed()
	v.SendValue(id, "OK", "b")
	busy.ExpectResponse(1, 200, "b")
	busy.RequireClosed()
}

// Silent connections do not fill the table: the oldest is evicted for a newcomer, none outlives its timeout, and no
// descriptor is lost.
func TestFullConnectionTableEvictsOldestIdle(t *testing.T) {
	r, v := servertest.Start(t)
	descriptors := func() int {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.Process.Process.Pid))
		r.NoError(err)
		return len(entries)
	}
	first := r.ConnectRouter()
	first.Send(1, "/health", "", nil)
	first.ExpectResponse(1, 200, "")
	before := descriptors()
	var silent []*servertest.RouterLink
	for range 50 {
		silent = append(silent, r.ConnectRouter())
	}
	v.ServeOne(r.ConnectRouter(), 1, "a newcomer")
	r.LessOrEqual(descriptors(), 64)
	v.ServeOne(first, 1, "goes on")
	for _, c := range silent {
		c.RequireClosed()
	}
	r.Eventually(func() bool { return descriptors() <= before+1 }, servertest.EventTimeout, 5*time.Millisecond)
}

func TestRouterThatDoesNotReadIsClosed(t *testing.T) {
	r, _ := servertest.Start(t)
	c := r.ConnectRouter()
	check := []byte{}
	for range 200 {
		check = append(check, emulator.FastCGIRecord(9, 0,
			"\x0f\x00FCGI_MPXS_CONNS\x0f\x00FCGI_MPXS_CONNS\x0f\x00FCGI_MPXS_CONNS")...)
	}
	for {
		if _, err := c.Write(check); err != nil {
			r.NotErrorIs(err, os.ErrDeadlineExceeded)
			break
		}
	}
	other := r.ConnectRouter()
	other.Send(1, "/health", "", nil)
	other.ExpectResponse(1, 200, "")
}

// A connection is evicted for a newcomer at the moment at which a request lies on it unread: the request is not run,
// and its sender sees a close, not a reset.
func TestCloseOverUnreadBytesDoesNotReset(t *testing.T) {
	r, v := servertest.Start(t)
	var table int
	_, text, _ := strings.Cut(r.LogText(), "connections=")
	_, err := fmt.Sscan(text, &table)
	r.NoError(err)
	var oldest *servertest.RouterLink
	for range table {
		c := r.ConnectRouter()
		v.ServeOne(c, 1, "rests from now on")
		if oldest == nil {
			oldest = c
		}
	}
	r.NoError(r.Process.Process.Signal(syscall.SIGSTOP))
	r.ConnectRouter() // the newcomer arrives first, then the request on the connection to evict
	id := oldest.SendLook(2, "crosses")
	r.NoError(r.Process.Process.Signal(syscall.SIGCONT))
	r.Empty(r.ReadToEnd(oldest.Link))
	other := r.ConnectRouter()
	other.Send(1, "/health", "", nil)
	other.ExpectResponse(1, 200, "")
	next := other.SendLook(2, "goes on")
	o := v.NextCommand()
	r.Equal(next, o.Job, "%s was run after its connection ended", id)
}

// A response that its reader has not taken yet is written before the connection is closed.
func TestCloseWaitsForBufferedResponses(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	other := r.ConnectRouter()
	result := strings.Repeat("r", 4000)
	send := func(keep byte) {
		id := r.NewRequestID()
		text := emulator.FastCGIRequest(1, "/rpc/look", "b", servertest.RequestParameters(id))
		text[10] = keep // the keep-connection flag of the first record
		_, err := c.Write(text)
		r.NoError(err)
		v.ExpectApply(id, "b")
		v.SendValue(id, "OK", result)
		other.Send(1, "/health", "", nil)
		other.ExpectResponse(1, 200, "") // by then the answer has been written
	}
	n := 0
	for before, full := -1, 0; full < 3; n++ { // until the socket buffers are full and the program buffers the rest
		send(1)
		if n%8 != 0 {
			continue
		}
		if lies := r.UnreadBytes(c.Link); lies > before {
			before = lies
			full = 0
		} else {
			full++
		}
	}
	send(0)
	for range n + 1 {
		_, status, _, body := c.NextResponse()
		r.Equal(200, status)
		r.Equal(result, body)
	}
	r.Empty(r.ReadToEnd(c.Link))
}

// A request that wants its connection closed does not discard the responses of the others open on it.
func TestCloseWaitsForOtherOpenRequests(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	first := c.SendLook(1, "stays")
	v.ExpectApply(first, "stays")
	id := r.NewRequestID()
	text := emulator.FastCGIRequest(2, "/rpc/look", "ends", servertest.RequestParameters(id))
	text[10] = 0
	_, err := c.Write(text)
	r.NoError(err)
	v.ExpectApply(id, "ends")
	v.SendValue(id, "OK", "e")
	c.ExpectResponse(2, 200, "e")
	v.SendValue(first, "OK", "s")
	c.ExpectResponse(1, 200, "s")
	r.Empty(r.ReadToEnd(c.Link))
}

// A request behind one that wants its connection closed, in the same segment, crosses the close: it is not run.
func TestRequestBehindTheLastOneIsNotRun(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	last := emulator.FastCGIRequest(1, "/health", "", nil)
	last[10] = 0
	_, err := c.Write(append(last, emulator.FastCGIRequest(2, "/rpc/look", "crosses",
		servertest.RequestParameters(r.NewRequestID()))...))
	r.NoError(err)
	c.ExpectResponse(1, 200, "")
	r.Empty(r.ReadToEnd(c.Link))
	v.ServeOne(r.ConnectRouter(), 1, "the first to run")
}

// A request before a malformed record in the same segment is answered, and the connection ends without a reset.
func TestResponseBeforeBadRecordIsSent(t *testing.T) {
	r, _ := servertest.Start(t)
	c := r.ConnectRouter()
	_, err := c.Write(append(emulator.FastCGIRequest(1, "/health", "", nil), "GET / HTTP/1.1\r\n\r\n"...))
	r.NoError(err)
	c.ExpectResponse(1, 200, "")
	r.Empty(r.ReadToEnd(c.Link))
}

// The system grants fewer file descriptors than the configuration: a flood of connections is rejected, and nothing
// ends.
func TestFewerFileDescriptorsThanConfigured(t *testing.T) {
	r := servertest.New(t)
	r.Config = strings.Replace(r.Config, `"sockets":64`, `"sockets":512`, 1)
	r.Wrapper = []string{"/bin/sh", "-c", `ulimit -n 90 && exec "$0" "$@"`}
	r.WriteFilesAndStart()
	v := r.AcceptInterpreter(0)
	for range 300 {
		if c, err := net.Dial("tcp", r.Listen); err == nil {
			t.Cleanup(func() { servertest.CloseQuietly(c) })
		}
	}
	c := r.ConnectRouter()
	v.ServeOne(c, 1, "goes on")
	r.NotContains(r.LogText(), "engine_error")
}

// Clients that ask once or never and stay use up the descriptors while the directory is down: the program's own dials,
// health checks and routers with requests still get theirs, and load reports resume when the directory is back.
func TestMeasuredIdleConnections(t *testing.T) {
	r, v := servertest.StartWith(t, `"sockets":64`, `"sockets":128`)
	d := r.NextLink(r.Directory)
	r.NoError(r.Directory.Listener.Close())
	servertest.CloseQuietly(d)
	idle := 0
	served := 0
	crowd := func(n int) {
		for i := range n {
			c, err := emulator.Dial(r.Listen)
			if err != nil {
				continue
			}
			t.Cleanup(func() { servertest.CloseQuietly(c) })
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
				servertest.CloseQuietly(c) // by a reset, at once
			}
		}
	}
	work := func(n int) {
		for i := range n {
			c := r.ConnectRouter()
			c.Send(1, "/health", "", nil)
			c.ExpectResponse(1, 200, "")
			id := c.SendLook(2, "w")
			v.ExpectApply(id, "w")
			if i == 0 {
				v.SendAwait(id, "call")
				x := r.IndexCall(id)
				r.WriteLine(x, "%s HIT 2\r\nok\r", id)
				r.Equal("RESOLVE "+id, func() string { o := v.NextCommand(); return o.Type + " " + o.Job }())
				servertest.CloseQuietly(x)
			}
			v.SendValue(id, "OK", "done")
			c.ExpectResponse(2, 200, "done")
			served++
			servertest.CloseQuietly(c)
		}
	}
	crowd(200)
	work(5)
	servertest.CloseQuietly(v) // the program dials the interpreter again
	n := v.LastNotice
	v = r.NextInterpreterLink(n)
	r.JSONEq(fmt.Sprintf(`{"type":"CONNECT","n":%d}`, n), r.ReadLine(v.Link))
	crowd(100)
	r.WriteLine(v.Link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	work(5)
	crowd(100)
	r.NoError(r.Directory.Reopen())
	from := time.Now()
	d = r.NextLink(r.Directory)
	r.Equal("PUT /dir/nodes/n3 HTTP/1.1", r.ReadLine(d))
	back := time.Since(from)
	work(5)
	fmt.Printf("measured idle connections=%d lost=%d served=%d reregistered_ms=%d source=stand-ins\n", idle,
		15-served, served, back.Milliseconds())
	r.Equal(15, served)
	r.Less(back, 3*time.Second) // the lapse of a registration; the measured time is printed above
	r.NotContains(r.LogText(), "engine_error")
}
