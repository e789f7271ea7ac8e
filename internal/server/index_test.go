package server

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// What the index says never panics, and means the same however it is split.
func FuzzReplies(f *testing.F) {
	f.Add(firstID+" HIT 3\r\na\r\n\r\n", 1)
	f.Add(firstID+" SHED\r\n"+firstID+" SLOW\r\n", 4)
	f.Add(firstID+" HIT 99999999999\r\n", 5)
	f.Add(strings.Repeat("x", 200), 9)
	f.Fuzz(func(t *testing.T, text string, size int) {
		receive := func(size int) string {
			s, router, connection := newServerWithCall(t)
			err := feedInPieces(text, size, connection.receive)
			return fmt.Sprint(err, s.index.inFlight, string(router.output), string(s.interpreter.output))
		}
		require.Equal(t, receive(max(1, len(text))), receive(1+max(0, size)%61))
	})
}

// A connection that was idle for long may have been forgotten by the index. It carries no call, also when the timer
// that closes it is late.
func TestExpiredIdleConnectionCarriesNoCall(t *testing.T) {
	cases := map[timeunit.Ticks]bool{idleConnectionTimeout - 1: true, idleConnectionTimeout: false}
	for idle, isUsed := range cases {
		s, _, connection := newServerWithCall(t)
		require.NoError(t, connection.receive([]byte(firstID+" HIT 0\r\n\r\n")))
		s.now += idle
		call := &indexCall{request: &request{id: "another"}}
		s.index.assign(call)
		require.Equal(t, isUsed, call.connection == connection)
	}
}
