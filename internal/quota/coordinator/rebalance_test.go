package coordinator

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/quota"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// usedFraction returns the fraction of the usable capacity that is in use now.
func (c *cluster) usedFraction() float64 {
	used := quota.Amount(0)
	wanted := quota.Amount(0)
	for _, s := range c.servers {
		used += min(s.load, s.inUse())
		wanted += s.load
	}
	return float64(used) / float64(min(wanted, c.limit.Total))
}

func (c *cluster) isMostlyUsed() bool { return c.usedFraction() > 0.9 }

// usedPart returns the fraction of the total that is in use on average during a run.
func (c *cluster) usedPart(play func()) float64 {
	c.usedSum = 0
	c.totalSum = 0
	play()
	return float64(c.usedSum) / float64(c.totalSum)
}

// setUnevenLoad gives the servers loads of 1, 9, 17 and 25 units in turn. The total is ten units per server.
func (c *cluster) setUnevenLoad(turn int) {
	for i, s := range c.servers {
		s.load = quota.Amount(1+(i+turn)%4*8) * quota.Unit
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
	settledIn := c.RunUntil(240_000, c.step, c.isMostlyUsed)
	require.Positive(t, settledIn, "%d servers", servers)
	c.RunFor(10_000, c.step)
	leader := c.leadingServer()
	require.NotNil(t, leader)
	commandsBefore := leader.coordinator.AppliedCommands
	grantedBefore := c.leasesGranted
	c.leaderBusy = 0
	used := c.usedPart(func() { c.RunFor(span, c.step) })
	entries := perSecond(float64(leader.coordinator.AppliedCommands - commandsBefore))
	answers := perSecond(float64(c.leasesGranted - grantedBefore))
	busy := perSecond(float64(c.leaderBusy.Microseconds()))

	c.setUnevenLoad(2) // servers with a low load get a high one and vice versa
	movedIn := c.RunUntil(240_000, c.step, c.isMostlyUsed)
	require.Positive(t, movedIn)

	for _, s := range c.servers {
		s.load = 10 * c.limit.Total
	}
	pausedUntil := c.Now + 60_000
	c.pauseMajority(pausedUntil)
	c.RunFor(3*c.limit.LeaseDuration, c.step)
	usedWithoutLeases := c.usedPart(func() {
		for c.Now < pausedUntil-100 {
			c.step()
		}
	})
	backIn := c.RunUntil(60_000, c.step, c.isMostlyUsed)
	require.Positive(t, backIn)

	guaranteed := float64(c.limit.GuaranteedMinimum*quota.Amount(c.limit.Slots)) / float64(c.limit.Total)
	t.Logf("measured keepers servers=%d length_ms=%d over=%d used_of_whole=%.3f floor_loss=%.3f settle_ms=%d "+
		"rebalance_ms=%d entries_a_second=%.2f answers_a_second=%.0f leader_us_a_second=%.0f "+
		"floors_alone=%.3f back_ms=%d",
		servers, c.limit.LeaseDuration, c.violations, used, guaranteed, settledIn,
		movedIn, entries, answers, busy, usedWithoutLeases, backIn)
	require.Zero(t, c.violations)
	require.Greater(t, used, 0.85)
	require.Less(t, entries, 5.0)
}
