package server

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

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
