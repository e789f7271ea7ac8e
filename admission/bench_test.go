package admission

import (
	"fmt"
	"testing"

	"thistlequay/timeunit"
)

// busy is a host that keeps what was started and called for, and nothing else.
type busy struct {
	Host
	started []*WorkItem
	called  []*WorkItem
}

func (b *busy) Run(w *WorkItem)                    { b.started = append(b.started, w) }
func (b *busy) Call(w *WorkItem, _ timeunit.Ticks) { b.called = append(b.called, w) }

func (*busy) Decline(*WorkItem, timeunit.Ticks, bool) {}
func (*busy) BreakOff(*WorkItem)                      {}
func (*busy) Remember(*WorkItem, timeunit.Ticks)      {}
func (*busy) Forget(*WorkItem)                        {}
func (*busy) Say(float64)                             {}
func (*busy) Health(bool, bool)                       {}
func (*busy) CloseIdle(timeunit.Ticks)                {}
func (*busy) Wake(timeunit.Ticks)                     {}
func (*busy) Over(*WorkItem)                          {}

// One newcomer, one start, one call and one end in a batch, with so many that wait.
func BenchmarkBatch(b *testing.B) {
	for _, held := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			host := &busy{}
			s := New(Deployment{Cores: 8, Memory: 1e12, RunFactor: 2, Crowd: 8, EntryKb: 1, Period: 10, Callers: 4,
				SharedBelow: true, CallShare: 100, CallsOver: 50_000, Linger: 100, Tongue: Allowed, Categories: []Category{
					{Gain: 1, Contract: 1 << 40, Expiry: 1 << 41, LateShare: 0.2},
					{Gain: 2, Contract: 1 << 40, Expiry: 1 << 41, Effect: Stamped, Window: 100}}}, host, 0)
			now, n := timeunit.Ticks(0), 0
			take := func() {
				n++
				s.Take(Arrival{HeldKb: 1, Category: n % 2, Caller: n % 4, Left: 1 << 41, Door: uint64(n)})
			}
			for range held + 8 {
				take()
			}
			s.Decide()
			b.ReportAllocs()
			for b.Loop() {
				now += 7
				s.At(now)
				take()
				for _, w := range host.called {
					w.CallEnded(Well, 7)
					w.RunEnded(Well, 14)
				}
				host.called = host.called[:0]
				if len(host.started) > 0 {
					host.started[0].AtCall()
					host.started = host.started[1:]
				}
				s.Woken(Gauges{CoreUse: 1, OnCores: 8})
				s.Decide()
			}
		})
	}
}
