package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// paxosSimulation simulates three voters of one configuration and the messages in flight between them. Each step is
// selected by number, so a list of numbers describes one interleaving.
type paxosSimulation struct {
	agreements    [3]*Agreement
	inFlight      []Message
	proposalsLeft [3]int // proposals that each voter may still start
	chosen        []Configuration
}

func newPaxosSimulation() *paxosSimulation {
	s := &paxosSimulation{proposalsLeft: [3]int{2, 1, 0}}
	var voters []Voter
	for i := range s.agreements {
		voters = append(voters, Voter{ID{fmt.Sprint("n", i), 1}, fmt.Sprint("a", i)})
	}
	for i := range s.agreements {
		v := NewView(DefaultConfig(voters[i].ID), 0)
		v.UpdateSelf(StateUpdate{Address: voters[i].Address, State: StateServing})
		for _, voter := range voters {
			v.ApplyUpdate(StateUpdate{ID: voter.ID, Sequence: 1, Address: voter.Address, State: StateServing})
		}
		s.agreements[i] = NewAgreement(v)
		s.agreements[i].learn(Configuration{Epoch: 1, Voters: voters, MemberCount: 3, LeaseDuration: 1500})
	}
	return s
}

// step performs one of the actions possible now, selected by choice: starting a proposal or delivering one message. A
// message that is never delivered is lost. It returns false if there is no such action.
func (s *paxosSimulation) step(choice int) bool {
	for i, left := range s.proposalsLeft {
		if left == 0 {
			continue
		}
		if choice == 0 {
			s.propose(i)
			return true
		}
		choice--
	}
	if choice >= len(s.inFlight) {
		return false
	}
	message := s.inFlight[choice]
	s.inFlight = slices.Delete(s.inFlight, choice, choice+1)
	s.agreements[message.To.Name[1]-'0'].Step(message)
	s.collect()
	return true
}

// propose starts a proposal that differs from all others.
func (s *paxosSimulation) propose(i int) {
	left := s.proposalsLeft[i]
	s.proposalsLeft[i]--
	s.agreements[i].startProposal(Configuration{
		Epoch:         2,
		Voters:        s.agreements[i].configuration.Voters[:1+i],
		MemberCount:   3 + i + 10*left,
		LeaseDuration: 1500,
	})
	s.collect()
}

// collect gathers the messages that were sent and the configurations that were chosen.
func (s *paxosSimulation) collect() {
	for _, a := range s.agreements {
		for _, message := range a.TakeMessages() {
			if message.Kind >= MessagePrepare { // lease messages do not affect the choice
				s.inFlight = append(s.inFlight, message)
			}
		}
		configuration := a.configuration
		isKnown := slices.ContainsFunc(s.chosen, func(c Configuration) bool { return c.equal(&configuration) })
		if configuration.Epoch == 2 && !isKnown {
			s.chosen = append(s.chosen, configuration)
		}
	}
}

// stateKey returns a description of everything that the future depends on.
func (s *paxosSimulation) stateKey() string {
	var b strings.Builder
	for _, a := range s.agreements {
		fmt.Fprint(&b, a.configuration.Epoch, a.configuration.MemberCount,
			a.acceptor.promised, a.acceptor.acceptedBallot, a.acceptor.accepted,
			a.proposer.ballot, a.proposer.highestAccepted, a.proposer.promises, a.proposer.acceptances,
			a.proposer.round, a.isConflicting)
		if a.proposer.proposal != nil {
			fmt.Fprint(&b, a.proposer.proposal.MemberCount)
		}
	}
	var messages []string
	for _, m := range s.inFlight {
		text := fmt.Sprint(m.Kind, m.From, m.To, m.Epoch, m.Ballot, m.AcceptedBallot, m.Configuration)
		messages = append(messages, text)
	}
	slices.Sort(messages)
	fmt.Fprint(&b, s.proposalsLeft, messages)
	return b.String()
}

// At most one configuration may be chosen in any order in which three proposals by two voters can interleave, with each
// message delivered at any time or never. The search is breadth-first and stops after maxStates states.
func TestEveryInterleavingChoosesAtMostOneConfiguration(t *testing.T) {
	const maxStates = 40_000
	seen := map[string]bool{}
	deepest := 0
	chosen := 0
	paths := [][]byte{nil}
	for len(paths) > 0 && len(seen) < maxStates {
		path := paths[0]
		paths = paths[1:]
		for choice := byte(0); ; choice++ {
			s := newPaxosSimulation()
			for _, step := range path {
				s.step(int(step))
			}
			if !s.step(int(choice)) {
				break
			}
			require.LessOrEqual(t, len(s.chosen), 1, "%v %d", path, choice)
			if state := s.stateKey(); !seen[state] {
				seen[state] = true
				chosen += len(s.chosen)
				deepest = max(deepest, len(path)+1)
				paths = append(paths, append(slices.Clone(path), choice))
			}
		}
	}
	t.Logf("measured paxos states=%d deepest=%d with_a_choice=%d two_chosen=0", len(seen), deepest, chosen)
	require.Positive(t, chosen)
}
