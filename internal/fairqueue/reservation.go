package fairqueue

import "thistlequay/timeunit"

// This file owns the life of a claim: from a work item's coming to its end, and what is told to one turned away. It
// must never charge a work item twice, nor one that did not run.

type reservationState int

const (
	released reservationState = iota
	queued
	running
	suspended // at a call
)

// Reservation is one work item's place in the books. The zero claim is nobody's: nothing is charged, its turn has come.
type Reservation struct {
	StartTag      float64        // for admission.Arrival
	ExpectedDelay timeunit.Ticks // and this: until its turn comes, if its tenant goes on as it does
	flow          *flow
	tenantHash    uint64
	category      int // its category
	state         reservationState
	expectedCost  float64 // what its tenant was charged, of core time
	weight        float64 // at this weight
	startedAt     float64 // by the ledger's clock, the time at calls taken out
	suspendedAt   float64 // when it went to a call
}

// Reserve books a work item that has come, its tenant as the host knows it. Turn is up to where turns have come.
func (l *Scheduler) Reserve(tenant []byte, category int, turn float64, now timeunit.Ticks) Reservation {
	l.virtualTime = turn
	l.advance(now)
	a, hash := l.flowOf(tenant)
	w := a.weight()
	if a.lastSeen, a.openReservations = l.now, a.openReservations+1; !a.active {
		l.activate(a)
	}
	if a.kind == sharedFlow {
		l.candidates.observe(hash, l.now)
	}
	c := Reservation{flow: a, tenantHash: hash, category: category, state: queued, expectedCost: l.typicalCosts[category] * a.costFactor, weight: w}
	a.finishTag = max(a.finishTag, l.MinStartTag(turn))
	c.StartTag = a.finishTag + a.overrun()/w
	if ahead := (c.StartTag - turn) * w; ahead > 0 {
		c.ExpectedDelay = timeunit.Ticks(min(ahead/a.expectedRate(a.recentRate), 1<<40))
	}
	a.finishTag += c.expectedCost / w
	return c
}

// activate counts a tenant as active before the next beat does.
func (l *Scheduler) activate(a *flow) {
	a.active = true
	switch a.kind {
	case heavyHitterFlow:
		l.activeHeavyHitters++
	case sharedFlow:
		l.activeSharedFlows++
	}
	l.activeWeight += a.weight()
}

// overrun is by how much its runs have outgrown what was estimated: it is not waited for their ends to know that.
func (a *flow) overrun() float64 {
	return max(0, float64(a.runningRequests)*a.scheduler.coreClock-a.startSum-a.expectedCostSum)
}

// Start: its run begins.
func (c *Reservation) Start(now timeunit.Ticks) {
	if c.flow == nil || c.state != queued {
		return
	}
	l := c.flow.scheduler
	l.advance(now)
	c.startedAt = l.coreClock
	c.setRunning(running, 1)
}

// setRunning takes its run onto the cores (1) or off them (-1).
func (c *Reservation) setRunning(to reservationState, by int) {
	c.state = to
	c.flow.runningRequests += by
	c.flow.startSum += float64(by) * c.startedAt
	c.flow.expectedCostSum += float64(by) * c.expectedCost
	c.flow.scheduler.runningRequests += by
}

// UndoStart: it is proven that its run never began after all.
func (c *Reservation) UndoStart(now timeunit.Ticks) {
	c.Resume(now)
	if c.flow == nil || c.state != running {
		return
	}
	c.flow.scheduler.advance(now)
	c.setRunning(queued, -1)
}

// Suspend: its run waits for what lies below and needs no core.
func (c *Reservation) Suspend(now timeunit.Ticks) {
	if c.flow == nil || c.state != running {
		return
	}
	l := c.flow.scheduler
	l.advance(now)
	c.suspendedAt = l.coreClock
	c.setRunning(suspended, -1)
}

// Resume: its run goes on.
func (c *Reservation) Resume(now timeunit.Ticks) {
	if c.flow == nil || c.state != suspended {
		return
	}
	l := c.flow.scheduler
	l.advance(now)
	c.startedAt += l.coreClock - c.suspendedAt
	c.setRunning(running, 1)
}

// Release ends the claim. What ran is charged what it took; what did not run gets its charge back. Nothing happens twice.
func (c *Reservation) Release(now timeunit.Ticks) {
	if c.flow == nil || c.state == released {
		return
	}
	a := c.flow
	l := a.scheduler
	l.advance(now)
	took, ran := 0.0, c.state != queued
	switch c.state {
	case running:
		took = l.coreClock - c.startedAt
		c.setRunning(released, -1)
	case suspended:
		took = c.suspendedAt - c.startedAt
	}
	if ran {
		usual := &l.typicalCosts[c.category]
		a.costFactor += (min(took / *usual, maxCostFactor) - a.costFactor) * flowCostSmoothing
		*usual += (max(1, took) - *usual) * categoryCostSmoothing
		a.localSinceMeasured += took
		a.localTotal += took
		l.workSinceMeasured += took
		if a.kind == sharedFlow {
			l.candidates.charge(c.tenantHash, took)
		}
	}
	a.finishTag += (took - c.expectedCost) / c.weight
	a.openReservations--
	c.state = released
}

// RetryAfter is how long a work item that is being declined should stay away: until its tenant has room, one place after
// the other at the rate that the tenant can count on, within the most that callers heed. Least is what the server
// asks of everybody; where that is nothing, nothing is told.
func (c *Reservation) RetryAfter(least, most, now timeunit.Ticks) timeunit.Ticks {
	if c.flow == nil || least <= 0 || most <= 0 {
		return min(least, most)
	}
	a := c.flow
	l := a.scheduler
	l.advance(now)
	l.rejectedSinceMeasured = true
	gap := timeunit.Ticks(max(1, min(c.expectedCost/a.expectedRate(a.longTermRate()), 1<<40)))
	// Half of what waits before it will be through by then: there is room, and no core stands idle for it.
	a.lastReturn = max(a.lastReturn, l.now+min(max(c.ExpectedDelay, least)/2, most)) + gap
	if at := a.lastReturn - l.now; at <= most {
		return max(at, 1)
	}
	// More are turned away than have room within what callers heed: they are spread over the later half of it.
	a.lastReturn = l.now + most
	return most/2 + timeunit.Ticks(l.random.Int63n(int64(most/2)+1))
}
