package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/membership"
	"thistlequay/internal/virtualtime"
)

// TestInspectNeverCallsAfterItsTimeout checks that Inspect, once it has timed out, never calls its function. A late
// call would write to variables that the caller already uses again.
func TestInspectNeverCallsAfterItsTimeout(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		node := startNodes(t, newVirtualNetwork(1), 1)[0]
		node.enqueue(func() { time.Sleep(3 * time.Second) })
		synctest.Wait()
		calls := 0
		inspect := func(*membership.View, *membership.Agreement) { calls++ }
		require.Error(t, node.Inspect(inspect))
		time.Sleep(5 * time.Second)
		require.Zero(t, calls)
		require.NoError(t, node.Inspect(inspect))
		require.Equal(t, 1, calls)
		node.Close()
	})
}
