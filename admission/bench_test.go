package admission

import (
	"fmt"
	"testing"

	"thistlequay/timeunit"
)

// busy is a host that keeps what was started and called for, and nothing else.
type busy struct {
	Host
	started []*Request
	called  []*Request
}

func (b *busy) Run(w *Request)                         { b.started = append(b.started, w) }
func (b *busy) StartCall(w *Request, _ timeunit.Ticks) { b.called = append(b.called, w) }

func (*busy) Reject(*Request, timeunit.Ticks, bool) {}
func (*busy) Abort(*Request)                        {}
func (*busy) KeepEntry(*Request, timeunit.Ticks)    {}
func (*busy) DropEntry(*Request)                    {}
func (*busy) ReportLoad(float64)                    {}
func (*busy) SetHealth(bool, bool)                  {}
func (*busy) CloseIdleConnections(timeunit.Ticks)   {}
func (*busy) SetTimer(timeunit.Ticks)               {}
func (*busy) Release(*Request)                      {}

// One newcomer, one start, one call and one end in a batch, with so many that wait.
func BenchmarkBatch(b *testing.B) {
	for _, held := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			host := &busy{}
			s := New(Config{Cores: 8, MemoryKB: 1e12, RunMemoryFactor: 2, OverloadThreshold: 8, EntryKB: 1, BatchInterval: 10, Routers: 4,
				SharedDependency: true, DownstreamLimit: 100, DownstreamWindow: 50_000, AbandonedCallTime: 100, LoadReportMode: ReportLimit, Categories: []Category{
					{Weight: 1, SoftDeadline: 1 << 40, Deadline: 1 << 41, LateValue: 0.2},
					{Weight: 2, SoftDeadline: 1 << 40, Deadline: 1 << 41, Idempotency: Keyed, DeduplicationWindow: 100}}}, host, 0)
			now, n := timeunit.Ticks(0), 0
			take := func() {
				n++
				s.Enqueue(Arrival{QueuedKB: 1, Category: n % 2, Router: n % 4, TimeLeft: 1 << 41, ID: uint64(n)})
			}
			for range held + 8 {
				take()
			}
			s.Dispatch()
			b.ReportAllocs()
			for b.Loop() {
				now += 7
				s.Advance(now)
				take()
				for _, w := range host.called {
					w.CallEnded(Succeeded, 7)
					w.RunEnded(Succeeded, 14)
				}
				host.called = host.called[:0]
				if len(host.started) > 0 {
					host.started[0].NeedsCall()
					host.started = host.started[1:]
				}
				s.OnTimer(Gauges{CoreUtilization: 1, RunnableRequests: 8})
				s.Dispatch()
			}
		})
	}
}
