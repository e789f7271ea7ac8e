package membership

import (
	"slices"
	"thistlequay/timeunit"
)

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
		return neverHappened
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
		return neverHappened
	}
	return ends[len(ends)-quorum]
}
