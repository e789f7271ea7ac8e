package server

import (
	"sync"
	"sync/atomic"
	"thistlequay/internal/quota"
	"thistlequay/internal/quota/service"
	"thistlequay/timeunit"

	"github.com/rs/zerolog"
)

// Quota are what this server holds of the fleet's limits: calls in hand, and calls a second where that is limited.
type Quota struct {
	Service      *service.Service
	LeaseHolders []*quota.LeaseHolder
	lock         sync.Mutex
	answers      []quota.Response
	wake         func()
	localState   atomic.Pointer[[]service.LocalLease]
}

const maxQueuedAnswers = 16 // that wait for the loop

// DeliverAnswers is called by the worker; it hands over and does not wait.
func (s *Quota) DeliverAnswers(a quota.Response) {
	s.lock.Lock()
	if len(s.answers) < maxQueuedAnswers {
		s.answers = append(s.answers, a)
	}
	wake := s.wake
	s.lock.Unlock()
	if wake != nil {
		wake()
	}
}

// LocalState is what the loop last knew.
func (s *Quota) LocalState() []service.LocalLease {
	if h := s.localState.Load(); h != nil {
		return *h
	}
	return nil
}

// quotaPart is the loop's side.
type quotaPart struct {
	server         *Server
	quota          *Quota       // nil: the server's part is by the settings
	admissionLimit quota.Amount // that the module was told, -1 where it must be told again
	loggedLimit    quota.Amount // and the log
	pollTimer      timer
	leaseTimer     timer
	rateTimer      timer
	checkedAt      timeunit.Milliseconds // of the last look
	leaseEnds      timeunit.Milliseconds // of the grant that the alarm is set for
	cancelledCalls int                   // that were given up as their grant was over
}

const pollsPerLease = 8 // in the length of a grant, at least

func (h *quotaPart) start(a *Server) {
	h.server, h.quota, h.admissionLimit = a, a.config.Quota, -1
	if h.quota == nil {
		return
	}
	h.pollTimer.fire = func() {
		h.update()
		a.setTimer(&h.pollTimer, a.now+h.ticks(h.quota.LeaseHolders[0].LeaseDuration()/pollsPerLease))
	}
	h.leaseTimer.fire = h.update
	h.rateTimer.fire = a.index.sendRateLimited
	h.quota.lock.Lock()
	h.quota.wake = func() { a.trySubmit(h.update) }
	h.quota.lock.Unlock()
	h.pollTimer.fire()
}

func (h *quotaPart) ticks(t timeunit.Milliseconds) timeunit.Ticks {
	return timeunit.Ticks(max(1, t) * 10)
}

// update takes up what was granted, tells the module, and asks where that is due.
func (h *quotaPart) update() {
	if h.quota == nil {
		return
	}
	now := h.quota.Service.Now()
	h.quota.lock.Lock()
	answers := h.quota.answers
	h.quota.answers = nil
	h.quota.lock.Unlock()
	for _, a := range answers {
		for i, one := range a.Limits {
			if i < len(h.quota.LeaseHolders) && one.LeaseVersion > 0 {
				h.quota.LeaseHolders[i].HandleResponse(one, now)
			}
		}
	}
	h.checkedAt = now
	calls := h.quota.LeaseHolders[0]
	usable := calls.Usable(now)
	for now >= calls.ExpiresAt() && h.server.index.inFlight > int(usable/quota.Unit) && h.server.index.cancelNewest() { // the grant is over
		h.cancelledCalls++
	}
	if h.server.admission != nil {
		if usable != h.admissionLimit {
			h.admissionLimit = usable
			h.server.admission.SetDownstreamLimit(float64(usable) / float64(quota.Unit))
		}
		if usable != h.loggedLimit {
			h.loggedLimit = usable
			h.server.log.Event("quota").Str("limit", "calls").Float64("usable", float64(usable)/float64(quota.Unit)).Int64("ends_ms", max(0, int64(calls.ExpiresAt()-now))).Send()
		}
	}
	var asking quota.Request
	for _, one := range h.quota.LeaseHolders {
		if r, due := one.NextRequest(now); due {
			asking.Limits = append(asking.Limits, r)
		}
	}
	if len(asking.Limits) == len(h.quota.LeaseHolders) {
		here := make([]service.LocalLease, 0, len(h.quota.LeaseHolders))
		for _, one := range h.quota.LeaseHolders {
			here = append(here, service.LocalLease{Usable: one.Usable(now), ExpiresAt: one.ExpiresAt()})
		}
		h.quota.localState.Store(&here)
		h.quota.Service.Request(asking)
	}
	if ends := calls.ExpiresAt(); ends > now && ends != h.leaseEnds {
		h.leaseEnds = ends
		h.server.setTimer(&h.leaseTimer, h.server.now+h.ticks(ends-now))
	}
}

// afterBatch books what is in hand now that the module has decided. Where the process stood still since, what was not written yet
// is looked at once more.
func (h *quotaPart) afterBatch() {
	if h.quota == nil {
		return
	}
	now := h.quota.Service.Now()
	if h.server.admission != nil {
		in, stands := h.server.admission.DownstreamCalls()
		h.quota.LeaseHolders[0].ReportUsage(quota.Amount(in)*quota.Unit, quota.Amount(stands)*quota.Unit, now)
	}
	if now-h.checkedAt < recheckAfter {
		return
	}
	for usable := int(h.quota.LeaseHolders[0].Usable(now) / quota.Unit); h.server.index.inFlight > usable && h.server.index.withdrawUnwritten(); h.cancelledCalls++ {
	}
}

const recheckAfter timeunit.Milliseconds = 5 // milliseconds from a decision to its being carried out that call for another look

// mayCall says whether a call may go out at this moment by the limit of calls a second; where it may not, the next look is set.
func (h *quotaPart) mayCall() bool {
	if h.quota == nil || len(h.quota.LeaseHolders) < 2 {
		return true
	}
	rate, now := h.quota.LeaseHolders[1], h.quota.Service.Now()
	if rate.TakeToken(now) {
		return true
	}
	h.server.setTimer(&h.rateTimer, h.server.now+h.ticks(timeunit.Milliseconds(int64(quota.Unit)*1000/max(1, int64(rate.Usable(now))))))
	return false
}

func (h *quotaPart) logState(e *zerolog.Event) {
	if h.quota == nil {
		return
	}
	e.Float64("quota_calls", float64(h.admissionLimit)/float64(quota.Unit)).Int("quota_calls_cancelled", h.cancelledCalls)
}
