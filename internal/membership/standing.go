package membership

// This file owns what a server may hold of its own view, and what is allowed in each case. It must never let two parts
// act as the whole.

import (
	"slices"

	"thistlequay/timeunit"
)

// QuorumStatus is what a server says of its own view.
type QuorumStatus int

const (
	Isolated QuorumStatus = iota // it hears nobody
	Minority                     // it hears some, a minority of the fleet that was agreed on, or cannot tell
	Majority                     // a majority of the voters supports it and it hears more than half of that fleet
)

// QuorumStatusNames as operators read them.
var QuorumStatusNames = []string{"alone", "part", "whole"}

func (s QuorumStatus) String() string { return QuorumStatusNames[s] }

// QuorumStatus is worked out anew at each use, so that a server that stood still finds out before it acts.
func (a *Agreement) QuorumStatus() QuorumStatus {
	if a.view.now < a.MajorityUntil() && a.view.now >= a.inForceFrom {
		return Majority
	}
	for _, m := range a.view.members {
		if m != a.view.self && m.isAlive() {
			return Minority
		}
	}
	return Isolated
}

// MajorityUntil is when the server ceases to be with the whole unless it hears from the voters; long ago where it is not.
func (a *Agreement) MajorityUntil() timeunit.Milliseconds {
	if a.configuration.Epoch == 0 || a.conflicting || 2*a.view.AliveCount() <= a.configuration.MemberCount {
		return -forever
	}
	var ends []timeunit.Milliseconds
	for _, v := range a.configuration.Voters {
		if end, is := a.leases[v.ID]; is {
			ends = append(ends, end)
		}
	}
	slices.Sort(ends)
	quorum := len(a.configuration.Voters)/2 + 1
	if len(ends) < quorum {
		return -forever
	}
	return ends[len(ends)-quorum]
}

// StatusSince is when it began to stand so, as of the last Tick.
func (a *Agreement) StatusSince() timeunit.Milliseconds { return a.statusSince }

// Operation is something that servers do together.
type Operation int

const (
	SizeOperation        Operation = iota // the figure of servers that the module reckons with
	QuotaOperation                        // parts of a limit of the whole fleet
	ExclusiveOperation                    // turns at what must not come together
	EntitlementOperation                  // tenants' parts over the fleet
	RolloutOperation                      // steps of a rolling change
)

// Permission is how much of a use is allowed.
type Permission int

const (
	NotPermitted      Permission = iota // none of it: the server does what is safe alone
	GuaranteedMinimum                   // what is kept for each who may exist, and what it holds until that ends
	ConfiguredMinimum                   // no less than was agreed on
	Unrestricted                        // as the whole
)

var permissions = map[Operation][3]Permission{ // alone, part, whole
	SizeOperation:        {ConfiguredMinimum, ConfiguredMinimum, Unrestricted},
	QuotaOperation:       {GuaranteedMinimum, GuaranteedMinimum, Unrestricted},
	ExclusiveOperation:   {NotPermitted, NotPermitted, Unrestricted},
	EntitlementOperation: {GuaranteedMinimum, GuaranteedMinimum, Unrestricted},
	RolloutOperation:     {NotPermitted, NotPermitted, Unrestricted},
}

// Permits says how much of a use is allowed to a server that stands so. Docs/peers/design.md has the reasons.
func (s QuorumStatus) Permits(u Operation) Permission { return permissions[u][s] }
