package admission

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// countingHost counts the commands that depend on whether a request may run again.
type countingHost struct {
	noopHost
	runs, entries, calls, aborts, stops int
}

func (h *countingHost) Run(*Request)                       { h.runs++ }
func (h *countingHost) KeepEntry(*Request, timeunit.Ticks) { h.entries++ }
func (h *countingHost) StartCall(*Request, timeunit.Ticks) { h.calls++ }
func (h *countingHost) Abort(*Request)                     { h.aborts++ }
func (h *countingHost) StopRun(*Request)                   { h.stops++ }
func (h *countingHost) ReportLoad(float64)                 {}
func (h *countingHost) SetTimer(timeunit.Ticks)            {}

// Guards against an idempotency entry for a request that has no key: an idempotent request that is treated as one of
// another category has none, its call is made again and its run is stopped, as in its own category.
func TestIdempotentRequestStaysIdempotentInEveryCategory(t *testing.T) {
	for _, idempotency := range []Idempotency{Idempotent, Keyed, NonIdempotent} {
		host := &countingHost{}
		category := Category{Weight: 1, SoftDeadline: 1000, Deadline: 2000, DeduplicationWindow: 5000,
			Idempotency: idempotency}
		server := New(Config{Categories: []Category{category}, Cores: 2, CanStopRuns: true, MemoryKB: 1000,
			OverloadThreshold: 8, RunMemoryFactor: 2, DownstreamLimit: 4, DownstreamWindow: 50000}, host, 0)
		request := server.Enqueue(Arrival{IsIdempotent: true, QueuedKB: 1, TimeLeft: 2000})
		server.Dispatch()
		require.Equal(t, 1, host.runs)
		request.NeedsCall()
		server.Dispatch()
		require.Equal(t, 1, host.calls)
		request.CallEnded(Indeterminate, 10)
		server.Advance(200)
		server.Dispatch()
		require.Equal(t, 2, host.calls)
		require.Zero(t, host.aborts)
		request.CallEnded(Succeeded, 10)
		request.Cancel()
		require.Equal(t, 1, host.stops)
		require.Zero(t, host.entries)
	}
}
