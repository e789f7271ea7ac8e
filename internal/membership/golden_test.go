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
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// The golden files were recorded before the package was renamed and split (issue 37). Their histories contain only
// wire-format bytes and numbers, so renaming identifiers does not change them.

// randomCallsPerSeed is the number of random calls per seed in TestGoldenRandomCalls.
const randomCallsPerSeed = 400

// cborHex returns the CBOR encoding of a message in hexadecimal.
func cborHex(message any) string {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return hex.EncodeToString(encoded)
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// tickDeterministically calls Tick without the effect of its one random choice: if several members report a newer
// configuration, Tick asks whichever comes first in the iteration over a map. Any of them will do, so the request is
// redirected to the first one by ID.
func tickDeterministically(v *View, a *Agreement) {
	before := len(a.outbox)
	epoch := a.configuration.Epoch
	a.Tick()
	isAhead := map[ID]bool{}
	var first *Member
	for _, m := range v.Members() {
		if m.Epoch > epoch && m.isAlive() && m != v.self {
			isAhead[m.ID] = true
			if first == nil {
				first = m
			}
		}
	}
	for i := len(a.outbox) - 1; i >= before && first != nil; i-- {
		if a.outbox[i].Kind == MessageLeaseRequest && isAhead[a.outbox[i].To] {
			a.outbox[i].To = first.ID
			return
		}
	}
}

// addState adds everything that callers can observe of a view and its agreement.
func addState(h *golden.History, v *View, a *Agreement) {
	for _, e := range v.Events() {
		h.Add(cborHex(e.ID), int(e.From), int(e.To), int(e.Cause))
	}
	h.Add(int64(v.Now()), v.EffectiveSize(), v.AliveCount(), len(v.Alive()), int(a.QuorumStatus()),
		int64(a.MajorityUntil()), int64(a.StatusSince()), a.ConfigurationChanges, cborHex(a.Configuration()))
}

// addMembers adds the conclusions about each member, and the counts.
func addMembers(h *golden.History, v *View) {
	for _, m := range v.Members() {
		owner, isOwned := v.NameOwner(m.Name)
		h.Add(cborHex(m.StateUpdate), int(m.State), int(m.Cause), int64(m.Since), int64(m.FirstSeen),
			int64(m.LastUpdate), int64(m.LastReply), int64(m.RoundTrip), int64(m.Age(v.Now())), owner.Incarnation,
			boolToInt(isOwned))
	}
	c := v.Counts
	h.Add(c.Invalid, c.Stale, c.Forged, c.UnknownSender, c.NoCapacity, c.FalsePositives, c.NameConflicts)
}

// checkGoldenSeeds compares the history of each seed with its line in a golden file.
func checkGoldenSeeds(t *testing.T, name string, play func(t *testing.T, seed int64, h *golden.History)) {
	schedule.GoldenFile{Name: name, Seeds: 100, SeedsPerLine: 1, Label: "seed=%[1]d"}.Check(t, play)
}

func TestGoldenSchedules(t *testing.T) {
	checkGoldenSeeds(t, "schedules.txt", func(_ *testing.T, seed int64, h *golden.History) {
		c := newCluster(seed, 3+int(seed)%7)
		c.history = h
		c.runFaultSchedule()
	})
}

func TestGoldenInterleavings(t *testing.T) {
	checkGoldenSeeds(t, "interleavings.txt", func(_ *testing.T, seed int64, h *golden.History) {
		random := rand.New(rand.NewSource(seed))
		s := newPaxosSimulation()
		for range 60 {
			if !s.step(random.Intn(3 + len(s.inFlight))) {
				continue
			}
			for _, message := range s.inFlight {
				h.Add(cborHex(message))
			}
			for _, a := range s.agreements {
				addState(h, a.view, a)
			}
		}
	})
}

func TestGoldenScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	var histories golden.Histories
	for _, file := range files {
		h := golden.NewHistory()
		playScenario(t, file, func(p *player) {
			addState(h, p.view, p.agreement)
			addMembers(h, p.view)
			for _, message := range p.agreement.TakeMessages() {
				h.Add(cborHex(message))
			}
		})
		histories.Add(filepath.Base(file), h)
	}
	histories.Check(t, "scenarios.txt")
}

// Random calls cover what the schedules do not: probes, dials, invalid updates, a full view and messages at the wrong
// time.
func TestGoldenRandomCalls(t *testing.T) {
	checkGoldenSeeds(t, "calls.txt", func(_ *testing.T, seed int64, h *golden.History) {
		c := newRandomCaller(seed)
		for range randomCallsPerSeed {
			h.Add(c.call())
			addState(h, c.view, c.agreement)
			addMembers(h, c.view)
			for _, message := range c.agreement.TakeMessages() {
				h.Add(cborHex(message))
			}
		}
	})
}

// randomCaller makes random calls, valid or not, on one view and its agreement.
type randomCaller struct {
	random    *rand.Rand
	view      *View
	agreement *Agreement
	now       timeunit.Milliseconds
}

func newRandomCaller(seed int64) *randomCaller {
	random := rand.New(rand.NewSource(seed))
	config := DefaultConfig(ID{"n0", 3})
	config.InitialSize = 1 + random.Intn(6)
	config.MaxMembers = 4 + random.Intn(12)
	config.Founders = []string{"n0", "n1", "n2"}[:1+2*random.Intn(2)]
	v := NewView(config, 0)
	return &randomCaller{random: random, view: v, agreement: NewAgreement(v)}
}

// call makes one random call and returns its result, or 0 if it has none.
func (c *randomCaller) call() (result any) {
	switch c.random.Intn(16) {
	case 0, 1, 2, 3:
		return boolToInt(c.view.ApplyUpdate(c.randomUpdate()))
	case 4:
		c.view.ProbeSucceeded(c.randomID(), timeunit.Milliseconds(c.random.Intn(90)))
	case 5:
		c.view.RecordProbeFailure(c.randomID())
	case 6:
		c.view.RecordSuspicion(c.randomID())
	case 7:
		c.view.RecordFailure(c.randomID())
	case 8:
		c.view.Refuted(c.randomID())
	case 9:
		c.view.DialFinished(c.randomID(), DialResult(c.random.Intn(3)))
	case 10:
		if c.random.Intn(4) == 0 {
			c.view.RecordLeave(c.randomID())
		}
	case 11:
		return cborHex(c.view.UpdateSelf(StateUpdate{
			Address:          "a0",
			State:            State(c.random.Intn(4)),
			ConcurrencyLimit: float64(c.random.Intn(3) - 1),
			Epoch:            c.agreement.configuration.Epoch,
		}))
	case 12, 13:
		c.agreement.Step(c.randomMessage())
	case 14:
		return c.pause()
	case 15:
		c.tick()
	}
	return 0
}

// pause advances the clock by up to 2.5 s at once, or moves it back by up to 50 ms. One call in ten also requests a new
// genesis epoch.
func (c *randomCaller) pause() int64 {
	if c.random.Intn(10) == 0 {
		c.agreement.StartNewGenesis = true
	}
	c.now += timeunit.Milliseconds(c.random.Intn(2500) - 50)
	return int64(c.view.Advance(c.now, 200))
}

func (c *randomCaller) tick() {
	for range 1 + c.random.Intn(12) {
		c.now += 200
		c.view.Advance(c.now, 200)
		tickDeterministically(c.view, c.agreement)
		c.view.Tick(c.agreement.QuorumStatus())
	}
}

func (c *randomCaller) randomID() ID {
	return ID{fmt.Sprint("n", c.random.Intn(6)), uint64(c.random.Intn(4))}
}

func (c *randomCaller) randomUpdate() StateUpdate {
	update := StateUpdate{
		ID:               c.randomID(),
		Sequence:         uint64(c.random.Intn(randomCallsPerSeed)),
		Address:          fmt.Sprint("a", c.random.Intn(8)),
		Zone:             fmt.Sprint("z", c.random.Intn(3)),
		State:            State(c.random.Intn(5)),
		AgeMs:            int64(c.random.Intn(3000)),
		Epoch:            uint64(c.random.Intn(4)),
		ConcurrencyLimit: float64(c.random.Intn(9)),
	}
	switch c.random.Intn(24) {
	case 0:
		update.Load = math.NaN()
	case 1:
		update.AvailableCapacity = -1
	case 2:
		update.IndexLatencyMs = 1e10
	case 3:
		update.Name = strings.Repeat("n", 65)
	case 4:
		update.Version = strings.Repeat("v", 65)
	case 5:
		update.AgeMs = -1
	case 6:
		update.State = State(-1)
	case 7, 8:
		update.LoopLagMs = int64(c.random.Intn(1000)) - 100
	case 9, 10:
		update.PausedMs = int64(c.random.Intn(9000)) - 100
	case 11:
		update.Usage = []TenantUsage{
			{"a", 1}, {"", 2}, {"b", math.Inf(1)}, {"c", -1}, {"d", 1e13}, {strings.Repeat("t", 65), 1}, {"e", 0},
		}
	case 12:
		update.Usage = make([]TenantUsage, 14)
		for i := range update.Usage {
			update.Usage[i] = TenantUsage{fmt.Sprint("t", i), float64(i)}
		}
	case 13:
		update.Unreachable = strings.Split("n1 n2 n3 n4 n5 n6 n7 n8 n9", " ")
	case 14, 15, 16:
		update.Unreachable = []string{fmt.Sprint("n", c.random.Intn(6))}
	}
	return update
}

func (c *randomCaller) randomBallot() Ballot { return Ballot{uint64(c.random.Intn(4)), c.randomID()} }

func (c *randomCaller) randomConfiguration() *Configuration {
	if c.random.Intn(4) == 0 {
		return nil
	}
	configuration := &Configuration{
		Epoch:         uint64(c.random.Intn(4)),
		LeaseDuration: timeunit.Milliseconds(c.random.Intn(8)-1) * 1000,
		GenesisEpoch:  uint64(c.random.Intn(2)),
	}
	for i := range c.random.Intn(4) {
		id := ID{fmt.Sprint("n", i), uint64(1 + c.random.Intn(3))}
		configuration.Voters = append(configuration.Voters, Voter{id, fmt.Sprint("a", i)})
	}
	configuration.MemberCount = len(configuration.Voters) + c.random.Intn(3) - 1
	return configuration
}

func (c *randomCaller) randomMessage() Message {
	m := Message{
		Kind:        MessageKind(c.random.Intn(9)),
		From:        c.randomID(),
		To:          c.view.config.Self,
		Epoch:       c.agreement.configuration.Epoch,
		RequestedAt: c.now - timeunit.Milliseconds(c.random.Intn(400)-100),
	}
	if c.random.Intn(5) == 0 {
		m.Epoch = uint64(c.random.Intn(4))
	}
	m.Ballot = c.randomBallot()
	m.AcceptedBallot = c.randomBallot()
	m.Configuration = c.randomConfiguration()
	if c.random.Intn(2) == 0 {
		m.Ballot = c.agreement.proposer.ballot
	}
	return m
}

// sampleMessages returns at least one value of every type that is sent.
func sampleMessages() []any {
	id := ID{"n0", 1}
	other := ID{"n1", 1 << 60}
	ballot := Ballot{5, other}
	configuration := Configuration{
		Epoch:         7,
		Voters:        []Voter{{id, "10.0.0.1:7946"}, {other, "10.0.0.2:7946"}},
		MemberCount:   12,
		LeaseDuration: 1500,
		GenesisEpoch:  3,
	}
	update := StateUpdate{
		ID:                id,
		Sequence:          2,
		Address:           "10.0.0.1:7946",
		Zone:              "z",
		Version:           "v",
		SettingsDigest:    3,
		State:             StateServing,
		ConcurrencyLimit:  4,
		Load:              5.5,
		AvailableCapacity: 6,
		IndexLatencyMs:    7.25,
		PausedMs:          8,
		LoopLagMs:         9,
		Epoch:             10,
		Unreachable:       []string{"n4", "n5"},
		AgeMs:             11,
		QuotaVoter:        12,
		QuotaLog:          13,
		Usage:             []TenantUsage{{"tenant", 14.5}},
	}
	messages := []any{&id, &Voter{id, "10.0.0.1:7946"}, &configuration, &Configuration{}, &ballot,
		&TenantUsage{"tenant", 12.5}, &StateUpdate{}, &update, &Message{}}
	for kind := MessageLeaseRequest; kind <= MessageCommitted; kind++ {
		messages = append(messages, &Message{Kind: kind, From: id, Epoch: 7, To: other}, &Message{
			Kind:           kind,
			From:           id,
			Epoch:          7,
			RequestedAt:    123456,
			Ballot:         ballot,
			AcceptedBallot: Ballot{4, id},
			Configuration:  &configuration,
			To:             other,
		})
	}
	return messages
}

// Every message must decode and encode again to the same bytes. The last lines of the golden file are the keys and
// texts that operators' tools read, the permissions and the default parameters.
func TestGoldenMessages(t *testing.T) {
	var lines strings.Builder
	for i, message := range sampleMessages() {
		encoded, err := cbor.Marshal(message)
		require.NoError(t, err)
		decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		require.NoError(t, cbor.Unmarshal(encoded, decoded))
		require.Equal(t, hex.EncodeToString(encoded), cborHex(decoded))
		fmt.Fprintf(&lines, "%d %x\n", i, encoded)
	}
	counts, err := json.Marshal(Counts{1, 2, 3, 4, 5, 6, 7})
	require.NoError(t, err)
	fmt.Fprintf(&lines, "%s\n%q\n%q\n%q\n", counts, StateNames, CauseNames, QuorumStatusNames)
	for status := Isolated; status <= Majority; status++ {
		for operation := SizeOperation; operation <= RolloutOperation; operation++ {
			fmt.Fprint(&lines, int(status.Permits(operation)), " ")
		}
	}
	config := DefaultConfig(ID{"n0", 1})
	fmt.Fprintln(&lines, "\n", config.InitialSize, int64(config.LeaseDuration), config.MaxClockDrift,
		int64(config.StabilityWindow), config.MaxMembers, int64(config.Retention), config.MaxVoters,
		config.FlapThreshold, int64(config.FlapWindow), int64(config.FlapHold))
	golden.Check(t, "messages.txt", []byte(lines.String()))
}
