package server

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/deployment"
	"thistlequay/internal/logs"
	"thistlequay/timeunit"
)

// firstID is the ID of the request that newRunningServer starts.
const firstID = "00000000000000aa"

// testSettings define one keyed category with a deduplication window of 5 s and a deadline of 8 s.
const testSettings = `{"Categories":[{"Effect":"by_key","HardLimit":8000,"Name":"a","OnTime":4000,
"Window":5000,"Worth":1}],"FamilyInfo":{"CallShare":9,"CallsOver":5000,"Cores":2,"Downstream":"common","MemoryKb":80000,
"Meters":["core_use","on_cores"],"RunFactor":8,"Halt":"drop"},"Servers":1,"Rules":{"TipMultiple":8}}`

// discardConn is a connection that discards all writes.
type discardConn struct{ gnet.Conn }

func (discardConn) Write(b []byte) (int, error) { return len(b), nil }
func (discardConn) OutboundBuffered() int       { return 0 }
func (discardConn) Context() any                { return nil }
func (discardConn) SetContext(any)              {}
func (discardConn) Fd() int                     { return -1 }

// idleLoop is an event loop that runs no tasks. The test ends each batch itself.
type idleLoop struct{ gnet.EventLoop }

func (idleLoop) Execute(context.Context, gnet.Runnable) error { return nil }
func (idleLoop) Close(gnet.Conn) error                        { return nil }

// newRunningServer returns a server without an engine, on which one request is running, and the connection of that
// request's router. The server's output stays in its buffers.
func newRunningServer(t *testing.T) (*Server, *routerConnection) {
	t.Helper()
	server := newIdleServer(t, testSettings)
	router := connectRouter(server)
	router.conn = nil
	feed(t, router, wholeRequest)
	server.admission.Dispatch()
	run := `{"type":"APPLY","job":"` + firstID + `","kind":"a","data":"eA=="}`
	require.Contains(t, string(server.interpreter.output), run)
	return server, router
}

// newIdleServer returns a server without an engine whose interpreter is up. The settings are those of the platform.
func newIdleServer(t *testing.T, settings string) *Server {
	t.Helper()
	parsed, err := deployment.Read([]byte(settings))
	require.NoError(t, err)
	config := Config{Name: "n", MaxSockets: 64, MemoryBytes: 64 << 20, Settings: parsed}
	server := New(config, logs.New(io.Discard, logs.FormatText))
	server.loop = idleLoop{}
	server.now = 10_000_000
	notify(t, server, `{"type":"BANNER","state":"WARM","took":1}`)
	return server
}

// newServerWithRun is like newRunningServer, but the router is connected and the output to the interpreter so far is
// discarded.
func newServerWithRun(t *testing.T) (*Server, *routerConnection) {
	t.Helper()
	server, router := newRunningServer(t)
	router.conn = discardConn{}
	takeOutput(&server.interpreter.outputBuffer)
	return server, router
}

// newServerWithCall is like newRunningServer, but the run waits for a downstream call, which is in flight on the
// returned connection.
func newServerWithCall(t *testing.T) (*Server, *routerConnection, *pooledConnection) {
	t.Helper()
	server, router := newRunningServer(t)
	server.requests.byID[firstID].handle.NeedsCall()
	server.admission.Dispatch()
	return server, router, openCallConnection(server)
}

// openCallConnection completes the dial of the connection for the first request's downstream call.
func openCallConnection(server *Server) *pooledConnection {
	connection := server.requests.byID[firstID].call.connection
	connection.opened(discardConn{})
	return connection
}

// connectRouter adds a router connection that discards all writes.
func connectRouter(server *Server) *routerConnection {
	router := server.routers.accept().(*routerConnection)
	router.opened(discardConn{})
	return router
}

// notify passes a notice to the server as one line from the interpreter.
func notify(t *testing.T, server *Server, format string, args ...any) {
	t.Helper()
	require.NoError(t, server.interpreter.receive([]byte(fmt.Sprintf(format, args...)+"\n")))
}

// feed passes records to the server as input from the router.
func feed(t *testing.T, router *routerConnection, records string) {
	t.Helper()
	require.NoError(t, router.parser.Feed([]byte(records), router))
}

// takeOutput returns the pending output of a connection and clears it, as if it had been written.
func takeOutput(buffer *outputBuffer) string {
	output := string(buffer.output)
	buffer.output = nil
	if buffer.onWritten != nil {
		buffer.onWritten()
	}
	return output
}

// requestParams holds the parameters of the request that newRunningServer starts.
var requestParams = [][2]string{
	{"SCRIPT_NAME", "/rpc/a"}, {"HTTP_REQUEST_ID", firstID}, {"HTTP_RECEIVED_AT", "1000000"},
	{"HTTP_BUDGET_MS", "7000"}, {"HTTP_SENT_BY", "1"}, {"HTTP_FOOTPRINT_KB", "20"}, {"HTTP_ONCE_KEY", "k"},
	{"REQUEST_METHOD", "POST"}, {"HTTP_PRIORITY_RANK", "0.5"},
}

// wholeRequest is the same request, encoded in the records that a router sends.
var wholeRequest = requestRecords(1, requestParams, "x")

// requestRecords encodes a request in the records that a router sends; keepConnection is 1 or 0.
func requestRecords(keepConnection byte, params [][2]string, body string) string {
	record := func(kind byte, content string) string {
		return string([]byte{1, kind, 0, 1, byte(len(content) >> 8), byte(len(content)), 0, 0}) + content
	}
	pairs := ""
	for _, param := range params {
		pairs += string([]byte{byte(len(param[0])), byte(len(param[1]))}) + param[0] + param[1]
	}
	stdin := ""
	if body != "" {
		stdin = record(5, body)
	}
	begin := record(1, "\x00\x01"+string([]byte{keepConnection})+"\x00\x00\x00\x00\x00")
	return begin + record(4, pairs) + record(4, "") + stdin + record(5, "")
}

// feedInPieces passes data to receive in pieces of at most size bytes, and returns the first error.
func feedInPieces(data string, size int, receive func([]byte) error) error {
	for piece := range slices.Chunk([]byte(data), size) {
		if err := receive(piece); err != nil {
			return err
		}
	}
	return nil
}

// submitAttempt sends another attempt of wholeRequest at the time now, with the given ID and Received-At. It returns
// the output of that batch to the router.
func submitAttempt(
	t *testing.T, server *Server, router *routerConnection, id, receivedAt string, now timeunit.Ticks,
) string {
	t.Helper()
	server.now = max(server.now, now)
	server.admission.Advance(server.now)
	router.output = nil
	records := strings.Replace(wholeRequest, firstID, id, 1)
	feed(t, router, strings.Replace(records, "1000000", receivedAt, 1))
	dispatchBatch(server)
	return string(router.output)
}

// dispatchBatch performs the steps of the end of a batch that make decisions. It writes no output.
func dispatchBatch(server *Server) {
	server.requests.processDeferredWork()
	server.admission.Dispatch()
}

// passTime advances the time, fires the timers that are due and ends the batch.
func passTime(server *Server, span timeunit.Ticks) {
	advanceTime(server, span)
	dispatchBatch(server)
}

// advanceTime advances the time and fires the timers that are due.
func advanceTime(server *Server, span timeunit.Ticks) {
	server.now += span
	server.admission.Advance(server.now)
	server.resumeAfterPause()
}
