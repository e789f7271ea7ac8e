package membership

import (
	"cmp"
	"slices"
	"thistlequay/timeunit"
)

// proposeIfNeeded: the first of the voters that are there sees to a fleet that fits who is there.
func (a *Agreement) proposeIfNeeded() {
	now := a.view.now
	if !a.mayVote() {
		a.changeWantedSince = notWanted
		return
	}
	there := a.view.Alive()
	need := a.changeUrgency(there)
	if need == noChange {
		a.changeWantedSince = notWanted
		return
	}
	if a.changeWantedSince == notWanted {
		a.changeWantedSince = now
	}
	voters, quorum := a.electorate()
	able, count := voters[:0:0], 0
	for _, id := range voters {
		if m := a.view.Member(id); m != nil && m.isAlive() {
			if count++; m.State != StateDraining {
				able = append(able, id)
			}
		}
	}
	slices.SortFunc(able, ID.Compare)
	rank := slices.Index(able, a.config.Self)
	if count < quorum || rank < 0 || now < a.retryAfter || need < immediate && now-a.changeWantedSince < a.config.StabilityWindow {
		return
	}
	if rank > 0 && (need == countDrifted || now-a.changeWantedSince < a.config.StabilityWindow*timeunit.Milliseconds(2+rank)) { // the first has its time, and the say on counts
		return
	}
	next := a.nextConfiguration(there)
	if next.MemberCount <= a.requiredCount()/2 {
		return
	}
	a.retryAfter = now + a.config.StabilityWindow/2*timeunit.Milliseconds(1+rank)
	a.startProposal(next)
}

// requiredCount is what a fleet must have more than half of: the last one's members, and at first those that there are to be.
func (a *Agreement) requiredCount() int {
	if a.isForming() {
		return a.config.InitialSize
	}
	return a.configuration.MemberCount
}

// What calls for another fleet, the more pressing later.
type urgency int

const (
	noChange      urgency = iota
	countDrifted          // it counts others than are there
	votersMissing         // there is none, a voter is not there, or there are too few
	immediate             // a voter leaves and must be replaced before it has gone, or another fleet has been begun
)

func (a *Agreement) changeUrgency(there []ID) urgency {
	if a.acceptedValue != nil {
		return immediate
	}
	if a.configuration.Epoch == 0 || a.conflicting {
		return votersMissing
	}
	n, least := a.countStaying(there), noChange
	if a.StartNewGenesis {
		least = countDrifted
	}
	if off := n - a.configuration.MemberCount; max(off, -off) > a.configuration.MemberCount/countDriftFraction {
		least = countDrifted
	}
	if len(a.configuration.Voters) < largestOdd(min(n, a.config.MaxVoters)) {
		least = votersMissing
	}
	for _, v := range a.configuration.Voters {
		m := a.view.Member(v.ID)
		if m != nil && m.isAlive() && m.State == StateDraining {
			return immediate
		}
		if m == nil || !m.isAlive() {
			least = votersMissing
		}
	}
	return least
}

const countDriftFraction = 10 // a fleet that differs by more than one in so many is another

func largestOdd(n int) int { return n - (n+1)%2 }

func (a *Agreement) countStaying(there []ID) (n int) {
	for _, id := range there {
		if a.view.Member(id).State != StateDraining {
			n++
		}
	}
	return n
}

// nextConfiguration is the fleet of those who are there. Voters that stay keep their places, the others go to the lives that began
// first, one zone after the other, so that the loss of a zone takes as few as can be.
func (a *Agreement) nextConfiguration(there []ID) Configuration {
	f := Configuration{Epoch: max(a.highestEpoch, a.configuration.Epoch) + 1, MemberCount: a.countStaying(there), GenesisEpoch: a.configuration.GenesisEpoch}
	if a.isForming() || a.StartNewGenesis {
		f.GenesisEpoch = f.Epoch
	}
	f.LeaseDuration = max(a.config.LeaseDuration, timeunit.Milliseconds(f.MemberCount)*leasePerMember)
	most := largestOdd(min(f.MemberCount, a.config.MaxVoters))
	zones := map[string]int{}
	add := func(m *Member) {
		f.Voters = append(f.Voters, Voter{m.ID, m.Address})
		zones[m.Zone]++
	}
	var rest []*Member
	for _, id := range there {
		switch m := a.view.Member(id); {
		case m.State == StateDraining:
		case a.configuration.hasVoter(id) && len(f.Voters) < most:
			add(m)
		default:
			rest = append(rest, m)
		}
	}
	for len(f.Voters) < most && len(rest) > 0 {
		i := 0
		for j, m := range rest {
			if cmp.Or(cmp.Compare(zones[m.Zone], zones[rest[i].Zone]), cmp.Compare(m.Incarnation, rest[i].Incarnation)) < 0 {
				i = j
			}
		}
		add(rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	slices.SortFunc(f.Voters, func(x, y Voter) int { return x.Compare(y.ID) })
	return f
}

const leasePerMember timeunit.Milliseconds = 5 // ms of a lease for each member, so that what voters are asked stays flat
