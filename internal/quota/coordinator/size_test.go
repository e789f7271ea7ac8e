package coordinator

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// runUntil plays until something is so, and gives how long that took; negative where it did not come to be.
func (w *cluster) runUntil(most timeunit.Milliseconds, is func() bool) timeunit.Milliseconds {
	for begun := w.now; w.now-begun < most; w.step() {
		if is() {
			return w.now - begun
		}
	}
	return -1
}

// usedFraction is the part of what could be used that is in use at this moment.
func (w *cluster) usedFraction() float64 {
	used, wanted := quota.Amount(0), quota.Amount(0)
	for _, s := range w.servers {
		used += min(s.load, quota.Amount(len(s.releaseTimes))*quota.Unit)
		wanted += s.load
	}
	return float64(used) / float64(min(wanted, w.limit.Total))
}

// What shares cost and how soon they follow, in virtual time: a steady uneven load, a load that moves to other servers at once, all
// keepers gone for a minute under a load for all that there is, then back.
func TestMeasuredKeepers(t *testing.T) {
	sizes := []int{12, 40}
	if os.Getenv("MEASURE") == "full" {
		sizes = []int{12, 40, 300}
	}
	for _, n := range sizes {
		w := newCluster(int64(n), n, false)
		w.limit.LeaseDuration = timeunit.Milliseconds(max(2000, 20*n))
		w.config.Limits = []quota.LimitConfig{w.limit}
		for i := range w.servers {
			w.startServer(i, true)
		}
		w.view = ClusterView{}
		w.updateView()
		uneven := func(turn int) {
			for i, s := range w.servers {
				s.load = quota.Amount(1+(i+turn)%4*8) * quota.Unit // 1, 9, 17, 25 where ten is the mean
			}
		}
		uneven(0)
		settle := w.runUntil(240_000, func() bool { return w.usedFraction() > 0.9 })
		require.Positive(t, settle, "%d servers", n)
		w.run(10_000)
		lead := w.leadingServer()
		require.NotNil(t, lead)
		before, granted, span := lead.coordinator.AppliedCommands, w.leasesGranted, timeunit.Milliseconds(30_000)
		w.usedSum, w.totalSum, w.leaderBusy = 0, 0, 0
		w.run(span)
		part, entries := float64(w.usedSum)/float64(w.totalSum), float64(lead.coordinator.AppliedCommands-before)/float64(span)*1000
		answers, busy := float64(w.leasesGranted-granted)/float64(span)*1000, float64(w.leaderBusy.Microseconds())/float64(span)*1000
		uneven(2) // those that had little want much, and the other way round
		moved := w.runUntil(240_000, func() bool { return w.usedFraction() > 0.9 })
		require.Positive(t, moved)
		for _, s := range w.servers {
			s.load = 10 * w.limit.Total
		}
		down := w.now + 60_000 // agreement is gone: more than half of the voters stand still
		for _, v := range w.view.Voters[:(len(w.view.Voters)+1)/2] {
			for _, s := range w.servers {
				if s.incarnation == v.VoterID/1000 {
					s.pausedUntil = down
				}
			}
		}
		w.run(3 * w.limit.LeaseDuration)
		w.usedSum, w.totalSum = 0, 0
		for w.now < down-100 {
			w.step()
		}
		floors := float64(w.usedSum) / float64(w.totalSum)
		back := w.runUntil(60_000, func() bool { return w.usedFraction() > 0.9 })
		require.Positive(t, back)
		t.Logf("measured keepers servers=%d length_ms=%d over=%d used_of_whole=%.3f floor_loss=%.3f settle_ms=%d rebalance_ms=%d entries_a_second=%.2f answers_a_second=%.0f leader_us_a_second=%.0f floors_alone=%.3f back_ms=%d",
			n, w.limit.LeaseDuration, w.violations, part, float64(w.limit.GuaranteedMinimum*quota.Amount(w.limit.Slots))/float64(w.limit.Total), settle, moved, entries, answers, busy, floors, back)
		require.Zero(t, w.violations)
		require.Greater(t, part, 0.85)
		require.Less(t, entries, 5.0)
	}
}

// leadingServer is who leads and may grant.
func (w *cluster) leadingServer() *server {
	for _, s := range w.servers {
		if !s.isDown && s.pausedUntil <= w.now && s.coordinator.IsLeader() && s.coordinator.InMajority() {
			return s
		}
	}
	return nil
}

// timed counts the time that the leader's core takes.
func (w *cluster) timed(s *server, do func()) {
	if !s.coordinator.IsLeader() {
		do()
		return
	}
	begun := time.Now()
	do()
	w.leaderBusy += time.Since(begun)
}
