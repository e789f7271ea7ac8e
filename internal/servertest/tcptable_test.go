package servertest

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Rows of /proc/net/tcp for both ends of a connection between the ports 34233 and 33978, with an unrelated one.
const (
	programRow = "   7: 0365807F:85B9 0100007F:84BA 01 0002D89C:00000000 04:0000001E 00000000 0 0 1 2 0 20\n"
	routerRow  = "   9: 0100007F:84BA 0365807F:85B9 01 00000000:00022FE6 00:00000000 00000000 0 0 3 2 0 20\n"
	otherRow   = "   8: 0100007F:84BB 0365807F:85B9 06 00000000:00000000 03:00000A00 00000000 0 0 0 3 0\n"
)

// A connection counts once although the table, read while others open and close, lists it twice, and a missing row is
// reported as such.
func TestTCPQueuesOfATableThatIsNoSnapshot(t *testing.T) {
	program := &net.TCPAddr{IP: net.IPv4(127, 128, 101, 3), Port: 34233}
	router := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 33978}

	queues, found := findTCPQueues(programRow+otherRow+programRow+routerRow, program, router)
	require.True(t, found)
	require.Equal(t, tcpQueues{unsent: 186524}, queues)

	queues, found = findTCPQueues(routerRow+otherRow+routerRow, router, program)
	require.True(t, found)
	require.Equal(t, tcpQueues{unread: 143334}, queues)

	_, found = findTCPQueues(otherRow+routerRow, program, router)
	require.False(t, found)
}

// A port is in TIME_WAIT if any of its connections is.
func TestPortInTimeWait(t *testing.T) {
	table := programRow + otherRow
	require.True(t, holdsPortInTimeWait(table, &net.TCPAddr{Port: 33979}))
	require.False(t, holdsPortInTimeWait(table, &net.TCPAddr{Port: 34233}))
}
