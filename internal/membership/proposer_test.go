package membership

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The configuration accepted under the highest ballot may already have been chosen, so the proposer must adopt it in
// whatever order the promises arrive.
func TestProposerTakesUpTheConfigurationOfTheHighestBallot(t *testing.T) {
	accepted := func(epoch uint64) *Configuration {
		voters := []Voter{{ID: ID{"n0", 1}}}
		return &Configuration{Epoch: epoch, Voters: voters, MemberCount: 1, LeaseDuration: 1500}
	}
	own := accepted(2)
	lower := Message{From: ID{"n1", 1}, AcceptedBallot: Ballot{Round: 1}, Configuration: accepted(3)}
	higher := Message{From: ID{"n2", 1}, AcceptedBallot: Ballot{Round: 2}, Configuration: accepted(4)}
	nothing := Message{From: ID{"n3", 1}}
	for _, promises := range [][]Message{{lower, higher, nothing}, {nothing, higher, lower}} {
		p := newProposer()
		p.begin(Ballot{Round: 3}, own)
		for _, promise := range promises {
			p.addPromise(promise)
		}
		require.Equal(t, higher.Configuration, p.proposal)
	}
	p := newProposer()
	p.begin(Ballot{Round: 3}, own)
	p.addPromise(nothing)
	require.Equal(t, own, p.proposal)
}
