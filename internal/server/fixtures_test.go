package server

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/deployment"
	"thistlequay/internal/logs"
	"thistlequay/timeunit"
)

// firstID is the ID of the request that runs from the beginning.
const firstID = "00000000000000aa"

// testSettings have one category, whose requests bear an idempotency key that holds for 5 s; their deadline is 8 s.
const testSettings = `{"Categories":[{"Effect":"by_key","HardLimit":8000,"Name":"a","OnTime":4000,
"Window":5000,"Worth":1}],"FamilyInfo":{"CallShare":9,"CallsOver":5000,"Cores":2,"Downstream":"common","MemoryKb":80000,
"Meters":["core_use","on_cores"],"RunFactor":8,"Halt":"drop"},"Servers":1,"Rules":{"TipMultiple":8}}`

// discardConn is a connection that nothing leaves.
type discardConn struct{ gnet.Conn }

func (discardConn) Write(b []byte) (int, error) { return len(b), nil }
func (discardConn) OutboundBuffered() int       { return 0 }
func (discardConn) Context() any                { return nil }
func (discardConn) SetContext(any)              {}
func (discardConn) Fd() int                     { return -1 }

// idleLoop is an event loop that runs nothing: the test ends batches.
type idleLoop struct{ gnet.EventLoop }

func (idleLoop) Execute(context.Context, gnet.Runnable) error { return nil }
func (idleLoop) Close(gnet.Conn) error                        { return nil }

// newRunningServer makes a server without an engine, with one request that runs. Nothing leaves it.
func newRunningServer(t *testing.T) (*Server, *routerConnection) {
	t.Helper()
	settings, err := deployment.Read([]byte(testSettings))
	require.NoError(t, err)
	config := Config{Name: "n", MaxSockets: 64, MemoryBytes: 64 << 20, Settings: settings}
	s := New(config, logs.New(io.Discard, logs.FormatText))
	s.now = 10_000_000
	notify(t, s, `{"type":"BANNER","state":"WARM","took":1}`)
	router := connectRouter(s)
	router.conn = nil
	feed(t, router, wholeRequest)
	s.admission.Dispatch()
	run := `{"type":"APPLY","job":"` + firstID + `","kind":"a","data":"eA=="}`
	require.Contains(t, string(s.interpreter.output), run)
	return s, router
}

// newServerWithRun is newRunningServer where nothing waits to be written.
func newServerWithRun(t *testing.T) (*Server, *routerConnection) {
	t.Helper()
	s, router := newRunningServer(t)
	s.loop = idleLoop{}
	router.conn = discardConn{}
	takeOutput(&s.interpreter.outputBuffer)
	return s, router
}

// newServerWithCall is newRunningServer where the run waits for a call that is out on a connection.
func newServerWithCall(t *testing.T) (*Server, *routerConnection, *pooledConnection) {
	t.Helper()
	s, router := newRunningServer(t)
	s.loop = idleLoop{}
	s.requests.byID[firstID].handle.NeedsCall()
	s.admission.Dispatch()
	connection := s.requests.byID[firstID].call.connection
	connection.opened(discardConn{})
	return s, router, connection
}

// connectRouter makes a router's connection that nothing leaves.
func connectRouter(s *Server) *routerConnection {
	router := s.routers.accept().(*routerConnection)
	router.opened(discardConn{})
	return router
}

// notify has the interpreter say a line.
func notify(t *testing.T, s *Server, format string, args ...any) {
	t.Helper()
	require.NoError(t, s.interpreter.receive([]byte(fmt.Sprintf(format, args...)+"\n")))
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

// feedInPieces gives data to receive in pieces of a size, until it fails.
func feedInPieces(data string, size int, receive func([]byte) error) (err error) {
	for len(data) > 0 && err == nil {
		n := min(size, len(data))
		err = receive([]byte(data[:n]))
		data = data[n:]
	}
	return err
}

// submitAttempt sends one more attempt of the request at a moment and returns what is answered in the batch.
func submitAttempt(
	t *testing.T, s *Server, router *routerConnection, id, receivedAt string, now timeunit.Ticks,
) string {
	t.Helper()
	s.now = max(s.now, now)
	s.admission.Advance(s.now)
	router.output = nil
	attempt := strings.Replace(wholeRequest, firstID, id, 1)
	feed(t, router, strings.Replace(attempt, "1000000", receivedAt, 1))
	dispatchBatch(s)
	return string(router.output)
}

// dispatchBatch ends a batch by hand.
func dispatchBatch(s *Server) {
	s.requests.settle()
	s.admission.Dispatch()
}

// passTime moves the time on and fires what is due.
func passTime(s *Server, span timeunit.Ticks) {
	s.now += span
	s.admission.Advance(s.now)
	s.resumeAfterStandstill()
	dispatchBatch(s)
}
