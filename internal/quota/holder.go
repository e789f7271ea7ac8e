package quota

// This file owns a server's side: what it may use at this moment and what it asks for. The check is made anew at each use, by
// the server's own clock, so that one that stood still finds its grant over before it uses it. It must never use more than
// its floor without a grant, nor say that it keeps to one while it has more in hand.

import (
	"math"

	"thistlequay/timeunit"
)

// Holder is one server's part of one limit. Its methods take the time by the server's clock; they allocate nothing.
type Holder struct {
	terms  Terms
	name   string
	slot   bool                  // it has a floor
	from   timeunit.Milliseconds // and may use it from then on
	log    uint64
	serial uint64
	amount Amount
	until  timeunit.Milliseconds
	inHand Amount
	peak   Amount // the most that was in hand since the last request
	short  bool   // and something was turned away
	area   int64  // what was in hand and waited since then, times how long
	waits  Amount
	at     timeunit.Milliseconds // of the last change of these
	since  timeunit.Milliseconds
	needs  Amount
	units  int64 // that may be taken, in thousandths of a thousandth, where the limit is a rate
	filled timeunit.Milliseconds
	taken  Amount // since the last request
	next   timeunit.Milliseconds
}

// NewHolder holds nothing but its floor, where it has a slot, and that from a moment on: what an earlier life of the server
// began may linger until then.
func NewHolder(name string, t Terms, slot bool, from timeunit.Milliseconds) *Holder {
	return &Holder{terms: t, name: name, slot: slot, from: from}
}

// Usable is what may be in hand now, in all.
func (h *Holder) Usable(now timeunit.Milliseconds) Amount {
	sum := Amount(0)
	if h.slot && now >= h.from {
		sum = h.terms.Floor
	}
	if now < h.until {
		sum += h.amount
	}
	return sum
}

// Length is that of a grant.
func (h *Holder) Length() timeunit.Milliseconds { return h.terms.Length }

// Ends is when what is usable falls back to the floor unless another answer comes; long ago without a grant.
func (h *Holder) Ends() timeunit.Milliseconds { return h.until }

// Take takes one unit of a limit of so many a second, and says whether there was one. Unused units are kept for a tenth of a
// second, one at least.
func (h *Holder) Take(now timeunit.Milliseconds) bool {
	rate := h.Usable(now)
	h.units = min(h.units+int64(rate)*int64(max(0, now-h.filled)), max(int64(Unit)*second, int64(rate)*second/10))
	h.filled = now
	if h.units < int64(Unit)*second {
		h.short = true
		return false
	}
	h.units -= int64(Unit) * second
	h.taken += Unit
	return true
}

const second = 1000 // milliseconds

// Uses tells what is in hand, for those that count it themselves, and what waits to be.
func (h *Holder) Uses(inHand, waits Amount, now timeunit.Milliseconds) {
	h.book(now)
	h.inHand, h.peak, h.waits = inHand, max(h.peak, inHand), waits
}

func (h *Holder) book(now timeunit.Milliseconds) {
	if now > h.at {
		h.area += int64(h.inHand+h.waits) * int64(now-h.at)
		h.at = now
	}
}

// Begin takes a part into use, and says whether there was room. What is turned away is asked for.
func (h *Holder) Begin(n Amount, now timeunit.Milliseconds) bool {
	if h.book(now); h.inHand+n > h.Usable(now) {
		h.short = true
		return false
	}
	h.inHand += n
	h.peak = max(h.peak, h.inHand)
	return true
}

// End gives a part back.
func (h *Holder) End(n Amount) { h.inHand = max(0, h.inHand-n) }

const askParts = 4 // a grant is asked for so often in its length

// Ask gives the request that is due; none between two.
func (h *Holder) Ask(now timeunit.Milliseconds) (r Request, due bool) {
	if now < h.next {
		return r, false
	}
	h.next = now + max(1, h.terms.Length/askParts)
	floor := Amount(0)
	if h.slot {
		floor = h.terms.Floor
	}
	h.book(now)
	most := 2 * max(h.peak, Unit) // how much more it could use it cannot know: twice as much at most
	mean := float64(h.area) / float64(max(1, now-h.since)) / float64(Unit)
	needs := min(most, Amount(mean*float64(Unit)))
	if h.terms.Rate {
		needs, h.taken = h.taken*second/Amount(max(1, h.terms.Length/askParts)), 0
		mean, most = float64(needs)/float64(Unit), 2*max(needs, Unit)
	}
	wants := needs + Amount(math.Sqrt(mean)*float64(Unit)) // room for the bursts that chance makes
	if h.area, h.since = 0, now; h.short {                 // until nothing is turned away
		needs, wants = max(needs, h.peak+Unit), most
	}
	h.needs = max(needs, h.needs-h.needs/fades) // falls slowly, so that shares do not swing with each burst
	needs = h.needs
	wants = max(needs, wants)
	r = Request{Log: h.log, Server: h.name, Asked: now, Wants: max(0, wants-floor), Needs: max(0, needs-floor)}
	if h.peak, h.short = h.inHand, false; h.inHand <= floor+h.amount {
		r.Holds = h.serial
	}
	return r, true
}

const fades = 3 // by one part in so many from one request to the next

// Answered takes an answer: of a later number, or the same once more. It holds from when it was asked, less what clocks may
// run apart. A smaller amount is in force at once.
func (h *Holder) Answered(a Answer, now timeunit.Milliseconds) {
	if a.Log > h.log && now >= h.until { // a later log grants nothing before all of the last one is over
		h.log, h.serial, h.amount = a.Log, 0, 0
	}
	if a.Log != h.log || a.Serial < h.serial || a.Asked > now || a.Amount < 0 || a.Length != h.terms.Length {
		return
	}
	until := a.Asked + timeunit.Milliseconds(float64(h.terms.Length)*(1-h.terms.Drift))
	if a.Serial > h.serial {
		h.serial, h.amount, h.until = a.Serial, a.Amount, until
	}
	h.until = max(h.until, until)
}
