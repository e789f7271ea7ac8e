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
	maxQueuedAnswers = 16 // that wait for the loop
	pollsPerLease    = 8  // at least

	// recheckAfter: when so much time passed between a decision and its being carried out, the quota is looked at
	// again.
	recheckAfter timeunit.Milliseconds = 5

	// undeclaredLimit says that admission must be notified of the limit again.
	undeclaredLimit quota.Amount = -1

	// The limits by their index in Quota.LeaseHolders.
	callLimit     = 0 // calls in flight
	callRateLimit = 1 // calls a second
)

// Quota is this server's part of the fleet's limits: on calls in flight, and on calls a second where that is limited.
// DeliverAnswers and LocalState may be called from any goroutine.
type Quota struct {
	// Service asks the coordinator for quota.
	Service *service.Service

	// LeaseHolders hold the leases, by limit; they belong to the loop.
	LeaseHolders []*quota.LeaseHolder

	lock       sync.Mutex
	answers    []quota.Response // guarded by lock, as is wake
	wake       func()
	localState atomic.Pointer[[]service.LocalLease]
}

// DeliverAnswers takes answers of the coordinator. It hands them over and does not wait; what is beyond the bound is
// dropped, as the loop asks again.
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

// LocalState returns the leases as the loop last knew them, by limit.
func (q *Quota) LocalState() []service.LocalLease {
	state := q.localState.Load()
	if state == nil {
		return nil
	}
	return *state
}

// onAnswers has wake called after each answer.
func (q *Quota) onAnswers(wake func()) {
	q.lock.Lock()
	q.wake = wake
	q.lock.Unlock()
}

func (q *Quota) takeAnswers() []quota.Response {
	q.lock.Lock()
	defer q.lock.Unlock()
	answers := q.answers
	q.answers = nil
	return answers
}

// quotaPart is the loop's side of the quota: before each decision admission is notified how many calls may be in
// flight, and what was used is requested again. It must never make or allow a call beyond what is usable, nor wait for
// the service.
type quotaPart struct {
	partDefaults
	server         *Server
	quota          *Quota                // nil where the settings alone limit calls
	admissionLimit quota.Amount          // that admission was notified of
	loggedLimit    quota.Amount          // the last one in the log
	checkedAt      timeunit.Milliseconds // when the quota was looked at last
	pollTimer      timer
	leaseTimer     timer                 // for the end of the lease
	leaseEnds      timeunit.Milliseconds // that leaseTimer is set for
	rateTimer      timer                 // for the next call that the limit of calls a second allows
	cancelledCalls int                   // that were cancelled as the lease was over
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

// poll looks at the quota several times in a lease, also when nothing else happens.
func (p *quotaPart) poll() {
	p.update()
	interval := p.quota.LeaseHolders[callLimit].LeaseDuration() / pollsPerLease
	p.server.setTimer(&p.pollTimer, p.server.now+leaseTicks(interval))
}

// leaseTicks converts a span of the quota to one of the loop, of a millisecond at least.
func leaseTicks(span timeunit.Milliseconds) timeunit.Ticks {
	return timeunit.Ticks(max(1, span)) * timeunit.TicksPerMillisecond
}

func (p *quotaPart) beforeDispatch() { p.update() }

// update takes up what was granted, tells admission, and asks for more where that is due.
func (p *quotaPart) update() {
	now := p.quota.Service.Now()
	p.takeAnswers(now)
	p.checkedAt = now
	calls := p.quota.LeaseHolders[callLimit]
	usable := calls.Usable(now)
	for now >= calls.ExpiresAt() && p.server.index.inFlight > wholeCalls(usable) { // the lease is over
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

// takeAnswers gives the coordinator's answers to the lease holders.
func (p *quotaPart) takeAnswers(now timeunit.Milliseconds) {
	for _, response := range p.quota.takeAnswers() {
		for limit, answer := range response.Limits {
			if limit < len(p.quota.LeaseHolders) && answer.LeaseVersion > 0 {
				p.quota.LeaseHolders[limit].HandleResponse(answer, now)
			}
		}
	}
}

// applyLimit tells admission how many calls may be in flight for so long, and the log when that has changed.
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

// request asks for all limits, where all of them are due.
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

// afterDispatch accounts the calls in flight now that admission has decided. Where the process stood still since the
// quota was looked at, calls that are not written yet are taken back as far as the lease has ended.
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

func wholeCalls(amount quota.Amount) int { return int(amount / quota.Unit) }

// mayCall reports whether the limit of calls a second allows a call at this moment, and takes it. Where it does not, it
// sets the timer for the next look.
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
