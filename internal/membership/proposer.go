package membership

import "thistlequay/timeunit"

// notWanted is the moment since when another configuration is wanted when none is: after every clock.
const notWanted timeunit.Milliseconds = 1 << 60

// startProposal puts a fleet to those who vote on it, under a ballot above all that this server has seen.
func (a *Agreement) startProposal(next Configuration) {
	a.round = max(a.round, a.promised.Round) + 1
	a.ballot, a.highestAccepted, a.promises, a.acceptances = Ballot{a.round, a.config.Self}, Ballot{}, nil, nil
	a.proposal = &next
	voters, _ := a.electorate()
	for _, id := range voters {
		a.send(id, Message{Kind: MessagePrepare, Ballot: a.ballot})
	}
}
