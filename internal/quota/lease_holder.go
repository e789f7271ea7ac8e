package quota

import "thistlequay/timeunit"

// requestsPerLease is the number of requests sent per lease duration, so that the loss of a few requests or responses
// does not let the lease expire.
const requestsPerLease = 4

// LeaseHolder tracks one server's lease on one limit: what the server may use now and what it requests next. Its
// methods take the time on the server's clock and allocate no memory.
//
// Each use checks anew whether the lease is in force, so a process that was paused sees that its lease has expired
// before it uses it. Without a lease in force, the holder never uses more than its guaranteed minimum. It does not
// confirm a lease while it has more in use than the lease allows.
type LeaseHolder struct {
	config     LimitConfig
	serverName string

	// hasSlot reports whether the server has a guaranteed minimum, which it may use from minimumUsableFrom on.
	hasSlot           bool
	minimumUsableFrom timeunit.Milliseconds

	// The fields of the current lease. logID identifies the log that version belongs to.
	logID     uint64
	version   uint64
	amount    Amount
	expiresAt timeunit.Milliseconds

	demand        demandMeter
	bucket        tokenBucket // used if config.IsRate is set
	nextRequestAt timeunit.Milliseconds
}

// NewLeaseHolder returns a holder without a lease. If hasSlot is set, the server may use its guaranteed minimum from
// minimumUsableFrom on. Before that time, work of an earlier incarnation of the server may still be running.
func NewLeaseHolder(
	serverName string, config LimitConfig, hasSlot bool, minimumUsableFrom timeunit.Milliseconds,
) *LeaseHolder {
	return &LeaseHolder{config: config, serverName: serverName, hasSlot: hasSlot, minimumUsableFrom: minimumUsableFrom}
}

// Usable returns the total amount that the server may have in use now, including its guaranteed minimum.
func (h *LeaseHolder) Usable(now timeunit.Milliseconds) Amount {
	usable := Amount(0)
	if now >= h.minimumUsableFrom {
		usable = h.guaranteedMinimum()
	}
	if now < h.expiresAt {
		usable += h.amount
	}
	return usable
}

func (h *LeaseHolder) guaranteedMinimum() Amount {
	if !h.hasSlot {
		return 0
	}
	return h.config.GuaranteedMinimum
}

// LeaseDuration returns the configured duration of a lease.
func (h *LeaseHolder) LeaseDuration() timeunit.Milliseconds { return h.config.LeaseDuration }

// ExpiresAt returns the time at which Usable falls back to the guaranteed minimum unless the lease is renewed. It is in
// the past if there is no lease.
func (h *LeaseHolder) ExpiresAt() timeunit.Milliseconds { return h.expiresAt }

// TakeToken takes one unit of a rate limit and reports whether one was available.
func (h *LeaseHolder) TakeToken(now timeunit.Milliseconds) bool {
	if !h.bucket.take(h.Usable(now), now) {
		h.demand.wasRejected = true
		return false
	}
	return true
}

// ReportUsage sets the amounts in use and waiting. It is for callers that count usage themselves.
func (h *LeaseHolder) ReportUsage(inUse, waiting Amount, now timeunit.Milliseconds) {
	h.demand.accumulate(now)
	h.demand.setInUse(inUse)
	h.demand.waiting = waiting
}

// TryAcquire adds an amount to the usage and reports whether capacity was available. A rejection raises the demand
// reported in the next request.
func (h *LeaseHolder) TryAcquire(amount Amount, now timeunit.Milliseconds) bool {
	h.demand.accumulate(now)
	inUse := h.demand.inUse + amount
	if inUse > h.Usable(now) {
		h.demand.wasRejected = true
		return false
	}
	h.demand.setInUse(inUse)
	return true
}

// Release subtracts an amount from the usage.
func (h *LeaseHolder) Release(amount Amount) { h.demand.inUse = max(0, h.demand.inUse-amount) }

// NextRequest returns the request to send now. due is false if no request is due yet.
func (h *LeaseHolder) NextRequest(now timeunit.Milliseconds) (request LimitRequest, due bool) {
	if now < h.nextRequestAt {
		return request, false
	}
	interval := max(1, h.config.LeaseDuration/requestsPerLease)
	h.nextRequestAt = now + interval
	h.demand.accumulate(now)
	mean := h.demand.mean(now)
	if h.config.IsRate {
		mean = h.bucket.meanRate(interval)
	}
	required, desired := h.demand.estimate(mean)
	h.demand.startPeriod(now)
	minimum := h.guaranteedMinimum()
	request = LimitRequest{
		Server:      h.serverName,
		RequestedAt: now,
		Desired:     max(0, desired-minimum),
		Required:    max(0, required-minimum),
		LogID:       h.logID,
	}
	if h.demand.inUse <= minimum+h.amount {
		request.HeldVersion = h.version
	}
	return request, true
}

// HandleResponse applies a lease response. The lease is valid from the time of its request for the lease duration, less
// the maximum clock drift. A response with a later version replaces the lease, and a smaller amount takes effect at
// once. A response with the same version renews the lease.
func (h *LeaseHolder) HandleResponse(response LimitResponse, now timeunit.Milliseconds) {
	// A new log grants no lease until all leases of earlier logs have expired, so the holder switches to a later log
	// only after its own lease has expired.
	if response.LogID > h.logID && now >= h.expiresAt {
		h.logID = response.LogID
		h.version = 0
		h.amount = 0
	}
	if !h.accepts(response, now) {
		return
	}
	minDuration := timeunit.Milliseconds(float64(h.config.LeaseDuration) * (1 - h.config.ClockDrift))
	expiresAt := response.RequestedAt + minDuration
	if response.LeaseVersion > h.version {
		h.version = response.LeaseVersion
		h.amount = response.Amount
		h.expiresAt = expiresAt
	}
	h.expiresAt = max(h.expiresAt, expiresAt)
}

// accepts reports whether a response may be applied. It must belong to the holder's log, its lease version must not be
// lower than the holder's, its request time must not be in the future, its amount must not be negative, and its lease
// duration must be the configured one.
func (h *LeaseHolder) accepts(response LimitResponse, now timeunit.Milliseconds) bool {
	isCurrent := response.LogID == h.logID && response.LeaseVersion >= h.version
	isPlausible := response.RequestedAt <= now && response.Amount >= 0
	return isCurrent && isPlausible && response.LeaseDuration == h.config.LeaseDuration
}
