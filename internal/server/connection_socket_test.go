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
	server, interpreter := servertest.StartWith(t, `"KeepaliveMax":30000.0`, `"KeepaliveMax":100.0`)
	busy := server.ConnectRouter()
	idle := server.ConnectRouter()
	id := busy.SendLook(1, "busy")
	interpreter.ExpectApply(id, "busy")
	idle.RequireClosed()
	interpreter.SendValue(id, "OK", "b")
	busy.ExpectResponse(1, 200, "b")
	busy.RequireClosed()
}

// Silent connections do not fill the table: the oldest is evicted for a newcomer, none outlives its timeout, and no
// descriptor is lost.
func TestFullConnectionTableEvictsOldestIdle(t *testing.T) {
	server, interpreter := servertest.Start(t)
	descriptors := func() int {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", server.Process.Process.Pid))
		server.NoError(err)
		return len(entries)
	}
	first := server.ConnectRouter()
	first.Send(1, "/health", "", nil)
	first.ExpectResponse(1, 200, "")
	before := descriptors()
	var silent []*servertest.RouterLink
	for range 50 {
		silent = append(silent, server.ConnectRouter())
	}
	interpreter.ServeOne(server.ConnectRouter(), 1, "a newcomer")
	server.LessOrEqual(descriptors(), 64)
	interpreter.ServeOne(first, 1, "goes on")
	for _, router := range silent {
		router.RequireClosed()
	}
	server.Eventually(func() bool { return descriptors() <= before+1 }, servertest.EventTimeout, 5*time.Millisecond)
}

func TestRouterThatDoesNotReadIsClosed(t *testing.T) {
	server, _ := servertest.Start(t)
	router := server.ConnectRouter()
	check := []byte{}
	for range 200 {
		check = append(check, emulator.FastCGIRecord(9, 0,
			"\x0f\x00FCGI_MPXS_CONNS\x0f\x00FCGI_MPXS_CONNS\x0f\x00FCGI_MPXS_CONNS")...)
	}
	for {
		if _, err := router.Write(check); err != nil {
			server.NotErrorIs(err, os.ErrDeadlineExceeded)
			break
		}
	}
	other := server.ConnectRouter()
	other.Send(1, "/health", "", nil)
	other.ExpectResponse(1, 200, "")
}

// A connection is evicted for a newcomer at the moment at which a request lies on it unread: the request is not run,
// and its sender sees a close, not a reset.
func TestCloseOverUnreadBytesDoesNotReset(t *testing.T) {
	server, interpreter := servertest.Start(t)
	var table int
	_, text, _ := strings.Cut(server.LogText(), "connections=")
	_, err := fmt.Sscan(text, &table)
	server.NoError(err)
	var oldest *servertest.RouterLink
	for range table {
		router := server.ConnectRouter()
		interpreter.ServeOne(router, 1, "rests from now on")
		if oldest == nil {
			oldest = router
		}
	}
	server.NoError(server.Process.Process.Signal(syscall.SIGSTOP))
	server.ConnectRouter() // the newcomer arrives first, then the request on the connection to evict
	id := oldest.SendLook(2, "crosses")
	server.NoError(server.Process.Process.Signal(syscall.SIGCONT))
	server.Empty(server.ReadToEnd(oldest.Link))
	other := server.ConnectRouter()
	other.Send(1, "/health", "", nil)
	other.ExpectResponse(1, 200, "")
	next := other.SendLook(2, "goes on")
	o := interpreter.NextCommand()
	server.Equal(next, o.Job, "%s was run after its connection ended", id)
}

// A response that its reader has not taken yet is written before the connection is closed.
func TestCloseWaitsForBufferedResponses(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	other := server.ConnectRouter()
	result := strings.Repeat("r", 4000)
	send := func(keep byte) {
		id := server.NewRequestID()
		text := emulator.FastCGIRequest(1, "/rpc/look", "b", servertest.RequestParameters(id))
		text[10] = keep // the keep-connection flag of the first record
		_, err := router.Write(text)
		server.NoError(err)
		interpreter.ExpectApply(id, "b")
		interpreter.SendValue(id, "OK", result)
		other.Send(1, "/health", "", nil)
		other.ExpectResponse(1, 200, "") // by then the answer has been written
	}
	n := 0
	for before, full := -1, 0; full < 3; n++ { // until the socket buffers are full and the program buffers the rest
		send(1)
		if n%8 != 0 {
			continue
		}
		if lies := server.UnreadBytes(router.Link); lies > before {
			before = lies
			full = 0
		} else {
			full++
		}
	}
	send(0)
	for range n + 1 {
		_, status, _, body := router.NextResponse()
		server.Equal(200, status)
		server.Equal(result, body)
	}
	server.Empty(server.ReadToEnd(router.Link))
}

// A request that wants its connection closed does not discard the responses of the others open on it.
func TestCloseWaitsForOtherOpenRequests(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	first := router.SendLook(1, "stays")
	interpreter.ExpectApply(first, "stays")
	id := server.NewRequestID()
	text := emulator.FastCGIRequest(2, "/rpc/look", "ends", servertest.RequestParameters(id))
	text[10] = 0
	_, err := router.Write(text)
	server.NoError(err)
	interpreter.ExpectApply(id, "ends")
	interpreter.SendValue(id, "OK", "e")
	router.ExpectResponse(2, 200, "e")
	interpreter.SendValue(first, "OK", "s")
	router.ExpectResponse(1, 200, "s")
	server.Empty(server.ReadToEnd(router.Link))
}

// A request behind one that wants its connection closed, in the same segment, crosses the close: it is not run.
func TestRequestBehindTheLastOneIsNotRun(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	last := emulator.FastCGIRequest(1, "/health", "", nil)
	last[10] = 0
	_, err := router.Write(append(last, emulator.FastCGIRequest(2, "/rpc/look", "crosses",
		servertest.RequestParameters(server.NewRequestID()))...))
	server.NoError(err)
	router.ExpectResponse(1, 200, "")
	server.Empty(server.ReadToEnd(router.Link))
	interpreter.ServeOne(server.ConnectRouter(), 1, "the first to run")
}

// A request before a malformed record in the same segment is answered, and the connection ends without a reset.
func TestResponseBeforeBadRecordIsSent(t *testing.T) {
	server, _ := servertest.Start(t)
	router := server.ConnectRouter()
	_, err := router.Write(append(emulator.FastCGIRequest(1, "/health", "", nil), "GET / HTTP/1.1\r\n\r\n"...))
	server.NoError(err)
	router.ExpectResponse(1, 200, "")
	server.Empty(server.ReadToEnd(router.Link))
}

// The system grants fewer file descriptors than the configuration: a flood of connections is rejected, and nothing
// ends.
func TestFewerFileDescriptorsThanConfigured(t *testing.T) {
	server := servertest.New(t)
	server.Config = strings.Replace(server.Config, `"sockets":64`, `"sockets":512`, 1)
	server.Wrapper = []string{"/bin/sh", "-c", `ulimit -n 90 && exec "$0" "$@"`}
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	for range 300 {
		if c, err := net.Dial("tcp", server.Listen); err == nil {
			t.Cleanup(func() { servertest.CloseQuietly(c) })
		}
	}
	router := server.ConnectRouter()
	interpreter.ServeOne(router, 1, "goes on")
	server.NotContains(server.LogText(), "engine_error")
}

// Clients that ask once or never and stay use up the descriptors while the directory is down: the program's own dials,
// health checks and routers with requests still get theirs, and load reports resume when the directory is back.
func TestMeasuredIdleConnections(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"sockets":64`, `"sockets":128`)
	d := server.NextLink(server.Directory)
	server.NoError(server.Directory.Listener.Close())
	servertest.CloseQuietly(d)
	idle := 0
	served := 0
	crowd := func(n int) {
		for i := range n {
			c, err := emulator.Dial(server.Listen)
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
				server.NoError(c.Conn.(*net.TCPConn).SetLinger(0))
				servertest.CloseQuietly(c) // by a reset, at once
			}
		}
	}
	work := func(n int) {
		for i := range n {
			router := server.ConnectRouter()
			router.Send(1, "/health", "", nil)
			router.ExpectResponse(1, 200, "")
			id := router.SendLook(2, "w")
			interpreter.ExpectApply(id, "w")
			if i == 0 {
				interpreter.SendAwait(id, "call")
				index := server.IndexCall(id)
				server.WriteLine(index, "%s HIT 2\r\nok\r", id)
				server.Equal("RESOLVE "+id, func() string {
					o := interpreter.NextCommand()
					return o.Type + " " +
						o.Job
				}())
				servertest.CloseQuietly(index)
			}
			interpreter.SendValue(id, "OK", "done")
			router.ExpectResponse(2, 200, "done")
			served++
			servertest.CloseQuietly(router)
		}
	}
	crowd(200)
	work(5)
	servertest.CloseQuietly(interpreter) // the program dials the interpreter again
	n := interpreter.LastNotice
	interpreter = server.NextInterpreterLink(n)
	server.JSONEq(fmt.Sprintf(`{"type":"CONNECT","n":%d}`, n), server.ReadLine(interpreter.Link))
	crowd(100)
	server.WriteLine(interpreter.Link, `{"type":"BANNER","state":"WARM","took":3600000}`)
	work(5)
	crowd(100)
	server.NoError(server.Directory.Reopen())
	from := time.Now()
	d = server.NextLink(server.Directory)
	server.Equal("PUT /dir/nodes/n3 HTTP/1.1", server.ReadLine(d))
	back := time.Since(from)
	work(5)
	fmt.Printf("measured idle connections=%d lost=%d served=%d reregistered_ms=%d source=stand-ins\n", idle,
		15-served, served, back.Milliseconds())
	server.Equal(15, served)
	server.Less(back, 3*time.Second) // the lapse of a registration; the measured time is printed above
	server.NotContains(server.LogText(), "engine_error")
}
