package admission

import (
	"fmt"
	"testing"

	"thistlequay/timeunit"
)

// busyHost is a host that keeps what was started and called for, and nothing else.
type busyHost struct {
	Host
	started []*Request
	called  []*Request
}

func (h *busyHost) Run(r *Request)                         { h.started = append(h.started, r) }
func (h *busyHost) StartCall(r *Request, _ timeunit.Ticks) { h.called = append(h.called, r) }

func (*busyHost) Reject(*Request, timeunit.Ticks, bool) {}
func (*busyHost) Abort(*Request)                        {}
func (*busyHost) KeepEntry(*Request, timeunit.Ticks)    {}
func (*busyHost) DropEntry(*Request)                    {}
func (*busyHost) ReportLoad(float64)                    {}
func (*busyHost) SetHealth(bool, bool)                  {}
func (*busyHost) CloseIdleConnections(timeunit.Ticks)   {}
func (*busyHost) SetTimer(timeunit.Ticks)               {}
func (*busyHost) Release(*Request)                      {}

func benchConfig() Config {
	return Config{Cores: 8, MemoryKB: 1e12, RunMemoryFactor: 2, OverloadThreshold: 8, EntryKB: 1, BatchInterval: 10,
		Routers: 4, SharedDependency: true, DownstreamLimit: 100, DownstreamWindow: 50_000,
		AbandonedCallTime: 100, LoadReportMode: ReportLimit, Categories: []Category{
			{Weight: 1, SoftDeadline: 1 << 40, Deadline: 1 << 41, LateValue: 0.2},
			{Weight: 2, SoftDeadline: 1 << 40, Deadline: 1 << 41, Idempotency: Keyed, DeduplicationWindow: 100}}}
}

// One newcomer, one start, one call and one end in a batch, with so many that wait.
func BenchmarkBatch(b *testing.B) {
	for _, queued := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprintf("held=%d", queued), func(b *testing.B) {
			host := &busyHost{}
			s := New(benchConfig(), host, 0)
			now := timeunit.Ticks(0)
			n := 0
			enqueue := func() {
				n++
				s.Enqueue(Arrival{QueuedKB: 1, Category: n % 2, Router: n % 4, TimeLeft: 1 << 41, ID: uint64(n)})
			}
			for range queued + 8 {
				enqueue()
			}
			s.Dispatch()
			b.ReportAllocs()
			for b.Loop() {
				now += 7
				s.Advance(now)
				enqueue()
				for _, r := range host.called {
					r.CallEnded(Succeeded, 7)
					r.RunEnded(Succeeded, 14)
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
