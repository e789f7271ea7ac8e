// This file owns the seam to the shares of the fleet: before each decision the module is told how many calls this server may have
// in hand at this moment, and what was used is asked for again. It must never make or allow a call beyond what is usable, nor
// wait for the worker.
package server

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"thistlequay/internal/quota"
	"thistlequay/internal/quota/service"
	"thistlequay/timeunit"
)

// Shares are what this server holds of the fleet's limits: calls in hand, and calls a second where that is limited.
type Shares struct {
	Sharing *service.Sharing
	Holders []*quota.Holder
	lock    sync.Mutex
	answers []quota.Answers
	wake    func()
	here    atomic.Pointer[[]service.Here]
}

const mostAnswers = 16 // that wait for the loop

// Answered is called by the worker; it hands over and does not wait.
func (s *Shares) Answered(a quota.Answers) {
	s.lock.Lock()
	if len(s.answers) < mostAnswers {
		s.answers = append(s.answers, a)
	}
	wake := s.wake
	s.lock.Unlock()
	if wake != nil {
		wake()
	}
}

// Here is what the loop last knew.
func (s *Shares) Here() []service.Here {
	if h := s.here.Load(); h != nil {
		return *h
	}
	return nil
}

// holding is the loop's side.
type holding struct {
	app   *App
	of    *Shares      // nil: the server's part is by the settings
	last  quota.Amount // that the module was told, -1 where it must be told again
	told  quota.Amount // and the log
	beat  alarm
	over  alarm
	pace  alarm
	at    timeunit.Milliseconds // of the last look
	ends  timeunit.Milliseconds // of the grant that the alarm is set for
	calls int                   // that were given up as their grant was over
}

const holdingLooks = 8 // in the length of a grant, at least

func (h *holding) start(a *App) {
	h.app, h.of, h.last = a, a.place.Shares, -1
	if h.of == nil {
		return
	}
	h.beat.ring = func() {
		h.settle()
		a.set(&h.beat, a.now+h.tenths(h.of.Holders[0].Length()/holdingLooks))
	}
	h.over.ring = h.settle
	h.pace.ring = a.index.goOn
	h.of.lock.Lock()
	h.of.wake = func() { a.wake(h.settle) }
	h.of.lock.Unlock()
	h.beat.ring()
}

func (h *holding) tenths(t timeunit.Milliseconds) timeunit.Ticks {
	return timeunit.Ticks(max(1, t) * 10)
}

// settle takes up what was granted, tells the module, and asks where that is due.
func (h *holding) settle() {
	if h.of == nil {
		return
	}
	now := h.of.Sharing.Now()
	h.of.lock.Lock()
	answers := h.of.answers
	h.of.answers = nil
	h.of.lock.Unlock()
	for _, a := range answers {
		for i, one := range a.Of {
			if i < len(h.of.Holders) && one.Serial > 0 {
				h.of.Holders[i].Answered(one, now)
			}
		}
	}
	h.at = now
	calls := h.of.Holders[0]
	usable := calls.Usable(now)
	for now >= calls.Ends() && h.app.index.out > int(usable/quota.Unit) && h.app.index.giveBack() { // the grant is over
		h.calls++
	}
	if h.app.server != nil {
		if usable != h.last {
			h.last = usable
			h.app.server.CallShare(float64(usable) / float64(quota.Unit))
		}
		if usable != h.told {
			h.told = usable
			h.app.log.Event("share").Str("limit", "calls").Float64("usable", float64(usable)/float64(quota.Unit)).Int64("ends_ms", max(0, int64(calls.Ends()-now))).Send()
		}
	}
	var asking quota.Asking
	for _, one := range h.of.Holders {
		if r, due := one.Ask(now); due {
			asking.Of = append(asking.Of, r)
		}
	}
	if len(asking.Of) == len(h.of.Holders) {
		here := make([]service.Here, 0, len(h.of.Holders))
		for _, one := range h.of.Holders {
			here = append(here, service.Here{Usable: one.Usable(now), Ends: one.Ends()})
		}
		h.of.here.Store(&here)
		h.of.Sharing.Ask(asking)
	}
	if ends := calls.Ends(); ends > now && ends != h.ends {
		h.ends = ends
		h.app.set(&h.over, h.app.now+h.tenths(ends-now))
	}
}

// decided books what is in hand now that the module has decided. Where the process stood still since, what was not written yet
// is looked at once more.
func (h *holding) decided() {
	if h.of == nil {
		return
	}
	now := h.of.Sharing.Now()
	if h.app.server != nil {
		in, stands := h.app.server.Calls()
		h.of.Holders[0].Uses(quota.Amount(in)*quota.Unit, quota.Amount(stands)*quota.Unit, now)
	}
	if now-h.at < pauseLeast {
		return
	}
	for usable := int(h.of.Holders[0].Usable(now) / quota.Unit); h.app.index.out > usable && h.app.index.withdraw(); h.calls++ {
	}
}

const pauseLeast timeunit.Milliseconds = 5 // milliseconds from a decision to its being carried out that call for another look

// may says whether a call may go out at this moment by the limit of calls a second; where it may not, the next look is set.
func (h *holding) may() bool {
	if h.of == nil || len(h.of.Holders) < 2 {
		return true
	}
	rate, now := h.of.Holders[1], h.of.Sharing.Now()
	if rate.Take(now) {
		return true
	}
	h.app.set(&h.pace, h.app.now+h.tenths(timeunit.Milliseconds(int64(quota.Unit)*1000/max(1, int64(rate.Usable(now))))))
	return false
}

func (h *holding) tell(e *zerolog.Event) {
	if h.of == nil {
		return
	}
	e.Float64("share_calls", float64(h.last)/float64(quota.Unit)).Int("share_given_up", h.calls)
}
