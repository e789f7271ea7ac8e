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

// startProposal asks the acceptors for promises. The ballot is higher than all that this server has used or promised.
func (a *Agreement) startProposal(next Configuration) {
	a.proposer.round = max(a.proposer.round, a.acceptor.promised.Round) + 1
	a.proposer.begin(Ballot{a.proposer.round, a.config.Self}, &next)
	acceptors, _ := a.acceptors()
	for _, id := range acceptors {
		a.send(id, Message{Kind: MessagePrepare, Ballot: a.proposer.ballot})
	}
}

// handlePromise starts phase 2 when a quorum has promised.
func (a *Agreement) handlePromise(message Message) {
	if !a.proposer.expectsPromise(message) || !a.isAcceptor(message.From) {
		return
	}
	a.proposer.addPromise(message)
	acceptors, quorum := a.acceptors()
	if len(a.proposer.promises) < quorum {
		return
	}
	a.proposer.isAccepting = true
	for _, id := range acceptors {
		a.send(id, Message{
			Kind:          MessageAccept,
			Ballot:        a.proposer.ballot,
			Configuration: a.proposer.proposal,
		})
	}
}

// handleAccepted learns the proposal when a quorum has accepted it, and sends it to the acceptors and the new voters.
func (a *Agreement) handleAccepted(message Message) {
	if !a.proposer.expectsAcceptance(message) || !a.isAcceptor(message.From) {
		return
	}
	a.proposer.acceptances = append(a.proposer.acceptances, message.From)
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
