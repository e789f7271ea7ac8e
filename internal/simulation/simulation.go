// Package simulation runs a load against the admission server, the fair scheduler and emulated cores in virtual time.
// It uses no sockets and no clock, and takes all random numbers from one seed, so the same Config always gives the same
// Result. As in the app server, the admission server makes all decisions and the package only carries them out.
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

// Parameters that are the same in every run.
const (
	routerCount       = 4
	requestMemoryKB   = 10   // memory of a queued request
	runMemoryFactor   = 4    // memory of a run, as a multiple of requestMemoryKB
	entryKB           = 1    // memory of an idempotency entry
	coldSpeed         = 0.3  // speed of a server that has just started, as a fraction of that of a warm one
	overloadThreshold = 8    // runnable requests per core
	settleSeconds     = 60.0 // time after the load before requests without a response count as unanswered

	batchInterval timeunit.Ticks = 10                 // 1 ms
	drainGrace    timeunit.Ticks = 2 * ticksPerSecond // grace period of a drain
	stopDelay     timeunit.Ticks = 3 * ticksPerSecond // from Config.DrainAtSeconds until the process would be stopped
)

// Config describes the server and the load of a run.
type Config struct {
	// Seed seeds the random numbers of the load and of the fair scheduler.
	Seed int64
	// DurationSeconds is the duration of the load. The run waits for responses up to a minute longer.
	DurationSeconds float64
	// Cores is the number of cores that run requests.
	Cores int
	// Slowdown is the loss of speed per excess runnable request (see emulator.Cores).
	Slowdown float64
	// MemoryKB is the memory limit of the admission server, in kilobytes.
	MemoryKB float64
	// Categories are the categories of requests. Streams refer to them by index.
	Categories []admission.Category
	// Streams are the request streams that make up the load.
	Streams []*emulator.Stream
	// MaxRetryAfter is the longest Retry-After that clients honor.
	MaxRetryAfter timeunit.Ticks
	// WarmUpTime is how long the server is warming up; 0 for a server that starts warm.
	WarmUpTime timeunit.Ticks
	// FairQueue configures the fair scheduler; nil for a server without one.
	FairQueue *fairqueue.Config
	// DrainAtSeconds is when the server starts draining, in seconds from the start; 0 for never.
	DrainAtSeconds float64
	// UniqueRouterPerRequest makes each request arrive through a router that the server has not seen before.
	UniqueRouterPerRequest bool
	// Reconfigure is called at each full second, counted from 0, and may reconfigure the scheduler, which is nil if
	// FairQueue is nil. A nil Reconfigure is not called.
	Reconfigure func(atSeconds float64, scheduler *fairqueue.Scheduler)
	// OnSecond is called at each full second, before Reconfigure. A nil OnSecond is not called.
	OnSecond func(second int, scheduler *fairqueue.Scheduler)
}

// AdvisedRetry is the Retry-After of one rejection.
type AdvisedRetry struct {
	// Tenant is the tenant of the rejected request.
	Tenant string
	// DueSeconds is when the client is advised to retry, in seconds from the start of the run.
	DueSeconds float64
	// RetryAfterSeconds is the Retry-After, in seconds from the rejection.
	RetryAfterSeconds float64
}

// Result is the outcome of a run.
type Result struct {
	// Tenants has the statistics of each tenant, in the order of the streams.
	Tenants []*emulator.TenantStats
	// AdvisedRetries has an entry for each rejection, in order of time.
	AdvisedRetries []AdvisedRetry
	// CoreSeconds is the work done, in core seconds.
	CoreSeconds float64
	// Unanswered is the number of requests without a response at the end.
	Unanswered int
	// AnsweredPastDeadline is the number of responses after the deadline.
	AnsweredPastDeadline int
}

// Run simulates the load until no event is left, or until a minute after the end of the load, and returns the result.
func Run(config Config) Result {
	h := newHost(config)
	for {
		at := h.nextEvent()
		if math.IsInf(at, 1) || at > config.DurationSeconds+settleSeconds {
			break
		}
		h.processBatch(at)
	}
	return h.completeResult()
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
		timerDue:      math.Inf(1),
	}
	if config.FairQueue != nil {
		h.fairQueue = fairqueue.New(*config.FairQueue, rand.New(rand.NewSource(config.Seed)), 0)
	}
	h.server = admission.New(admission.Config{
		Categories:        config.Categories,
		Routers:           routerCount,
		Cores:             config.Cores,
		MemoryKB:          config.MemoryKB,
		RunMemoryFactor:   runMemoryFactor,
		EntryKB:           entryKB,
		BatchInterval:     batchInterval,
		DrainGrace:        drainGrace,
		OverloadThreshold: overloadThreshold,
		MaxRetryAfter:     config.MaxRetryAfter,
		CanStopRuns:       true,
		StartsCold:        config.WarmUpTime > 0,
		ColdSpeed:         coldSpeed,
		WarmUpTime:        config.WarmUpTime,
	}, h, 0)
	return h
}

// nextEvent returns the time of the next event in seconds, or +Inf if there is none.
func (h *host) nextEvent() float64 {
	if len(h.stoppedRequests) > 0 {
		return h.now
	}
	return min(h.cores.NextCompletion(), h.load.Next(), h.timerDue)
}

// processBatch advances the time and reports all events of that moment to the admission server, like one iteration of
// the app server's event loop.
func (h *host) processBatch(at float64) {
	h.cores.AdvanceTo(at)
	h.now = at
	h.callHooks()
	h.server.Advance(h.ticks())
	if h.config.DrainAtSeconds > 0 && at >= h.config.DrainAtSeconds && !h.isDraining {
		h.isDraining = true
		h.server.Drain(stopDelay)
	}
	h.reportStoppedRuns()
	for job := h.cores.PopCompleted(); job != nil; job = h.cores.PopCompleted() {
		h.completeRun(job)
	}
	for h.load.Next() <= at {
		h.enqueue(h.load.Pop())
	}
	if h.timerDue <= at {
		h.timerDue = math.Inf(1)
		utilization, runnable := h.cores.Gauges()
		h.server.OnTimer(admission.Gauges{CoreUtilization: utilization, RunnableRequests: runnable})
	}
	h.server.Dispatch()
}

// callHooks calls OnSecond and Reconfigure for each full second that has been reached, until the end of the load.
func (h *host) callHooks() {
	for float64(h.nextHookSecond) <= h.now && h.now < h.config.DurationSeconds {
		if h.config.OnSecond != nil {
			h.config.OnSecond(h.nextHookSecond, h.fairQueue)
		}
		if h.config.Reconfigure != nil {
			h.config.Reconfigure(float64(h.nextHookSecond), h.fairQueue)
		}
		h.nextHookSecond++
	}
}

// reportStoppedRuns reports the end of the runs that the admission server stopped in the previous batch.
func (h *host) reportStoppedRuns() {
	for _, request := range h.stoppedRequests {
		request.handle.RunEnded(admission.Aborted, ticks(h.now-request.job.StartedAt))
	}
	h.stoppedRequests = h.stoppedRequests[:0]
}

// completeResult returns the completed result of the run.
func (h *host) completeResult() Result {
	for _, request := range h.requests {
		if !request.hasResponse {
			h.result.Unanswered++
		}
	}
	h.result.CoreSeconds = h.cores.CoreSeconds
	h.result.Tenants = h.statsByTenant.AssignEntitlements(float64(h.config.Cores) * h.config.DurationSeconds)
	return h.result
}
