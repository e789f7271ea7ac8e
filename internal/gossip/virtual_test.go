package gossip

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/membership"
	"thistlequay/internal/schedule"
	"thistlequay/internal/virtualtime"
)

// TestMeasuredFailureDetectionInVirtualTime runs the real memberlist and package membership in virtual time. It
// measures how soon a failure is detected and how many bytes each node sends per second.
func TestMeasuredFailureDetectionInVirtualTime(t *testing.T) {
	for _, size := range schedule.Scale([]int{12, 40}, []int{12, 40, 100, 300}) {
		virtualtime.Test(t, func(t *testing.T) { measureFailureDetection(t, size) })
	}
}

func measureFailureDetection(t *testing.T, size int) {
	network := newVirtualNetwork(int64(size))
	nodes := startNodes(t, network, size)
	converged := waitUntil(3*time.Minute, func() bool { return allInMajority(nodes, size) })
	require.Positive(t, converged, "the nodes did not all reach the majority")
	bytesBefore := network.sentBytes.Load()
	startedAt := time.Now()
	time.Sleep(20 * time.Second)
	bytesPerSecond := float64(network.sentBytes.Load()-bytesBefore) / time.Since(startedAt).Seconds() / float64(size)

	victim := nodes[size-1]
	network.transports[victim.config.ListenAddress].closed.Store(true) // cuts the victim off from all other nodes
	others := nodes[:size-1]
	delays := detectionDelays(others, victim)
	falsePositives := 0
	for _, node := range others {
		inspectView(t, node, func(view *membership.View) { falsePositives += view.Counts.FalsePositives })
	}
	require.Len(t, delays, len(others))
	slices.Sort(delays)
	t.Logf("measured peers-virtual members=%d converge_ms=%d detect_p50_ms=%d detect_p99_ms=%d false_alarms=%d "+
		"bytes_a_second=%.0f", size, converged.Milliseconds(), delays[len(delays)/2].Milliseconds(),
		delays[len(delays)*99/100].Milliseconds(), falsePositives, bytesPerSecond)
	require.Zero(t, falsePositives)
	closeNodes(nodes)
}

// detectionDelays returns how long each node takes to consider the victim failed. Nodes that take longer than a minute
// are omitted.
func detectionDelays(nodes []*Node, victim *Node) (delays []time.Duration) {
	startedAt := time.Now()
	detected := map[*Node]bool{}
	waitUntil(time.Minute, func() bool {
		for _, node := range nodes {
			if detected[node] {
				continue
			}
			err := node.Inspect(func(view *membership.View, _ *membership.Agreement) {
				member := view.Member(victim.LocalID())
				detected[node] = member == nil || member.State >= membership.StateFailed
			})
			if err == nil && detected[node] {
				delays = append(delays, time.Since(startedAt))
			}
		}
		return len(delays) == len(nodes)
	})
	return delays
}

// Guards against state updates that reach some members of a small cluster seconds late, because each member passed an
// update on to one other only, which might be its sender.
func TestUpdatesReachAllMembersOfASmallClusterInTime(t *testing.T) {
	const (
		observed  = time.Minute
		maxAge    = 2*minUpdateInterval + time.Second/2 // one update missed, and the time that the next one takes
		lookEvery = 100 * time.Millisecond
	)
	for _, size := range []int{3, 5, 9} {
		virtualtime.Test(t, func(t *testing.T) {
			nodes := startNodes(t, newVirtualNetwork(int64(size)), size)
			defer closeNodes(nodes)
			require.Positive(t, waitUntil(3*time.Minute, func() bool { return allInMajority(nodes, size) }))
			oldest := time.Duration(0)
			for startedAt := time.Now(); time.Since(startedAt) < observed; time.Sleep(lookEvery) {
				oldest = max(oldest, oldestUpdate(t, nodes))
			}
			t.Logf("measured update-age members=%d oldest_ms=%d", size, oldest.Milliseconds())
			require.LessOrEqual(t, oldest, maxAge)
		})
	}
}

// oldestUpdate returns the age of the oldest update by which a node knows another one.
func oldestUpdate(t *testing.T, nodes []*Node) (oldest time.Duration) {
	t.Helper()
	for _, node := range nodes {
		inspectView(t, node, func(view *membership.View) {
			for _, member := range view.Members() {
				if member.ID != node.LocalID() {
					oldest = max(oldest, member.Age(view.Now()).Duration())
				}
			}
		})
	}
	return oldest
}
