package fairqueue

import "thistlequay/timeunit"

// Parameters of the estimate of a request's cost.
const (
	// initialCostFraction is the fraction of a category's soft deadline that serves as the expected cost of its
	// requests until one has been measured.
	initialCostFraction = 1.0 / 16

	// flowCostSmoothing is the weight of the newest request in the moving average of a flow's cost factor.
	flowCostSmoothing = 1.0 / 8

	// categoryCostSmoothing is the weight of the newest request in the moving average of a category's typical cost.
	categoryCostSmoothing = 1.0 / 64

	// maxCostFactor limits what one request contributes to its flow's cost factor, as a multiple of the typical cost.
	maxCostFactor = 64
)

// maxExpectedDelay limits durations computed from a rate, in ticks, so that they fit into timeunit.Ticks.
const maxExpectedDelay = 1 << 40

// reservationState is the state of a request as known to the scheduler.
type reservationState int

const (
	stateReleased  reservationState = iota // ended, or never reserved
	stateQueued                            // not started yet
	stateRunning                           // started and needs a core
	stateSuspended                         // started and waiting for a downstream call
)

// Reservation accounts for one request in its flow, from arrival to end. No request is charged twice, and a request
// that did not run is charged nothing in the end. The zero Reservation belongs to no flow: it charges nothing, and its
// methods that change a reservation have no effect.
type Reservation struct {
	// ExpectedStartTag is the virtual time at which the request is expected to become eligible.
	ExpectedStartTag float64

	// ExpectedDelay is the estimated time until the virtual time reaches ExpectedStartTag, assuming that the rate at
	// which the tenant is served here does not change.
	ExpectedDelay timeunit.Ticks

	flow         *flow
	tenantHash   uint64
	category     int
	state        reservationState
	expectedCost float64 // core time in ticks that is charged when the request becomes eligible
	isCharged    bool    // the expected cost is charged
	weight       float64 // the flow's weight when the expected cost was charged
	startedAt    float64 // start time on the core clock, moved forward by the time spent suspended
	suspendedAt  float64 // time of the last suspension on the core clock
}

// Reserve opens a reservation for a request that has arrived and charges its expected cost to the tenant's flow.
// virtualTime is the highest start tag among the requests that the server has started.
func (s *Scheduler) Reserve(tenant []byte, category int, virtualTime float64, now timeunit.Ticks) Reservation {
	s.virtualTime = virtualTime
	s.advance(now)
	flow, hash := s.flowOf(tenant)
	weight := flow.weight()
	flow.lastSeen = s.now
	flow.openReservations++
	if !flow.isActive {
		s.activate(flow)
	}
	if flow.kind == sharedFlow {
		s.candidates.observe(hash, s.now)
	}
	r := Reservation{
		ExpectedStartTag: flow.startTag() + flow.queuedCost/weight,
		flow:             flow,
		tenantHash:       hash,
		category:         category,
		state:            stateQueued,
		expectedCost:     s.typicalCosts[category] * flow.costFactor,
	}
	if workAhead := (r.ExpectedStartTag - virtualTime) * weight; workAhead > 0 {
		r.ExpectedDelay = timeunit.Ticks(min(workAhead/flow.expectedRate(flow.servedRate()), maxExpectedDelay))
	}
	flow.queuedCost += r.expectedCost
	return r
}

// Flow identifies the flow of the request. It implements admission.Turn.
func (r *Reservation) Flow() any { return r.flow }

// StartTag returns the virtual time at which the next request of the flow becomes eligible. It implements
// admission.Turn.
func (r *Reservation) StartTag() float64 { return r.flow.startTag() }

// Begin charges the expected cost of the request to its flow, once it has become eligible at the given virtual time. It
// implements admission.Turn.
func (r *Reservation) Begin(virtualTime float64) {
	if r.flow == nil || r.isCharged || r.state == stateReleased {
		return
	}
	flow := r.flow
	s := flow.scheduler
	s.virtualTime = virtualTime
	r.isCharged = true
	r.weight = flow.weight()
	flow.subtractQueuedCost(r.expectedCost)
	flow.finishTag = max(flow.finishTag, s.MinStartTag(virtualTime)) + r.expectedCost/r.weight
}

// Start records that the request starts to run.
func (r *Reservation) Start(now timeunit.Ticks) {
	if r.flow == nil || r.state != stateQueued {
		return
	}
	r.flow.scheduler.advance(now)
	r.Begin(r.flow.scheduler.virtualTime)
	r.startedAt = r.flow.scheduler.coreClock
	r.occupyCore()
}

// UndoStart returns the request to the queued state after it has been proven that it did not start.
func (r *Reservation) UndoStart(now timeunit.Ticks) {
	r.Resume(now)
	if r.flow == nil || r.state != stateRunning {
		return
	}
	r.flow.scheduler.advance(now)
	r.leaveCore(stateQueued)
}

// Suspend records that the request waits for a downstream call and needs no core.
func (r *Reservation) Suspend(now timeunit.Ticks) {
	if r.flow == nil || r.state != stateRunning {
		return
	}
	r.flow.scheduler.advance(now)
	r.suspendedAt = r.flow.scheduler.coreClock
	r.leaveCore(stateSuspended)
}

// Resume records that the downstream call has ended and the request needs a core again.
func (r *Reservation) Resume(now timeunit.Ticks) {
	if r.flow == nil || r.state != stateSuspended {
		return
	}
	s := r.flow.scheduler
	s.advance(now)
	r.startedAt += s.coreClock - r.suspendedAt
	r.occupyCore()
}

// occupyCore sets the state to running and counts the request among those that need a core.
func (r *Reservation) occupyCore() {
	flow := r.flow
	r.state = stateRunning
	flow.runningRequests++
	flow.startTimeSum += r.startedAt
	flow.expectedCostSum += r.expectedCost
	flow.scheduler.runningRequests++
}

// leaveCore changes the state from running to newState and no longer counts the request among those that need a core.
func (r *Reservation) leaveCore(newState reservationState) {
	flow := r.flow
	r.state = newState
	flow.runningRequests--
	flow.startTimeSum -= r.startedAt
	flow.expectedCostSum -= r.expectedCost
	flow.scheduler.runningRequests--
}

// Release ends the reservation and replaces the expected cost by the measured one, which is 0 for a request that did
// not start. Releasing it again has no effect.
func (r *Reservation) Release(now timeunit.Ticks) {
	if r.flow == nil || r.state == stateReleased {
		return
	}
	flow := r.flow
	flow.scheduler.advance(now)
	cost := 0.0
	switch r.state {
	case stateRunning:
		cost = flow.scheduler.coreClock - r.startedAt
		r.leaveCore(stateReleased)
		r.recordCost(cost)
	case stateSuspended:
		cost = r.suspendedAt - r.startedAt
		r.recordCost(cost)
	}
	if r.isCharged {
		flow.finishTag += (cost - r.expectedCost) / r.weight
	} else {
		flow.subtractQueuedCost(r.expectedCost)
	}
	flow.openReservations--
	r.state = stateReleased
}

// recordCost adds the measured cost of a request that ran to the cost estimates and to the usage of its flow.
func (r *Reservation) recordCost(cost float64) {
	flow := r.flow
	s := flow.scheduler
	typicalCost := &s.typicalCosts[r.category]
	flow.costFactor += (min(cost / *typicalCost, maxCostFactor) - flow.costFactor) * flowCostSmoothing
	*typicalCost += (max(1, cost) - *typicalCost) * categoryCostSmoothing
	flow.localUsageSinceMeasured += cost
	flow.totalLocalUsage += cost
	s.usageSinceMeasured += cost
	if flow.kind == sharedFlow {
		s.candidates.charge(r.tenantHash, cost)
	}
}

// RetryAfter returns how long the client of a request that is being rejected should wait before it retries. Successive
// rejected requests of a flow get successive retry times, spaced at the rate that the flow can count on, so that each
// retry arrives when its tenant has capacity. The result is at most maxWait, the longest wait that clients respect.
// minWait is the wait that the server asks of every client; it is 0 or less if the server asks for none. If either is
// 0 or less, or the reservation belongs to no flow, RetryAfter returns the smaller of the two.
func (r *Reservation) RetryAfter(minWait, maxWait, now timeunit.Ticks) timeunit.Ticks {
	if r.flow == nil || minWait <= 0 || maxWait <= 0 {
		return min(minWait, maxWait)
	}
	flow := r.flow
	s := flow.scheduler
	s.advance(now)
	s.hasRejectedSinceMeasured = true
	retrySpacing := timeunit.Ticks(max(1, min(r.expectedCost/flow.expectedRate(flow.longTermRate()),
		maxExpectedDelay)))
	// After half of the expected delay, half of the requests queued ahead of this one will have been served. A retry
	// then finds capacity, and no core is idle until it arrives.
	earliestRetry := s.now + min(max(r.ExpectedDelay, minWait)/2, maxWait)
	flow.lastRetryAt = max(flow.lastRetryAt, earliestRetry) + retrySpacing
	if wait := flow.lastRetryAt - s.now; wait <= maxWait {
		return max(wait, 1)
	}
	// More requests are rejected than the flow has capacity for within the longest wait that clients respect. Their
	// retries are spread at random over the second half of that time.
	flow.lastRetryAt = s.now + maxWait
	return maxWait/2 + timeunit.Ticks(s.random.Int63n(int64(maxWait/2)+1))
}
