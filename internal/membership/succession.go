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
	urgencyNone urgency = iota

	// urgencyMemberCount means that the member count is outdated, or that a new genesis epoch is requested.
	urgencyMemberCount

	// urgencyVoters means that there is no configuration, that two different configurations of the current epoch are
	// known, that a voter is not alive, or that there are too few voters.
	urgencyVoters

	// urgencyImmediate means that a draining voter must be replaced before it leaves, that a voter's incarnation has
	// ended, or that this server has already accepted a proposal.
	urgencyImmediate
)

// memberCountDriftDivisor sets the tolerated drift of the member count: a configuration is replaced when its count is
// off by more than one member in memberCountDriftDivisor.
const memberCountDriftDivisor = 10

// leaseDurationPerMember is the lease duration for each member of the cluster. The lease grows with the cluster so that
// the rate of lease requests to a voter stays constant.
const leaseDurationPerMember timeunit.Milliseconds = 5

// proposeIfNeeded proposes a new configuration when the view requires one and it is this server's turn.
func (a *Agreement) proposeIfNeeded() {
	if !a.mayVote() {
		a.proposer.changeNeededSince = changeNotNeeded
		return
	}
	now := a.view.now
	alive := a.view.Alive()
	level := a.changeUrgency(alive)
	if level == urgencyNone {
		a.proposer.changeNeededSince = changeNotNeeded
		return
	}
	if a.proposer.changeNeededSince == changeNotNeeded {
		a.proposer.changeNeededSince = now
	}
	rank, mayPropose := a.proposerRank()
	if !mayPropose || !a.isProposalDue(level, rank) {
		return
	}
	next := a.nextConfiguration(alive)
	if next.MemberCount <= a.majorityBaseCount()/2 {
		return
	}
	a.proposer.retryAfter = now + a.config.StabilityWindow/2*timeunit.Milliseconds(1+rank)
	a.attemptProposal(next)
}

// proposerRank returns this server's rank, starting at 0, among the acceptors that are alive and not draining, ordered
// by ID. It returns false if this server is not one of them or if no quorum of the acceptors is alive.
func (a *Agreement) proposerRank() (rank int, mayPropose bool) {
	acceptors, quorum := a.acceptors()
	var candidates []ID
	aliveCount := 0
	for _, id := range acceptors {
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
func (a *Agreement) isProposalDue(level urgency, rank int) bool {
	now := a.view.now
	waited := now - a.proposer.changeNeededSince
	if now < a.proposer.retryAfter {
		return false
	}
	if level < urgencyImmediate && waited < a.config.StabilityWindow {
		return false
	}
	if rank == 0 {
		return true
	}
	return level != urgencyMemberCount && waited >= a.config.StabilityWindow*timeunit.Milliseconds(2+rank)
}

// majorityBaseCount returns the member count of which the next configuration must have more than half: the members of
// the current configuration except those that have since announced that they are leaving, or InitialSize while
// bootstrapping.
func (a *Agreement) majorityBaseCount() int {
	if a.isBootstrapping() {
		return a.config.InitialSize
	}
	return a.configuration.MemberCount - a.countLeavers()
}

// countLeavers returns the number of members of the current configuration that have announced that they are leaving.
// Members first seen after it was learned are not part of its member count and are ignored.
func (a *Agreement) countLeavers() int {
	count := a.leavingWhenLearned
	for _, member := range a.view.members {
		if member.FirstSeen <= a.learnedAt && member.leavingSince > a.learnedAt && member.hasAnnouncedLeave() {
			count++
		}
	}
	return count
}

// countLeavingWhenLearned returns the number of members counted in a configuration that are already leaving. Members
// that were draining when it was proposed are not counted in it, but members that began to drain afterwards are, for
// example when many drain within a second. The configuration does not list them, so their number is inferred: it counts
// at most all members that stay, so any excess over those must be draining.
func (a *Agreement) countLeavingWhenLearned(next Configuration) int {
	alive := a.view.Alive()
	stayingCount := a.countStaying(alive)
	drainingCount := len(alive) - stayingCount
	return min(max(0, next.MemberCount-stayingCount), drainingCount)
}

// changeUrgency returns how urgently a new configuration is needed.
func (a *Agreement) changeUrgency(alive []ID) urgency {
	if a.acceptor.accepted != nil {
		return urgencyImmediate
	}
	if a.configuration.Epoch == 0 || a.isConflicting {
		return urgencyVoters
	}
	stayingCount := a.countStaying(alive)
	result := urgencyNone
	drift := stayingCount - a.configuration.MemberCount
	if a.StartNewGenesis || max(drift, -drift) > a.configuration.MemberCount/memberCountDriftDivisor {
		result = urgencyMemberCount
	}
	if len(a.configuration.Voters) < largestOdd(min(stayingCount, a.config.MaxVoters)) {
		result = urgencyVoters
	}
	for _, voter := range a.configuration.Voters {
		result = max(result, a.voterUrgency(voter))
	}
	return result
}

// voterUrgency returns how urgently a voter must be replaced. A draining voter is certain to leave and must be replaced
// before it does, so its replacement does not wait for StabilityWindow. The replacement of a voter that is not alive
// does wait, and is dropped if the voter is found alive within that time. A voter whose incarnation has ended never
// comes back, and the votes that are left may not be enough once another voter fails.
func (a *Agreement) voterUrgency(voter Voter) urgency {
	member := a.view.Member(voter.ID)
	switch {
	case a.hasTerminated(voter):
		return urgencyImmediate
	case member == nil || !member.isAlive():
		return urgencyVoters
	case member.State == StateDraining:
		return urgencyImmediate
	}
	return urgencyNone
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
	if a.isBootstrapping() || a.StartNewGenesis {
		next.GenesisEpoch = next.Epoch
	}
	next.LeaseDuration = max(a.config.LeaseDuration, timeunit.Milliseconds(next.MemberCount)*leaseDurationPerMember)
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
	var candidates []*Member
	perZone := map[string]int{}
	for _, id := range alive {
		member := a.view.Member(id)
		switch {
		case member.State == StateDraining:
		case a.configuration.hasVoter(id) && len(chosen) < count:
			chosen = append(chosen, member)
			perZone[member.Zone]++
		default:
			candidates = append(candidates, member)
		}
	}
	for len(chosen) < count && len(candidates) > 0 {
		member := slices.MinFunc(candidates, func(x, y *Member) int {
			return cmp.Or(cmp.Compare(perZone[x.Zone], perZone[y.Zone]), cmp.Compare(x.Incarnation, y.Incarnation))
		})
		chosen = append(chosen, member)
		perZone[member.Zone]++
		candidates = slices.DeleteFunc(candidates, func(other *Member) bool { return other == member })
	}
	return chosen
}
