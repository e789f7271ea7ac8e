package server_test

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// docs/races.md lists the pairs of events that can occur in either order, and the test that forces each order.

// A connection with an open request is not closed by the idle timeout until the request has been answered; an idle
// connection is closed after the timeout.
func TestIdleTimeoutSparesOpenRequests(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"KeepaliveMax":30000.0`, `"KeepaliveMax":100.0`)
	busy := server.ConnectRouter()
	idle := server.ConnectRouter()
	id := interpreter.StartLook(busy, 1, "busy")
	idle.RequireClosed()
	interpreter.CompleteRun(busy, 1, id, "b")
	busy.RequireClosed()
}

// Idle connections do not keep new ones out: when the table is full, the oldest idle connection is evicted for a new
// one. All idle connections are closed in the end, and no file descriptor is leaked.
func TestFullConnectionTableEvictsOldestIdle(t *testing.T) {
	server, interpreter := servertest.Start(t)
	descriptors := func() int {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", server.Process.Process.Pid))
		server.NoError(err)
		return len(entries)
	}
	first := server.ConnectRouter()
	first.ExpectHealth(1, 200)
	initial := descriptors()
	var idle []*servertest.RouterLink
	for range 50 {
		idle = append(idle, server.ConnectRouter())
	}
	interpreter.ServeOne(server.ConnectRouter(), 1, "a newcomer")
	server.LessOrEqual(descriptors(), 64)
	interpreter.ServeOne(first, 1, "goes on")
	for _, router := range idle {
		router.RequireClosed()
	}
	server.Eventually(func() bool { return descriptors() <= initial+1 }, servertest.EventTimeout, 5*time.Millisecond)
}

// The connection of a router that sends FastCGI management queries and never reads the responses is closed before its
// writes block for EventTimeout. Another router is still served.
func TestRouterThatDoesNotReadIsClosed(t *testing.T) {
	server, _ := servertest.Start(t)
	router := server.ConnectRouter()
	query := emulator.FastCGIRecord(9, 0,
		"\x0f\x00FCGI_MPXS_CONNS\x0f\x00FCGI_MPXS_CONNS\x0f\x00FCGI_MPXS_CONNS")
	queries := bytes.Repeat(query, 200)
	var err error
	for err == nil {
		_, err = router.Write(queries)
	}
	server.NotErrorIs(err, os.ErrDeadlineExceeded)
	other := server.ConnectRouter()
	other.ExpectHealth(1, 200)
}

// A connection is evicted for a new one while a request on it has not been read yet. The request is not run, and the
// router sees an orderly close instead of a reset.
func TestCloseOverUnreadBytesDoesNotReset(t *testing.T) {
	server, interpreter := servertest.Start(t)
	var maxConnections int
	_, text, _ := strings.Cut(server.LogText(), "connections=")
	_, err := fmt.Sscan(text, &maxConnections)
	server.NoError(err)
	var oldest *servertest.RouterLink
	for range maxConnections {
		router := server.ConnectRouter()
		interpreter.ServeOne(router, 1, "rests from now on")
		if oldest == nil {
			oldest = router
		}
	}
	server.Signal(syscall.SIGSTOP)
	server.ConnectRouter() // arrives before the request on the connection to evict
	id := oldest.SendLook(2, "crosses")
	server.Signal(syscall.SIGCONT)
	server.Empty(server.ReadToEnd(oldest.Link))
	other := server.ConnectRouter()
	other.ExpectHealth(1, 200)
	next := other.SendLook(2, "goes on")
	command := interpreter.NextCommand()
	server.Equal(next, command.Job, "%s was run after its connection ended", id)
}

// Responses that the router has not read yet are written before the connection is closed.
func TestCloseWaitsForBufferedResponses(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	other := server.ConnectRouter()
	result := strings.Repeat("r", 4000)
	serve := func(request func(uint16, string, string, map[string]string) []byte) {
		id := server.NewRequestID()
		router.WriteBytes(request(1, "/rpc/look", "b", servertest.RequestParameters(id)))
		interpreter.ExpectApply(id, "b")
		interpreter.SendValue(id, "OK", result)
		other.ExpectHealth(1, 200) // once this is answered, the program has written the response above
	}
	const (
		responsesPerLook = 8
		looksWhenFull    = 3
	)
	served := 0
	unread := 0
	// Once the system takes less than half of what is served between two looks, the socket buffers are full and the
	// program buffers the rest. It closes the connection if that goes on for too long (maxUnreadPerRouter).
	for looks := 0; looks < looksWhenFull; {
		for range responsesPerLook {
			serve(emulator.FastCGIRequest)
			served++
		}
		currentUnread := server.UnreadBytes(router.Link)
		taken := currentUnread - unread
		unread = currentUnread
		if taken < responsesPerLook*len(result)/2 {
			looks++
		} else {
			looks = 0
		}
	}
	serve(servertest.LastRequest)
	for range served + 1 {
		_, status, _, body := router.NextResponse()
		server.Equal(200, status)
		server.Equal(result, body)
	}
	server.Empty(server.ReadToEnd(router.Link))
}

// After a request without the FastCGI keep-connection flag, the other requests open on the connection are still
// answered before it is closed.
func TestCloseWaitsForOtherOpenRequests(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	first := interpreter.StartLook(router, 1, "stays")
	id := server.NewRequestID()
	router.WriteBytes(servertest.LastRequest(2, "/rpc/look", "ends", servertest.RequestParameters(id)))
	interpreter.ExpectApply(id, "ends")
	interpreter.CompleteRun(router, 2, id, "e")
	interpreter.CompleteRun(router, 1, first, "s")
	server.Empty(server.ReadToEnd(router.Link))
}

// A request that follows one without the keep-connection flag in the same segment is not run.
func TestRequestBehindTheLastOneIsNotRun(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	last := servertest.LastRequest(1, "/health", "", nil)
	parameters := servertest.RequestParameters(server.NewRequestID())
	following := emulator.FastCGIRequest(2, "/rpc/look", "crosses", parameters)
	router.WriteBytes(append(last, following...))
	router.ExpectResponse(1, 200, "")
	server.Empty(server.ReadToEnd(router.Link))
	interpreter.ServeOne(server.ConnectRouter(), 1, "the first to run")
}

// A request that precedes a malformed record in the same segment is answered, and the connection is closed without a
// reset.
func TestResponseBeforeBadRecordIsSent(t *testing.T) {
	server, _ := servertest.Start(t)
	router := server.ConnectRouter()
	router.WriteBytes(append(emulator.FastCGIRequest(1, "/health", "", nil), "GET / HTTP/1.1\r\n\r\n"...))
	router.ExpectResponse(1, 200, "")
	server.Empty(server.ReadToEnd(router.Link))
}

// If the process may open fewer file descriptors than configured, the connections beyond its limit are rejected, and
// the program continues to serve.
func TestFewerFileDescriptorsThanConfigured(t *testing.T) {
	server := servertest.New(t)
	server.ReplaceConfig(`"sockets":64`, `"sockets":512`)
	server.Wrapper = []string{"/bin/sh", "-c", `ulimit -n 90 && exec "$0" "$@"`}
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	for range 300 {
		connection, err := net.Dial("tcp", server.Listen)
		if err == nil {
			t.Cleanup(func() { servertest.CloseQuietly(connection) })
		}
	}
	router := server.ConnectRouter()
	interpreter.ServeOne(router, 1, "goes on")
	server.NotContains(server.LogText(), "engine_error")
}

// openIdleConnections tries to open count connections. In turn they send nothing, a complete health check, or a part of
// one and stay open, or send a complete health check and are reset at once. It returns the number of connections that
// could be opened.
func openIdleConnections(server *servertest.Server, count int) int {
	server.T.Helper()
	opened := 0
	healthCheck := emulator.FastCGIRequest(1, "/health", "", nil)
	for i := range count {
		link, err := emulator.Dial(server.Listen)
		if err != nil {
			continue
		}
		server.T.Cleanup(func() { servertest.CloseQuietly(link) })
		opened++
		switch i % 4 { // failed writes are ignored, because the program may already have closed the connection
		case 0: // sends nothing
		case 1:
			_, _ = link.Write(healthCheck)
		case 2:
			_, _ = link.Write(healthCheck[:30])
		case 3:
			_, _ = link.Write(healthCheck)
			server.NoError(link.Conn.(*net.TCPConn).SetLinger(0))
			servertest.CloseQuietly(link) // resets the connection because of SetLinger(0)
		}
	}
	return opened
}

// serveOnNewConnections serves a health check and a request on each of count new connections, the first request with a
// downstream call on a new connection to the index. It returns how many requests were served.
func serveOnNewConnections(interpreter *servertest.InterpreterLink, count int) int {
	server := interpreter.Server
	server.T.Helper()
	served := 0
	for i := range count {
		router := server.ConnectRouter()
		router.ExpectHealth(1, 200)
		id := interpreter.StartLook(router, 2, "w")
		if i == 0 {
			interpreter.SendAwait(id, "call")
			index := server.IndexCall(id)
			server.WriteLine(index, "%s HIT 2\r\nok\r", id)
			interpreter.ExpectCommand("RESOLVE", id)
			servertest.CloseQuietly(index)
		}
		interpreter.CompleteRun(router, 2, id, "done")
		served++
		servertest.CloseQuietly(router)
	}
	return served
}

// While the directory is down, clients that send at most one request and keep their connections open use up the file
// descriptors. The program's own dials, health checks and routers with requests must still get descriptors, and the
// program must register again soon after the directory is back.
func TestMeasuredIdleConnections(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"sockets":64`, `"sockets":128`)
	directory := server.NextLink(server.Directory)
	server.NoError(server.Directory.Listener.Close())
	servertest.CloseQuietly(directory)
	idle := openIdleConnections(server, 200)
	served := serveOnNewConnections(interpreter, 5)

	servertest.CloseQuietly(interpreter) // the program then dials the interpreter again
	lastNotice := interpreter.LastNotice
	interpreter = server.NextInterpreterLink(lastNotice)
	server.JSONEq(fmt.Sprintf(`{"type":"CONNECT","n":%d}`, lastNotice), server.ReadLine(interpreter.Link))
	idle += openIdleConnections(server, 100)
	server.WriteLine(interpreter.Link, servertest.BannerWarm)
	served += serveOnNewConnections(interpreter, 5)

	idle += openIdleConnections(server, 100)
	server.NoError(server.Directory.Reopen())
	reopened := time.Now()
	directory = server.NextLink(server.Directory)
	server.Equal("PUT /dir/nodes/n3 HTTP/1.1", server.ReadLine(directory))
	reregistered := time.Since(reopened)
	served += serveOnNewConnections(interpreter, 5)
	fmt.Printf("measured idle connections=%d lost=%d served=%d reregistered_ms=%d source=emulators\n",
		idle, 15-served, served, reregistered.Milliseconds())
	server.Equal(15, served)
	server.Less(reregistered, 3*time.Second) // a registration expires after 3 s; the measured time is printed above
	server.NotContains(server.LogText(), "engine_error")
}

// Guards against an exit of the process for want of descriptors, which silent connections to the addresses of the
// section peers took, while the router table is full too.
func TestSilentConnectionsToPeersLeaveDescriptors(t *testing.T) {
	t.Parallel()
	server := servertest.New(t)
	gossip, err := emulator.FreeAddress()
	server.NoError(err)
	status, err := emulator.FreeAddress()
	server.NoError(err)
	keyFile := filepath.Join(t.TempDir(), "peers.keys")
	key := base64.StdEncoding.EncodeToString([]byte("sixteen bytes..."))
	server.NoError(os.WriteFile(keyFile, []byte(key+"\n"), 0o600))
	server.Service = fmt.Sprintf("peers:\n  listen: %s\n  first: [%s]\n  founders: [n3]\n  fleet: f\n  servers: 1\n"+
		"  key_file: %s\n  status: %s\n", gossip, gossip, keyFile, status)
	server.ReplaceConfig(`"sockets":64`, `"sockets":128`)
	server.Wrapper = []string{"/bin/sh", "-c", `ulimit -n 128 && exec "$0" "$@"`}
	server.WriteFilesAndStart()
	interpreter := server.AcceptInterpreter(0)
	for _, address := range []string{gossip, status, server.Listen} {
		for range 300 {
			connection, err := net.DialTimeout("tcp", address, time.Second)
			if err == nil {
				t.Cleanup(func() { servertest.CloseQuietly(connection) })
			}
		}
	}
	for range 3 {
		interpreter.ServeOne(server.ConnectRouter(), 1, "goes on")
	}
	server.NotContains(server.LogText(), "engine_error")
}
