package fairqueue

import "thistlequay/timeunit"

// This file owns the life of a claim: from a work item's coming to its end, and what is told to one turned away. It
// must never charge a work item twice, nor one that did not run.

type stage int

const (
	none stage = iota
	waiting
	running
	away // at a call
)

// Claim is one work item's place in the books. The zero claim is nobody's: nothing is charged, its turn has come.
type Claim struct {
	Turn   float64        // for admission.Arrival
	Behind timeunit.Ticks // and this: until its turn comes, if its tenant goes on as it does
	of     *account
	hash   uint64
	kind   int // its category
	stage  stage
	booked float64 // what its tenant was charged, of core time
	weight float64 // at this weight
	began  float64 // by the ledger's clock, the time at calls taken out
	left   float64 // when it went to a call
}

// Open books a work item that has come, its tenant as the host knows it. Turn is up to where turns have come.
func (l *Ledger) Open(tenant []byte, category int, turn float64, now timeunit.Ticks) Claim {
	l.turn = turn
	l.at(now)
	a, hash := l.find(tenant)
	w := a.weight()
	if a.seen, a.inHand = l.now, a.inHand+1; !a.active {
		l.awake(a)
	}
	if a.kind == group {
		l.heard.hear(hash, l.now)
	}
	c := Claim{of: a, hash: hash, kind: category, stage: waiting, booked: l.usual[category] * a.cost, weight: w}
	a.finish = max(a.finish, l.Floor(turn))
	c.Turn = a.finish + a.overdue()/w
	if ahead := (c.Turn - turn) * w; ahead > 0 {
		c.Behind = timeunit.Ticks(min(ahead/a.part(a.rate), 1<<40))
	}
	a.finish += c.booked / w
	return c
}

// awake counts a tenant as active before the next beat does.
func (l *Ledger) awake(a *account) {
	a.active = true
	switch a.kind {
	case heavy:
		l.heavies++
	case group:
		l.groupsN++
	}
	l.weights += a.weight()
}

// overdue is by how much its runs have outgrown what was estimated: it is not waited for their ends to know that.
func (a *account) overdue() float64 {
	return max(0, float64(a.runs)*a.ledger.clock-a.began-a.booked)
}

// Began: its run begins.
func (c *Claim) Began(now timeunit.Ticks) {
	if c.of == nil || c.stage != waiting {
		return
	}
	l := c.of.ledger
	l.at(now)
	c.began = l.clock
	c.core(running, 1)
}

// core takes its run onto the cores (1) or off them (-1).
func (c *Claim) core(to stage, by int) {
	c.stage = to
	c.of.runs += by
	c.of.began += float64(by) * c.began
	c.of.booked += float64(by) * c.booked
	c.of.ledger.on += by
}

// Undone: it is proven that its run never began after all.
func (c *Claim) Undone(now timeunit.Ticks) {
	c.Resumed(now)
	if c.of == nil || c.stage != running {
		return
	}
	c.of.ledger.at(now)
	c.core(waiting, -1)
}

// Called: its run waits for what lies below and needs no core.
func (c *Claim) Called(now timeunit.Ticks) {
	if c.of == nil || c.stage != running {
		return
	}
	l := c.of.ledger
	l.at(now)
	c.left = l.clock
	c.core(away, -1)
}

// Resumed: its run goes on.
func (c *Claim) Resumed(now timeunit.Ticks) {
	if c.of == nil || c.stage != away {
		return
	}
	l := c.of.ledger
	l.at(now)
	c.began += l.clock - c.left
	c.core(running, 1)
}

// Close ends the claim. What ran is charged what it took; what did not run gets its charge back. Nothing happens twice.
func (c *Claim) Close(now timeunit.Ticks) {
	if c.of == nil || c.stage == none {
		return
	}
	a := c.of
	l := a.ledger
	l.at(now)
	took, ran := 0.0, c.stage != waiting
	switch c.stage {
	case running:
		took = l.clock - c.began
		c.core(none, -1)
	case away:
		took = c.left - c.began
	}
	if ran {
		usual := &l.usual[c.kind]
		a.cost += (min(took / *usual, dearest) - a.cost) * learning
		*usual += (max(1, took) - *usual) * slowly
		a.since += took
		a.total += took
		l.work += took
		if a.kind == group {
			l.heard.charge(c.hash, took)
		}
	}
	a.finish += (took - c.booked) / c.weight
	a.inHand--
	c.stage = none
}

// Return is how long a work item that is being declined should stay away: until its tenant has room, one place after
// the other at the rate that the tenant can count on, within the most that callers heed. Least is what the server
// asks of everybody; where that is nothing, nothing is told.
func (c *Claim) Return(least, most, now timeunit.Ticks) timeunit.Ticks {
	if c.of == nil || least <= 0 || most <= 0 {
		return min(least, most)
	}
	a := c.of
	l := a.ledger
	l.at(now)
	l.turned = true
	gap := timeunit.Ticks(max(1, min(c.booked/a.part(a.lasting()), 1<<40)))
	// Half of what waits before it will be through by then: there is room, and no core stands idle for it.
	a.told = max(a.told, l.now+min(max(c.Behind, least)/2, most)) + gap
	if at := a.told - l.now; at <= most {
		return max(at, 1)
	}
	// More are turned away than have room within what callers heed: they are spread over the later half of it.
	a.told = l.now + most
	return most/2 + timeunit.Ticks(l.chance.Int63n(int64(most/2)+1))
}
