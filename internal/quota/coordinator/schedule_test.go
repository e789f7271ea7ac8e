package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/quota"
	"thistlequay/internal/schedule"
)

// runSchedule runs the schedule of faults that a seed determines, repairs everything and continues. It records the
// history if one is given.
func runSchedule(t *testing.T, seed int64, history *golden.History) *cluster {
	t.Helper()
	c := newCluster(seed, 3+int(seed%6), seed%2 == 1)
	c.history = history
	c.RunFor(12_000, c.step)
	for range 12 {
		c.injectFault()
		c.RunFor(c.DrawSpan(200, 5200), c.step)
		require.Zero(t, c.violations, "seed %d at %d", seed, c.Now)
	}
	c.Heal()
	c.restartStopped()
	for _, s := range c.servers {
		s.PausedUntil = 0
		s.load = 20 * quota.Unit
		s.total = c.limit.Total
		s.revision = uint64(c.Now)
	}
	c.RunFor(25_000, c.step)
	c.usedSum = 0
	c.totalSum = 0
	c.RunFor(5000, c.step)
	require.Zero(t, c.violations, "seed %d at the end", seed)
	return c
}

// The sum of what is usable and in use never exceeds the total in force at any instant of true time, despite faults of
// coordinators, holders and the network. After all faults are repaired, most of the total is in use again.
func TestUsableNeverExceedsTotalThroughFaults(t *testing.T) {
	seeds := schedule.Scale(40, 3000)
	checks, leaderChanges, leasesGranted, recovered := 0, 0, 0, 0
	for seed := range seeds {
		c := runSchedule(t, int64(seed), nil)
		if 10*c.usedSum > 7*c.totalSum {
			recovered++
		}
		checks += c.checks
		leaderChanges += c.leaderChanges
		leasesGranted += c.leasesGranted
	}
	t.Logf("measured keepers-schedules seeds=%d looks=%d over=0 leaders=%d granted=%d healed=%d",
		seeds, checks, leaderChanges, leasesGranted, recovered)
	require.Greater(t, leaderChanges, seeds)
	require.Greater(t, 10*recovered, 8*seeds)
}
