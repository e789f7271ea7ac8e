package server

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// The same of what the index says.
func FuzzReplies(f *testing.F) {
	f.Add(firstID+" HIT 3\r\na\r\n\r\n", 1)
	f.Add(firstID+" SHED\r\n"+firstID+" SLOW\r\n", 4)
	f.Add(firstID+" HIT 99999999999\r\n", 5)
	f.Add(strings.Repeat("x", 200), 9)
	f.Fuzz(func(t *testing.T, text string, size int) {
		heard := func(size int) string {
			a, c, l := newServerWithCall(t)
			err := feedInPieces(text, size, l.receive)
			return fmt.Sprint(err, a.index.inFlight, string(c.output), string(a.interpreter.output))
		}
		require.Equal(t, heard(max(1, len(text))), heard(1+max(0, size)%61))
	})
}

// A connection that rested long may have been forgotten and carries no call, though the alarm that closes it is late.
func TestExpiredIdleConnectionCarriesNoCall(t *testing.T) {
	for rested, used := range map[timeunit.Ticks]bool{idleConnectionTimeout - 1: true, idleConnectionTimeout: false} {
		a, _, l := newServerWithCall(t)
		require.NoError(t, l.receive([]byte(firstID+" HIT 0\r\n\r\n")))
		a.now += rested
		c := &indexCall{request: &request{id: "another"}}
		a.index.assign(c)
		require.Equal(t, used, c.connection == l)
	}
}
