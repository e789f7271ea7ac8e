package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/quota"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// currentUtilization returns the fraction of the usable capacity that is in use now.
func (c *cluster) currentUtilization() float64 {
	used := quota.Amount(0)
	wanted := quota.Amount(0)
	for _, s := range c.servers {
		used += min(s.load, s.inUse())
		wanted += s.load
	}
	return float64(used) / float64(min(wanted, c.limit.Total))
}

func (c *cluster) isMostlyUsed() bool { return c.currentUtilization() > 0.9 }

// meanUtilization returns the fraction of the total that is in use on average during a run.
func (c *cluster) meanUtilization(run func()) float64 {
	c.usedSum = 0
	c.totalSum = 0
	run()
	return float64(c.usedSum) / float64(c.totalSum)
}

// setUnevenLoad gives the servers loads of 1, 9, 17 and 25 units in turn. The total is ten units per server.
func (c *cluster) setUnevenLoad(offset int) {
	for i, s := range c.servers {
		s.load = quota.Amount(1+(i+offset)%4*8) * quota.Unit
	}
}

// leadingServer returns the server that is the leader and may grant leases, or nil if there is none.
func (c *cluster) leadingServer() *server {
	for _, s := range c.servers {
		if s.IsRunning(c.Now) && s.coordinator.IsLeader() && s.coordinator.InMajority() {
			return s
		}
	}
	return nil
}

// pauseMajority pauses a majority of the voters.
func (c *cluster) pauseMajority(until timeunit.Milliseconds) {
	for _, voter := range c.view.Voters[:(len(c.view.Voters)+1)/2] {
		for _, s := range c.servers {
			if s.Incarnation == incarnationOf(voter.VoterID) {
				s.PausedUntil = until
			}
		}
	}
}

// newSizedCluster returns a cluster whose lease duration grows with its size, as in the settings.
func newSizedCluster(servers int) *cluster {
	c := newCluster(int64(servers), servers, false)
	c.limit.LeaseDuration = timeunit.Milliseconds(max(2000, 20*servers))
	c.config.Limits = []quota.LimitConfig{c.limit}
	for i := range c.servers {
		c.startServer(i, true)
	}
	c.view = ClusterView{}
	c.updateView()
	return c
}

// The cost of leases and their reaction time, measured in virtual time in three phases: a steady uneven load, a load
// that shifts to other servers at once, and a majority of the voters paused for a minute while the servers demand more
// than the total.
func TestLeasesFollowLoad(t *testing.T) {
	for _, servers := range schedule.Scale([]int{12, 40}, []int{12, 40, 300}) {
		testLeasesFollowLoad(t, servers)
	}
}

func testLeasesFollowLoad(t *testing.T, servers int) {
	t.Helper()
	const span timeunit.Milliseconds = 30_000
	perSecond := func(count float64) float64 { return count / float64(span) * 1000 }
	c := newSizedCluster(servers)
	c.setUnevenLoad(0)
	settleTime := c.RunUntil(240_000, c.step, c.isMostlyUsed)
	require.Positive(t, settleTime, "%d servers", servers)
	c.RunFor(10_000, c.step)
	leader := c.leadingServer()
	require.NotNil(t, leader)
	commandsBefore := leader.coordinator.AppliedCommands
	grantedBefore := c.leasesGranted
	c.leaderBusyTime = 0
	utilization := c.meanUtilization(func() { c.RunFor(span, c.step) })
	entriesPerSecond := perSecond(float64(leader.coordinator.AppliedCommands - commandsBefore))
	responsesPerSecond := perSecond(float64(c.leasesGranted - grantedBefore))
	leaderMicrosPerSecond := perSecond(float64(c.leaderBusyTime.Microseconds()))

	c.setUnevenLoad(2) // servers with a low load get a high one and vice versa
	rebalanceTime := c.RunUntil(240_000, c.step, c.isMostlyUsed)
	require.Positive(t, rebalanceTime)

	for _, s := range c.servers {
		s.load = 10 * c.limit.Total
	}
	pausedUntil := c.Now + 60_000
	c.pauseMajority(pausedUntil)
	c.RunFor(3*c.limit.LeaseDuration, c.step)
	utilizationWithoutLeases := c.meanUtilization(func() {
		for c.Now < pausedUntil-100 {
			c.step()
		}
	})
	recoveryTime := c.RunUntil(60_000, c.step, c.isMostlyUsed)
	require.Positive(t, recoveryTime)

	guaranteedFraction := float64(c.limit.GuaranteedMinimum*quota.Amount(c.limit.Slots)) / float64(c.limit.Total)
	t.Logf("measured keepers servers=%d length_ms=%d over=%d used_of_whole=%.3f floor_loss=%.3f settle_ms=%d "+
		"rebalance_ms=%d entries_a_second=%.2f answers_a_second=%.0f leader_us_a_second=%.0f "+
		"floors_alone=%.3f back_ms=%d",
		servers, c.limit.LeaseDuration, c.violations, utilization, guaranteedFraction, settleTime,
		rebalanceTime, entriesPerSecond, responsesPerSecond, leaderMicrosPerSecond,
		utilizationWithoutLeases, recoveryTime)
	require.Zero(t, c.violations)
	require.Greater(t, utilization, 0.85)
	require.Less(t, entriesPerSecond, 5.0)
}
