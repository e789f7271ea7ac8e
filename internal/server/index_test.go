package server

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// Guards against a run that is given the reply to an earlier call: a connection never carries two calls of a request,
// even with a call of another one in between, since a second copy of the first reply may still come on it.
func TestConnectionCarriesOneCallOfARequest(t *testing.T) {
	const otherID = "00000000000000bb"
	server, _, connection := newServerWithCall(t)
	other := strings.Replace(wholeRequest, firstID, otherID, 1)
	feed(t, connectRouter(server), strings.Replace(other, "HTTP_ONCE_KEYk", "HTTP_ONCE_KEYl", 1))
	dispatchBatch(server)
	reply := func(id string) error { return connection.receive([]byte(id + " HIT 2\r\nok\r\n")) }
	require.NoError(t, reply(firstID))
	notify(t, server, `{"type":"AWAIT","n":1,"job":"%s","data":"cQ=="}`, otherID)
	dispatchBatch(server)
	require.Same(t, connection, server.requests.byID[otherID].call.connection)
	require.NoError(t, reply(otherID))
	notify(t, server, `{"type":"AWAIT","n":2,"job":"%s","data":"cQ=="}`, firstID)
	dispatchBatch(server)
	secondCall := server.requests.byID[firstID].call
	require.NotSame(t, connection, secondCall.connection)
	require.ErrorIs(t, reply(firstID), errConnectionDone) // the second copy
	require.Same(t, secondCall, server.requests.byID[firstID].call)
}

// With a full pool a call waits for a connection that carried none of its request, and such a connection is dialed when
// an idle one expires.
func TestSecondCallWaitsForAnotherConnection(t *testing.T) {
	server, _, connection := newServerWithCall(t)
	server.index.maxConnections = 1
	require.NoError(t, connection.receive([]byte(firstID+" HIT 2\r\nok\r\n")))
	notify(t, server, `{"type":"AWAIT","n":1,"job":"%s","data":"cQ=="}`, firstID)
	dispatchBatch(server)
	call := server.requests.byID[firstID].call
	require.Nil(t, call.connection)
	connection.outgoing = nil // the test has no socket to close
	passTime(server, idleConnectionTimeout)
	require.NotNil(t, call.connection)
	require.NotSame(t, connection, call.connection)
	openCallConnection(server)
	require.Len(t, server.requests.byID[firstID].callConnections, 1) // the closed one is forgotten
}

// No input from the index makes the server panic, and its effect does not depend on how it is split into reads.
func FuzzReplies(f *testing.F) {
	f.Add(firstID+" HIT 3\r\na\r\n\r\n", 1)
	f.Add(firstID+" SHED\r\n"+firstID+" SLOW\r\n", 4)
	f.Add(firstID+" HIT 99999999999\r\n", 5)
	f.Add(strings.Repeat("x", 200), 9)
	f.Fuzz(func(t *testing.T, text string, size int) {
		receive := func(pieceSize int) string {
			server, router, connection := newServerWithCall(t)
			err := feedInPieces(text, pieceSize, connection.receive)
			return fmt.Sprint(err, server.index.inFlight, string(router.output), string(server.interpreter.output))
		}
		require.Equal(t, receive(max(1, len(text))), receive(1+max(0, size)%61))
	})
}

// A connection that was idle for too long carries no call, even if the timer that closes it is late: the index may have
// dropped the connection.
func TestExpiredIdleConnectionCarriesNoCall(t *testing.T) {
	for _, test := range []struct {
		name     string
		idleTime timeunit.Ticks
		isUsed   bool
	}{
		{"not yet expired", idleConnectionTimeout - 1, true},
		{"expired", idleConnectionTimeout, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, _, connection := newServerWithCall(t)
			require.NoError(t, connection.receive([]byte(firstID+" HIT 0\r\n\r\n")))
			server.now += test.idleTime
			call := &indexCall{request: &request{id: "another"}}
			server.index.assign(call)
			require.Equal(t, test.isUsed, call.connection == connection)
		})
	}
}
