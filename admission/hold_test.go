package admission

import (
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// silent is a host that does nothing.
type silent struct{ Host }

func (silent) CloseIdle(timeunit.Ticks)                {}
func (silent) Health(bool, bool)                       {}
func (silent) Decline(*WorkItem, timeunit.Ticks, bool) {}
func (silent) Over(*WorkItem)                          {}

// What the trees say of the order is what a look at the whole hold says, whatever runs took and whenever it is asked.
func TestOrderAgainstTheWholeHold(t *testing.T) {
	for seed := range int64(300) {
		r := rand.New(rand.NewSource(seed))
		d := Deployment{Cores: 2, Memory: 1e9, RunFactor: 2}
		for range 1 + r.Intn(3) {
			contract := timeunit.Ticks(500 + r.Intn(5000))
			d.Categories = append(d.Categories, Category{Gain: 1 + float64(r.Intn(3)), Contract: contract,
				Expiry: 2 * contract, LateShare: float64(r.Intn(3)) / 4})
		}
		s := New(d, silent{}, 0)
		for _, c := range s.categories {
			for range r.Intn(40) {
				c.runs.add(timeunit.Ticks(r.Intn(int(c.contract) * 2)))
			}
		}
		var all []*WorkItem
		for range 60 {
			s.At(s.now + timeunit.Ticks(r.Intn(200)))
			w := s.Take(Arrival{Category: r.Intn(len(s.categories)), Unread: timeunit.Ticks(r.Intn(300)), Turn: float64(r.Intn(5)), HeldKb: 1})
			s.watch(w, forever)
			if all = append(all, w); r.Intn(3) == 0 {
				i := r.Intn(len(all))
				s.decline(all[i], 0, false)
				all = slices.Delete(all, i, i+1)
			}
		}
		s.At(s.now + timeunit.Ticks(r.Intn(3000)))
		best := s.best()
		due := slices.DeleteFunc(slices.Clone(all), func(w *WorkItem) bool { return w.turn > s.Turn() })
		require.NotEmpty(t, due)
		most := slices.MaxFunc(due, func(a, b *WorkItem) int { return int(1e9 * (a.value() - b.value())) })
		require.InDelta(t, most.value(), best.value(), 1e-9, "seed %d", seed)
		for _, w := range all {
			waits := timeunit.Ticks(0)
			for _, h := range due {
				if v := w.value(); !w.within || h.value() > v+1e-9 || h.category == w.category && h.value() >= v {
					waits = max(waits, s.now-h.arrived)
				}
			}
			// Equal values of two categories may be told apart by rounding: never less than this.
			require.GreaterOrEqual(t, s.queue(w), waits, "seed %d", seed)
		}
		for _, w := range all {
			s.decline(w, 0, false)
		}
		require.Zero(t, s.hold.n)
	}
}
