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

// Parameters of a schedule. Times are in milliseconds of virtual time.
const (
	stepInterval     = 20
	maxMessageDelay  = 120  // maximum delay of a message
	maxPause         = 6000 // maximum pause of a voter
	minFaultInterval = 200  // time between two faults
	maxFaultInterval = 4200
	faultFreePeriod  = 15000
	faultCount       = 10
)

// cluster is a set of voters in virtual time. Messages are lost, delayed and duplicated, links are cut in one or both
// directions, and voters pause or crash. A crashed voter restarts with its saved state; a voter that has lost its state
// rejoins under another ID.
type cluster struct {
	schedule.Network[envelope]
	t                  *testing.T
	members            []*member
	lastID             uint64
	committed          [][]byte                         // committed entries; the first voter to apply one adds it
	leaderSince        map[uint64]timeunit.Milliseconds // by term: when its leader was first seen to lead
	readRequestedAt    map[readRequest]timeunit.Milliseconds
	lastProposal       uint64
	confirmations      int
	falseConfirmations int             // confirmations counted as false by checkConfirmation
	history            *golden.History // output of all voters; nil if it is not recorded
}

// member is a voter and its simulated disk. The incarnation of the process is the voter's ID.
type member struct {
	schedule.Process
	voter   *Voter
	state   PersistentState // stored on the disk
	applied int             // number of entries applied
}

// envelope is an encoded message and the ID of its sender.
type envelope struct {
	from uint64
	data []byte
}

// readRequest identifies a call of ReadIndex by the ID of the voter and its token.
type readRequest struct {
	voter uint64
	token uint64
}

func newCluster(t *testing.T, seed int64, size int) *cluster {
	c := &cluster{
		Network:         schedule.NewNetwork[envelope](schedule.NewSimulation(seed, 0), maxMessageDelay),
		t:               t,
		leaderSince:     map[uint64]timeunit.Milliseconds{},
		readRequestedAt: map[readRequest]timeunit.Milliseconds{},
		lastID:          uint64(size),
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

// persist adds a state update to the state on the disk.
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

// applySnapshot restores the state from a snapshot. In these tests the state is the number of applied entries.
func (m *member) applySnapshot(state []byte) {
	m.applied = 0
	if len(state) == 8 {
		m.applied = int(binary.BigEndian.Uint64(state))
	}
}

// processReady processes the output of one voter as a host must.
func (c *cluster) processReady(sender int) {
	m := c.members[sender]
	for {
		ready, more := m.voter.Ready()
		require.NoError(c.t, m.voter.Err())
		if !more {
			return
		}
		c.recordReady(m, ready)
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
			c.applyEntry(m, data)
		}
		for _, token := range ready.ConfirmedReads {
			c.checkConfirmation(m, token)
		}
		if m.voter.NeedsCompaction() {
			state, err := m.voter.Compact(binary.BigEndian.AppendUint64(nil, uint64(m.applied)))
			require.NoError(c.t, err)
			c.recordReady(m, Ready{State: state})
			m.persist(state)
		}
	}
}

// applyEntry applies a committed entry and checks that all voters have the same entry at this position.
func (c *cluster) applyEntry(m *member, data []byte) {
	if m.applied == len(c.committed) {
		c.committed = append(c.committed, data)
	}
	require.Equal(c.t, c.committed[m.applied], data, "voters disagree on a committed entry")
	m.applied++
}

// checkConfirmation checks a confirmed read. The confirmation is false if a leader of a later term already existed when
// the read index was requested.
func (c *cluster) checkConfirmation(m *member, token uint64) {
	requestedAt, isKnown := c.readRequestedAt[readRequest{m.Incarnation, token}]
	require.True(c.t, isKnown)
	c.confirmations++
	for term, since := range c.leaderSince {
		if term > m.voter.Term() && since <= requestedAt {
			c.falseConfirmations++
		}
	}
}

// advance advances the time by one step: it delivers the messages that are due, then ticks every running voter.
func (c *cluster) advance() {
	c.Now += stepInterval
	c.Deliver(func(receiver int, e envelope) {
		c.members[receiver].voter.Step(e.from, e.data)
		c.processReady(receiver)
	})
	for i, m := range c.members {
		if !m.IsRunning(c.Now) {
			continue
		}
		m.voter.Tick(c.Now)
		c.processReady(i)
		if m.voter.IsLeader() {
			c.driveLeader(m)
			c.processReady(i)
		}
	}
}

// driveLeader acts as the host of a leader: it makes a proposal in one of three steps on average, requests a read
// index, and asks for all members as voters.
func (c *cluster) driveLeader(m *member) {
	if _, known := c.leaderSince[m.voter.Term()]; !known {
		c.leaderSince[m.voter.Term()] = c.Now
	}
	if c.Random.Intn(3) == 0 {
		c.lastProposal++
		m.voter.Propose(binary.BigEndian.AppendUint64(nil, c.lastProposal))
	}
	if token, requested := m.voter.ReadIndex(); requested {
		c.readRequestedAt[readRequest{m.Incarnation, token}] = c.Now
	}
	var ids []uint64
	for _, other := range c.members {
		ids = append(ids, other.Incarnation)
	}
	m.voter.SetDesiredVoters(ids)
}

// injectFault injects one random fault or repairs earlier ones.
func (c *cluster) injectFault() {
	victim := c.Random.Intn(len(c.members))
	m := c.members[victim]
	switch c.Random.Intn(8) {
	case 0: // crash; restartStopped restarts the voter with its saved state
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
	case 6: // loss of the persistent state; only if no member is absent, so that the others can add the new ID
		if !slices.ContainsFunc(c.members, c.isAbsent) {
			c.lastID++
			*m = member{voter: c.startVoter(c.lastID, nil, nil)}
			m.Start(c.lastID)
		}
	case 7:
		c.restartStopped()
	}
}

// partitionAtRandom partitions the cluster into two random halves.
func (c *cluster) partitionAtRandom() {
	groups := c.Random.Perm(len(c.members))
	for i := range groups {
		groups[i] %= 2
	}
	c.Partition(groups)
}

// isAbsent reports whether a member is down, or is new and has not applied any entry yet.
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

// runSchedule plays one schedule of faults followed by a period without faults. It reports whether entries were
// committed in that period.
func (c *cluster) runSchedule() (healed bool) {
	for range faultCount {
		c.injectFault()
		c.RunFor(c.DrawSpan(minFaultInterval, maxFaultInterval), c.advance)
	}
	c.Heal()
	c.restartStopped()
	before := len(c.committed)
	c.RunFor(faultFreePeriod, c.advance)
	return len(c.committed) > before
}
