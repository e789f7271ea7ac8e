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

// heapKB returns the size of the live heap in kilobytes, after a garbage collection.
func heapKB() float64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc) / 1024
}

// State that is kept for each router or tenant name must not leak or slow a server down. For 45 simulated minutes every
// request comes from a new router, a new tenant name is reserved every second, and the load changes its tenant after
// each third. The worst tenant must get at least 90% of the share of the best one, and the heap may grow by at most
// 1 MB from the second quarter to the last.
func TestMeasuredLongRunKeepsServingAndDoesNotGrow(t *testing.T) {
	const (
		loadSeconds         = 2700.0
		quarterSeconds      = 675
		sampleOffsetSeconds = 300 // seconds after the start of each quarter
		maxGrowthKB         = 1024
		requestsPerSecond   = 90
		minShareOfBest      = 0.9
	)
	var streams []*emulator.Stream
	for i, tenant := range []string{"first", "second", "last"} {
		from := loadSeconds / 3 * float64(i)
		streams = append(streams, &emulator.Stream{
			Tenant:            tenant,
			Weight:            1,
			ArrivalsPerSecond: requestsPerSecond,
			From:              from,
			To:                from + loadSeconds/3,
			MeanCoreSeconds:   requestCoreSeconds,
			PriorityWeight:    1,
		})
	}
	config := newConfig(true, streams...)
	config.DurationSeconds = loadSeconds
	config.UniqueRouterPerRequest = true
	random := rand.New(rand.NewSource(3))
	var heap []float64
	config.OnSecond = func(second int, scheduler *fairqueue.Scheduler) {
		now := timeunit.Ticks(second) * ticksPerSecond
		tenant := []byte{byte(random.Intn(256)), byte(random.Intn(256)), byte(random.Intn(256))}
		reservation := scheduler.Reserve(tenant, 0, 0, now)
		reservation.Release(now)
		if second%quarterSeconds == sampleOffsetSeconds {
			heap = append(heap, heapKB())
		}
	}
	result := Run(config)
	best := 0.0
	worst := 1.0
	for _, stats := range result.Tenants {
		share := stats.DeliveredValue / stats.RequestedValue
		best = max(best, share)
		worst = min(worst, share)
		t.Logf("measured long-run third=%s requested=%d served=%.3f", stats.Tenant, stats.Requests, share)
	}
	t.Logf("measured long-run heap_kb_by_quarter=%.0f unanswered=%d past_deadline=%d",
		heap, result.Unanswered, result.AnsweredPastDeadline)
	require.GreaterOrEqual(t, worst, minShareOfBest*best)
	require.Less(t, heap[len(heap)-1], heap[1]+maxGrowthKB)
	require.Zero(t, result.Unanswered+result.AnsweredPastDeadline)
}
