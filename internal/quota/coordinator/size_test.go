package coordinator

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// until plays until something is so, and gives how long that took; negative where it did not come to be.
func (w *world) until(most timeunit.Milliseconds, is func() bool) timeunit.Milliseconds {
	for begun := w.now; w.now-begun < most; w.round() {
		if is() {
			return w.now - begun
		}
	}
	return -1
}

// uses is the part of what could be used that is in use at this moment.
func (w *world) uses() float64 {
	used, wanted := quota.Amount(0), quota.Amount(0)
	for _, s := range w.servers {
		used += min(s.load, quota.Amount(len(s.parts))*quota.Unit)
		wanted += s.load
	}
	return float64(used) / float64(min(wanted, w.limit.Whole))
}

// What shares cost and how soon they follow, in virtual time: a steady uneven load, a load that moves to other servers at once, all
// keepers gone for a minute under a load for all that there is, then back.
func TestMeasuredKeepers(t *testing.T) {
	sizes := []int{12, 40}
	if os.Getenv("MEASURE") == "full" {
		sizes = []int{12, 40, 300}
	}
	for _, n := range sizes {
		w := newWorld(int64(n), n, false)
		w.limit.Length = timeunit.Milliseconds(max(2000, 20*n))
		w.terms.Limits = []quota.Terms{w.limit}
		for i := range w.servers {
			w.birth(i, true)
		}
		w.sight = Sight{}
		w.view()
		uneven := func(turn int) {
			for i, s := range w.servers {
				s.load = quota.Amount(1+(i+turn)%4*8) * quota.Unit // 1, 9, 17, 25 where ten is the mean
			}
		}
		uneven(0)
		settle := w.until(240_000, func() bool { return w.uses() > 0.9 })
		require.Positive(t, settle, "%d servers", n)
		w.rounds(10_000)
		lead := w.leading()
		require.NotNil(t, lead)
		before, granted, span := lead.core.Agreed, w.granted, timeunit.Milliseconds(30_000)
		w.used, w.wholes, w.busy = 0, 0, 0
		w.rounds(span)
		part, entries := float64(w.used)/float64(w.wholes), float64(lead.core.Agreed-before)/float64(span)*1000
		answers, busy := float64(w.granted-granted)/float64(span)*1000, float64(w.busy.Microseconds())/float64(span)*1000
		uneven(2) // those that had little want much, and the other way round
		moved := w.until(240_000, func() bool { return w.uses() > 0.9 })
		require.Positive(t, moved)
		for _, s := range w.servers {
			s.load = 10 * w.limit.Whole
		}
		down := w.now + 60_000 // agreement is gone: more than half of the voters stand still
		for _, v := range w.sight.Voters[:(len(w.sight.Voters)+1)/2] {
			for _, s := range w.servers {
				if s.life == v.Voter/1000 {
					s.stopped = down
				}
			}
		}
		w.rounds(3 * w.limit.Length)
		w.used, w.wholes = 0, 0
		for w.now < down-100 {
			w.round()
		}
		floors := float64(w.used) / float64(w.wholes)
		back := w.until(60_000, func() bool { return w.uses() > 0.9 })
		require.Positive(t, back)
		t.Logf("measured keepers servers=%d length_ms=%d over=%d used_of_whole=%.3f floor_loss=%.3f settle_ms=%d rebalance_ms=%d entries_a_second=%.2f answers_a_second=%.0f leader_us_a_second=%.0f floors_alone=%.3f back_ms=%d",
			n, w.limit.Length, w.over, part, float64(w.limit.Floor*quota.Amount(w.limit.Slots))/float64(w.limit.Whole), settle, moved, entries, answers, busy, floors, back)
		require.Zero(t, w.over)
		require.Greater(t, part, 0.85)
		require.Less(t, entries, 5.0)
	}
}

// leading is who leads and may grant.
func (w *world) leading() *server {
	for _, s := range w.servers {
		if !s.down && s.stopped <= w.now && s.core.Leads() && s.core.Whole() {
			return s
		}
	}
	return nil
}

// atWork counts the time that the leader's core takes.
func (w *world) atWork(s *server, do func()) {
	if !s.core.Leads() {
		do()
		return
	}
	begun := time.Now()
	do()
	w.busy += time.Since(begun)
}
