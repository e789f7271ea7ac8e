package membership

// This file owns what a server may hold of its own view, and what is allowed in each case. It must never let two parts
// act as the whole.

import (
	"slices"

	"thistlequay/timeunit"
)

// Standing is what a server says of its own view.
type Standing int

const (
	Alone Standing = iota // it hears nobody
	Part                  // it hears some, a minority of the fleet that was agreed on, or cannot tell
	Whole                 // a majority of the voters supports it and it hears more than half of that fleet
)

// StandingNames as operators read them.
var StandingNames = []string{"alone", "part", "whole"}

func (s Standing) String() string { return StandingNames[s] }

// Standing is worked out anew at each use, so that a server that stood still finds out before it acts.
func (a *Accord) Standing() Standing {
	if a.view.now < a.Until() && a.view.now >= a.from {
		return Whole
	}
	for _, m := range a.view.all {
		if m != a.view.me && m.there() {
			return Part
		}
	}
	return Alone
}

// Until is when the server ceases to be with the whole unless it hears from the voters; long ago where it is not.
func (a *Accord) Until() timeunit.Milliseconds {
	if a.fleet.Epoch == 0 || a.torn || 2*a.view.Present() <= a.fleet.Count {
		return -forever
	}
	var ends []timeunit.Milliseconds
	for _, v := range a.fleet.Voters {
		if end, is := a.leases[v.ID]; is {
			ends = append(ends, end)
		}
	}
	slices.Sort(ends)
	quorum := len(a.fleet.Voters)/2 + 1
	if len(ends) < quorum {
		return -forever
	}
	return ends[len(ends)-quorum]
}

// Since is when it began to stand so, as of the last Tick.
func (a *Accord) Since() timeunit.Milliseconds { return a.since }

// Use is something that servers do together.
type Use int

const (
	SizeUse        Use = iota // the figure of servers that the module reckons with
	ShareUse                  // parts of a limit of the whole fleet
	TurnUse                   // turns at what must not come together
	EntitlementUse            // tenants' parts over the fleet
	RolloutUse                // steps of a rolling change
)

// Grant is how much of a use is allowed.
type Grant int

const (
	NoPart Grant = iota // none of it: the server does what is safe alone
	Floors              // what is kept for each who may exist, and what it holds until that ends
	Held                // no less than was agreed on
	Full                // as the whole
)

var grants = map[Use][3]Grant{ // alone, part, whole
	SizeUse:        {Held, Held, Full},
	ShareUse:       {Floors, Floors, Full},
	TurnUse:        {NoPart, NoPart, Full},
	EntitlementUse: {Floors, Floors, Full},
	RolloutUse:     {NoPart, NoPart, Full},
}

// Allows says how much of a use is allowed to a server that stands so. Docs/peers/design.md has the reasons.
func (s Standing) Allows(u Use) Grant { return grants[u][s] }
