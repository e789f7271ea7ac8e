package admission

import (
	"fmt"
	"testing"

	"thistlequay/timeunit"
)

// trackingHost is a host that keeps the requests that run and those that wait for a call, and ignores everything else.
type trackingHost struct {
	noopHost
	started []*Request
	called  []*Request
}

func (h *trackingHost) Run(r *Request)                         { h.started = append(h.started, r) }
func (h *trackingHost) StartCall(r *Request, _ timeunit.Ticks) { h.called = append(h.called, r) }

func (*trackingHost) Abort(*Request)                     {}
func (*trackingHost) KeepEntry(*Request, timeunit.Ticks) {}
func (*trackingHost) DropEntry(*Request)                 {}
func (*trackingHost) ReportLoad(float64)                 {}
func (*trackingHost) SetTimer(timeunit.Ticks)            {}

// BenchmarkBatch measures a batch with one arrival, one start, one call and one end, for several queue lengths.
func BenchmarkBatch(b *testing.B) {
	config := Config{Cores: 8, MemoryKB: 1e12, RunMemoryFactor: 2, OverloadThreshold: 8, EntryKB: 1, BatchInterval: 10,
		Routers: 4, SharedDependency: true, DownstreamLimit: 100, DownstreamWindow: 50_000,
		AbandonedCallTime: 100, LoadReportMode: ReportLimit, Categories: []Category{
			{Weight: 1, SoftDeadline: 1 << 40, Deadline: 1 << 41, LateValue: 0.2},
			{Weight: 2, SoftDeadline: 1 << 40, Deadline: 1 << 41, Idempotency: Keyed, DeduplicationWindow: 100}}}
	for _, queued := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			host := &trackingHost{}
			server := New(config, host, 0)
			now := timeunit.Ticks(0)
			id := 0
			enqueue := func() {
				id++
				server.Enqueue(Arrival{QueuedKB: 1, Category: id % 2, Router: id % 4, TimeLeft: 1 << 41,
					ID: uint64(id)})
			}
			for range queued + 8 {
				enqueue()
			}
			server.Dispatch()
			b.ReportAllocs()
			for b.Loop() {
				now += 7
				server.Advance(now)
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
				server.OnTimer(Gauges{CoreUtilization: 1, RunnableRequests: 8})
				server.Dispatch()
			}
		})
	}
}
