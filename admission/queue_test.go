package admission

import (
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// silentHost is a host that does nothing.
type silentHost struct{ Host }

func (silentHost) CloseIdleConnections(timeunit.Ticks)   {}
func (silentHost) SetHealth(bool, bool)                  {}
func (silentHost) Reject(*Request, timeunit.Ticks, bool) {}
func (silentHost) Release(*Request)                      {}

// What the trees say of the order is what a look at the whole queue says, whatever runs took and whenever it is asked.
func TestQueueOrderIsThatOfFullScan(t *testing.T) {
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		s, all := randomQueue(random)
		s.Advance(s.now + timeunit.Ticks(random.Intn(3000)))
		best := s.mostValuable()
		isAhead := func(r *Request) bool { return r.startTag > s.VirtualTime() }
		eligible := slices.DeleteFunc(slices.Clone(all), isAhead)
		require.NotEmpty(t, eligible)
		most := slices.MaxFunc(eligible, func(a, b *Request) int { return int(1e9 * (a.value() - b.value())) })
		require.InDelta(t, most.value(), best.value(), 1e-9, "seed %d", seed)
		for _, r := range all {
			// Equal values of two categories may be told apart by rounding: never less than this.
			require.GreaterOrEqual(t, s.queueingDelay(r), scannedDelay(s, r, eligible), "seed %d", seed)
		}
		for _, r := range all {
			s.reject(r, 0, false)
		}
		require.Zero(t, s.queue.length)
	}
}

// randomQueue makes a server with random categories and run times, and a queue from which some were rejected.
func randomQueue(random *rand.Rand) (s *Server, queued []*Request) {
	config := Config{Cores: 2, MemoryKB: 1e9, RunMemoryFactor: 2}
	for range 1 + random.Intn(3) {
		softDeadline := timeunit.Ticks(500 + random.Intn(5000))
		config.Categories = append(config.Categories, Category{Weight: 1 + float64(random.Intn(3)),
			SoftDeadline: softDeadline, Deadline: 2 * softDeadline, LateValue: float64(random.Intn(3)) / 4})
	}
	s = New(config, silentHost{}, 0)
	for _, c := range s.categories {
		for range random.Intn(40) {
			c.runTimes.add(timeunit.Ticks(random.Intn(int(c.SoftDeadline) * 2)))
		}
	}
	for range 60 {
		s.Advance(s.now + timeunit.Ticks(random.Intn(200)))
		r := s.Enqueue(Arrival{Category: random.Intn(len(s.categories)),
			UnreadTime: timeunit.Ticks(random.Intn(300)), StartTag: float64(random.Intn(5)), QueuedKB: 1})
		s.timers.set(r, noDeadline)
		queued = append(queued, r)
		if random.Intn(3) == 0 {
			i := random.Intn(len(queued))
			s.reject(queued[i], 0, false)
			queued = slices.Delete(queued, i, i+1)
		}
	}
	return s, queued
}

// scannedDelay is the queueing delay of r by a look at all eligible requests.
func scannedDelay(s *Server, r *Request, eligible []*Request) timeunit.Ticks {
	var delay timeunit.Ticks
	value := r.value()
	for _, other := range eligible {
		isSame := other.category == r.category && other.value() >= value
		if !r.eligible || other.value() > value+1e-9 || isSame {
			delay = max(delay, s.now-other.arrivedAt)
		}
	}
	return delay
}
