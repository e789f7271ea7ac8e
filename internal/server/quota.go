package server

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"thistlequay/internal/quota"
	"thistlequay/internal/quota/service"
	"thistlequay/timeunit"
)

const (
	maxQueuedResponses = 16 // responses that wait for the event loop
	pollsPerLease      = 8  // minimum number of updates per lease duration

	// recheckThreshold is the time between update and afterDispatch from which the quota is checked again before the
	// calls are written.
	recheckThreshold timeunit.Milliseconds = 5

	// unsetLimit is the value of admissionLimit if the limit must be set in admission again.
	unsetLimit quota.Amount = -1

	// Indexes of the limits in Quota.LeaseHolders.
	callLimitIndex     = 0 // limit on downstream calls in flight
	callRateLimitIndex = 1 // limit on downstream calls per second
)

// Quota manages this server's leases on the cluster-wide limits: the limit on downstream calls in flight and, if it is
// configured, the limit on downstream calls per second. DeliverResponse and LocalState may be called from any
// goroutine.
type Quota struct {
	// Service sends quota requests to the coordinator.
	Service *service.Service

	// LeaseHolders holds the lease holder of each limit. Only the event loop may use them.
	LeaseHolders []*quota.LeaseHolder

	lock       sync.Mutex
	responses  []quota.Response // guarded by lock; not yet handled by the event loop
	onResponse func()           // guarded by lock; called after each response
	localState atomic.Pointer[[]service.LocalLease]
}

// DeliverResponse queues a response of the coordinator for the event loop and does not wait. If too many responses are
// queued, it drops the response, because the loop repeats its requests.
func (q *Quota) DeliverResponse(response quota.Response) {
	q.lock.Lock()
	if len(q.responses) < maxQueuedResponses {
		q.responses = append(q.responses, response)
	}
	onResponse := q.onResponse
	q.lock.Unlock()
	if onResponse != nil {
		onResponse()
	}
}

// LocalState returns the lease of each limit as of the last request to the coordinator, or nil before the first
// request.
func (q *Quota) LocalState() []service.LocalLease {
	state := q.localState.Load()
	if state == nil {
		return nil
	}
	return *state
}

// subscribe sets the function that DeliverResponse calls after each response.
func (q *Quota) subscribe(onResponse func()) {
	q.lock.Lock()
	q.onResponse = onResponse
	q.lock.Unlock()
}

// takeResponses returns the queued responses and empties the queue.
func (q *Quota) takeResponses() []quota.Response {
	q.lock.Lock()
	defer q.lock.Unlock()
	responses := q.responses
	q.responses = nil
	return responses
}

// quotaSubsystem applies the quota on the event loop. Before each dispatch, and also when a response arrives, when the
// lease expires and periodically, update handles the coordinator's responses, cancels calls that an expired lease no
// longer covers, sets admission's limit on calls in flight and requests new leases according to usage. The subsystem
// must never make or allow a call beyond the usable quota, nor wait for the service.
type quotaSubsystem struct {
	subsystemDefaults
	server             *Server
	quota              *Quota                // nil if only the settings limit calls
	admissionLimit     quota.Amount          // limit last set in admission
	loggedLimit        quota.Amount          // limit last logged
	updatedAt          timeunit.Milliseconds // time of the last update
	pollTimer          timer
	leaseTimer         timer                 // fires when the lease expires
	leaseTimerDeadline timeunit.Milliseconds // expiry for which leaseTimer is set
	rateTimer          timer                 // fires when the limit on calls per second may allow the next call
	cancelledCalls     int                   // calls cancelled because the lease had expired
}

func (p *quotaSubsystem) init(server *Server) {
	p.server = server
	p.quota = server.config.Quota
	p.admissionLimit = unsetLimit
	p.pollTimer.fire = p.poll
	p.leaseTimer.fire = p.update
	p.rateTimer.fire = server.index.sendRateLimited
}

func (p *quotaSubsystem) isEnabled() bool { return p.quota != nil }

func (p *quotaSubsystem) start() {
	p.quota.subscribe(func() { p.server.trySubmit(p.update) })
	p.poll()
}

// poll updates the quota at least pollsPerLease times per lease duration, even if nothing else happens.
func (p *quotaSubsystem) poll() {
	p.update()
	interval := p.quota.LeaseHolders[callLimitIndex].LeaseDuration() / pollsPerLease
	p.server.setTimer(&p.pollTimer, p.server.now+ticksFromMilliseconds(interval))
}

// ticksFromMilliseconds converts milliseconds to ticks. The result is at least one millisecond.
func ticksFromMilliseconds(duration timeunit.Milliseconds) timeunit.Ticks {
	return timeunit.Ticks(max(1, duration)) * timeunit.TicksPerMillisecond
}

func (p *quotaSubsystem) beforeDispatch() { p.update() }

// update handles the coordinator's responses, cancels calls that an expired lease no longer covers, sets admission's
// limit and sends the next request if it is due.
func (p *quotaSubsystem) update() {
	now := p.quota.Service.Now()
	p.handleResponses(now)
	p.updatedAt = now
	calls := p.quota.LeaseHolders[callLimitIndex]
	usable := calls.Usable(now)
	for now >= calls.ExpiresAt() && p.server.index.inFlight > wholeCalls(usable) { // the lease has expired
		if !p.server.index.cancelNewest() {
			break
		}
		p.cancelledCalls++
	}
	p.applyLimit(usable, calls.ExpiresAt()-now)
	p.requestLeases(now)
	if expiresAt := calls.ExpiresAt(); expiresAt > now && expiresAt != p.leaseTimerDeadline {
		p.leaseTimerDeadline = expiresAt
		p.server.setTimer(&p.leaseTimer, p.server.now+ticksFromMilliseconds(expiresAt-now))
	}
}

// handleResponses passes the coordinator's responses to the lease holders.
func (p *quotaSubsystem) handleResponses(now timeunit.Milliseconds) {
	for _, response := range p.quota.takeResponses() {
		for limit, limitResponse := range response.Limits {
			if limit < len(p.quota.LeaseHolders) && limitResponse.LeaseVersion > 0 {
				p.quota.LeaseHolders[limit].HandleResponse(limitResponse, now)
			}
		}
	}
}

// applyLimit sets admission's limit on calls in flight and logs a change of it. remaining is the time until the lease
// expires, which is logged too.
func (p *quotaSubsystem) applyLimit(usable quota.Amount, remaining timeunit.Milliseconds) {
	if p.server.admission == nil {
		return
	}
	limit := float64(usable) / float64(quota.Unit)
	if usable != p.admissionLimit {
		p.admissionLimit = usable
		p.server.admission.SetDownstreamLimit(limit)
	}
	if usable != p.loggedLimit {
		p.loggedLimit = usable
		p.server.log.Event("quota").Str("limit", "calls").Float64("usable", limit).
			Int64("ends_ms", max(0, int64(remaining))).Send()
	}
}

// requestLeases sends a request for all limits if a request for each of them is due, and publishes the leases for
// LocalState.
func (p *quotaSubsystem) requestLeases(now timeunit.Milliseconds) {
	var request quota.Request
	for _, holder := range p.quota.LeaseHolders {
		if limit, isDue := holder.NextRequest(now); isDue {
			request.Limits = append(request.Limits, limit)
		}
	}
	if len(request.Limits) != len(p.quota.LeaseHolders) {
		return
	}
	state := make([]service.LocalLease, 0, len(p.quota.LeaseHolders))
	for _, holder := range p.quota.LeaseHolders {
		state = append(state, service.LocalLease{Usable: holder.Usable(now), ExpiresAt: holder.ExpiresAt()})
	}
	p.quota.localState.Store(&state)
	p.quota.Service.Request(request)
}

// afterDispatch reports the usage that results from the dispatch. If the process was paused since the last update, the
// lease may have expired in the meantime; calls beyond the usable quota are then withdrawn if they are not yet written.
func (p *quotaSubsystem) afterDispatch() {
	now := p.quota.Service.Now()
	calls := p.quota.LeaseHolders[callLimitIndex]
	if p.server.admission != nil {
		inFlight, waiting := p.server.admission.DownstreamCalls()
		calls.ReportUsage(quota.Amount(inFlight)*quota.Unit, quota.Amount(waiting)*quota.Unit, now)
	}
	if now-p.updatedAt < recheckThreshold {
		return
	}
	usable := wholeCalls(calls.Usable(now))
	for p.server.index.inFlight > usable && p.server.index.withdrawUnwritten() {
		p.cancelledCalls++
	}
}

// wholeCalls returns the number of calls that an amount allows, rounded down.
func wholeCalls(amount quota.Amount) int { return int(amount / quota.Unit) }

// takeCallToken takes a token of the limit on calls per second and reports whether there was one. If there was none, it
// sets the timer that retries the waiting calls.
func (p *quotaSubsystem) takeCallToken() bool {
	if p.quota == nil || len(p.quota.LeaseHolders) <= callRateLimitIndex {
		return true
	}
	rate := p.quota.LeaseHolders[callRateLimitIndex]
	now := p.quota.Service.Now()
	if rate.TakeToken(now) {
		return true
	}
	intervalMS := int64(quota.Unit) * int64(timeunit.MillisecondsPerSecond) / max(1, int64(rate.Usable(now)))
	p.server.setTimer(&p.rateTimer, p.server.now+ticksFromMilliseconds(timeunit.Milliseconds(intervalMS)))
	return false
}

func (p *quotaSubsystem) addState(event *zerolog.Event) {
	event.Float64("quota_calls", float64(p.admissionLimit)/float64(quota.Unit)).
		Int("quota_calls_cancelled", p.cancelledCalls)
}
