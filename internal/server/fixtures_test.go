package server

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/deployment"
	"thistlequay/internal/logs"
	"thistlequay/timeunit"
)

const firstID = "00000000000000aa"

// newRunningServer makes an app server without an engine, with one work item that runs. Nothing leaves it.
func newRunningServer(t *testing.T) (*Server, *routerConnection) {
	terms, err := deployment.Read([]byte(`{"Categories":[{"Effect":"by_key","HardLimit":8000,"Name":"a","OnTime":4000,
"Window":5000,"Worth":1}],"FamilyInfo":{"CallShare":9,"CallsOver":5000,"Cores":2,"Downstream":"common","MemoryKb":80000,
"Meters":["core_use","on_cores"],"RunFactor":8,"Halt":"drop"},"Servers":1,"Rules":{"TipMultiple":8}}`))
	require.NoError(t, err)
	a := New(Config{Name: "n", MaxSockets: 64, MemoryBytes: 64 << 20, Settings: terms}, logs.New(io.Discard, logs.FormatText))
	a.now = 10_000_000
	require.NoError(t, a.interpreter.receive([]byte(`{"type":"BANNER","state":"WARM","took":1}`+"\n")))
	c := connectRouter(a)
	c.conn = nil
	require.NoError(t, c.parser.Feed([]byte(wholeRequest), c))
	a.admission.Dispatch()
	require.Contains(t, string(a.interpreter.output), `{"type":"APPLY","job":"`+firstID+`","kind":"a","data":"eA=="}`)
	return a, c
}

// connectRouter makes a router's connection that nothing leaves.
func connectRouter(a *Server) *routerConnection {
	c := a.routers.accept().(*routerConnection)
	c.opened(discardConn{})
	return c
}

// newServerWithCall makes one whose run stands at a call that is out on a connection.
func newServerWithCall(t *testing.T) (*Server, *routerConnection, *pooledConnection) {
	a, c := newRunningServer(t)
	a.loop = idleLoop{}
	a.requests.byID[firstID].handle.NeedsCall()
	a.admission.Dispatch()
	l := a.requests.byID[firstID].call.connection
	l.opened(discardConn{})
	return a, c, l
}

// requestFields are those of a whole request.
var requestFields = [][2]string{{"SCRIPT_NAME", "/rpc/a"}, {"HTTP_REQUEST_ID", firstID}, {"HTTP_RECEIVED_AT", "1000000"},
	{"HTTP_BUDGET_MS", "7000"}, {"HTTP_SENT_BY", "1"}, {"HTTP_FOOTPRINT_KB", "20"}, {"HTTP_ONCE_KEY", "k"},
	{"REQUEST_METHOD", "POST"}, {"HTTP_PRIORITY_RANK", "0.5"}}

// wholeRequest is one, in records as a router sends them.
var wholeRequest = requestRecords(1, requestFields, "x")

// requestRecords writes a request as a router sends it.
func requestRecords(keep byte, fields [][2]string, body string) string {
	record := func(kind byte, content string) string {
		return string([]byte{1, kind, 0, 1, byte(len(content) >> 8), byte(len(content)), 0, 0}) + content
	}
	params := ""
	for _, f := range fields {
		params += string([]byte{byte(len(f[0])), byte(len(f[1]))}) + f[0] + f[1]
	}
	stdin := ""
	if body != "" {
		stdin = record(5, body)
	}
	return record(1, "\x00\x01"+string([]byte{keep})+"\x00\x00\x00\x00\x00") + record(4, params) + record(4, "") + stdin + record(5, "")
}

func feedInPieces(data string, size int, traffic func([]byte) error) (err error) {
	for len(data) > 0 && err == nil {
		n := min(size, len(data))
		err = traffic([]byte(data[:n]))
		data = data[n:]
	}
	return err
}

// submitAttempt feeds one more try of the request at this moment and gives what is answered in the batch.
func submitAttempt(t *testing.T, a *Server, c *routerConnection, id, reached string, now timeunit.Ticks) string {
	a.now = max(a.now, now)
	a.admission.Advance(a.now)
	c.output = nil
	text := strings.Replace(strings.Replace(wholeRequest, firstID, id, 1), "1000000", reached, 1)
	require.NoError(t, c.parser.Feed([]byte(text), c))
	a.requests.settle()
	a.admission.Dispatch()
	return string(c.output)
}
