package consensus

import (
	"encoding/binary"
	"math/rand"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// cluster is voters in virtual time: letters are lost, late and come twice, links are cut one way and both, voters stand still, die
// and come back with what they saved, or under another number without it.
type cluster struct {
	t                  *testing.T
	random             *rand.Rand
	now                timeunit.Milliseconds
	members            []*member
	blocked            map[[2]int]bool
	lossRate           float64
	inFlight           []envelope
	lastID             uint64
	log                [][]byte                         // what was agreed on, as the first to apply it had it
	leaderSince        map[uint64]timeunit.Milliseconds // by term, since when some voter knew that it leads
	readAskedAt        map[[2]uint64]timeunit.Milliseconds
	lastProposal       uint64
	falseConfirmations int // confirmed though another led before it was asked
	confirmations      int
	history            *golden.History // of all that the voters put out; nil where it is not asked for
}

type member struct {
	voter       *Voter
	id          uint64
	state       PersistentState
	applied     int // entries applied
	pausedUntil timeunit.Milliseconds
	down        bool
}

type envelope struct {
	deliverAt timeunit.Milliseconds
	to        uint64
	from      uint64
	data      []byte
	number    uint64
}

func newCluster(t *testing.T, seed int64, n int) *cluster {
	w := &cluster{t: t, random: rand.New(rand.NewSource(seed)), blocked: map[[2]int]bool{}, leaderSince: map[uint64]timeunit.Milliseconds{}, readAskedAt: map[[2]uint64]timeunit.Milliseconds{}}
	var first []uint64
	for i := range n {
		first = append(first, uint64(i+1))
	}
	w.lastID = uint64(n)
	for i := range n {
		v := &member{id: first[i]}
		v.voter = w.startVoter(v.id, nil, first)
		v.state = v.voter.InitialState()
		w.members = append(w.members, v)
	}
	return w
}

func (w *cluster) startVoter(number uint64, saved *PersistentState, first []uint64) *Voter {
	n, err := New(DefaultConfig(number), saved, first, rand.New(rand.NewSource(w.random.Int63())), w.now)
	require.NoError(w.t, err)
	return n
}

func (w *cluster) indexOf(number uint64) int {
	return slices.IndexFunc(w.members, func(v *member) bool { return v.id == number })
}

func (w *cluster) persist(v *member, s PersistentState) {
	if n := len(s.Entries); n > 0 {
		at := slices.IndexFunc(v.state.Entries, func(e Entry) bool { return e.Index >= s.Entries[0].Index })
		if at < 0 {
			at = len(v.state.Entries)
		}
		v.state.Entries = append(slices.Clone(v.state.Entries[:at]), s.Entries...)
	}
	if s.HardState.Term > 0 {
		v.state.HardState = s.HardState
	}
	if i := s.Snapshot.Metadata.Index; i > 0 {
		v.state.Snapshot = s.Snapshot
		v.state.Entries = slices.DeleteFunc(slices.Clone(v.state.Entries), func(e Entry) bool { return e.Index <= i })
	}
}

func (w *cluster) deliverReady(i int) {
	v := w.members[i]
	for {
		o, more := v.voter.Ready()
		require.NoError(w.t, v.voter.Err())
		if !more {
			return
		}
		w.record(v, o)
		w.persist(v, o.State)
		for _, l := range o.Messages {
			j := w.indexOf(l.To)
			if j < 0 {
				continue
			}
			for range 1 + w.random.Intn(10)/9 {
				if !w.blocked[[2]int{i, j}] && w.random.Float64() >= w.lossRate {
					w.inFlight = append(w.inFlight, envelope{w.now + timeunit.Milliseconds(1+w.random.Intn(120)), l.To, v.id, l.Data, l.To})
				}
			}
		}
		if o.Snapshot != nil {
			v.applied = 0
			if len(o.Snapshot) == 8 {
				v.applied = int(binary.BigEndian.Uint64(o.Snapshot))
			}
		}
		for _, text := range o.Committed {
			if v.applied == len(w.log) {
				w.log = append(w.log, text)
			}
			require.Equal(w.t, w.log[v.applied], text, "two voters differ")
			v.applied++
		}
		for _, token := range o.ConfirmedReads {
			asked, is := w.readAskedAt[[2]uint64{v.id, token}]
			require.True(w.t, is)
			w.confirmations++
			for term, since := range w.leaderSince {
				if term > v.voter.Term() && since <= asked {
					w.falseConfirmations++
				}
			}
		}
		if v.voter.NeedsCompaction() {
			s, err := v.voter.Compact(binary.BigEndian.AppendUint64(nil, uint64(v.applied)))
			require.NoError(w.t, err)
			w.record(v, Ready{State: s})
			w.persist(v, s)
		}
	}
}

func (w *cluster) advance() {
	w.now += 20
	mail := w.inFlight
	w.inFlight = nil
	for _, p := range mail {
		i := w.indexOf(p.to)
		switch {
		case i < 0 || w.members[i].down:
		case p.deliverAt > w.now || w.members[i].pausedUntil > w.now:
			w.inFlight = append(w.inFlight, p)
		default:
			w.members[i].voter.Step(p.from, p.data)
			w.deliverReady(i)
		}
	}
	for i, v := range w.members {
		if v.down || v.pausedUntil > w.now {
			continue
		}
		v.voter.Tick(w.now)
		w.deliverReady(i)
		if !v.voter.IsLeader() {
			continue
		}
		if _, is := w.leaderSince[v.voter.Term()]; !is {
			w.leaderSince[v.voter.Term()] = w.now
		}
		if w.random.Intn(3) == 0 {
			w.lastProposal++
			v.voter.Propose(binary.BigEndian.AppendUint64(nil, w.lastProposal))
		}
		if token, ok := v.voter.ReadIndex(); ok {
			w.readAskedAt[[2]uint64{v.id, token}] = w.now
		}
		var want []uint64
		for _, o := range w.members {
			want = append(want, o.id)
		}
		v.voter.SetDesiredVoters(want)
		w.deliverReady(i)
	}
}

func (w *cluster) injectFault() {
	i := w.random.Intn(len(w.members))
	v := w.members[i]
	switch w.random.Intn(8) {
	case 0: // dies and comes back with what it saved
		v.down = true
	case 1:
		v.pausedUntil = w.now + timeunit.Milliseconds(w.random.Intn(6000))
	case 2:
		of := w.random.Perm(len(w.members))
		for a := range of {
			for b := range of {
				w.blocked[[2]int{a, b}] = of[a]%2 != of[b]%2
			}
		}
	case 3:
		w.blocked[[2]int{i, w.random.Intn(len(w.members))}] = true
	case 4:
		clear(w.blocked)
		w.lossRate = 0
	case 5:
		w.lossRate = w.random.Float64() * 0.3
	case 6: // its memory is lost: another number, if the others are there to vote it in
		if !slices.ContainsFunc(w.members, func(o *member) bool { return o.down || o.id > uint64(len(w.members)) && o.applied == 0 }) {
			w.lastID++
			*v = member{id: w.lastID}
			v.voter = w.startVoter(v.id, nil, nil)
		}
	case 7:
		w.restartStopped()
	}
}

func (w *cluster) restartStopped() {
	for _, v := range w.members {
		if v.down {
			v.down, v.applied = false, 0
			if len(v.state.Snapshot.Data) == 8 {
				v.applied = int(binary.BigEndian.Uint64(v.state.Snapshot.Data))
			}
			v.voter = w.startVoter(v.id, &v.state, nil)
		}
	}
}

// run runs one schedule of ten troubles and then a calm, and says whether more was agreed on in the calm.
func (w *cluster) run() (healed bool) {
	for range 10 {
		w.injectFault()
		for end := w.now + timeunit.Milliseconds(200+w.random.Intn(4000)); w.now < end; {
			w.advance()
		}
	}
	clear(w.blocked)
	w.lossRate = 0
	w.restartStopped()
	before := len(w.log)
	for end := w.now + 15000; w.now < end; {
		w.advance()
	}
	return len(w.log) > before
}

// All voters agree on one order whatever happens; a leader that was confirmed led when it asked; and a voter without its memory
// never harms what was agreed on.
func TestOneLog(t *testing.T) {
	seeds := 20
	if os.Getenv("MEASURE") == "full" {
		seeds = 2000
	}
	agreed, terms, sure, healed := 0, 0, 0, 0
	for seed := range seeds {
		w := newCluster(t, int64(seed), 3+2*(seed%2))
		if w.run() {
			healed++
		}
		require.Zero(t, w.falseConfirmations, "seed %d", seed)
		agreed, terms, sure = agreed+len(w.log), terms+len(w.leaderSince), sure+w.confirmations
	}
	t.Logf("measured agreement-schedules seeds=%d agreed=%d terms=%d confirmed=%d confirmed_wrong=0 healed=%d", seeds, agreed, terms, sure, healed)
	require.Equal(t, seeds, healed)
}
