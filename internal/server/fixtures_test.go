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

// firstID is the ID of the request that runs from the start of a test.
const firstID = "00000000000000aa"

// testSettings have one category, with an idempotency key, a deduplication window of 5 s and a deadline of 8 s.
const testSettings = `{"Categories":[{"Effect":"by_key","HardLimit":8000,"Name":"a","OnTime":4000,
"Window":5000,"Worth":1}],"FamilyInfo":{"CallShare":9,"CallsOver":5000,"Cores":2,"Downstream":"common","MemoryKb":80000,
"Meters":["core_use","on_cores"],"RunFactor":8,"Halt":"drop"},"Servers":1,"Rules":{"TipMultiple":8}}`

// discardConn is a connection that discards what is written.
type discardConn struct{ gnet.Conn }

func (discardConn) Write(b []byte) (int, error) { return len(b), nil }
func (discardConn) OutboundBuffered() int       { return 0 }
func (discardConn) Context() any                { return nil }
func (discardConn) SetContext(any)              {}
func (discardConn) Fd() int                     { return -1 }

// idleLoop is an event loop that runs nothing: the test ends the batches.
type idleLoop struct{ gnet.EventLoop }

func (idleLoop) Execute(context.Context, gnet.Runnable) error { return nil }
func (idleLoop) Close(gnet.Conn) error                        { return nil }

// newRunningServer makes a server without an engine, with one request that runs. Nothing that it writes is sent.
func newRunningServer(t *testing.T) (*Server, *routerConnection) {
	t.Helper()
	settings, err := deployment.Read([]byte(testSettings))
	require.NoError(t, err)
	config := Config{Name: "n", MaxSockets: 64, MemoryBytes: 64 << 20, Settings: settings}
	server := New(config, logs.New(io.Discard, logs.FormatText))
	server.loop = idleLoop{}
	server.now = 10_000_000
	notify(t, server, `{"type":"BANNER","state":"WARM","took":1}`)
	router := connectRouter(server)
	router.conn = nil
	feed(t, router, wholeRequest)
	server.admission.Dispatch()
	run := `{"type":"APPLY","job":"` + firstID + `","kind":"a","data":"eA=="}`
	require.Contains(t, string(server.interpreter.output), run)
	return server, router
}

// newServerWithRun is newRunningServer with all output written.
func newServerWithRun(t *testing.T) (*Server, *routerConnection) {
	t.Helper()
	server, router := newRunningServer(t)
	router.conn = discardConn{}
	takeOutput(&server.interpreter.outputBuffer)
	return server, router
}

// newServerWithCall is newRunningServer where the run waits for a call in flight on a connection.
func newServerWithCall(t *testing.T) (*Server, *routerConnection, *pooledConnection) {
	t.Helper()
	server, router := newRunningServer(t)
	server.requests.byID[firstID].handle.NeedsCall()
	server.admission.Dispatch()
	return server, router, openCallConnection(server)
}

// openCallConnection opens the connection that the call of the first request waits for.
func openCallConnection(server *Server) *pooledConnection {
	connection := server.requests.byID[firstID].call.connection
	connection.opened(discardConn{})
	return connection
}

// connectRouter makes a router's connection that discards what is written.
func connectRouter(server *Server) *routerConnection {
	router := server.routers.accept().(*routerConnection)
	router.opened(discardConn{})
	return router
}

// notify has the interpreter send a notice, which is one line.
func notify(t *testing.T, server *Server, format string, args ...any) {
	t.Helper()
	require.NoError(t, server.interpreter.receive([]byte(fmt.Sprintf(format, args...)+"\n")))
}

// feed has a router send records.
func feed(t *testing.T, router *routerConnection, records string) {
	t.Helper()
	require.NoError(t, router.parser.Feed([]byte(records), router))
}

// takeOutput returns what is to be written to a connection, and empties it.
func takeOutput(of *outputBuffer) string {
	output := string(of.output)
	of.output = nil
	return output
}

// requestParams are the parameters of the request that runs.
var requestParams = [][2]string{
	{"SCRIPT_NAME", "/rpc/a"}, {"HTTP_REQUEST_ID", firstID}, {"HTTP_RECEIVED_AT", "1000000"},
	{"HTTP_BUDGET_MS", "7000"}, {"HTTP_SENT_BY", "1"}, {"HTTP_FOOTPRINT_KB", "20"}, {"HTTP_ONCE_KEY", "k"},
	{"REQUEST_METHOD", "POST"}, {"HTTP_PRIORITY_RANK", "0.5"},
}

// wholeRequest is that request, in records as a router sends them.
var wholeRequest = requestRecords(1, requestParams, "x")

// requestRecords encodes a request as a router does; keepConnection is 1 or 0.
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

// feedInPieces passes data to receive in pieces of a size, until it fails.
func feedInPieces(data string, size int, receive func([]byte) error) error {
	for piece := range slices.Chunk([]byte(data), size) {
		if err := receive(piece); err != nil {
			return err
		}
	}
	return nil
}

// submitAttempt sends another attempt of the request at a time and returns the output of the batch to the router.
func submitAttempt(
	t *testing.T, server *Server, router *routerConnection, id, receivedAt string, now timeunit.Ticks,
) string {
	t.Helper()
	server.now = max(server.now, now)
	server.admission.Advance(server.now)
	router.output = nil
	attempt := strings.Replace(wholeRequest, firstID, id, 1)
	feed(t, router, strings.Replace(attempt, "1000000", receivedAt, 1))
	dispatchBatch(server)
	return string(router.output)
}

// dispatchBatch ends a batch by hand.
func dispatchBatch(server *Server) {
	server.requests.settle()
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
	server.resumeAfterStandstill()
}
