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

// world is voters in virtual time: letters are lost, late and come twice, links are cut one way and both, voters stand still, die
// and come back with what they saved, or under another number without it.
type world struct {
	t       *testing.T
	chance  *rand.Rand
	now     timeunit.Milliseconds
	voters  []*voter
	cut     map[[2]int]bool
	loss    float64
	mail    []parcel
	numbers uint64
	log     [][]byte                         // what was agreed on, as the first to apply it had it
	led     map[uint64]timeunit.Milliseconds // by term, since when some voter knew that it leads
	asked   map[[2]uint64]timeunit.Milliseconds
	next    uint64
	wrong   int // confirmed though another led before it was asked
	sure    int
	history *golden.History // of all that the voters put out; nil where it is not asked for
}

type voter struct {
	node    *Node
	number  uint64
	saved   Saved
	at      int // entries applied
	stopped timeunit.Milliseconds
	down    bool
}

type parcel struct {
	at     timeunit.Milliseconds
	to     uint64
	from   uint64
	text   []byte
	number uint64
}

func newWorld(t *testing.T, seed int64, n int) *world {
	w := &world{t: t, chance: rand.New(rand.NewSource(seed)), cut: map[[2]int]bool{}, led: map[uint64]timeunit.Milliseconds{}, asked: map[[2]uint64]timeunit.Milliseconds{}}
	var first []uint64
	for i := range n {
		first = append(first, uint64(i+1))
	}
	w.numbers = uint64(n)
	for i := range n {
		v := &voter{number: first[i]}
		v.node = w.begin(v.number, nil, first)
		v.saved = v.node.Initial()
		w.voters = append(w.voters, v)
	}
	return w
}

func (w *world) begin(number uint64, saved *Saved, first []uint64) *Node {
	n, err := New(DefaultTerms(number), saved, first, rand.New(rand.NewSource(w.chance.Int63())), w.now)
	require.NoError(w.t, err)
	return n
}

func (w *world) index(number uint64) int {
	return slices.IndexFunc(w.voters, func(v *voter) bool { return v.number == number })
}

func (w *world) keep(v *voter, s Saved) {
	if n := len(s.Entries); n > 0 {
		at := slices.IndexFunc(v.saved.Entries, func(e Entry) bool { return e.Index >= s.Entries[0].Index })
		if at < 0 {
			at = len(v.saved.Entries)
		}
		v.saved.Entries = append(slices.Clone(v.saved.Entries[:at]), s.Entries...)
	}
	if s.Hard.Term > 0 {
		v.saved.Hard = s.Hard
	}
	if i := s.Snapshot.Metadata.Index; i > 0 {
		v.saved.Snapshot = s.Snapshot
		v.saved.Entries = slices.DeleteFunc(slices.Clone(v.saved.Entries), func(e Entry) bool { return e.Index <= i })
	}
}

func (w *world) carry(i int) {
	v := w.voters[i]
	for {
		o, more := v.node.Take()
		require.NoError(w.t, v.node.Broken())
		if !more {
			return
		}
		w.record(v, o)
		w.keep(v, o.Save)
		for _, l := range o.Letters {
			j := w.index(l.To)
			if j < 0 {
				continue
			}
			for range 1 + w.chance.Intn(10)/9 {
				if !w.cut[[2]int{i, j}] && w.chance.Float64() >= w.loss {
					w.mail = append(w.mail, parcel{w.now + timeunit.Milliseconds(1+w.chance.Intn(120)), l.To, v.number, l.Text, l.To})
				}
			}
		}
		if o.Restored != nil {
			v.at = 0
			if len(o.Restored) == 8 {
				v.at = int(binary.BigEndian.Uint64(o.Restored))
			}
		}
		for _, text := range o.Agreed {
			if v.at == len(w.log) {
				w.log = append(w.log, text)
			}
			require.Equal(w.t, w.log[v.at], text, "two voters differ")
			v.at++
		}
		for _, token := range o.Confirmed {
			asked, is := w.asked[[2]uint64{v.number, token}]
			require.True(w.t, is)
			w.sure++
			for term, since := range w.led {
				if term > v.node.Term() && since <= asked {
					w.wrong++
				}
			}
		}
		if v.node.Long() {
			s, err := v.node.Cut(binary.BigEndian.AppendUint64(nil, uint64(v.at)))
			require.NoError(w.t, err)
			w.record(v, Output{Save: s})
			w.keep(v, s)
		}
	}
}

func (w *world) round() {
	w.now += 20
	mail := w.mail
	w.mail = nil
	for _, p := range mail {
		i := w.index(p.to)
		switch {
		case i < 0 || w.voters[i].down:
		case p.at > w.now || w.voters[i].stopped > w.now:
			w.mail = append(w.mail, p)
		default:
			w.voters[i].node.Step(p.from, p.text)
			w.carry(i)
		}
	}
	for i, v := range w.voters {
		if v.down || v.stopped > w.now {
			continue
		}
		v.node.At(w.now)
		w.carry(i)
		if !v.node.Leads() {
			continue
		}
		if _, is := w.led[v.node.Term()]; !is {
			w.led[v.node.Term()] = w.now
		}
		if w.chance.Intn(3) == 0 {
			w.next++
			v.node.Propose(binary.BigEndian.AppendUint64(nil, w.next))
		}
		if token, ok := v.node.Confirm(); ok {
			w.asked[[2]uint64{v.number, token}] = w.now
		}
		var want []uint64
		for _, o := range w.voters {
			want = append(want, o.number)
		}
		v.node.Want(want)
		w.carry(i)
	}
}

func (w *world) trouble() {
	i := w.chance.Intn(len(w.voters))
	v := w.voters[i]
	switch w.chance.Intn(8) {
	case 0: // dies and comes back with what it saved
		v.down = true
	case 1:
		v.stopped = w.now + timeunit.Milliseconds(w.chance.Intn(6000))
	case 2:
		of := w.chance.Perm(len(w.voters))
		for a := range of {
			for b := range of {
				w.cut[[2]int{a, b}] = of[a]%2 != of[b]%2
			}
		}
	case 3:
		w.cut[[2]int{i, w.chance.Intn(len(w.voters))}] = true
	case 4:
		clear(w.cut)
		w.loss = 0
	case 5:
		w.loss = w.chance.Float64() * 0.3
	case 6: // its memory is lost: another number, if the others are there to vote it in
		if !slices.ContainsFunc(w.voters, func(o *voter) bool { return o.down || o.number > uint64(len(w.voters)) && o.at == 0 }) {
			w.numbers++
			*v = voter{number: w.numbers}
			v.node = w.begin(v.number, nil, nil)
		}
	case 7:
		w.mend()
	}
}

func (w *world) mend() {
	for _, v := range w.voters {
		if v.down {
			v.down, v.at = false, 0
			if len(v.saved.Snapshot.Data) == 8 {
				v.at = int(binary.BigEndian.Uint64(v.saved.Snapshot.Data))
			}
			v.node = w.begin(v.number, &v.saved, nil)
		}
	}
}

// play runs one schedule of ten troubles and then a calm, and says whether more was agreed on in the calm.
func (w *world) play() (healed bool) {
	for range 10 {
		w.trouble()
		for end := w.now + timeunit.Milliseconds(200+w.chance.Intn(4000)); w.now < end; {
			w.round()
		}
	}
	clear(w.cut)
	w.loss = 0
	w.mend()
	before := len(w.log)
	for end := w.now + 15000; w.now < end; {
		w.round()
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
		w := newWorld(t, int64(seed), 3+2*(seed%2))
		if w.play() {
			healed++
		}
		require.Zero(t, w.wrong, "seed %d", seed)
		agreed, terms, sure = agreed+len(w.log), terms+len(w.led), sure+w.sure
	}
	t.Logf("measured agreement-schedules seeds=%d agreed=%d terms=%d confirmed=%d confirmed_wrong=0 healed=%d", seeds, agreed, terms, sure, healed)
	require.Equal(t, seeds, healed)
}
