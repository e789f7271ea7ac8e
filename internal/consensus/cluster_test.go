package consensus

import (
	"encoding/binary"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
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
	schedule.Network[envelope]
	t                  *testing.T
	members            []*member
	lastID             uint64
	log                [][]byte                         // what is committed, as the first voter to apply it had it
	leaderSince        map[uint64]timeunit.Milliseconds // by term: since when a voter knows that it leads
	readAskedAt        map[readRequest]timeunit.Milliseconds
	lastProposal       uint64
	confirmations      int
	falseConfirmations int             // confirmed though another voter led before the question
	history            *golden.History // of all that the voters put out; nil where it isn't wanted
}

// member is a voter and its disk. The incarnation of the process is the voter's id.
type member struct {
	schedule.Process
	voter   *Voter
	state   PersistentState // what is durable
	applied int             // entries applied
}

// envelope is a message and the voter that sent it.
type envelope struct {
	from uint64
	data []byte
}

type readRequest struct {
	voter uint64
	token uint64
}

func newCluster(t *testing.T, seed int64, size int) *cluster {
	c := &cluster{
		Network:     schedule.NewNetwork[envelope](schedule.NewSimulation(seed, 0), maxDelay),
		t:           t,
		leaderSince: map[uint64]timeunit.Milliseconds{},
		readAskedAt: map[readRequest]timeunit.Milliseconds{},
		lastID:      uint64(size),
	}
	var ids []uint64
	for i := range size {
		ids = append(ids, uint64(i+1))
	}
	for _, id := range ids {
		m := &member{voter: c.startVoter(id, nil, ids)}
		m.Start(id)
		m.state = m.voter.InitialState()
		c.members = append(c.members, m)
		c.Join(&m.Process)
	}
	return c
}

func (c *cluster) startVoter(id uint64, saved *PersistentState, firstVoters []uint64) *Voter {
	c.t.Helper()
	random := rand.New(rand.NewSource(c.Random.Int63()))
	voter, err := New(DefaultConfig(id), saved, firstVoters, random, c.Now)
	require.NoError(c.t, err)
	return voter
}

func (c *cluster) indexOf(id uint64) int {
	return slices.IndexFunc(c.members, func(m *member) bool { return m.Incarnation == id })
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
			if receiver := c.indexOf(message.To); receiver >= 0 {
				c.Send(sender, receiver, envelope{from: m.Incarnation, data: message.Data})
			}
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
	askedAt, asked := c.readAskedAt[readRequest{m.Incarnation, token}]
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
	c.Now += stepLength
	c.Deliver(func(receiver int, e envelope) {
		c.members[receiver].voter.Step(e.from, e.data)
		c.deliverReady(receiver)
	})
	for i, m := range c.members {
		if !m.IsRunning(c.Now) {
			continue
		}
		m.voter.Tick(c.Now)
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
		c.leaderSince[m.voter.Term()] = c.Now
	}
	if c.Random.Intn(3) == 0 {
		c.lastProposal++
		m.voter.Propose(binary.BigEndian.AppendUint64(nil, c.lastProposal))
	}
	if token, asked := m.voter.ReadIndex(); asked {
		c.readAskedAt[readRequest{m.Incarnation, token}] = c.Now
	}
	var ids []uint64
	for _, other := range c.members {
		ids = append(ids, other.Incarnation)
	}
	m.voter.SetDesiredVoters(ids)
}

// injectFault lets one fault happen, or ends some.
func (c *cluster) injectFault() {
	victim := c.Random.Intn(len(c.members))
	m := c.members[victim]
	switch c.Random.Intn(8) {
	case 0: // crashes; it comes back with what it saved
		m.IsDown = true
	case 1:
		m.PausedUntil = c.Now + c.DrawSpan(0, maxPause)
	case 2:
		c.partitionAtRandom()
	case 3:
		c.Cut(victim, c.Random.Intn(len(c.members)))
	case 4:
		c.Heal()
	case 5:
		c.LossRate = c.Random.Float64() * 0.3
	case 6: // loses its memory, if the others are there to vote its new id in
		if !slices.ContainsFunc(c.members, c.isAbsent) {
			c.lastID++
			*m = member{voter: c.startVoter(c.lastID, nil, nil)}
			m.Start(c.lastID)
		}
	case 7:
		c.restartStopped()
	}
}

// partitionAtRandom cuts the cluster into two halves.
func (c *cluster) partitionAtRandom() {
	groups := c.Random.Perm(len(c.members))
	for i := range groups {
		groups[i] %= 2
	}
	c.Partition(groups)
}

// isAbsent reports whether a member is down, or new and has not caught up.
func (c *cluster) isAbsent(m *member) bool {
	isNew := m.Incarnation > uint64(len(c.members))
	return m.IsDown || isNew && m.applied == 0
}

func (c *cluster) restartStopped() {
	for _, m := range c.members {
		if m.IsDown {
			m.IsDown = false
			m.applySnapshot(m.state.Snapshot.Data)
			m.voter = c.startVoter(m.Incarnation, &m.state, nil)
		}
	}
}

// run plays one schedule of faults, then a calm, and reports whether more was committed in the calm.
func (c *cluster) run() (healed bool) {
	for range faults {
		c.injectFault()
		c.RunFor(c.DrawSpan(minFaultGap, maxFaultGap), c.advance)
	}
	c.Heal()
	c.restartStopped()
	before := len(c.log)
	c.RunFor(calmAtTheEnd, c.advance)
	return len(c.log) > before
}
