// Package simulation runs a load against the admission server, the fair scheduler and emulated cores in virtual time:
// without sockets and clocks, as fast as the machine can, and with random numbers from one seed. The same Config always
// gives the same Result. The package carries out the decisions of the admission server, as the app server does, and
// takes none itself.
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

// ticks converts seconds to ticks.
func ticks(seconds float64) timeunit.Ticks { return timeunit.Ticks(seconds * ticksPerSecond) }

// seconds converts ticks to seconds.
func seconds(t timeunit.Ticks) float64 { return float64(t) / ticksPerSecond }

// Constants of every run.
const (
	routers         = 4
	requestMemoryKB = 10   // of each request while it is queued
	runMemoryFactor = 4    // memory of a run, as a multiple of that of the queued request
	entryKB         = 1    // of an idempotency entry
	coldSpeed       = 0.3  // of a server that has just started, as a fraction of a warm one
	overloadLimit   = 8    // runnable requests per core
	settleSeconds   = 60.0 // after the end of the load: then requests without a response are counted as unanswered

	batchInterval timeunit.Ticks = 10                 // 1 ms
	drainGrace    timeunit.Ticks = 2 * ticksPerSecond // of the admission server's configuration
	drainTime     timeunit.Ticks = 3 * ticksPerSecond // from Config.DrainAtSeconds to the end
)

// Config describes the server and the load of one run.
type Config struct {
	// Seed is the seed of the load and of the fair scheduler.
	Seed int64
	// DurationSeconds is the length of the load. Responses are waited for up to a minute longer.
	DurationSeconds float64
	// Cores is the number of cores that run requests.
	Cores int
	// Slowdown is the loss of speed when the cores are overloaded (see emulator.Cores).
	Slowdown float64
	// MemoryKB is the memory limit of the admission server, in kilobytes.
	MemoryKB float64
	// Categories are the categories of requests. Streams name them by index.
	Categories []admission.Category
	// Streams are the load.
	Streams []*emulator.Stream
	// MaxRetryAfter is the longest Retry-After that clients heed.
	MaxRetryAfter timeunit.Ticks
	// WarmUpTime is how long the server warms up; 0 for a server that starts warm.
	WarmUpTime timeunit.Ticks
	// FairQueue configures the fair scheduler; nil for a server without one.
	FairQueue *fairqueue.Config
	// DrainAtSeconds is when the server begins to drain, in seconds from the start; 0 for never.
	DrainAtSeconds float64
	// UniqueRouterPerRequest has each request come by a router that was not seen before.
	UniqueRouterPerRequest bool
	// Reconfigure is called at each full second, counted from 0, and may change the configuration of the scheduler,
	// which is nil without FairQueue. Nil for no calls.
	Reconfigure func(atSeconds float64, scheduler *fairqueue.Scheduler)
	// OnSecond is called at each full second, before Reconfigure. Nil for no calls.
	OnSecond func(second int, scheduler *fairqueue.Scheduler)
}

// AdvisedRetry is the Retry-After of one rejection.
type AdvisedRetry struct {
	// Tenant is the tenant of the rejected request.
	Tenant string
	// DueSeconds is when the client is to send the request again, in seconds from the start.
	DueSeconds float64
	// RetryAfterSeconds is the Retry-After, in seconds from the rejection.
	RetryAfterSeconds float64
}

// Result is the outcome of a run.
type Result struct {
	// Tenants are the statistics of the tenants, in the order of the streams.
	Tenants []*emulator.TenantStats
	// AdvisedRetries has an entry for each rejection, in their order.
	AdvisedRetries []AdvisedRetry
	// CoreSeconds is the work done, in seconds of one core.
	CoreSeconds float64
	// Unanswered is the number of requests without a response at the end.
	Unanswered int
	// AnsweredPastDeadline is the number of responses after the deadline.
	AnsweredPastDeadline int
}

// Run simulates the load until nothing is left to happen, or a minute after the end of the load, and returns the
// result.
func Run(config Config) Result {
	h := newHost(config)
	for {
		at := h.nextEvent()
		if math.IsInf(at, 1) || at > config.DurationSeconds+settleSeconds {
			break
		}
		h.batch(at)
	}
	return h.finish()
}

// newHost returns a host at time 0, with the admission server and the load of the configuration.
func newHost(config Config) *host {
	h := &host{
		config:        config,
		cores:         &emulator.Cores{Count: float64(config.Cores), Slowdown: config.Slowdown},
		load:          emulator.NewLoad(config.Seed, config.Streams),
		statsByTenant: emulator.NewStatsByTenant(config.Streams),
		requests:      map[uint64]*request{},
		requestsByJob: map[*emulator.Job]*request{},
		timer:         math.Inf(1),
	}
	if config.FairQueue != nil {
		h.fairQueue = fairqueue.New(*config.FairQueue, rand.New(rand.NewSource(config.Seed)), 0)
	}
	h.server = admission.New(admission.Config{
		Categories:        config.Categories,
		Routers:           routers,
		Cores:             config.Cores,
		MemoryKB:          config.MemoryKB,
		RunMemoryFactor:   runMemoryFactor,
		EntryKB:           entryKB,
		BatchInterval:     batchInterval,
		DrainGrace:        drainGrace,
		OverloadThreshold: overloadLimit,
		MaxRetryAfter:     config.MaxRetryAfter,
		CanStopRuns:       true,
		StartsCold:        config.WarmUpTime > 0,
		ColdSpeed:         coldSpeed,
		WarmUpTime:        config.WarmUpTime,
	}, h, 0)
	return h
}

// nextEvent returns the time of the next event, in seconds; infinite where there is none.
func (h *host) nextEvent() float64 {
	if len(h.stopped) > 0 {
		return h.now
	}
	return min(h.cores.NextCompletion(), h.load.Next(), h.timer)
}

// batch moves the time on and reports all events of that moment to the admission server, as one iteration of the app
// server's event loop does.
func (h *host) batch(at float64) {
	h.cores.AdvanceTo(at)
	h.now = at
	h.callHooks()
	h.server.Advance(h.ticks())
	if h.config.DrainAtSeconds > 0 && at >= h.config.DrainAtSeconds && !h.draining {
		h.draining = true
		h.server.Drain(drainTime)
	}
	h.reportStopped()
	for job := h.cores.PopCompleted(); job != nil; job = h.cores.PopCompleted() {
		h.completed(job)
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

// callHooks calls the hooks of the configuration for each second that has begun.
func (h *host) callHooks() {
	for float64(h.second) <= h.now && h.now < h.config.DurationSeconds {
		if h.config.OnSecond != nil {
			h.config.OnSecond(h.second, h.fairQueue)
		}
		if h.config.Reconfigure != nil {
			h.config.Reconfigure(float64(h.second), h.fairQueue)
		}
		h.second++
	}
}

// reportStopped reports the end of the runs that the admission server stopped in the previous batch.
func (h *host) reportStopped() {
	for _, request := range h.stopped {
		request.handle.RunEnded(admission.Aborted, ticks(h.now-request.job.StartedAt))
	}
	h.stopped = h.stopped[:0]
}

// finish completes the result.
func (h *host) finish() Result {
	for _, request := range h.requests {
		if !request.answered {
			h.result.Unanswered++
		}
	}
	h.result.CoreSeconds = h.cores.CoreSeconds
	h.result.Tenants = h.statsByTenant.AssignEntitlements(float64(h.config.Cores) * h.config.DurationSeconds)
	return h.result
}
