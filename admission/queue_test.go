package admission

import (
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// The order of the trees equals that of a scan of the whole queue, for any run times and at any time.
func TestQueueOrderIsThatOfFullScan(t *testing.T) {
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		server, queued := randomQueue(random)
		server.Advance(server.now + timeunit.Ticks(random.Intn(3000)))
		best := server.nextToStart()
		isIneligible := func(r *Request) bool { return r.startTag > server.VirtualTime() }
		eligible := slices.DeleteFunc(slices.Clone(queued), isIneligible)
		require.NotEmpty(t, eligible)
		expected := slices.MaxFunc(eligible, func(a, b *Request) int { return int(1e9 * (a.value() - b.value())) })
		require.InDelta(t, expected.value(), best.value(), 1e-9, "seed %d", seed)
		for _, request := range queued {
			// Rounding may change which of two equal values of different categories is greater, so the delay can only
			// be longer.
			delay := server.queueingDelay(request)
			require.GreaterOrEqual(t, delay, scannedDelay(server, request, eligible), "seed %d", seed)
		}
		for _, request := range queued {
			server.reject(request, 0, false)
		}
		require.Zero(t, server.queue.length)
	}
}

// randomQueue creates a server with random categories and run times, and a queue from which some requests were
// rejected.
func randomQueue(random *rand.Rand) (server *Server, queued []*Request) {
	config := Config{Cores: 2, MemoryKB: 1e9, RunMemoryFactor: 2}
	for range 1 + random.Intn(3) {
		softDeadline := timeunit.Ticks(500 + random.Intn(5000))
		config.Categories = append(config.Categories, Category{Weight: 1 + float64(random.Intn(3)),
			SoftDeadline: softDeadline, Deadline: 2 * softDeadline, LateValue: float64(random.Intn(3)) / 4})
	}
	server = New(config, noopHost{}, 0)
	for _, category := range server.categories {
		for range random.Intn(40) {
			category.runTimes.add(timeunit.Ticks(random.Intn(int(category.SoftDeadline) * 2)))
		}
	}
	for range 60 {
		server.Advance(server.now + timeunit.Ticks(random.Intn(200)))
		request := server.Enqueue(Arrival{Category: random.Intn(len(server.categories)),
			UnreadTime: timeunit.Ticks(random.Intn(300)), StartTag: float64(random.Intn(5)), QueuedKB: 1})
		server.timers.set(request, noDeadline)
		queued = append(queued, request)
		if random.Intn(3) == 0 {
			i := random.Intn(len(queued))
			server.reject(queued[i], 0, false)
			queued = slices.Delete(queued, i, i+1)
		}
	}
	return server, queued
}

// scannedDelay computes the queueing delay of a request by a scan of all eligible requests.
func scannedDelay(server *Server, request *Request, eligible []*Request) timeunit.Ticks {
	var delay timeunit.Ticks
	value := request.value()
	for _, other := range eligible {
		isAheadInCategory := other.category == request.category && other.value() >= value
		if !request.isEligible || other.value() > value+1e-9 || isAheadInCategory {
			delay = max(delay, server.now-other.arrivedAt)
		}
	}
	return delay
}
