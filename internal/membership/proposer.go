package membership

import (
	"slices"

	"thistlequay/timeunit"
)

// proposer is the state of this server's own proposal for the next configuration (the proposer of Paxos).
type proposer struct {
	ballot          Ballot         // of the proposal under way; round 0: there is none
	proposal        *Configuration // what electors are asked to accept
	highestAccepted Ballot         // the highest ballot under which a promise said that proposal was accepted before
	promises        []ID           // electors that promised
	isAccepting     bool           // phase 2: a quorum has promised
	acceptances     []ID           // electors that accepted

	round             uint64                // of the last own proposal, over all epochs
	retryAfter        timeunit.Milliseconds // no other proposal before then
	changeWantedSince timeunit.Milliseconds // since when the view calls for another configuration, or notWanted
}

// notWanted is the moment since when another configuration is wanted when none is: after every clock.
const notWanted timeunit.Milliseconds = 1 << 60

func newProposer() proposer { return proposer{changeWantedSince: notWanted} }

// reset ends the proposal under way, as another configuration was learned.
func (p *proposer) reset() {
	p.begin(Ballot{}, nil)
	p.changeWantedSince = notWanted
}

func (p *proposer) begin(ballot Ballot, proposal *Configuration) {
	p.ballot = ballot
	p.proposal = proposal
	p.highestAccepted = Ballot{}
	p.promises = nil
	p.isAccepting = false
	p.acceptances = nil
}

// addPromise counts a promise. If the elector has accepted a configuration under a higher ballot than any seen so
// far, that one is proposed instead of the own: it may have been chosen already.
func (p *proposer) addPromise(message Message) {
	p.promises = append(p.promises, message.From)
	if message.Configuration.Validate() == nil && message.AcceptedBallot.compare(p.highestAccepted) > 0 {
		p.highestAccepted = message.AcceptedBallot
		p.proposal = message.Configuration
	}
}

// expectsPromise says whether a promise is the elector's first in phase 1 of the proposal under way.
func (p *proposer) expectsPromise(message Message) bool {
	return message.Ballot == p.ballot && p.ballot.Round > 0 && !p.isAccepting && !slices.Contains(p.promises,
		message.From)
}

// expectsAcceptance says whether an acceptance is the elector's first in phase 2 of the proposal under way.
func (p *proposer) expectsAcceptance(message Message) bool {
	return message.Ballot == p.ballot && p.isAccepting && !slices.Contains(p.acceptances, message.From)
}

// startProposal asks the electors for a promise, under a ballot above all that this server has seen.
func (a *Agreement) startProposal(next Configuration) {
	a.proposer.round = max(a.proposer.round, a.acceptor.promised.Round) + 1
	a.proposer.begin(Ballot{a.proposer.round, a.config.Self}, &next)
	electors, _ := a.electorate()
	for _, elector := range electors {
		a.send(elector, Message{Kind: MessagePrepare, Ballot: a.proposer.ballot})
	}
}

// handlePromise starts phase 2 when a quorum has promised.
func (a *Agreement) handlePromise(message Message) {
	if !a.proposer.expectsPromise(message) || !a.isElector(message.From) {
		return
	}
	a.proposer.addPromise(message)
	electors, quorum := a.electorate()
	if len(a.proposer.promises) < quorum {
		return
	}
	a.proposer.isAccepting = true
	for _, elector := range electors {
		a.send(elector, Message{
			Kind:          MessageAccept,
			Ballot:        a.proposer.ballot,
			Configuration: a.proposer.proposal,
		})
	}
}

// handleAccepted learns the proposal when a quorum has accepted it, and tells the electors and the new voters.
func (a *Agreement) handleAccepted(message Message) {
	if !a.proposer.expectsAcceptance(message) || !a.isElector(message.From) {
		return
	}
	a.proposer.acceptances = append(a.proposer.acceptances, message.From)
	recipients, quorum := a.electorate()
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
