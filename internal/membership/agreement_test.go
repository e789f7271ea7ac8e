package membership

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/schedule"
)

// Two configurations must never be in force at once, whatever happens to the network and the processes. After the
// network heals, one must be in force again in most of the schedules.
func TestTwoConfigurationsAreNeverInForceAtOnce(t *testing.T) {
	seeds := schedule.Scale(100, 5000)
	splitBrains, majorities, observations, healedCount, changes := 0, 0, 0, 0, 0
	for seed := range seeds {
		c := newCluster(int64(seed), 3+seed%7)
		c.runFaultSchedule()
		hasMajority := slices.ContainsFunc(c.nodes, func(n *node) bool {
			return !n.IsDown && n.agreement.QuorumStatus() == Majority
		})
		if hasMajority {
			healedCount++
		}
		for _, n := range c.nodes {
			changes += n.agreement.ConfigurationChanges
		}
		splitBrains += c.splitBrains
		majorities += c.majorities
		observations += c.observations
		require.Zero(t, c.splitBrains, "seed %d", seed)
	}
	t.Logf("measured agreement schedules=%d observations=%d majority=%d split_brain=%d changes=%d healed=%d",
		seeds, observations, majorities, splitBrains, changes, healedCount)
	require.Greater(t, healedCount, seeds/2)
}
