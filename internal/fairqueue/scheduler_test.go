package fairqueue

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/admission"
	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

func terms(named int) Config {
	t := Config{OthersWeight: 0.1, NewcomerFraction: 0.25, MaxHeavyHitters: 256, SharedFlows: 128, Burst: 2_000, MinHistory: 50_000,
		RehashInterval: 300_000, Cores: 4, SoftDeadlines: []timeunit.Ticks{6_400}}
	for i := range named {
		t.Tenants = append(t.Tenants, Tenant{Name: fmt.Sprint("tenant-", i), Weight: 1})
	}
	return t
}

func held() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Ten thousand new names in a minute: the books take what they took after a second.
func TestMeasuredLedgerMemory(t *testing.T) {
	before := held()
	l := New(terms(4), rand.New(rand.NewSource(1)), 0)
	var first uint64
	for i := range 10_000 {
		now := timeunit.Ticks(i * 60)
		c := l.Reserve(fmt.Append(nil, "new-", i), 0, 0, now)
		c.Start(now)
		c.Release(now + 50)
		if i == 170 {
			first = held() - before
		}
	}
	last := held() - before
	t.Logf("measured fair-queues memory_after_1s=%d memory_after_60s=%d books=%d", first, last, l.Stats().HeavyHitters)
	require.Less(t, last, uint64(512<<10))
	require.Less(t, last, first+first/4+4096)
	require.Zero(t, l.Stats().HeavyHitters)
}

// Whatever comes in whatever order, what was not run is not charged, and nothing is charged twice: when all is over, two
// tenants that had the same runs stand alike, and one that was only turned away stands where it began.
func FuzzClaims(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) { playClaims(t, seed, golden.NewHistory()) })
}

// playClaims opens claims of three tenants and has random things happen to them; what each was told goes into history.
func playClaims(t *testing.T, seed int64, history *golden.History) {
	r := rand.New(rand.NewSource(seed))
	l := New(terms(3), rand.New(rand.NewSource(seed)), 0)
	now, turn := timeunit.Ticks(0), 0.0
	var open [][2]*Reservation
	for range 200 {
		now += timeunit.Ticks(r.Intn(300))
		switch k := r.Intn(6); {
		case k == 0:
			a, b := l.Reserve([]byte("tenant-0"), 0, turn, now), l.Reserve([]byte("tenant-1"), 0, turn, now)
			open = append(open, [2]*Reservation{&a, &b})
			no := l.Reserve([]byte("tenant-2"), 0, turn, now)
			told := no.RetryAfter(100, 10_000, now)
			addClaim(history, &a, now)
			addClaim(history, &b, now)
			addClaim(history, &no, now)
			history.Add(told)
			require.True(t, told > 0 && told <= 10_000, told)
			no.Release(now)
			no.Release(now)
		case len(open) > 0:
			i := r.Intn(len(open))
			for _, c := range open[i] {
				switch k {
				case 1:
					c.Start(now)
				case 2:
					c.Suspend(now)
				case 3:
					c.Resume(now)
				case 4:
					c.Release(now)
					c.Release(now)
				case 5:
					c.UndoStart(now)
				}
			}
		}
	}
	for _, pair := range open {
		pair[0].Release(now)
		pair[1].Release(now)
	}
	a, b, c := l.Reserve([]byte("tenant-0"), 0, turn, now), l.Reserve([]byte("tenant-1"), 0, turn, now), l.Reserve([]byte("tenant-2"), 0, turn, now)
	require.InDelta(t, a.StartTag, b.StartTag, 1e-6)
	require.InDelta(t, l.MinStartTag(turn), c.StartTag, 1e-6)
	addClaim(history, &a, now)
	addClaim(history, &b, now)
	addClaim(history, &c, now)
	addLedger(history, l)
}

// quiet is a host that takes note of nothing.
type quiet struct{ run []*admission.Request }

func (q *quiet) Run(w *admission.Request)                      { q.run = append(q.run, w) }
func (*quiet) ShareResult(*admission.Request)                  {}
func (*quiet) Reject(*admission.Request, timeunit.Ticks, bool) {}
func (*quiet) Abort(*admission.Request)                        {}
func (*quiet) StopRun(*admission.Request)                      {}
func (*quiet) SkipCall(*admission.Request)                     {}
func (*quiet) StartCall(*admission.Request, timeunit.Ticks)    {}
func (*quiet) KeepEntry(*admission.Request, timeunit.Ticks)    {}
func (*quiet) DropEntry(*admission.Request)                    {}
func (*quiet) ReportLoad(float64)                              {}
func (*quiet) SetHealth(bool, bool)                            {}
func (*quiet) CloseIdleConnections(timeunit.Ticks)             {}
func (*quiet) SetTimer(timeunit.Ticks)                         {}
func (*quiet) Release(*admission.Request)                      {}

// One start and one newcomer, with so many held and so many tenants.
func BenchmarkDecide(b *testing.B) {
	for _, held := range []int{10, 1_000, 10_000} {
		for _, tenants := range []int{0, 10, 1_000, 100_000} {
			b.Run(fmt.Sprintf("held=%d/tenants=%d", held, tenants), func(b *testing.B) {
				q := &quiet{}
				s := admission.New(admission.Config{Cores: 1, MemoryKB: 1e12, RunMemoryFactor: 2, Categories: []admission.Category{
					{Weight: 1, SoftDeadline: 1 << 40, Deadline: 1 << 41}, {Weight: 2, SoftDeadline: 1 << 40, Deadline: 1 << 41}}}, q, 0)
				t := terms(min(tenants, 4))
				t.SoftDeadlines = []timeunit.Ticks{6_400, 6_400}
				l := New(t, rand.New(rand.NewSource(1)), 0)
				names := make([][]byte, tenants)
				for i := range names {
					names[i] = fmt.Append(nil, "tenant-", i)
				}
				now, n := timeunit.Ticks(0), 0
				take := func() {
					a := admission.Arrival{QueuedKB: 1, Category: n % 2}
					if tenants > 0 {
						c := l.Reserve(names[n*7919%tenants], n%2, s.VirtualTime(), now)
						a.StartTag = c.StartTag
						c.Release(now)
					}
					n++
					s.Enqueue(a)
				}
				for range held + 1 {
					take()
				}
				s.Dispatch()
				b.ReportAllocs()
				for b.Loop() {
					now++
					s.Advance(now)
					run := q.run
					q.run = q.run[:0:0]
					for _, w := range run {
						w.RunEnded(admission.Succeeded, 10)
					}
					take()
					s.Dispatch()
				}
			})
		}
	}
}

func BenchmarkClaim(b *testing.B) {
	for _, tenants := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			l := New(terms(4), rand.New(rand.NewSource(1)), 0)
			names := make([][]byte, tenants)
			for i := range names {
				names[i] = fmt.Append(nil, "name-", i)
			}
			now, i := timeunit.Ticks(0), 0
			b.ReportAllocs()
			for b.Loop() {
				now++
				i++
				c := l.Reserve(names[i*7919%tenants], 0, 0, now)
				c.Start(now)
				c.Release(now)
			}
		})
	}
}
