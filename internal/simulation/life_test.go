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

// Forty-five minutes in which every work item comes by a caller that was never seen and every third by a new tenant:
// what is served does not fall from third to third, and what the module and its ledger hold does not grow.
func TestMeasuredLongLife(t *testing.T) {
	const length = 2700.0
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / 1024
	}
	var streams []*emulator.Stream
	for i := range 3 { // a stream a third
		from := length / 3 * float64(i)
		streams = append(streams, &emulator.Stream{Tenant: []string{"first", "second", "last"}[i], Weight: 1, ArrivalsPerSecond: 90, From: from,
			To: from + length/3, MeanCoreSeconds: 0.04, PriorityWeight: 1})
	}
	d := day(true, streams...)
	d.Length, d.NewRouterEachRequest = length, true
	chance := rand.New(rand.NewSource(3))
	var held []float64
	d.OnSecond = func(second int, l *fairqueue.Scheduler) {
		now := timeunit.Ticks(second) * ticksPerSecond
		claim := l.Reserve([]byte{byte(chance.Intn(256)), byte(chance.Intn(256)), byte(chance.Intn(256))}, 0, 0, now)
		claim.Release(now)
		if second%675 == 300 {
			held = append(held, heap())
		}
	}
	o := Play(d)
	best, worst := 0.0, 1.0
	for _, a := range o.Accounts {
		part := a.Value / a.RequestedValue
		best, worst = max(best, part), min(worst, part)
		t.Logf("measured long-life third=%s asked=%d served=%.3f", a.Tenant, a.Requested, part)
	}
	t.Logf("measured long-life heap_kb_by_quarter=%.0f silent=%d late=%d", held, o.Unanswered, o.AnsweredPastDeadline)
	require.GreaterOrEqual(t, worst, 0.9*best)
	require.Less(t, held[len(held)-1], held[1]+1024)
	require.Zero(t, o.Unanswered+o.AnsweredPastDeadline)
}
