package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/schedule"
)

// TestVotersAgreeOnOneLogUnderFaults checks that, whatever faults occur, all voters apply the same entries in the same
// order, that a read index is confirmed only for a voter that was still the leader when it requested the index, and
// that a voter that has lost its state does not change committed entries. When the faults end, entries are committed
// again.
func TestVotersAgreeOnOneLogUnderFaults(t *testing.T) {
	seeds := schedule.Scale(20, 2000)
	var committed, terms, confirmations, healed int
	for seed := range seeds {
		c := newCluster(t, int64(seed), clusterSize(int64(seed)))
		if c.runSchedule() {
			healed++
		}
		require.Zero(t, c.falseConfirmations, "seed %d", seed)
		committed += len(c.committed)
		terms += len(c.leaderSince)
		confirmations += c.confirmations
	}
	t.Logf("measured agreement-schedules seeds=%d agreed=%d terms=%d confirmed=%d confirmed_wrong=0 healed=%d",
		seeds, committed, terms, confirmations, healed)
	require.Equal(t, seeds, healed)
}

// clusterSize returns 3 voters for even seeds and 5 for odd ones.
func clusterSize(seed int64) int { return 3 + 2*int(seed%2) }
