package membership

import "slices"

// acceptor is the Paxos acceptor state of this server: what it has promised and accepted for the configuration that
// follows the current one. It is reset when a configuration is learned.
type acceptor struct {
	promised       Ballot         // proposals under a lower ballot are rejected
	acceptedBallot Ballot         // ballot under which accepted was accepted
	accepted       *Configuration // nil if nothing has been accepted
}

// promise records a promise to accept nothing under a lower ballot. It returns false if a higher ballot has already
// been promised.
func (p *acceptor) promise(ballot Ballot) bool {
	if ballot.compare(p.promised) < 0 {
		return false
	}
	p.promised = ballot
	return true
}

// accept accepts a configuration under a ballot. It returns false if a higher ballot has been promised.
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

// acceptors returns the servers that vote on the next configuration and the number of votes that it needs. While
// bootstrapping, these are the founders, and all of them must vote: each may have belonged to an earlier configuration
// that it has forgotten, so only all of them together can tell that none exists.
func (a *Agreement) acceptors() (acceptors []ID, quorum int) {
	if !a.isBootstrapping() {
		for _, voter := range a.configuration.Voters {
			acceptors = append(acceptors, voter.ID)
		}
		return acceptors, a.configuration.quorum()
	}
	for _, name := range a.config.Founders {
		if id, found := a.view.NameOwner(name); found {
			acceptors = append(acceptors, id)
		}
	}
	return acceptors, max(1, len(a.config.Founders))
}

func (a *Agreement) isAcceptor(id ID) bool {
	acceptors, _ := a.acceptors()
	return slices.Contains(acceptors, id)
}

// isBootstrapping reports whether there is no configuration to follow: none is known, two of the same epoch conflict,
// or every voter of the current one has terminated.
func (a *Agreement) isBootstrapping() bool {
	if a.configuration.Epoch == 0 || a.isConflicting {
		return true
	}
	for _, voter := range a.configuration.Voters {
		if !a.hasTerminated(voter) {
			return false
		}
	}
	return true
}

// hasTerminated reports whether the incarnation of a voter has ended. This is the case if the view has marked it
// terminated, or if another incarnation has been alive at its address for longer than FlapHold, during which a flapping
// member may still count as alive.
func (a *Agreement) hasTerminated(voter Voter) bool {
	if member := a.view.Member(voter.ID); member != nil && member.isTerminated {
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

// mayVote reports whether this server may vote on the next configuration now. A draining server may still vote;
// otherwise half of the voters could not be replaced at once.
func (a *Agreement) mayVote() bool {
	if a.isBootstrapping() {
		return a.view.now >= a.bootstrapVotesFrom && slices.Contains(a.config.Founders, a.config.Self.Name)
	}
	return a.configuration.hasVoter(a.config.Self)
}
