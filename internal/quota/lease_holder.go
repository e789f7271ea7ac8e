package quota

// This file owns a server's side: what it may use at this moment and what it asks for. The check is made anew at each use, by
// the server's own clock, so that one that stood still finds its grant over before it uses it. It must never use more than
// its floor without a grant, nor say that it keeps to one while it has more in hand.

import (
	"math"

	"thistlequay/timeunit"
)

// LeaseHolder is one server's part of one limit. Its methods take the time by the server's clock; they allocate nothing.
type LeaseHolder struct {
	config           LimitConfig
	serverName       string
	hasSlot          bool                  // it has a floor
	minimumFrom      timeunit.Milliseconds // and may use it from then on
	logID            uint64
	version          uint64
	amount           Amount
	expiresAt        timeunit.Milliseconds
	inUse            Amount
	peakInUse        Amount // the most that was in hand since the last request
	ranShort         bool   // and something was turned away
	usageIntegral    int64  // what was in hand and waited since then, times how long
	waiting          Amount
	usageUpdatedAt   timeunit.Milliseconds // of the last change of these
	periodStart      timeunit.Milliseconds
	smoothedRequired Amount
	tokens           int64 // that may be taken, in thousandths of a thousandth, where the limit is a rate
	refilledAt       timeunit.Milliseconds
	taken            Amount // since the last request
	nextRequestAt    timeunit.Milliseconds
}

// NewLeaseHolder holds nothing but its floor, where it has a slot, and that from a moment on: what an earlier life of the server
// began may linger until then.
func NewLeaseHolder(name string, t LimitConfig, slot bool, from timeunit.Milliseconds) *LeaseHolder {
	return &LeaseHolder{config: t, serverName: name, hasSlot: slot, minimumFrom: from}
}

// Usable is what may be in hand now, in all.
func (h *LeaseHolder) Usable(now timeunit.Milliseconds) Amount {
	sum := Amount(0)
	if h.hasSlot && now >= h.minimumFrom {
		sum = h.config.GuaranteedMinimum
	}
	if now < h.expiresAt {
		sum += h.amount
	}
	return sum
}

// LeaseDuration is that of a grant.
func (h *LeaseHolder) LeaseDuration() timeunit.Milliseconds { return h.config.LeaseDuration }

// ExpiresAt is when what is usable falls back to the floor unless another answer comes; long ago without a grant.
func (h *LeaseHolder) ExpiresAt() timeunit.Milliseconds { return h.expiresAt }

// TakeToken takes one unit of a limit of so many a second, and says whether there was one. Unused units are kept for a tenth of a
// second, one at least.
func (h *LeaseHolder) TakeToken(now timeunit.Milliseconds) bool {
	rate := h.Usable(now)
	h.tokens = min(h.tokens+int64(rate)*int64(max(0, now-h.refilledAt)), max(int64(Unit)*second, int64(rate)*second/10))
	h.refilledAt = now
	if h.tokens < int64(Unit)*second {
		h.ranShort = true
		return false
	}
	h.tokens -= int64(Unit) * second
	h.taken += Unit
	return true
}

const second = 1000 // milliseconds

// ReportUsage tells what is in hand, for those that count it themselves, and what waits to be.
func (h *LeaseHolder) ReportUsage(inHand, waits Amount, now timeunit.Milliseconds) {
	h.accumulateUsage(now)
	h.inUse, h.peakInUse, h.waiting = inHand, max(h.peakInUse, inHand), waits
}

func (h *LeaseHolder) accumulateUsage(now timeunit.Milliseconds) {
	if now > h.usageUpdatedAt {
		h.usageIntegral += int64(h.inUse+h.waiting) * int64(now-h.usageUpdatedAt)
		h.usageUpdatedAt = now
	}
}

// TryAcquire takes a part into use, and says whether there was room. What is turned away is asked for.
func (h *LeaseHolder) TryAcquire(n Amount, now timeunit.Milliseconds) bool {
	if h.accumulateUsage(now); h.inUse+n > h.Usable(now) {
		h.ranShort = true
		return false
	}
	h.inUse += n
	h.peakInUse = max(h.peakInUse, h.inUse)
	return true
}

// Release gives a part back.
func (h *LeaseHolder) Release(n Amount) { h.inUse = max(0, h.inUse-n) }

const requestsPerLease = 4 // a grant is asked for so often in its length

// NextRequest gives the request that is due; none between two.
func (h *LeaseHolder) NextRequest(now timeunit.Milliseconds) (r LimitRequest, due bool) {
	if now < h.nextRequestAt {
		return r, false
	}
	h.nextRequestAt = now + max(1, h.config.LeaseDuration/requestsPerLease)
	floor := Amount(0)
	if h.hasSlot {
		floor = h.config.GuaranteedMinimum
	}
	h.accumulateUsage(now)
	most := 2 * max(h.peakInUse, Unit) // how much more it could use it cannot know: twice as much at most
	mean := float64(h.usageIntegral) / float64(max(1, now-h.periodStart)) / float64(Unit)
	needs := min(most, Amount(mean*float64(Unit)))
	if h.config.IsRate {
		needs, h.taken = h.taken*second/Amount(max(1, h.config.LeaseDuration/requestsPerLease)), 0
		mean, most = float64(needs)/float64(Unit), 2*max(needs, Unit)
	}
	wants := needs + Amount(math.Sqrt(mean)*float64(Unit))   // room for the bursts that chance makes
	if h.usageIntegral, h.periodStart = 0, now; h.ranShort { // until nothing is turned away
		needs, wants = max(needs, h.peakInUse+Unit), most
	}
	h.smoothedRequired = max(needs, h.smoothedRequired-h.smoothedRequired/requiredDecayDivisor) // falls slowly, so that shares do not swing with each burst
	needs = h.smoothedRequired
	wants = max(needs, wants)
	r = LimitRequest{LogID: h.logID, Server: h.serverName, RequestedAt: now, Desired: max(0, wants-floor), Required: max(0, needs-floor)}
	if h.peakInUse, h.ranShort = h.inUse, false; h.inUse <= floor+h.amount {
		r.HeldVersion = h.version
	}
	return r, true
}

const requiredDecayDivisor = 3 // by one part in so many from one request to the next

// HandleResponse takes an answer: of a later number, or the same once more. It holds from when it was asked, less what clocks may
// run apart. A smaller amount is in force at once.
func (h *LeaseHolder) HandleResponse(a LimitResponse, now timeunit.Milliseconds) {
	if a.LogID > h.logID && now >= h.expiresAt { // a later log grants nothing before all of the last one is over
		h.logID, h.version, h.amount = a.LogID, 0, 0
	}
	if a.LogID != h.logID || a.LeaseVersion < h.version || a.RequestedAt > now || a.Amount < 0 || a.LeaseDuration != h.config.LeaseDuration {
		return
	}
	until := a.RequestedAt + timeunit.Milliseconds(float64(h.config.LeaseDuration)*(1-h.config.ClockDrift))
	if a.LeaseVersion > h.version {
		h.version, h.amount, h.expiresAt = a.LeaseVersion, a.Amount, until
	}
	h.expiresAt = max(h.expiresAt, until)
}
