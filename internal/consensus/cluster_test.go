package consensus

import (
	"encoding/binary"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// Parameters of a schedule, in milliseconds of virtual time where they are times.
const (
	stepLength   = 20
	maxDelay     = 120  // of a message
	maxPause     = 6000 // that a voter stands still
	minFaultGap  = 200  // between two faults
	maxFaultGap  = 4200
	calmAtTheEnd = 15000
	faults       = 10
)

// cluster is a set of voters in virtual time. Messages are lost, delayed and duplicated, links are cut one way and
// both, voters stand still, crash and come back with what they saved, or under another id without it.
type cluster struct {
	t                  *testing.T
	random             *rand.Rand
	now                timeunit.Milliseconds
	members            []*member
	blocked            map[[2]int]bool // links by the indexes of sender and receiver
	lossRate           float64
	inFlight           []envelope
	lastID             uint64
	log                [][]byte                         // what is committed, as the first voter to apply it had it
	leaderSince        map[uint64]timeunit.Milliseconds // by term: since when a voter knows that it leads
	readAskedAt        map[readRequest]timeunit.Milliseconds
	lastProposal       uint64
	confirmations      int
	falseConfirmations int             // confirmed though another voter led before the question
	history            *golden.History // of all that the voters put out; nil where it isn't wanted
}

// member is a voter and its disk.
type member struct {
	voter       *Voter
	id          uint64
	state       PersistentState // what is durable
	applied     int             // entries applied
	pausedUntil timeunit.Milliseconds
	down        bool
}

// envelope is a message under way.
type envelope struct {
	deliverAt timeunit.Milliseconds
	from      uint64
	to        uint64
	data      []byte
}

type readRequest struct {
	voter uint64
	token uint64
}

func newCluster(t *testing.T, seed int64, size int) *cluster {
	c := &cluster{
		t:           t,
		random:      rand.New(rand.NewSource(seed)),
		blocked:     map[[2]int]bool{},
		leaderSince: map[uint64]timeunit.Milliseconds{},
		readAskedAt: map[readRequest]timeunit.Milliseconds{},
		lastID:      uint64(size),
	}
	var ids []uint64
	for i := range size {
		ids = append(ids, uint64(i+1))
	}
	for _, id := range ids {
		m := &member{id: id, voter: c.startVoter(id, nil, ids)}
		m.state = m.voter.InitialState()
		c.members = append(c.members, m)
	}
	return c
}

func (c *cluster) startVoter(id uint64, saved *PersistentState, firstVoters []uint64) *Voter {
	c.t.Helper()
	random := rand.New(rand.NewSource(c.random.Int63()))
	voter, err := New(DefaultConfig(id), saved, firstVoters, random, c.now)
	require.NoError(c.t, err)
	return voter
}

func (c *cluster) indexOf(id uint64) int {
	return slices.IndexFunc(c.members, func(m *member) bool { return m.id == id })
}

// persist stores what a voter wants durable on top of what its disk has.
func (m *member) persist(update PersistentState) {
	if len(update.Entries) > 0 {
		first := update.Entries[0].Index
		kept := slices.IndexFunc(m.state.Entries, func(e Entry) bool { return e.Index >= first })
		if kept < 0 {
			kept = len(m.state.Entries)
		}
		m.state.Entries = append(slices.Clone(m.state.Entries[:kept]), update.Entries...)
	}
	if update.HardState.Term > 0 {
		m.state.HardState = update.HardState
	}
	if index := update.Snapshot.Metadata.Index; index > 0 {
		m.state.Snapshot = update.Snapshot
		isCovered := func(e Entry) bool { return e.Index <= index }
		m.state.Entries = slices.DeleteFunc(slices.Clone(m.state.Entries), isCovered)
	}
}

// applySnapshot takes a state, which in these tests is the number of entries that it covers.
func (m *member) applySnapshot(state []byte) {
	m.applied = 0
	if len(state) == 8 {
		m.applied = int(binary.BigEndian.Uint64(state))
	}
}

// deliverReady does for one voter what a host has to do.
func (c *cluster) deliverReady(sender int) {
	m := c.members[sender]
	for {
		ready, more := m.voter.Ready()
		require.NoError(c.t, m.voter.Err())
		if !more {
			return
		}
		c.record(m, ready)
		m.persist(ready.State)
		for _, message := range ready.Messages {
			c.send(sender, message)
		}
		if ready.Snapshot != nil {
			m.applySnapshot(ready.Snapshot)
		}
		for _, data := range ready.Committed {
			c.apply(m, data)
		}
		for _, token := range ready.ConfirmedReads {
			c.checkConfirmation(m, token)
		}
		if m.voter.NeedsCompaction() {
			state, err := m.voter.Compact(binary.BigEndian.AppendUint64(nil, uint64(m.applied)))
			require.NoError(c.t, err)
			c.record(m, Ready{State: state})
			m.persist(state)
		}
	}
}

// send puts a message on its way, one in ten of them twice, unless it is lost.
func (c *cluster) send(sender int, message Message) {
	receiver := c.indexOf(message.To)
	if receiver < 0 {
		return
	}
	for range 1 + c.random.Intn(10)/9 {
		if c.blocked[[2]int{sender, receiver}] || c.random.Float64() < c.lossRate {
			continue
		}
		delay := timeunit.Milliseconds(1 + c.random.Intn(maxDelay))
		c.inFlight = append(c.inFlight, envelope{
			deliverAt: c.now + delay,
			from:      c.members[sender].id,
			to:        message.To,
			data:      message.Data,
		})
	}
}

// apply applies a committed entry and checks that all voters have the same in its place.
func (c *cluster) apply(m *member, data []byte) {
	if m.applied == len(c.log) {
		c.log = append(c.log, data)
	}
	require.Equal(c.t, c.log[m.applied], data, "two voters differ")
	m.applied++
}

// checkConfirmation counts a confirmed read as false where a later leader was there before the question.
func (c *cluster) checkConfirmation(m *member, token uint64) {
	askedAt, asked := c.readAskedAt[readRequest{m.id, token}]
	require.True(c.t, asked)
	c.confirmations++
	for term, since := range c.leaderSince {
		if term > m.voter.Term() && since <= askedAt {
			c.falseConfirmations++
		}
	}
}

// advance moves the time on by one step: messages that are due arrive, then every voter ticks.
func (c *cluster) advance() {
	c.now += stepLength
	arriving := c.inFlight
	c.inFlight = nil
	for _, e := range arriving {
		receiver := c.indexOf(e.to)
		switch {
		case receiver < 0 || c.members[receiver].down:
		case e.deliverAt > c.now || c.members[receiver].pausedUntil > c.now:
			c.inFlight = append(c.inFlight, e)
		default:
			c.members[receiver].voter.Step(e.from, e.data)
			c.deliverReady(receiver)
		}
	}
	for i, m := range c.members {
		if m.down || m.pausedUntil > c.now {
			continue
		}
		m.voter.Tick(c.now)
		c.deliverReady(i)
		if m.voter.IsLeader() {
			c.lead(m)
			c.deliverReady(i)
		}
	}
}

// lead has a leader propose now and then, ask for a read index, and want all members as voters.
func (c *cluster) lead(m *member) {
	if _, known := c.leaderSince[m.voter.Term()]; !known {
		c.leaderSince[m.voter.Term()] = c.now
	}
	if c.random.Intn(3) == 0 {
		c.lastProposal++
		m.voter.Propose(binary.BigEndian.AppendUint64(nil, c.lastProposal))
	}
	if token, asked := m.voter.ReadIndex(); asked {
		c.readAskedAt[readRequest{m.id, token}] = c.now
	}
	var ids []uint64
	for _, other := range c.members {
		ids = append(ids, other.id)
	}
	m.voter.SetDesiredVoters(ids)
}

// injectFault lets one fault happen, or ends some.
func (c *cluster) injectFault() {
	victim := c.random.Intn(len(c.members))
	m := c.members[victim]
	switch c.random.Intn(8) {
	case 0: // crashes; it comes back with what it saved
		m.down = true
	case 1:
		m.pausedUntil = c.now + timeunit.Milliseconds(c.random.Intn(maxPause))
	case 2:
		c.partition()
	case 3:
		c.blocked[[2]int{victim, c.random.Intn(len(c.members))}] = true
	case 4:
		clear(c.blocked)
		c.lossRate = 0
	case 5:
		c.lossRate = c.random.Float64() * 0.3
	case 6: // loses its memory, if the others are there to vote its new id in
		if !slices.ContainsFunc(c.members, c.isAbsent) {
			c.lastID++
			*m = member{id: c.lastID}
			m.voter = c.startVoter(m.id, nil, nil)
		}
	case 7:
		c.restartStopped()
	}
}

// partition cuts the cluster into two random halves.
func (c *cluster) partition() {
	order := c.random.Perm(len(c.members))
	for i := range order {
		for j := range order {
			c.blocked[[2]int{i, j}] = order[i]%2 != order[j]%2
		}
	}
}

// isAbsent reports whether a member is down, or new and has not caught up.
func (c *cluster) isAbsent(m *member) bool {
	isNew := m.id > uint64(len(c.members))
	return m.down || isNew && m.applied == 0
}

func (c *cluster) restartStopped() {
	for _, m := range c.members {
		if m.down {
			m.down = false
			m.applySnapshot(m.state.Snapshot.Data)
			m.voter = c.startVoter(m.id, &m.state, nil)
		}
	}
}

// run plays one schedule of faults, then a calm, and reports whether more was committed in the calm.
func (c *cluster) run() (healed bool) {
	for range faults {
		c.injectFault()
		c.advanceFor(timeunit.Milliseconds(minFaultGap + c.random.Intn(maxFaultGap-minFaultGap)))
	}
	clear(c.blocked)
	c.lossRate = 0
	c.restartStopped()
	before := len(c.log)
	c.advanceFor(calmAtTheEnd)
	return len(c.log) > before
}

func (c *cluster) advanceFor(span timeunit.Milliseconds) {
	for end := c.now + span; c.now < end; {
		c.advance()
	}
}
