package quota

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
)

// runSchedule runs the schedule of faults that a seed determines. It records the history if one is given.
func runSchedule(t *testing.T, seed int64, history *golden.History) *cluster {
	t.Helper()
	c := newCluster(seed, 3+int(seed%10))
	c.history = history
	c.elect(0)
	for range 25 {
		c.injectFault()
		c.RunFor(c.DrawSpan(100, 4100), c.step)
		require.Zero(t, c.violations, "seed %d", seed)
	}
	c.elect(0) // a lower total takes effect once the earlier leases have expired
	c.RunFor(8000, c.step)
	require.Equal(t, c.allocators[0].targetTotal, c.allocators[0].EffectiveTotal(), "seed %d", seed)
	require.Zero(t, c.violations, "seed %d", seed)
	return c
}

// The sum of what is usable or in use never exceeds the total in force at any instant of true time.
func TestUsableNeverExceedsTotal(t *testing.T) {
	seeds := schedule.Scale(250, 5000)
	checks := 0
	for seed := range seeds {
		checks += runSchedule(t, int64(seed), nil).checks
	}
	t.Logf("measured shares-schedules seeds=%d looks=%d over=0", seeds, checks)
}

// Under a steady load, even or uneven, capacity that one server does not use goes to another, and most of the total is
// in use.
func TestUnusedCapacityGoesToOthers(t *testing.T) {
	for _, pattern := range []struct {
		name string
		load func(i int) Amount
	}{
		{"even", func(int) Amount { return 12 * Unit }},
		{"uneven", func(i int) Amount { return []Amount{40, 30, 5, 2, 1, 30, 12, 3}[i] * Unit }},
		{"greedy", func(i int) Amount { return []Amount{800, 8, 8, 8, 8, 8, 8, 8}[i] * Unit }},
	} {
		c := newCluster(1, 8)
		c.elect(0)
		totalLoad := Amount(0)
		for i, s := range c.servers {
			s.load = pattern.load(i)
			totalLoad += s.load
		}
		c.RunFor(10_000, c.step)
		c.usedSum = 0
		c.totalSum = 0
		changesBefore := len(c.log)
		c.RunFor(60_000, c.step)
		utilization := float64(c.usedSum) / float64(min(totalLoad*3000, c.totalSum))
		changesPerSecond := float64(len(c.log)-changesBefore) / 60
		t.Logf("measured shares day=%s servers=8 over=%d used_of_possible=%.3f proposals_a_second=%.2f",
			pattern.name, c.violations, utilization, changesPerSecond)
		require.Zero(t, c.violations)
		require.Greater(t, utilization, 0.8)
	}
}

func BenchmarkLeaseHolderAcquire(b *testing.B) {
	config := LimitConfig{Total: 100 * Unit, GuaranteedMinimum: Unit, Slots: 10, LeaseDuration: 2000, ClockDrift: 0.1}
	h := NewLeaseHolder("a", config, true, 0)
	h.HandleResponse(LimitResponse{RequestedAt: 1, LeaseVersion: 1, Amount: 20 * Unit, LeaseDuration: 2000}, 2)
	b.ReportAllocs()
	for b.Loop() {
		if h.TryAcquire(Unit, 3) {
			h.Release(Unit)
		}
	}
}
