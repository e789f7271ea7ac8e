package membership

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// The histories hold only bytes as they go over the wire and numbers, so that no renaming moves them.

const (
	goldenSeeds = 100
	goldenSteps = 400 // random calls per seed of TestGoldenRandomCalls
)

// wire returns the CBOR encoding of a message in hexadecimal digits.
func wire(message any) string {
	text, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return hex.EncodeToString(text)
}

func flag(is bool) int {
	if is {
		return 1
	}
	return 0
}

// tickInOrder is Tick without its one random choice: of several members that know a later configuration it asks whichever
// it meets first in a map. Any of them will do, so the question is addressed to the first by order instead.
func tickInOrder(v *View, a *Accord) {
	before, epoch := len(a.out), a.fleet.Epoch
	a.Tick()
	later := map[ID]bool{}
	var first *Member
	for _, m := range v.Members() {
		if m.Epoch > epoch && m.there() && m != v.me {
			later[m.ID] = true
			if first == nil {
				first = m
			}
		}
	}
	for i := len(a.out) - 1; i >= before && first != nil; i-- {
		if a.out[i].Kind == Ask && later[a.out[i].To] {
			a.out[i].To = first.ID
			return
		}
	}
}

// addState adds everything that callers can see of a view and its agreement.
func addState(h *golden.History, v *View, a *Accord) {
	for _, e := range v.Events() {
		h.Add(wire(e.ID), int(e.From), int(e.To), int(e.Cause))
	}
	f := a.Fleet()
	h.Add(int64(v.Now()), v.Size(), v.Present(), len(v.There()), int(a.Standing()), int64(a.Until()), int64(a.Since()), a.Changes, wire(f))
}

// addMembers adds what is concluded of each member.
func addMembers(h *golden.History, v *View) {
	for _, m := range v.Members() {
		holder, held := v.Holder(m.Name)
		h.Add(wire(m.Word), int(m.State), int(m.Cause), int64(m.Since), int64(m.First), int64(m.Heard), int64(m.Direct), int64(m.Trip),
			int64(m.Age(v.Now())), holder.Life, flag(held))
	}
	c := v.Counts
	h.Add(c.Insane, c.Old, c.Foreign, c.Unknown, c.Full, c.FalseAlarms, c.NameTaken)
}

// checkSeeds compares one line a seed with a golden file.
func checkSeeds(t *testing.T, name string, play func(seed int64, h *golden.History)) {
	var lines strings.Builder
	for seed := range int64(goldenSeeds) {
		h := golden.NewHistory()
		play(seed, h)
		fmt.Fprintf(&lines, "seed=%d %s\n", seed, h)
	}
	golden.Check(t, name, []byte(lines.String()))
}

func TestGoldenSchedules(t *testing.T) {
	checkSeeds(t, "schedules.txt", func(seed int64, h *golden.History) {
		w := newWorld(seed, 3+int(seed)%7)
		w.history = h
		w.play()
	})
}

func TestGoldenInterleavings(t *testing.T) {
	checkSeeds(t, "interleavings.txt", func(seed int64, h *golden.History) {
		chance := rand.New(rand.NewSource(seed))
		s := newSynod()
		for range 60 {
			if !s.step(chance.Intn(3 + len(s.flying))) {
				continue
			}
			for _, note := range s.flying {
				h.Add(wire(note))
			}
			for _, a := range s.accords {
				addState(h, a.view, a)
			}
		}
	})
}

func TestGoldenScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	var lines strings.Builder
	for _, file := range files {
		h := golden.NewHistory()
		playScenario(t, file, func(p *player) {
			addState(h, p.view, p.accord)
			addMembers(h, p.view)
			for _, note := range p.accord.Out() {
				h.Add(wire(note))
			}
		})
		fmt.Fprintf(&lines, "%s %s\n", filepath.Base(file), h)
	}
	golden.Check(t, "scenarios.txt", []byte(lines.String()))
}

// caller makes random calls of one view and its agreement, sensible or not.
type caller struct {
	chance *rand.Rand
	view   *View
	accord *Accord
	now    timeunit.Milliseconds
}

func newCaller(seed int64) *caller {
	chance := rand.New(rand.NewSource(seed))
	terms := DefaultTerms(ID{"n0", 3})
	terms.Size = 1 + chance.Intn(6)
	terms.Most = 4 + chance.Intn(12)
	terms.Founders = []string{"n0", "n1", "n2"}[:1+2*chance.Intn(2)]
	v := NewView(terms, 0)
	return &caller{chance: chance, view: v, accord: NewAccord(v)}
}

func (c *caller) id() ID {
	return ID{fmt.Sprint("n", c.chance.Intn(6)), uint64(c.chance.Intn(4))}
}

func (c *caller) update() Word {
	w := Word{ID: c.id(), Seq: uint64(c.chance.Intn(goldenSteps)), Address: fmt.Sprint("a", c.chance.Intn(8)), Zone: fmt.Sprint("z", c.chance.Intn(3)),
		State: State(c.chance.Intn(5)), AgeMs: int64(c.chance.Intn(3000)), Epoch: uint64(c.chance.Intn(4)), Pool: float64(c.chance.Intn(9))}
	switch c.chance.Intn(24) {
	case 0:
		w.Load = math.NaN()
	case 1:
		w.Free = -1
	case 2:
		w.IndexMs = 1e10
	case 3:
		w.Name = strings.Repeat("n", 65)
	case 4:
		w.Version = strings.Repeat("v", 65)
	case 5:
		w.AgeMs = -1
	case 6:
		w.State = State(-1)
	case 7, 8:
		w.LateMs = int64(c.chance.Intn(1000)) - 100
	case 9, 10:
		w.SleptMs = int64(c.chance.Intn(9000)) - 100
	case 11:
		w.Used = []Used{{"a", 1}, {"", 2}, {"b", math.Inf(1)}, {"c", -1}, {"d", 1e13}, {strings.Repeat("t", 65), 1}, {"e", 0}}
	case 12:
		w.Used = make([]Used, 14)
		for i := range w.Used {
			w.Used[i] = Used{fmt.Sprint("t", i), float64(i)}
		}
	case 13:
		w.Misses = strings.Split("n1 n2 n3 n4 n5 n6 n7 n8 n9", " ")
	case 14, 15, 16:
		w.Misses = []string{fmt.Sprint("n", c.chance.Intn(6))}
	}
	return w
}

func (c *caller) ballot() Ballot { return Ballot{uint64(c.chance.Intn(4)), c.id()} }

func (c *caller) configuration() *Fleet {
	if c.chance.Intn(4) == 0 {
		return nil
	}
	f := &Fleet{Epoch: uint64(c.chance.Intn(4)), Lease: timeunit.Milliseconds(c.chance.Intn(8)-1) * 1000, Born: uint64(c.chance.Intn(2))}
	for i := range c.chance.Intn(4) {
		f.Voters = append(f.Voters, Voter{ID{fmt.Sprint("n", i), uint64(1 + c.chance.Intn(3))}, fmt.Sprint("a", i)})
	}
	f.Count = len(f.Voters) + c.chance.Intn(3) - 1
	return f
}

func (c *caller) message() Note {
	n := Note{Kind: Kind(c.chance.Intn(9)), From: c.id(), To: c.view.terms.Me, Epoch: c.accord.fleet.Epoch, Asked: c.now - timeunit.Milliseconds(c.chance.Intn(400)-100)}
	if c.chance.Intn(5) == 0 {
		n.Epoch = uint64(c.chance.Intn(4))
	}
	n.Ballot, n.Before, n.Fleet = c.ballot(), c.ballot(), c.configuration()
	if c.chance.Intn(2) == 0 {
		n.Ballot = c.accord.ballot
	}
	return n
}

func (c *caller) call() (result any) {
	switch c.chance.Intn(16) {
	case 0, 1, 2, 3:
		return flag(c.view.Hear(c.update()))
	case 4:
		c.view.Answered(c.id(), timeunit.Milliseconds(c.chance.Intn(90)))
	case 5:
		c.view.Missed(c.id())
	case 6:
		c.view.Doubted(c.id())
	case 7:
		c.view.Lost(c.id())
	case 8:
		c.view.Back(c.id())
	case 9:
		c.view.Dialled(c.id(), Dial(c.chance.Intn(3)))
	case 10:
		if c.chance.Intn(4) == 0 {
			c.view.Left(c.id())
		}
	case 11:
		return wire(c.view.Say(Word{Address: "a0", State: State(c.chance.Intn(4)), Pool: float64(c.chance.Intn(3) - 1), Epoch: c.accord.fleet.Epoch}))
	case 12, 13:
		c.accord.Take(c.message())
	case 14:
		if c.chance.Intn(10) == 0 {
			c.accord.Renew = true
		}
		c.now += timeunit.Milliseconds(c.chance.Intn(2500) - 50)
		return int64(c.view.At(c.now, 200))
	case 15:
		for range 1 + c.chance.Intn(12) {
			c.now += 200
			c.view.At(c.now, 200)
			tickInOrder(c.view, c.accord)
			c.view.Judge(c.accord.Standing())
		}
	}
	return 0
}

// Random calls reach what the schedules do not: probes, dials, unusable updates, a full view, messages at the wrong time.
func TestGoldenRandomCalls(t *testing.T) {
	checkSeeds(t, "calls.txt", func(seed int64, h *golden.History) {
		c := newCaller(seed)
		for range goldenSteps {
			h.Add(c.call())
			addState(h, c.view, c.accord)
			addMembers(h, c.view)
			for _, note := range c.accord.Out() {
				h.Add(wire(note))
			}
		}
	})
}

// Every message decodes and encodes again to the same bytes; the last lines are the keys and texts that operators' tools read.
func TestGoldenMessages(t *testing.T) {
	id, other := ID{"n0", 1}, ID{"n1", 1 << 60}
	fleet := Fleet{Epoch: 7, Voters: []Voter{{id, "10.0.0.1:7946"}, {other, "10.0.0.2:7946"}}, Count: 12, Lease: 1500, Born: 3}
	ballot := Ballot{5, other}
	messages := []any{&id, &Voter{id, "10.0.0.1:7946"}, &fleet, &Fleet{}, &ballot, &Used{"tenant", 12.5}, &Word{}, &Word{ID: id, Seq: 2, Address: "10.0.0.1:7946",
		Zone: "z", Version: "v", Settings: 3, State: Serving, Pool: 4, Load: 5.5, Free: 6, IndexMs: 7.25, SleptMs: 8, LateMs: 9, Epoch: 10, Misses: []string{"n4", "n5"},
		AgeMs: 11, Keeper: 12, Group: 13, Used: []Used{{"tenant", 14.5}}}, &Note{}}
	for kind := Ask; kind <= Chosen; kind++ {
		messages = append(messages, &Note{Kind: kind, From: id, Epoch: 7, To: other},
			&Note{Kind: kind, From: id, Epoch: 7, Asked: 123456, Ballot: ballot, Before: Ballot{4, id}, Fleet: &fleet, To: other})
	}
	var lines strings.Builder
	for i, message := range messages {
		text, err := cbor.Marshal(message)
		require.NoError(t, err)
		back := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		require.NoError(t, cbor.Unmarshal(text, back))
		require.Equal(t, hex.EncodeToString(text), wire(back))
		fmt.Fprintf(&lines, "%d %x\n", i, text)
	}
	counts, err := json.Marshal(Counts{1, 2, 3, 4, 5, 6, 7})
	require.NoError(t, err)
	fmt.Fprintf(&lines, "%s\n%q\n%q\n%q\n", counts, StateNames, CauseNames, StandingNames)
	for s := Alone; s <= Whole; s++ {
		for u := SizeUse; u <= RolloutUse; u++ {
			fmt.Fprint(&lines, int(s.Allows(u)), " ")
		}
	}
	terms := DefaultTerms(id)
	fmt.Fprintln(&lines, "\n", terms.Size, int64(terms.Lease), terms.Drift, int64(terms.Settle), terms.Most, int64(terms.Keep), terms.Voters, terms.SwingMost,
		int64(terms.SwingIn), int64(terms.SwingFor))
	golden.Check(t, "messages.txt", []byte(lines.String()))
}
