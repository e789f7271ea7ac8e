package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// synod is three voters of one fleet and the notes under way between them.
type synod struct {
	accords [3]*Agreement
	flying  []Message
	left    [3]int // proposals that each may still begin
	chosen  []Configuration
}

func newSynod() *synod {
	s := &synod{left: [3]int{2, 1, 0}}
	var voters []Voter
	for i := range s.accords {
		voters = append(voters, Voter{ID{fmt.Sprint("n", i), 1}, fmt.Sprint("a", i)})
	}
	for i := range s.accords {
		v := NewView(DefaultConfig(voters[i].ID), 0)
		v.UpdateSelf(StateUpdate{Address: voters[i].Address, State: StateServing})
		for _, o := range voters {
			v.ApplyUpdate(StateUpdate{ID: o.ID, Sequence: 1, Address: o.Address, State: StateServing})
		}
		s.accords[i] = NewAgreement(v)
		s.accords[i].learn(Configuration{Epoch: 1, Voters: voters, MemberCount: 3, LeaseDuration: 1500})
	}
	return s
}

// step does the n-th thing that can be done now. A note that is lost is one that is never delivered. It says whether there was one.
func (s *synod) step(n int) bool {
	for i, left := range s.left {
		if left > 0 {
			if n == 0 {
				s.left[i]--
				s.accords[i].startProposal(Configuration{Epoch: 2, Voters: s.accords[i].configuration.Voters[:1+i], MemberCount: 3 + i + 10*left, LeaseDuration: 1500})
				s.gather()
				return true
			}
			n--
		}
	}
	if n >= len(s.flying) {
		return false
	}
	note := s.flying[n]
	s.flying = slices.Delete(s.flying, n, n+1)
	s.accords[note.To.Name[1]-'0'].Step(note)
	s.gather()
	return true
}

func (s *synod) gather() {
	for _, a := range s.accords {
		for _, note := range a.TakeMessages() {
			if note.Kind >= MessagePrepare { // support is no part of the choice
				s.flying = append(s.flying, note)
			}
		}
		if f := a.configuration; f.Epoch == 2 && !slices.ContainsFunc(s.chosen, func(g Configuration) bool { return g.equal(&f) }) {
			s.chosen = append(s.chosen, f)
		}
	}
}

// mark is what the future depends on.
func (s *synod) mark() string {
	var b strings.Builder
	for _, a := range s.accords {
		fmt.Fprint(&b, a.configuration.Epoch, a.configuration.MemberCount, a.acceptor.promised, a.acceptor.acceptedBallot, a.acceptor.accepted,
			a.proposer.ballot, a.proposer.highestAccepted, a.proposer.promises, a.proposer.acceptances, a.proposer.round, a.conflicting)
		if a.proposer.proposal != nil {
			fmt.Fprint(&b, a.proposer.proposal.MemberCount)
		}
	}
	var notes []string
	for _, n := range s.flying {
		notes = append(notes, fmt.Sprint(n.Kind, n.From, n.To, n.Epoch, n.Ballot, n.AcceptedBallot, n.Configuration))
	}
	slices.Sort(notes)
	fmt.Fprint(&b, s.left, notes)
	return b.String()
}

// Every order in which three proposals of two voters can meet, each note delivered at any moment or never, as deep as the time
// allows: one fleet follows at most.
func TestEveryInterleavingOfTheSynod(t *testing.T) {
	seen, most, deepest, chosen := map[string]bool{}, 40_000, 0, 0
	paths := [][]byte{nil}
	for len(paths) > 0 && len(seen) < most { // breadth first
		path := paths[0]
		paths = paths[1:]
		for n := byte(0); ; n++ {
			s := newSynod()
			for _, step := range path {
				s.step(int(step))
			}
			if !s.step(int(n)) {
				break
			}
			require.LessOrEqual(t, len(s.chosen), 1, "%v %d", path, n)
			if mark := s.mark(); !seen[mark] {
				seen[mark] = true
				chosen += len(s.chosen)
				deepest = max(deepest, len(path)+1)
				paths = append(paths, append(slices.Clone(path), n))
			}
		}
	}
	t.Logf("measured synod states=%d deepest=%d with_a_choice=%d two_chosen=0", len(seen), deepest, chosen)
	require.Positive(t, chosen)
}
