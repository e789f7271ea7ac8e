package server

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// socketConn is the server's end of a socket. It records what the server writes and reads nothing by itself.
type socketConn struct {
	discardConn
	handler    any
	descriptor int
	written    *strings.Builder
}

func (c *socketConn) Write(data []byte) (int, error) { return c.written.Write(data) }
func (c *socketConn) Fd() int                        { return c.descriptor }
func (c *socketConn) Context() any                   { return c.handler }
func (c *socketConn) SetContext(handler any)         { c.handler = handler }

// closingRouter is an idle connection from a router to a server whose shutdown begins to close connections.
type closingRouter struct {
	*routerConnection
	peer    int // descriptor of the router's end
	written *strings.Builder
}

func newClosingRouter(t *testing.T) closingRouter {
	t.Helper()
	descriptors, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = unix.Close(descriptors[0])
		_ = unix.Close(descriptors[1])
	})
	server, _ := newServerWithRun(t)
	router := closingRouter{connectRouter(server), descriptors[1], &strings.Builder{}}
	router.conn = &socketConn{handler: router.routerConnection, descriptor: descriptors[0], written: router.written}
	require.NoError(t, router.receive([]byte(healthRequests(1))))
	server.writeOutput()
	router.written.Reset()
	require.Equal(t, connectionIdle, router.state)
	server.advancePhase(phaseClosing)
	server.readBeforeCloseUntil = server.now + second
	return router
}

// healthRequests returns the records of the given number of health checks.
func healthRequests(count int) string {
	return strings.Repeat(requestRecords(1, paramsWith("SCRIPT_NAME", "/health"), ""), count)
}

// responseCount returns how many responses have been written to the router.
func (r closingRouter) responseCount() int { return strings.Count(r.written.String(), "Status: ") }

// On a busy machine requests wait in the socket while the event loop does not get a core. A shutdown answers them
// before it closes their connection.
func TestShutdownAnswersUnreadRequestsBeforeItClosesTheirConnection(t *testing.T) {
	router := newClosingRouter(t)
	_, err := unix.Write(router.peer, []byte(healthRequests(2)))
	require.NoError(t, err)
	router.server.routers.closeAllIdle()
	router.server.writeOutput()
	require.NotNil(t, router.conn, "closed over unread requests")

	input := make([]byte, bufferSize)
	length, err := unix.Read(router.conn.Fd(), input)
	require.NoError(t, err)
	require.NoError(t, router.receive(input[:length]))
	router.server.writeOutput()
	require.Equal(t, 2, router.responseCount())
	require.Nil(t, router.conn, "closed once all is answered")
}

// The same holds for requests that are read in the batch that closes the connection.
func TestShutdownAnswersRequestsReadInTheBatchOfTheClose(t *testing.T) {
	router := newClosingRouter(t)
	router.server.routers.closeAllIdle()
	require.NoError(t, router.receive([]byte(healthRequests(2))))
	router.server.writeOutput()
	require.Equal(t, 2, router.responseCount())
	require.Nil(t, router.conn)
}

// A router that sends all the time does not keep its connection open until the server stops.
func TestShutdownClosesConnectionsOverUnreadRequestsInTheEnd(t *testing.T) {
	router := newClosingRouter(t)
	_, err := unix.Write(router.peer, []byte(healthRequests(1)))
	require.NoError(t, err)
	router.server.now = router.server.readBeforeCloseUntil
	router.server.routers.closeAllIdle()
	router.server.writeOutput()
	require.Nil(t, router.conn)
}
