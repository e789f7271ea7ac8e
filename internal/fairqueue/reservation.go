package fairqueue

import "thistlequay/timeunit"

// How the cost of a request is estimated.
const (
	// initialCostFraction of its soft deadline is what a request is expected to cost before any was measured.
	initialCostFraction = 1.0 / 16

	// flowCostSmoothing is the weight of the newest request in a flow's cost factor, a running mean.
	flowCostSmoothing = 1.0 / 8

	// categoryCostSmoothing is the weight of the newest request in a category's typical cost, a running mean.
	categoryCostSmoothing = 1.0 / 64

	// maxCostFactor bounds the cost that one request contributes to its flow's cost factor, in typical costs.
	maxCostFactor = 64
)

// maxExpectedDelay bounds times computed from a rate, so that they fit timeunit.Ticks.
const maxExpectedDelay = 1 << 40

// reservationState is where a request stands in the eyes of the scheduler.
type reservationState int

const (
	released  reservationState = iota // ended, or never opened
	queued                            // not started
	running                           // started and in need of a core
	suspended                         // started and waiting for a downstream call
)

// Reservation is the place of one request in the accounts of its flow, from arrival to end. The zero Reservation
// belongs to no flow: nothing is charged and every method does nothing. No request is charged twice, and none that did
// not run.
type Reservation struct {
	// StartTag is the virtual start tag of the request.
	StartTag float64

	// ExpectedDelay is the time until the virtual time reaches StartTag if the tenant goes on as it does.
	ExpectedDelay timeunit.Ticks

	flow         *flow
	tenantHash   uint64
	category     int
	state        reservationState
	expectedCost float64 // core time charged in advance
	weight       float64 // of the flow when it was charged
	startedAt    float64 // on the core clock, moved on by the time spent suspended
	suspendedAt  float64 // on the core clock
}

// Reserve opens a reservation for a request that has arrived. The virtual time is the highest start tag that the server
// has started.
func (s *Scheduler) Reserve(tenant []byte, category int, virtualTime float64, now timeunit.Ticks) Reservation {
	s.virtualTime = virtualTime
	s.advance(now)
	flow, hash := s.flowOf(tenant)
	weight := flow.weight()
	flow.lastSeen = s.now
	flow.openReservations++
	if !flow.active {
		s.activate(flow)
	}
	if flow.kind == sharedFlow {
		s.candidates.observe(hash, s.now)
	}
	flow.finishTag = max(flow.finishTag, s.MinStartTag(virtualTime))
	r := Reservation{
		StartTag:     flow.finishTag + flow.overrun()/weight,
		flow:         flow,
		tenantHash:   hash,
		category:     category,
		state:        queued,
		expectedCost: s.typicalCosts[category] * flow.costFactor,
		weight:       weight,
	}
	if ahead := (r.StartTag - virtualTime) * weight; ahead > 0 {
		r.ExpectedDelay = timeunit.Ticks(min(ahead/flow.expectedRate(flow.recentRate), maxExpectedDelay))
	}
	flow.finishTag += r.expectedCost / weight
	return r
}

// Start notes that the request starts to run.
func (r *Reservation) Start(now timeunit.Ticks) {
	if r.flow == nil || r.state != queued {
		return
	}
	r.flow.scheduler.advance(now)
	r.startedAt = r.flow.scheduler.coreClock
	r.occupyCore()
}

// UndoStart notes that the request is proven not to have started after all.
func (r *Reservation) UndoStart(now timeunit.Ticks) {
	r.Resume(now)
	if r.flow == nil || r.state != running {
		return
	}
	r.flow.scheduler.advance(now)
	r.leaveCore(queued)
}

// Suspend notes that the request waits for a downstream call and needs no core.
func (r *Reservation) Suspend(now timeunit.Ticks) {
	if r.flow == nil || r.state != running {
		return
	}
	r.flow.scheduler.advance(now)
	r.suspendedAt = r.flow.scheduler.coreClock
	r.leaveCore(suspended)
}

// Resume notes that the downstream call has ended.
func (r *Reservation) Resume(now timeunit.Ticks) {
	if r.flow == nil || r.state != suspended {
		return
	}
	s := r.flow.scheduler
	s.advance(now)
	r.startedAt += s.coreClock - r.suspendedAt
	r.occupyCore()
}

// occupyCore counts the request among those that need a core.
func (r *Reservation) occupyCore() {
	flow := r.flow
	r.state = running
	flow.runningRequests++
	flow.startSum += r.startedAt
	flow.expectedCostSum += r.expectedCost
	flow.scheduler.runningRequests++
}

// leaveCore counts the running request among those that need no core, in the state to.
func (r *Reservation) leaveCore(to reservationState) {
	flow := r.flow
	r.state = to
	flow.runningRequests--
	flow.startSum -= r.startedAt
	flow.expectedCostSum -= r.expectedCost
	flow.scheduler.runningRequests--
}

// Release ends the reservation: the expected cost is replaced by the measured one, which is nothing for a request that
// did not start. Releasing again does nothing.
func (r *Reservation) Release(now timeunit.Ticks) {
	if r.flow == nil || r.state == released {
		return
	}
	flow := r.flow
	flow.scheduler.advance(now)
	cost := 0.0
	switch r.state {
	case running:
		cost = flow.scheduler.coreClock - r.startedAt
		r.leaveCore(released)
		r.account(cost)
	case suspended:
		cost = r.suspendedAt - r.startedAt
		r.account(cost)
	}
	flow.finishTag += (cost - r.expectedCost) / r.weight
	flow.openReservations--
	r.state = released
}

// account adds the measured cost of a request that ran to the estimates and to the usage of its flow.
func (r *Reservation) account(cost float64) {
	flow := r.flow
	s := flow.scheduler
	typical := &s.typicalCosts[r.category]
	flow.costFactor += (min(cost / *typical, maxCostFactor) - flow.costFactor) * flowCostSmoothing
	*typical += (max(1, cost) - *typical) * categoryCostSmoothing
	flow.localSinceMeasured += cost
	flow.localTotal += cost
	s.workSinceMeasured += cost
	if flow.kind == sharedFlow {
		s.candidates.charge(r.tenantHash, cost)
	}
}

// RetryAfter is how long the client of a request that is being rejected should wait: until its tenant has capacity,
// one place after the other at the rate that the tenant can count on, and no longer than clients heed (longest). The
// server asks every client to wait for shortest; where that is 0 or less it asks for nothing, and the smaller of both
// is returned.
func (r *Reservation) RetryAfter(shortest, longest, now timeunit.Ticks) timeunit.Ticks {
	if r.flow == nil || shortest <= 0 || longest <= 0 {
		return min(shortest, longest)
	}
	flow := r.flow
	s := flow.scheduler
	s.advance(now)
	s.rejectedSinceMeasured = true
	timePerRequest := timeunit.Ticks(max(1, min(r.expectedCost/flow.expectedRate(flow.longTermRate()),
		maxExpectedDelay)))
	// Half of the requests that are queued before it will be through by then: there is capacity, and no core stands
	// idle until it comes back.
	earliest := s.now + min(max(r.ExpectedDelay, shortest)/2, longest)
	flow.lastReturn = max(flow.lastReturn, earliest) + timePerRequest
	if wait := flow.lastReturn - s.now; wait <= longest {
		return max(wait, 1)
	}
	// More are rejected than have capacity within the time that clients heed: they are spread over its later half.
	flow.lastReturn = s.now + longest
	return longest/2 + timeunit.Ticks(s.random.Int63n(int64(longest/2)+1))
}
