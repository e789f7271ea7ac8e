// Package simulation plays a day of load against the decisions alone, as fast as the machine can: the admission
// server, the fair scheduler and emulated cores, without sockets and clocks, from one seed. The same day always has
// the same outcome. The package carries out what the admission server says, as the app server does, and takes no
// decision itself.
package simulation

import (
	"math"
	"math/rand"

	"thistlequay/admission"
	"thistlequay/internal/emulator"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

// ticksPerSecond is the number of timeunit.Ticks in a second.
const ticksPerSecond = 10_000

// ticks converts seconds.
func ticks(seconds float64) timeunit.Ticks { return timeunit.Ticks(seconds * ticksPerSecond) }

// seconds converts ticks.
func seconds(t timeunit.Ticks) float64 { return float64(t) / ticksPerSecond }

// Constants of every day.
const (
	routers         = 4
	requestMemoryKB = 10   // of each request while it is queued
	runMemoryFactor = 4    // of a run, against that of the queued request
	entryKB         = 1    // of an idempotency entry
	coldSpeed       = 0.3  // of a server that has just started, against a warm one
	overloadLimit   = 8    // runnable requests a core
	settleSeconds   = 60.0 // after the last arrival, until what is unanswered counts so

	batchInterval timeunit.Ticks = 10                 // 1 ms
	drainGrace    timeunit.Ticks = 2 * ticksPerSecond // of the admission server's configuration
	drainTime     timeunit.Ticks = 3 * ticksPerSecond // from DrainAt to the end
)

// Day is what is played.
type Day struct {
	// Seed of the load and of the fair scheduler.
	Seed int64
	// Length in seconds.
	Length float64
	// Cores of the machine, and their Slowdown when overloaded (see emulator.Cores).
	Cores    int
	Slowdown float64
	// Memory in kilobytes.
	Memory float64
	// Categories of requests.
	Categories []admission.Category
	// Streams are the load.
	Streams []*emulator.Stream
	// MaxRetryAfter is the longest Retry-After that clients heed.
	MaxRetryAfter timeunit.Ticks
	// SlowStart is how long the server warms up; 0 for one that starts warm.
	SlowStart timeunit.Ticks
	// FairQueue configures the fair scheduler; nil to play without one.
	FairQueue *fairqueue.Config
	// DrainAt is when the server begins to drain, in seconds; 0 for never.
	DrainAt float64
	// NewRouterEachRequest has each request come by a router that was never seen before.
	NewRouterEachRequest bool
	// Reconfigure is called each second, to change the fair scheduler's configuration; nil for never.
	Reconfigure func(at float64, l *fairqueue.Scheduler)
	// OnSecond is called each second, before Reconfigure; nil for never.
	OnSecond func(second int, l *fairqueue.Scheduler)
}

// AdvisedRetry is a Retry-After that a client was told.
type AdvisedRetry struct {
	Tenant     string
	At         float64 // when the client is to come back, in seconds
	RetryAfter float64 // seconds
}

// Outcome is what came of a day.
type Outcome struct {
	// Tenants are the statistics of the tenants, in the order of the streams.
	Tenants []*emulator.TenantStats
	// AdvisedRetries are in the order in which they were told.
	AdvisedRetries []AdvisedRetry
	// CoreSeconds is the work done.
	CoreSeconds float64
	// Unanswered counts requests without a response at the end.
	Unanswered int
	// AnsweredPastDeadline counts responses after the deadline.
	AnsweredPastDeadline int
}

// Play plays a day.
func Play(d Day) Outcome {
	h := newHost(d)
	for {
		at := h.nextEvent()
		if math.IsInf(at, 1) || at > d.Length+settleSeconds {
			break
		}
		h.batch(at)
	}
	return h.finish()
}

// newHost prepares a day.
func newHost(d Day) *host {
	h := &host{
		day:           d,
		cores:         &emulator.Cores{Count: float64(d.Cores), Slowdown: d.Slowdown},
		load:          emulator.NewLoad(d.Seed, d.Streams),
		statsByTenant: emulator.NewStatsByTenant(d.Streams),
		requests:      map[uint64]*request{},
		requestsByJob: map[*emulator.Job]*request{},
		timer:         math.Inf(1),
	}
	if d.FairQueue != nil {
		h.fairQueue = fairqueue.New(*d.FairQueue, rand.New(rand.NewSource(d.Seed)), 0)
	}
	h.server = admission.New(admission.Config{
		Categories:        d.Categories,
		Routers:           routers,
		Cores:             d.Cores,
		MemoryKB:          d.Memory,
		RunMemoryFactor:   runMemoryFactor,
		EntryKB:           entryKB,
		BatchInterval:     batchInterval,
		DrainGrace:        drainGrace,
		OverloadThreshold: overloadLimit,
		MaxRetryAfter:     d.MaxRetryAfter,
		CanStopRuns:       true,
		StartsCold:        d.SlowStart > 0,
		ColdSpeed:         coldSpeed,
		WarmUpTime:        d.SlowStart,
	}, h, 0)
	return h
}

// nextEvent is when something happens next, in seconds; infinite for never.
func (h *host) nextEvent() float64 {
	if len(h.stopped) > 0 {
		return h.now
	}
	return min(h.cores.NextCompletion(), h.load.Next(), h.timer)
}

// batch moves the time on and tells the admission server all that happens then, as one batch of the app server's loop.
func (h *host) batch(at float64) {
	h.cores.AdvanceTo(at)
	h.now = at
	h.callHooks()
	h.server.Advance(h.ticks())
	if h.day.DrainAt > 0 && at >= h.day.DrainAt && !h.draining {
		h.draining = true
		h.server.Drain(drainTime)
	}
	h.reportStopped()
	for j := h.cores.PopCompleted(); j != nil; j = h.cores.PopCompleted() {
		h.completed(j)
	}
	for h.load.Next() <= at {
		h.arrive(h.load.Pop())
	}
	if h.timer <= at {
		h.timer = math.Inf(1)
		utilization, runnable := h.cores.Gauges()
		h.server.OnTimer(admission.Gauges{CoreUtilization: utilization, RunnableRequests: runnable})
	}
	h.server.Dispatch()
}

// callHooks calls the day's hooks for each second that has begun.
func (h *host) callHooks() {
	for float64(h.second) <= h.now && h.now < h.day.Length {
		if h.day.OnSecond != nil {
			h.day.OnSecond(h.second, h.fairQueue)
		}
		if h.day.Reconfigure != nil {
			h.day.Reconfigure(float64(h.second), h.fairQueue)
		}
		h.second++
	}
}

// reportStopped tells the admission server of the runs that it stopped in the batch before.
func (h *host) reportStopped() {
	for _, r := range h.stopped {
		r.handle.RunEnded(admission.Aborted, ticks(h.now-r.job.StartedAt))
	}
	h.stopped = h.stopped[:0]
}

// finish sums up the day.
func (h *host) finish() Outcome {
	for _, r := range h.requests {
		if !r.answered {
			h.outcome.Unanswered++
		}
	}
	h.outcome.CoreSeconds = h.cores.CoreSeconds
	h.outcome.Tenants = h.statsByTenant.AssignEntitlements(float64(h.day.Cores) * h.day.Length)
	return h.outcome
}
