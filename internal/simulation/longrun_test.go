package simulation

import (
	"math/rand"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/emulator"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

// heapKB is the size of the heap in use, in kilobytes.
func heapKB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1024
}

// Forty-five minutes in which every request comes by a router that was never seen and every third of the time has a
// new tenant: what is served does not fall from third to third, and the memory of the admission server and the fair
// scheduler does not grow.
func TestMeasuredLongRunKeepsServingAndDoesNotGrow(t *testing.T) {
	const (
		length        = 2700.0 // seconds
		quarter       = 675    // seconds
		sampleAt      = 300    // seconds into each quarter
		maxGrowthKB   = 1024
		requestsASec  = 90
		minOfBestPart = 0.9
	)
	var streams []*emulator.Stream
	for i, tenant := range []string{"first", "second", "last"} {
		from := length / 3 * float64(i)
		streams = append(streams, &emulator.Stream{
			Tenant:            tenant,
			Weight:            1,
			ArrivalsPerSecond: requestsASec,
			From:              from,
			To:                from + length/3,
			MeanCoreSeconds:   requestCoreSeconds,
			PriorityWeight:    1,
		})
	}
	config := newConfig(true, streams...)
	config.DurationSeconds = length
	config.UniqueRouterPerRequest = true
	random := rand.New(rand.NewSource(3))
	var heap []float64
	config.OnSecond = func(second int, scheduler *fairqueue.Scheduler) {
		now := timeunit.Ticks(second) * ticksPerSecond
		tenant := []byte{byte(random.Intn(256)), byte(random.Intn(256)), byte(random.Intn(256))}
		reservation := scheduler.Reserve(tenant, 0, 0, now)
		reservation.Release(now)
		if second%quarter == sampleAt {
			heap = append(heap, heapKB())
		}
	}
	result := Run(config)
	best := 0.0
	worst := 1.0
	for _, a := range result.Tenants {
		part := a.DeliveredValue / a.RequestedValue
		best = max(best, part)
		worst = min(worst, part)
		t.Logf("measured long-life third=%s asked=%d served=%.3f", a.Tenant, a.Requests, part)
	}
	t.Logf("measured long-life heap_kb_by_quarter=%.0f silent=%d late=%d", heap, result.Unanswered,
		result.AnsweredPastDeadline)
	require.GreaterOrEqual(t, worst, minOfBestPart*best)
	require.Less(t, heap[len(heap)-1], heap[1]+maxGrowthKB)
	require.Zero(t, result.Unanswered+result.AnsweredPastDeadline)
}
