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
	maxQueuedAnswers = 16 // responses that wait for the event loop
	pollsPerLease    = 8  // minimum number of updates per lease duration

	// recheckAfter is the time between update and afterDispatch from which the quota is checked again before the calls
	// are written.
	recheckAfter timeunit.Milliseconds = 5

	// undeclaredLimit is the value of admissionLimit if the limit must be set in admission again.
	undeclaredLimit quota.Amount = -1

	// Indexes of the limits in Quota.LeaseHolders.
	callLimit     = 0 // limit on downstream calls in flight
	callRateLimit = 1 // limit on downstream calls per second
)

// Quota manages this server's leases on the cluster-wide limits: the limit on downstream calls in flight and, if it is
// configured, the limit on downstream calls per second. DeliverAnswers and LocalState may be called from any goroutine.
type Quota struct {
	// Service sends quota requests to the coordinator.
	Service *service.Service

	// LeaseHolders holds the lease holder of each limit. Only the event loop may use them.
	LeaseHolders []*quota.LeaseHolder

	lock       sync.Mutex
	answers    []quota.Response // guarded by lock; not yet handled by the event loop
	wake       func()           // guarded by lock; called after each response
	localState atomic.Pointer[[]service.LocalLease]
}

// DeliverAnswers queues a response of the coordinator for the event loop and does not wait. If too many responses are
// queued, it drops the response, because the loop repeats its requests.
func (q *Quota) DeliverAnswers(response quota.Response) {
	q.lock.Lock()
	if len(q.answers) < maxQueuedAnswers {
		q.answers = append(q.answers, response)
	}
	wake := q.wake
	q.lock.Unlock()
	if wake != nil {
		wake()
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

// onAnswers sets the function that DeliverAnswers calls after each response.
func (q *Quota) onAnswers(wake func()) {
	q.lock.Lock()
	q.wake = wake
	q.lock.Unlock()
}

// takeAnswers returns the queued responses and empties the queue.
func (q *Quota) takeAnswers() []quota.Response {
	q.lock.Lock()
	defer q.lock.Unlock()
	answers := q.answers
	q.answers = nil
	return answers
}

// quotaPart applies the quota on the event loop. Before each dispatch it sets admission's limit on calls in flight, and
// it requests new leases according to usage. It must never make or allow a call beyond the usable quota, nor wait for
// the service.
type quotaPart struct {
	partDefaults
	server         *Server
	quota          *Quota                // nil if only the settings limit calls
	admissionLimit quota.Amount          // limit last set in admission
	loggedLimit    quota.Amount          // limit last logged
	checkedAt      timeunit.Milliseconds // time of the last update
	pollTimer      timer
	leaseTimer     timer                 // fires when the lease expires
	leaseEnds      timeunit.Milliseconds // expiry for which leaseTimer is set
	rateTimer      timer                 // fires when the limit on calls per second may allow the next call
	cancelledCalls int                   // calls cancelled because the lease had expired
}

func (p *quotaPart) init(server *Server) {
	p.server = server
	p.quota = server.config.Quota
	p.admissionLimit = undeclaredLimit
	p.pollTimer.fire = p.poll
	p.leaseTimer.fire = p.update
	p.rateTimer.fire = server.index.sendRateLimited
}

func (p *quotaPart) isEnabled() bool { return p.quota != nil }

func (p *quotaPart) start() {
	p.quota.onAnswers(func() { p.server.trySubmit(p.update) })
	p.poll()
}

// poll updates the quota at least pollsPerLease times per lease duration, even if nothing else happens.
func (p *quotaPart) poll() {
	p.update()
	interval := p.quota.LeaseHolders[callLimit].LeaseDuration() / pollsPerLease
	p.server.setTimer(&p.pollTimer, p.server.now+leaseTicks(interval))
}

// leaseTicks converts milliseconds to ticks. The result is at least one millisecond.
func leaseTicks(span timeunit.Milliseconds) timeunit.Ticks {
	return timeunit.Ticks(max(1, span)) * timeunit.TicksPerMillisecond
}

func (p *quotaPart) beforeDispatch() { p.update() }

// update handles the coordinator's responses, cancels calls that an expired lease no longer covers, sets admission's
// limit and sends the next request if it is due.
func (p *quotaPart) update() {
	now := p.quota.Service.Now()
	p.takeAnswers(now)
	p.checkedAt = now
	calls := p.quota.LeaseHolders[callLimit]
	usable := calls.Usable(now)
	for now >= calls.ExpiresAt() && p.server.index.inFlight > wholeCalls(usable) { // the lease has expired
		if !p.server.index.cancelNewest() {
			break
		}
		p.cancelledCalls++
	}
	p.applyLimit(usable, calls.ExpiresAt()-now)
	p.request(now)
	if ends := calls.ExpiresAt(); ends > now && ends != p.leaseEnds {
		p.leaseEnds = ends
		p.server.setTimer(&p.leaseTimer, p.server.now+leaseTicks(ends-now))
	}
}

// takeAnswers passes the coordinator's responses to the lease holders.
func (p *quotaPart) takeAnswers(now timeunit.Milliseconds) {
	for _, response := range p.quota.takeAnswers() {
		for limit, answer := range response.Limits {
			if limit < len(p.quota.LeaseHolders) && answer.LeaseVersion > 0 {
				p.quota.LeaseHolders[limit].HandleResponse(answer, now)
			}
		}
	}
}

// applyLimit sets admission's limit on calls in flight and logs a change of it. remaining is the time until the lease
// expires, which is logged too.
func (p *quotaPart) applyLimit(usable quota.Amount, remaining timeunit.Milliseconds) {
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

// request sends a request for all limits if a request for each of them is due, and publishes the leases for LocalState.
func (p *quotaPart) request(now timeunit.Milliseconds) {
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
func (p *quotaPart) afterDispatch() {
	now := p.quota.Service.Now()
	calls := p.quota.LeaseHolders[callLimit]
	if p.server.admission != nil {
		inFlight, waiting := p.server.admission.DownstreamCalls()
		calls.ReportUsage(quota.Amount(inFlight)*quota.Unit, quota.Amount(waiting)*quota.Unit, now)
	}
	if now-p.checkedAt < recheckAfter {
		return
	}
	usable := wholeCalls(calls.Usable(now))
	for p.server.index.inFlight > usable && p.server.index.withdrawUnwritten() {
		p.cancelledCalls++
	}
}

// wholeCalls returns the number of calls that an amount allows, rounded down.
func wholeCalls(amount quota.Amount) int { return int(amount / quota.Unit) }

// mayCall takes a token of the limit on calls per second and reports whether there was one. If there was none, it sets
// the timer that retries the waiting calls.
func (p *quotaPart) mayCall() bool {
	if p.quota == nil || len(p.quota.LeaseHolders) <= callRateLimit {
		return true
	}
	rate := p.quota.LeaseHolders[callRateLimit]
	now := p.quota.Service.Now()
	if rate.TakeToken(now) {
		return true
	}
	perCall := int64(quota.Unit) * int64(timeunit.MillisecondsPerSecond) / max(1, int64(rate.Usable(now)))
	p.server.setTimer(&p.rateTimer, p.server.now+leaseTicks(timeunit.Milliseconds(perCall)))
	return false
}

func (p *quotaPart) addState(event *zerolog.Event) {
	event.Float64("quota_calls", float64(p.admissionLimit)/float64(quota.Unit)).
		Int("quota_calls_cancelled", p.cancelledCalls)
}
