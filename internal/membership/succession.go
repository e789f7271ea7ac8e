package membership

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// This file decides when a new configuration is proposed, by which server, and what it contains.

// urgency is how urgently a new configuration is needed, by the reason for it. A greater value is more urgent.
type urgency int

const (
	noChange      urgency = iota
	countDrifted          // the member count is outdated, or a new genesis epoch is requested
	votersMissing         // there is no configuration, a voter is not alive, or there are too few voters
	immediate             // a draining voter must be replaced before it leaves, or a proposal was already accepted
)

// countDriftFraction sets the tolerated drift of the member count: a configuration is replaced when its count is off by
// more than one member in countDriftFraction.
const countDriftFraction = 10

// leasePerMember is the lease duration for each member of the cluster. The lease grows with the cluster so that the
// rate of lease requests to a voter stays constant.
const leasePerMember timeunit.Milliseconds = 5

// proposeIfNeeded proposes a new configuration when the view requires one and it is this server's turn.
func (a *Agreement) proposeIfNeeded() {
	if !a.mayVote() {
		a.proposer.changeWantedSince = notWanted
		return
	}
	now := a.view.now
	alive := a.view.Alive()
	pressing := a.changeUrgency(alive)
	if pressing == noChange {
		a.proposer.changeWantedSince = notWanted
		return
	}
	if a.proposer.changeWantedSince == notWanted {
		a.proposer.changeWantedSince = now
	}
	rank, mayPropose := a.proposerRank()
	if !mayPropose || !a.isProposalDue(pressing, rank) {
		return
	}
	next := a.nextConfiguration(alive)
	if next.MemberCount <= a.requiredCount()/2 {
		return
	}
	a.proposer.retryAfter = now + a.config.StabilityWindow/2*timeunit.Milliseconds(1+rank)
	a.startProposal(next)
}

// proposerRank returns this server's rank, starting at 0, among the acceptors that are alive and not draining, ordered
// by ID. It returns false if this server is not one of them or if no quorum of the acceptors is alive.
func (a *Agreement) proposerRank() (rank int, mayPropose bool) {
	electors, quorum := a.electorate()
	var candidates []ID
	aliveCount := 0
	for _, id := range electors {
		member := a.view.Member(id)
		if member == nil || !member.isAlive() {
			continue
		}
		aliveCount++
		if member.State != StateDraining {
			candidates = append(candidates, id)
		}
	}
	slices.SortFunc(candidates, ID.Compare)
	rank = slices.Index(candidates, a.config.Self)
	return rank, aliveCount >= quorum && rank >= 0
}

// isProposalDue reports whether the proposer with the given rank should propose now. The first proposer waits until a
// change has been needed for StabilityWindow, unless the change is immediate. Each further proposer waits longer, to
// give those before it time, and leaves a mere drift of the member count to the first.
func (a *Agreement) isProposalDue(pressing urgency, rank int) bool {
	now := a.view.now
	waited := now - a.proposer.changeWantedSince
	if now < a.proposer.retryAfter {
		return false
	}
	if pressing < immediate && waited < a.config.StabilityWindow {
		return false
	}
	if rank == 0 {
		return true
	}
	return pressing != countDrifted && waited >= a.config.StabilityWindow*timeunit.Milliseconds(2+rank)
}

// requiredCount returns the member count of which the next configuration must have more than half: the members of the
// current configuration except those that have since announced that they are leaving, or InitialSize while
// bootstrapping.
func (a *Agreement) requiredCount() int {
	if a.isForming() {
		return a.config.InitialSize
	}
	return a.configuration.MemberCount - a.countLeavers()
}

// countLeavers returns the number of members of the current configuration that have announced that they are leaving.
// Members first seen after it was learned are not part of its member count and are ignored.
func (a *Agreement) countLeavers() int {
	count := a.leavingThen
	for _, member := range a.view.members {
		if member.FirstSeen <= a.learnedAt && member.leavingFrom > a.learnedAt && member.hasAnnouncedLeave() {
			count++
		}
	}
	return count
}

// countLeavingIn returns the number of members counted in a configuration that are already leaving. Members that were
// draining when it was proposed are not counted in it, but members that began to drain afterwards are, for example when
// many drain within a second. The configuration does not list them, so their number is inferred: it counts at most all
// members that stay, so any excess over those must be draining.
func (a *Agreement) countLeavingIn(next Configuration) int {
	alive := a.view.Alive()
	staying := a.countStaying(alive)
	draining := len(alive) - staying
	return min(max(0, next.MemberCount-staying), draining)
}

// changeUrgency returns how urgently a new configuration is needed.
func (a *Agreement) changeUrgency(alive []ID) urgency {
	if a.acceptor.accepted != nil {
		return immediate
	}
	if a.configuration.Epoch == 0 || a.conflicting {
		return votersMissing
	}
	staying := a.countStaying(alive)
	result := noChange
	drift := staying - a.configuration.MemberCount
	if a.StartNewGenesis || max(drift, -drift) > a.configuration.MemberCount/countDriftFraction {
		result = countDrifted
	}
	if len(a.configuration.Voters) < largestOdd(min(staying, a.config.MaxVoters)) {
		result = votersMissing
	}
	for _, voter := range a.configuration.Voters {
		result = max(result, a.voterUrgency(voter))
	}
	return result
}

func (a *Agreement) voterUrgency(voter Voter) urgency {
	member := a.view.Member(voter.ID)
	switch {
	case member == nil || !member.isAlive():
		return votersMissing
	case member.State == StateDraining:
		return immediate
	}
	return noChange
}

// largestOdd returns the largest odd number not greater than n. An even number of voters tolerates no more failures
// than the odd number below it.
func largestOdd(n int) int { return n - (n+1)%2 }

// countStaying returns how many of the members are not draining.
func (a *Agreement) countStaying(ids []ID) (count int) {
	for _, id := range ids {
		if a.view.Member(id).State != StateDraining {
			count++
		}
	}
	return count
}

// nextConfiguration returns the configuration of the members that are alive. Voters that stay keep their vote.
func (a *Agreement) nextConfiguration(alive []ID) Configuration {
	next := Configuration{
		Epoch:        max(a.highestEpoch, a.configuration.Epoch) + 1,
		MemberCount:  a.countStaying(alive),
		GenesisEpoch: a.configuration.GenesisEpoch,
	}
	if a.isForming() || a.StartNewGenesis {
		next.GenesisEpoch = next.Epoch
	}
	next.LeaseDuration = max(a.config.LeaseDuration, timeunit.Milliseconds(next.MemberCount)*leasePerMember)
	for _, member := range a.chooseVoters(alive, largestOdd(min(next.MemberCount, a.config.MaxVoters))) {
		next.Voters = append(next.Voters, Voter{member.ID, member.Address})
	}
	slices.SortFunc(next.Voters, func(x, y Voter) int { return x.Compare(y.ID) })
	return next
}

// chooseVoters returns up to count members. It takes the current voters first, then repeatedly a member of the zone
// with the fewest voters, so that the loss of a zone costs as few voters as possible. Within a zone, the incarnation
// that started first is preferred.
func (a *Agreement) chooseVoters(alive []ID, count int) (chosen []*Member) {
	var rest []*Member
	perZone := map[string]int{}
	for _, id := range alive {
		member := a.view.Member(id)
		switch {
		case member.State == StateDraining:
		case a.configuration.hasVoter(id) && len(chosen) < count:
			chosen = append(chosen, member)
			perZone[member.Zone]++
		default:
			rest = append(rest, member)
		}
	}
	for len(chosen) < count && len(rest) > 0 {
		member := slices.MinFunc(rest, func(x, y *Member) int {
			return cmp.Or(cmp.Compare(perZone[x.Zone], perZone[y.Zone]), cmp.Compare(x.Incarnation, y.Incarnation))
		})
		chosen = append(chosen, member)
		perZone[member.Zone]++
		rest = slices.DeleteFunc(rest, func(other *Member) bool { return other == member })
	}
	return chosen
}
