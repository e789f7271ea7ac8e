package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The configuration accepted under the highest ballot may already have been chosen, so the proposer must adopt it in
// whatever order the promises arrive.
func TestProposerTakesUpTheConfigurationOfTheHighestBallot(t *testing.T) {
	newConfiguration := func(epoch uint64) *Configuration {
		voters := []Voter{{ID: ID{"n0", 1}}}
		return &Configuration{Epoch: epoch, Voters: voters, MemberCount: 1, LeaseDuration: 1500}
	}
	ownProposal := newConfiguration(2)
	lower := Message{From: ID{"n1", 1}, AcceptedBallot: Ballot{Round: 1}, Configuration: newConfiguration(3)}
	higher := Message{From: ID{"n2", 1}, AcceptedBallot: Ballot{Round: 2}, Configuration: newConfiguration(4)}
	nothingAccepted := Message{From: ID{"n3", 1}}
	for _, promises := range [][]Message{{lower, higher, nothingAccepted}, {nothingAccepted, higher, lower}} {
		p := newProposer()
		p.begin(Ballot{Round: 3}, ownProposal)
		for _, promise := range promises {
			p.addPromise(promise)
		}
		require.Equal(t, higher.Configuration, p.proposal)
	}
	p := newProposer()
	p.begin(Ballot{Round: 3}, ownProposal)
	p.addPromise(nothingAccepted)
	require.Equal(t, ownProposal, p.proposal)
}
