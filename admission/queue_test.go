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

func (silent) CloseIdleConnections(timeunit.Ticks)   {}
func (silent) SetHealth(bool, bool)                  {}
func (silent) Reject(*Request, timeunit.Ticks, bool) {}
func (silent) Release(*Request)                      {}

// What the trees say of the order is what a look at the whole hold says, whatever runs took and whenever it is asked.
func TestOrderAgainstTheWholeHold(t *testing.T) {
	for seed := range int64(300) {
		r := rand.New(rand.NewSource(seed))
		d := Config{Cores: 2, MemoryKB: 1e9, RunMemoryFactor: 2}
		for range 1 + r.Intn(3) {
			contract := timeunit.Ticks(500 + r.Intn(5000))
			d.Categories = append(d.Categories, Category{Weight: 1 + float64(r.Intn(3)), SoftDeadline: contract,
				Deadline: 2 * contract, LateValue: float64(r.Intn(3)) / 4})
		}
		s := New(d, silent{}, 0)
		for _, c := range s.categories {
			for range r.Intn(40) {
				c.runTimes.add(timeunit.Ticks(r.Intn(int(c.SoftDeadline) * 2)))
			}
		}
		var all []*Request
		for range 60 {
			s.Advance(s.now + timeunit.Ticks(r.Intn(200)))
			w := s.Enqueue(Arrival{Category: r.Intn(len(s.categories)), UnreadTime: timeunit.Ticks(r.Intn(300)), StartTag: float64(r.Intn(5)), QueuedKB: 1})
			s.timers.set(w, noDeadline)
			if all = append(all, w); r.Intn(3) == 0 {
				i := r.Intn(len(all))
				s.reject(all[i], 0, false)
				all = slices.Delete(all, i, i+1)
			}
		}
		s.Advance(s.now + timeunit.Ticks(r.Intn(3000)))
		best := s.mostValuable()
		due := slices.DeleteFunc(slices.Clone(all), func(w *Request) bool { return w.startTag > s.VirtualTime() })
		require.NotEmpty(t, due)
		most := slices.MaxFunc(due, func(a, b *Request) int { return int(1e9 * (a.value() - b.value())) })
		require.InDelta(t, most.value(), best.value(), 1e-9, "seed %d", seed)
		for _, w := range all {
			waits := timeunit.Ticks(0)
			for _, h := range due {
				if v := w.value(); !w.eligible || h.value() > v+1e-9 || h.category == w.category && h.value() >= v {
					waits = max(waits, s.now-h.arrivedAt)
				}
			}
			// Equal values of two categories may be told apart by rounding: never less than this.
			require.GreaterOrEqual(t, s.queueingDelay(w), waits, "seed %d", seed)
		}
		for _, w := range all {
			s.reject(w, 0, false)
		}
		require.Zero(t, s.queue.length)
	}
}
