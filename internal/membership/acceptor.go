package membership

import "slices"

// acceptor is what an elector has promised and accepted for the configuration that follows the current one (the
// acceptor of Paxos). It begins anew with each configuration that is learned.
type acceptor struct {
	promised       Ballot         // nothing under a lower ballot will be accepted
	acceptedBallot Ballot         // under which accepted was accepted
	accepted       *Configuration // nil: nothing yet
}

// promise promises to accept nothing under a lower ballot; it returns false when a higher one was promised before.
func (p *acceptor) promise(ballot Ballot) bool {
	if ballot.compare(p.promised) < 0 {
		return false
	}
	p.promised = ballot
	return true
}

// accept accepts a configuration under a ballot; it returns false when a higher ballot was promised.
func (p *acceptor) accept(ballot Ballot, configuration Configuration) bool {
	if !p.promise(ballot) {
		return false
	}
	p.acceptedBallot = ballot
	p.accepted = &configuration
	return true
}

func (a *Agreement) handlePrepare(message Message) {
	if !a.mayVote() || !a.acceptor.promise(message.Ballot) {
		return
	}
	a.send(message.From, Message{
		Kind:           MessagePromise,
		Ballot:         message.Ballot,
		AcceptedBallot: a.acceptor.acceptedBallot,
		Configuration:  a.acceptor.accepted,
	})
}

func (a *Agreement) handleAccept(message Message) {
	if !a.mayVote() || message.Configuration.Validate() != nil || message.Configuration.Epoch <= a.configuration.Epoch {
		return
	}
	if a.acceptor.accept(message.Ballot, *message.Configuration) {
		a.send(message.From, Message{Kind: MessageAccepted, Ballot: message.Ballot})
	}
}

// electorate returns the electors, who vote on the next configuration, and how many of them it takes. A first
// configuration takes all founders: each may have belonged to an earlier one that it has forgotten, and only together
// do they know that there is none.
func (a *Agreement) electorate() (electors []ID, quorum int) {
	if !a.isForming() {
		for _, voter := range a.configuration.Voters {
			electors = append(electors, voter.ID)
		}
		return electors, a.configuration.quorum()
	}
	for _, name := range a.config.Founders {
		if id, found := a.view.NameOwner(name); found {
			electors = append(electors, id)
		}
	}
	return electors, max(1, len(a.config.Founders))
}

func (a *Agreement) isElector(id ID) bool {
	electors, _ := a.electorate()
	return slices.Contains(electors, id)
}

// isForming says that there is no configuration to follow: none was heard of, or every voter of the last one is gone
// for good.
func (a *Agreement) isForming() bool {
	if a.configuration.Epoch == 0 || a.conflicting {
		return true
	}
	for _, voter := range a.configuration.Voters {
		if !a.isGoneForGood(voter) {
			return false
		}
	}
	return true
}

// isGoneForGood says that the incarnation of a voter is over: the view says so, or another incarnation has been alive
// on its address for longer than a flapping member is taken for alive.
func (a *Agreement) isGoneForGood(voter Voter) bool {
	if member := a.view.Member(voter.ID); member != nil && member.terminated {
		return true
	}
	ownerID, found := a.view.NameOwner(voter.Name)
	if !found || ownerID == voter.ID {
		return false
	}
	owner := a.view.Member(ownerID)
	return owner != nil && owner.Address == voter.Address && owner.isAlive() &&
		a.view.now-owner.FirstSeen > a.config.FlapHold
}

// mayVote says whether this server may vote on the next configuration now. A draining server still may: otherwise
// half of the voters could not be replaced at once.
func (a *Agreement) mayVote() bool {
	if a.isForming() {
		return a.view.now >= a.votesFrom && slices.Contains(a.config.Founders, a.config.Self.Name)
	}
	return a.configuration.hasVoter(a.config.Self)
}
