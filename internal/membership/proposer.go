package membership

import (
	"slices"

	"thistlequay/timeunit"
)

// proposer is the Paxos proposer state of this server: its own proposal for the next configuration.
type proposer struct {
	ballot          Ballot         // ballot of the current proposal; round 0 if there is none
	proposal        *Configuration // configuration that the acceptors are asked to accept
	highestAccepted Ballot         // highest ballot under which a promise reported an accepted configuration
	promises        []ID           // acceptors that have promised
	isAccepting     bool           // phase 2: a quorum has promised
	acceptances     []ID           // acceptors that have accepted
	hasProgressed   bool           // another acceptor has answered since the messages of this phase were last sent

	round             uint64                // round of this server's last proposal in any epoch
	retryAfter        timeunit.Milliseconds // no new proposal before this time
	changeNeededSince timeunit.Milliseconds // since when the view has required a new configuration, or changeNotNeeded
}

// changeNotNeeded is the value of proposer.changeNeededSince while no new configuration is required. It is later than
// every clock reading.
const changeNotNeeded timeunit.Milliseconds = 1 << 60

func newProposer() proposer { return proposer{changeNeededSince: changeNotNeeded} }

// reset ends the current proposal after a configuration has been learned.
func (p *proposer) reset() {
	p.begin(Ballot{}, nil)
	p.changeNeededSince = changeNotNeeded
}

func (p *proposer) begin(ballot Ballot, proposal *Configuration) {
	p.ballot = ballot
	p.proposal = proposal
	p.highestAccepted = Ballot{}
	p.promises = nil
	p.isAccepting = false
	p.acceptances = nil
	p.hasProgressed = false
}

// addPromise counts a promise. If the acceptor has accepted a configuration under a higher ballot than any seen so far,
// that configuration replaces the server's own proposal, because it may already have been chosen.
func (p *proposer) addPromise(message Message) {
	p.promises = append(p.promises, message.From)
	if message.Configuration.Validate() == nil && message.AcceptedBallot.compare(p.highestAccepted) > 0 {
		p.highestAccepted = message.AcceptedBallot
		p.proposal = message.Configuration
	}
}

// expectsPromise reports whether a promise is the acceptor's first in phase 1 of the current proposal.
func (p *proposer) expectsPromise(message Message) bool {
	return message.Ballot == p.ballot && p.ballot.Round > 0 && !p.isAccepting && !slices.Contains(p.promises,
		message.From)
}

// expectsAcceptance reports whether an acceptance is the acceptor's first in phase 2 of the current proposal.
func (p *proposer) expectsAcceptance(message Message) bool {
	return message.Ballot == p.ballot && p.isAccepting && !slices.Contains(p.acceptances, message.From)
}

// attemptProposal continues the current proposal if an acceptor has answered since the last attempt, so that a proposal
// also succeeds if its four messages take longer than the time between attempts. Otherwise, or if a higher ballot is
// known, it starts a new one. While bootstrapping it always starts a new one, because a promise counts for as long as
// its proposal and an acceptor may have been replaced by a new incarnation in the meantime.
func (a *Agreement) attemptProposal(next Configuration) {
	isPreempted := a.acceptor.promised != a.proposer.ballot
	if !a.proposer.hasProgressed || isPreempted || a.isBootstrapping() {
		a.startProposal(next)
		return
	}
	a.proposer.hasProgressed = false
	if !a.proposer.isAccepting && a.proposer.highestAccepted.Round == 0 {
		a.proposer.proposal = &next // no acceptor knows the previous one
	}
	a.sendPhaseMessages()
}

// sendPhaseMessages sends every acceptor the message of the proposal's current phase. Acceptors answer a repeated
// message like the first.
func (a *Agreement) sendPhaseMessages() {
	message := Message{Kind: MessagePrepare, Ballot: a.proposer.ballot}
	if a.proposer.isAccepting {
		message.Kind = MessageAccept
		message.Configuration = a.proposer.proposal
	}
	acceptors, _ := a.acceptors()
	for _, id := range acceptors {
		a.send(id, message)
	}
}

// startProposal asks the acceptors for promises. The ballot is higher than all that this server has used or promised.
func (a *Agreement) startProposal(next Configuration) {
	a.proposer.round = max(a.proposer.round, a.acceptor.promised.Round) + 1
	a.proposer.begin(Ballot{a.proposer.round, a.config.Self}, &next)
	a.sendPhaseMessages()
}

// handlePromise starts phase 2 when a quorum has promised.
func (a *Agreement) handlePromise(message Message) {
	if !a.proposer.expectsPromise(message) || !a.isAcceptor(message.From) {
		return
	}
	a.proposer.addPromise(message)
	a.recordProgress(message)
	_, quorum := a.acceptors()
	if len(a.proposer.promises) < quorum {
		return
	}
	a.proposer.isAccepting = true
	a.sendPhaseMessages()
}

// recordProgress records that an acceptor has answered. The answers of this server itself do not count, because it
// always gives them.
func (a *Agreement) recordProgress(message Message) {
	if message.From != a.config.Self {
		a.proposer.hasProgressed = true
	}
}

// handleAccepted learns the proposal when a quorum has accepted it, and sends it to the acceptors and the new voters.
func (a *Agreement) handleAccepted(message Message) {
	if !a.proposer.expectsAcceptance(message) || !a.isAcceptor(message.From) {
		return
	}
	a.proposer.acceptances = append(a.proposer.acceptances, message.From)
	a.recordProgress(message)
	recipients, quorum := a.acceptors()
	if len(a.proposer.acceptances) < quorum {
		return
	}
	chosen := *a.proposer.proposal
	for _, voter := range chosen.Voters {
		if !slices.Contains(recipients, voter.ID) {
			recipients = append(recipients, voter.ID)
		}
	}
	a.learn(chosen)
	for _, recipient := range recipients {
		a.send(recipient, Message{Kind: MessageCommitted, Configuration: &chosen})
	}
}
