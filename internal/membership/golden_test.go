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
func tickInOrder(v *View, a *Agreement) {
	before, epoch := len(a.outbox), a.configuration.Epoch
	a.Tick()
	later := map[ID]bool{}
	var first *Member
	for _, m := range v.Members() {
		if m.Epoch > epoch && m.isAlive() && m != v.self {
			later[m.ID] = true
			if first == nil {
				first = m
			}
		}
	}
	for i := len(a.outbox) - 1; i >= before && first != nil; i-- {
		if a.outbox[i].Kind == MessageLeaseRequest && later[a.outbox[i].To] {
			a.outbox[i].To = first.ID
			return
		}
	}
}

// addState adds everything that callers can see of a view and its agreement.
func addState(h *golden.History, v *View, a *Agreement) {
	for _, e := range v.Events() {
		h.Add(wire(e.ID), int(e.From), int(e.To), int(e.Cause))
	}
	f := a.Configuration()
	h.Add(int64(v.Now()), v.EffectiveSize(), v.AliveCount(), len(v.Alive()), int(a.QuorumStatus()), int64(a.MajorityUntil()), int64(a.StatusSince()), a.ConfigurationChanges, wire(f))
}

// addMembers adds what is concluded of each member.
func addMembers(h *golden.History, v *View) {
	for _, m := range v.Members() {
		holder, held := v.NameOwner(m.Name)
		h.Add(wire(m.StateUpdate), int(m.State), int(m.Cause), int64(m.Since), int64(m.FirstSeen), int64(m.LastUpdate), int64(m.LastReply), int64(m.RoundTrip),
			int64(m.Age(v.Now())), holder.Incarnation, flag(held))
	}
	c := v.Counts
	h.Add(c.Invalid, c.Stale, c.Forged, c.UnknownSender, c.NoCapacity, c.FalsePositives, c.NameConflicts)
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
			for _, note := range p.accord.TakeMessages() {
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
	accord *Agreement
	now    timeunit.Milliseconds
}

func newCaller(seed int64) *caller {
	chance := rand.New(rand.NewSource(seed))
	terms := DefaultConfig(ID{"n0", 3})
	terms.InitialSize = 1 + chance.Intn(6)
	terms.MaxMembers = 4 + chance.Intn(12)
	terms.Founders = []string{"n0", "n1", "n2"}[:1+2*chance.Intn(2)]
	v := NewView(terms, 0)
	return &caller{chance: chance, view: v, accord: NewAgreement(v)}
}

func (c *caller) id() ID {
	return ID{fmt.Sprint("n", c.chance.Intn(6)), uint64(c.chance.Intn(4))}
}

func (c *caller) update() StateUpdate {
	w := StateUpdate{ID: c.id(), Sequence: uint64(c.chance.Intn(goldenSteps)), Address: fmt.Sprint("a", c.chance.Intn(8)), Zone: fmt.Sprint("z", c.chance.Intn(3)),
		State: State(c.chance.Intn(5)), AgeMs: int64(c.chance.Intn(3000)), Epoch: uint64(c.chance.Intn(4)), ConcurrencyLimit: float64(c.chance.Intn(9))}
	switch c.chance.Intn(24) {
	case 0:
		w.Load = math.NaN()
	case 1:
		w.AvailableCapacity = -1
	case 2:
		w.IndexLatencyMs = 1e10
	case 3:
		w.Name = strings.Repeat("n", 65)
	case 4:
		w.Version = strings.Repeat("v", 65)
	case 5:
		w.AgeMs = -1
	case 6:
		w.State = State(-1)
	case 7, 8:
		w.LoopLagMs = int64(c.chance.Intn(1000)) - 100
	case 9, 10:
		w.PausedMs = int64(c.chance.Intn(9000)) - 100
	case 11:
		w.Usage = []TenantUsage{{"a", 1}, {"", 2}, {"b", math.Inf(1)}, {"c", -1}, {"d", 1e13}, {strings.Repeat("t", 65), 1}, {"e", 0}}
	case 12:
		w.Usage = make([]TenantUsage, 14)
		for i := range w.Usage {
			w.Usage[i] = TenantUsage{fmt.Sprint("t", i), float64(i)}
		}
	case 13:
		w.Unreachable = strings.Split("n1 n2 n3 n4 n5 n6 n7 n8 n9", " ")
	case 14, 15, 16:
		w.Unreachable = []string{fmt.Sprint("n", c.chance.Intn(6))}
	}
	return w
}

func (c *caller) ballot() Ballot { return Ballot{uint64(c.chance.Intn(4)), c.id()} }

func (c *caller) configuration() *Configuration {
	if c.chance.Intn(4) == 0 {
		return nil
	}
	f := &Configuration{Epoch: uint64(c.chance.Intn(4)), LeaseDuration: timeunit.Milliseconds(c.chance.Intn(8)-1) * 1000, GenesisEpoch: uint64(c.chance.Intn(2))}
	for i := range c.chance.Intn(4) {
		f.Voters = append(f.Voters, Voter{ID{fmt.Sprint("n", i), uint64(1 + c.chance.Intn(3))}, fmt.Sprint("a", i)})
	}
	f.MemberCount = len(f.Voters) + c.chance.Intn(3) - 1
	return f
}

func (c *caller) message() Message {
	n := Message{Kind: MessageKind(c.chance.Intn(9)), From: c.id(), To: c.view.config.Self, Epoch: c.accord.configuration.Epoch, RequestedAt: c.now - timeunit.Milliseconds(c.chance.Intn(400)-100)}
	if c.chance.Intn(5) == 0 {
		n.Epoch = uint64(c.chance.Intn(4))
	}
	n.Ballot, n.AcceptedBallot, n.Configuration = c.ballot(), c.ballot(), c.configuration()
	if c.chance.Intn(2) == 0 {
		n.Ballot = c.accord.proposer.ballot
	}
	return n
}

func (c *caller) call() (result any) {
	switch c.chance.Intn(16) {
	case 0, 1, 2, 3:
		return flag(c.view.ApplyUpdate(c.update()))
	case 4:
		c.view.ProbeSucceeded(c.id(), timeunit.Milliseconds(c.chance.Intn(90)))
	case 5:
		c.view.ProbeFailed(c.id())
	case 6:
		c.view.Suspected(c.id())
	case 7:
		c.view.Failed(c.id())
	case 8:
		c.view.Refuted(c.id())
	case 9:
		c.view.DialFinished(c.id(), DialResult(c.chance.Intn(3)))
	case 10:
		if c.chance.Intn(4) == 0 {
			c.view.Left(c.id())
		}
	case 11:
		return wire(c.view.UpdateSelf(StateUpdate{Address: "a0", State: State(c.chance.Intn(4)), ConcurrencyLimit: float64(c.chance.Intn(3) - 1), Epoch: c.accord.configuration.Epoch}))
	case 12, 13:
		c.accord.Step(c.message())
	case 14:
		if c.chance.Intn(10) == 0 {
			c.accord.StartNewGenesis = true
		}
		c.now += timeunit.Milliseconds(c.chance.Intn(2500) - 50)
		return int64(c.view.Advance(c.now, 200))
	case 15:
		for range 1 + c.chance.Intn(12) {
			c.now += 200
			c.view.Advance(c.now, 200)
			tickInOrder(c.view, c.accord)
			c.view.Tick(c.accord.QuorumStatus())
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
			for _, note := range c.accord.TakeMessages() {
				h.Add(wire(note))
			}
		}
	})
}

// Every message decodes and encodes again to the same bytes; the last lines are the keys and texts that operators' tools read.
func TestGoldenMessages(t *testing.T) {
	id, other := ID{"n0", 1}, ID{"n1", 1 << 60}
	fleet := Configuration{Epoch: 7, Voters: []Voter{{id, "10.0.0.1:7946"}, {other, "10.0.0.2:7946"}}, MemberCount: 12, LeaseDuration: 1500, GenesisEpoch: 3}
	ballot := Ballot{5, other}
	messages := []any{&id, &Voter{id, "10.0.0.1:7946"}, &fleet, &Configuration{}, &ballot, &TenantUsage{"tenant", 12.5}, &StateUpdate{}, &StateUpdate{ID: id, Sequence: 2, Address: "10.0.0.1:7946",
		Zone: "z", Version: "v", SettingsDigest: 3, State: StateServing, ConcurrencyLimit: 4, Load: 5.5, AvailableCapacity: 6, IndexLatencyMs: 7.25, PausedMs: 8, LoopLagMs: 9, Epoch: 10, Unreachable: []string{"n4", "n5"},
		AgeMs: 11, QuotaVoter: 12, QuotaLog: 13, Usage: []TenantUsage{{"tenant", 14.5}}}, &Message{}}
	for kind := MessageLeaseRequest; kind <= MessageCommitted; kind++ {
		messages = append(messages, &Message{Kind: kind, From: id, Epoch: 7, To: other},
			&Message{Kind: kind, From: id, Epoch: 7, RequestedAt: 123456, Ballot: ballot, AcceptedBallot: Ballot{4, id}, Configuration: &fleet, To: other})
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
	fmt.Fprintf(&lines, "%s\n%q\n%q\n%q\n", counts, StateNames, CauseNames, QuorumStatusNames)
	for s := Isolated; s <= Majority; s++ {
		for u := SizeOperation; u <= RolloutOperation; u++ {
			fmt.Fprint(&lines, int(s.Permits(u)), " ")
		}
	}
	terms := DefaultConfig(id)
	fmt.Fprintln(&lines, "\n", terms.InitialSize, int64(terms.LeaseDuration), terms.MaxClockDrift, int64(terms.StabilityWindow), terms.MaxMembers, int64(terms.Retention), terms.MaxVoters, terms.FlapThreshold,
		int64(terms.FlapWindow), int64(terms.FlapHold))
	golden.Check(t, "messages.txt", []byte(lines.String()))
}
