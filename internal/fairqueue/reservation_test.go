package fairqueue

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// FuzzReservations checks that, for any sequence of changes, a request that did not run is charged nothing and no
// request is charged twice. At the end, two tenants with the same requests must have the same start tag, and a tenant
// whose requests were all rejected must have its initial one.
func FuzzReservations(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) { runReservationSchedule(t, seed, golden.NewHistory()) })
}

// runReservationSchedule opens reservations of three named tenants and applies random changes to them. It appends the
// start tag and the expected delay of each reservation to history.
func runReservationSchedule(t *testing.T, seed int64, history *golden.History) {
	t.Helper()
	const virtualTime = 0.0
	random := rand.New(rand.NewSource(seed))
	s := New(testConfig(3), rand.New(rand.NewSource(seed)), 0)
	now := timeunit.Ticks(0)
	reserve := func(tenant string) *Reservation {
		r := s.Reserve([]byte(tenant), 0, virtualTime, now)
		return &r
	}
	var open [][2]*Reservation // one each of tenant-0 and tenant-1, which get the same changes
	for range 200 {
		now += timeunit.Ticks(random.Intn(300))
		switch action := random.Intn(6); {
		case action == 0:
			pair := [2]*Reservation{reserve("tenant-0"), reserve("tenant-1")}
			open = append(open, pair)
			rejected := reserve("tenant-2")
			retryAfter := rejected.RetryAfter(100, 10_000, now)
			recordReservation(history, pair[0], now)
			recordReservation(history, pair[1], now)
			recordReservation(history, rejected, now)
			history.Add(retryAfter)
			require.True(t, retryAfter > 0 && retryAfter <= 10_000, retryAfter)
			rejected.Release(now)
			rejected.Release(now)
		case len(open) > 0:
			for _, r := range open[random.Intn(len(open))] {
				applyChange(r, action, now)
			}
		}
	}
	for _, pair := range open {
		pair[0].Release(now)
		pair[1].Release(now)
	}
	first := reserve("tenant-0")
	second := reserve("tenant-1")
	third := reserve("tenant-2")
	require.InDelta(t, first.ExpectedStartTag, second.ExpectedStartTag, 1e-6)
	require.InDelta(t, s.MinStartTag(virtualTime), third.ExpectedStartTag, 1e-6)
	recordReservation(history, first, now)
	recordReservation(history, second, now)
	recordReservation(history, third, now)
	recordScheduler(history, s)
}

// reservationChanges maps the commands of the scenario files to the methods that change a reservation.
var reservationChanges = map[string]func(r *Reservation, now timeunit.Ticks){
	"start":      (*Reservation).Start,
	"suspend":    (*Reservation).Suspend,
	"resume":     (*Reservation).Resume,
	"undo-start": (*Reservation).UndoStart,
	"release":    (*Reservation).Release,
}

// applyChange applies the change that action selects to a reservation. It releases twice, because the second release
// must have no effect.
func applyChange(r *Reservation, action int, now timeunit.Ticks) {
	change := [...]string{1: "start", 2: "suspend", 3: "resume", 4: "release", 5: "undo-start"}[action]
	reservationChanges[change](r, now)
	if change == "release" {
		r.Release(now)
	}
}

// BenchmarkReservation measures reserving, starting and releasing one request.
func BenchmarkReservation(b *testing.B) {
	for _, tenants := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			s := New(testConfig(4), rand.New(rand.NewSource(1)), 0)
			names := make([][]byte, tenants)
			for i := range names {
				names[i] = fmt.Append(nil, "name-", i)
			}
			now := timeunit.Ticks(0)
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				now++
				i++
				r := s.Reserve(names[i*7919%tenants], 0, 0, now)
				r.Start(now)
				r.Release(now)
			}
		})
	}
}

// Guards against tenants that swing between all and nothing: a request that was dropped from the queue, or cost less
// than expected, left a gap before the start tags of the requests behind it.
func TestQueuedRequestsAreChargedWhenTheyBecomeEligible(t *testing.T) {
	const virtualTime = 0.0
	s := New(testConfig(2), rand.New(rand.NewSource(1)), 0)
	reserve := func() *Reservation {
		r := s.Reserve([]byte("tenant-0"), 0, virtualTime, 0)
		return &r
	}
	first, dropped, last := reserve(), reserve(), reserve()
	initialTag := first.StartTag()
	step := dropped.ExpectedStartTag - first.ExpectedStartTag
	require.Positive(t, step)
	require.InDelta(t, initialTag+2*step, last.ExpectedStartTag, 1e-6)
	require.InDelta(t, initialTag, last.StartTag(), 1e-6, "queued requests are not charged")

	first.Begin(virtualTime)
	first.Begin(virtualTime)
	require.InDelta(t, initialTag+step, last.StartTag(), 1e-6, "charged once")
	dropped.Release(0)
	require.InDelta(t, initialTag+step, last.StartTag(), 1e-6, "a dropped request leaves no gap")
	first.Start(0)
	first.Release(0)
	require.InDelta(t, initialTag, last.StartTag(), 1e-6, "a request that cost nothing is charged nothing")

	s.RecordRemoteUsage("other", 0, []Usage{{Tenant: "tenant-0", CoreTime: 1}}, 0)
	s.RecordRemoteUsage("other", 0, []Usage{{Tenant: "tenant-0", CoreTime: 1001}}, 0)
	require.InDelta(t, initialTag+1000/last.flow.weight(), last.StartTag(), 1e-6, "usage elsewhere counts at once")
}
