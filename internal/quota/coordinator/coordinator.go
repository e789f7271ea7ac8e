// Package keepers has a few servers of a fleet keep the shares of all: one log that they agree on (package agreement), one book
// of grants made of it (package shares), and the rule by which one of them may answer.
//
// This file owns one keeper: which log it belongs to, who its voters should be, which requests wait for a majority's word, and
// what is given out. It knows no socket, disk, clock or goroutine. It must never answer a request unless this server acted with
// the whole and a majority took it for leader after the request came, nor take part in a log under a number whose memory is lost.
package coordinator

import (
	"math/rand"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// Config are what a keeper goes by.
type Config struct {
	VoterID           func(log uint64) uint64 // that of this life in a log without a disk: another life of its name has another
	Limits            []quota.LimitConfig
	ConfigDigest      uint32   // of the limits, but for their wholes
	Revision          uint64   // of its settings
	NamedCoordinators []string // the keepers by name, whose logs last; none: voters of the fleet, without a disk
	LogID             uint64   // the number of the log where keepers are named
}

// MaxVoters is how many keepers there are at most, where the view chooses them.
const MaxVoters = 5

// Candidate is a member as far as keepers are concerned.
type Candidate struct {
	Name    string
	VoterID uint64 // its number in the log, 0 where it has none
	LogID   uint64 // that this is of
}

// ClusterView is what the view says at one moment.
type ClusterView struct {
	MajorityUntil timeunit.Milliseconds // the server acts with the whole until then, unless it hears more; long ago where it does not
	GenesisEpoch  uint64                // the fleet's line without a break
	IsGenesis     bool                  // the fleet is the first of its line
	Voters        []Candidate           // of the fleet, in order
	Members       []Candidate           // that are there
}

// Identity is the number under which a keeper takes part in a log.
type Identity struct {
	LogID   uint64 `cbor:"1,keyasint"`
	VoterID uint64 `cbor:"2,keyasint"`
}

// Reply is what one who asked is told.
type Reply struct {
	RequestID uint64 // as it was asked
	Response  quota.Response
	Granted   bool
	Leader    uint64 // who else is to be asked; 0: nobody is known
}

// Ready is what has come of what was heard. Save, and before it Begin, are to be durable before the rest goes out.
type Ready struct {
	IsNewState bool // a new memory under Identity begins with Save
	State      consensus.PersistentState
	Messages   []consensus.Message
	Replies    []Reply
}

type pendingRequest struct {
	requestID uint64
	request   quota.Request
}

// maxPendingRequests bounds the requests that wait for a majority's word.
const maxPendingRequests = 4096

// Coordinator is one keeper, or a server that is none yet. It is for one goroutine at a time.
type Coordinator struct {
	config           Config
	random           *rand.Rand
	now              timeunit.Milliseconds
	view             ClusterView
	identity         Identity
	voter            *consensus.Voter
	newStatePending  bool // Begin is due
	limits           *quota.LimitSet
	leaderTerm       uint64 // that it was elected for; 0: it is not
	pending          []pendingRequest
	confirming       []pendingRequest // that wait for the token
	confirmToken     uint64
	confirmStartedAt timeunit.Milliseconds // when that was
	replies          []Reply
	leaderSeenAt     timeunit.Milliseconds // when a leader was last known, or there was no whole to lead
	discardedVoterID uint64                // the number of a memory that was given up: it is never taken again
	AppliedCommands  int                   // entries, from the start
	DiscardedStates  int                   // memories that had to be given up
}

// New is a server that is no keeper yet.
func New(t Config, chance *rand.Rand, now timeunit.Milliseconds) *Coordinator {
	return &Coordinator{config: t, random: chance, now: now, identity: Identity{LogID: t.LogID}, limits: quota.NewLimitSet(t.Limits, t.ConfigDigest, t.Revision, t.LogID)}
}

// Resume goes on with what was saved under an identity.
func (c *Coordinator) Resume(id Identity, saved consensus.PersistentState) error {
	return c.startVoter(id, &saved, nil)
}

// Start begins a memory in a log of named keepers. First names all their numbers where the log begins with it.
func (c *Coordinator) Start(voter uint64, first []uint64) error {
	c.newStatePending = true
	return c.startVoter(Identity{c.config.LogID, voter}, nil, first)
}

func (c *Coordinator) startVoter(id Identity, saved *consensus.PersistentState, first []uint64) (err error) {
	c.identity, c.leaderTerm, c.confirming = id, 0, nil
	c.limits = quota.NewLimitSet(c.config.Limits, c.config.ConfigDigest, c.config.Revision, c.identity.LogID)
	if c.voter, err = consensus.New(consensus.DefaultConfig(id.VoterID), saved, first, c.random, timeunit.Milliseconds(c.now)); err != nil {
		c.voter = nil
		return err
	}
	if saved != nil && len(saved.Snapshot.Data) > 0 {
		c.restore(saved.Snapshot.Data)
	}
	return nil
}

// DiscardState gives the memory up: this server is no keeper until it begins another.
func (c *Coordinator) DiscardState() {
	c.discardedVoterID = c.identity.VoterID
	c.voter, c.leaderTerm, c.confirming, c.identity.VoterID = nil, 0, nil, 0
	c.limits = quota.NewLimitSet(c.config.Limits, c.config.ConfigDigest, c.config.Revision, c.identity.LogID)
	c.DiscardedStates++
}

// Identity is its own number; no voter where it is no keeper.
func (c *Coordinator) Identity() Identity { return c.identity }

// Limits is what it knows of grants; where it does not lead that may be old.
func (c *Coordinator) Limits() *quota.LimitSet { return c.limits }

// IsLeader says whether it leads; Leader who does as far as it knows.
func (c *Coordinator) IsLeader() bool { return c.leaderTerm > 0 }
func (c *Coordinator) Leader() uint64 {
	if c.voter == nil {
		return 0
	}
	return c.voter.Leader()
}

// Voters are those of its log.
func (c *Coordinator) Voters() []uint64 {
	if c.voter == nil {
		return nil
	}
	return c.voter.Voters()
}

// InMajority says whether the server acts with the whole at this moment.
func (c *Coordinator) InMajority() bool { return c.now < c.view.MajorityUntil }

// UpdateView takes what the view says.
func (c *Coordinator) UpdateView(s ClusterView, now timeunit.Milliseconds) {
	c.now, c.view = max(c.now, now), s
	if len(c.config.NamedCoordinators) == 0 {
		c.followCluster()
	}
	if want := c.desiredVoters(); c.voter != nil && c.InMajority() {
		c.voter.SetDesiredVoters(want)
	}
}

// followCluster takes part in the log of the fleet's line, where this server is one of its voters.
func (c *Coordinator) followCluster() {
	s := &c.view
	voters := s.Voters[:largestOddUpTo(min(len(s.Voters), MaxVoters))]
	number := c.config.VoterID(s.GenesisEpoch)
	me := slices.ContainsFunc(voters, func(v Candidate) bool { return v.VoterID == number })
	if s.GenesisEpoch != 0 && s.GenesisEpoch != c.identity.LogID { // another line: what was agreed on in the last one is over
		c.voter, c.leaderTerm, c.confirming = nil, 0, nil
		c.identity = Identity{LogID: s.GenesisEpoch}
		c.limits = quota.NewLimitSet(c.config.Limits, c.config.ConfigDigest, c.config.Revision, c.identity.LogID)
		if me && s.IsGenesis {
			c.newStatePending = true
			_ = c.startVoter(Identity{s.GenesisEpoch, number}, nil, voterIDs(voters))
		}
	}
	if me && c.voter == nil && c.discardedVoterID != number && s.GenesisEpoch != 0 { // its place is one that others give it
		c.newStatePending = true
		_ = c.startVoter(Identity{s.GenesisEpoch, number}, nil, nil)
	}
}

func voterIDs(seats []Candidate) (ids []uint64) {
	for _, s := range seats {
		ids = append(ids, s.VoterID)
	}
	return ids
}

func largestOddUpTo(n int) int { return max(0, n-(n+1)%2) }

// desiredVoters is who should vote. Of named keepers one that is not there keeps its place until it comes back, as itself or with
// its memory lost under another number.
func (c *Coordinator) desiredVoters() (ids []uint64) {
	if len(c.config.NamedCoordinators) == 0 {
		return voterIDs(c.view.Voters[:largestOddUpTo(min(len(c.view.Voters), MaxVoters))])
	}
	missing := 0
	for _, name := range c.config.NamedCoordinators {
		i := slices.IndexFunc(c.view.Members, func(s Candidate) bool { return s.Name == name && s.VoterID != 0 && s.LogID == c.config.LogID })
		if i < 0 {
			missing++
		} else {
			ids = append(ids, c.view.Members[i].VoterID)
		}
	}
	if c.voter == nil {
		return nil
	}
	for _, id := range c.voter.Voters() {
		if missing > 0 && !slices.Contains(ids, id) {
			ids = append(ids, id)
			missing--
		}
	}
	if missing > 0 { // a voter that is not known by number yet: nothing is changed
		return nil
	}
	return ids
}

// LeaderLost says that the log has had no leader for long though the fleet is whole: a majority of its voters has died faster than
// others could take their places. The fleet should begin another log, by a fleet that follows: what is in force by the old one
// runs out before the new one grants anything.
func (c *Coordinator) LeaderLost() bool {
	return len(c.config.NamedCoordinators) == 0 && c.now-c.leaderSeenAt > leaderLostAfter
}

const leaderLostAfter timeunit.Milliseconds = 10_000

// Step takes a message of another keeper in the same log.
func (c *Coordinator) Step(from, log uint64, text []byte) {
	if c.voter != nil && log == c.identity.LogID {
		c.voter.Step(from, text)
	}
}

// HandleRequest takes a request; the reply comes in an Output.
func (c *Coordinator) HandleRequest(to uint64, a quota.Request) {
	switch {
	case c.leaderTerm == 0 || !c.InMajority():
		c.replies = append(c.replies, Reply{RequestID: to, Leader: c.otherLeader()})
	case len(c.pending) < maxPendingRequests:
		c.pending = append(c.pending, pendingRequest{to, a})
	}
}

// otherLeader is who leads, if that is not this one.
func (c *Coordinator) otherLeader() uint64 {
	if l := c.Leader(); l != c.identity.VoterID {
		return l
	}
	return 0
}

const confirmTimeout timeunit.Milliseconds = 1000 // a majority that says nothing for so long is asked anew

// Tick moves the time on. It is to be called some times in a tenth of a second.
func (c *Coordinator) Tick(now timeunit.Milliseconds) {
	c.now = max(c.now, now)
	if c.Leader() != 0 || !c.InMajority() {
		c.leaderSeenAt = c.now
	}
	if c.voter == nil {
		c.pending = nil
		return
	}
	c.voter.Tick(timeunit.Milliseconds(c.now))
	c.updateLeadership()
	if c.leaderTerm == 0 {
		return
	}
	if len(c.confirming) > 0 && c.now-c.confirmStartedAt > confirmTimeout {
		c.confirming = nil
	}
	if len(c.confirming) == 0 && len(c.pending) > 0 {
		if token, ok := c.voter.ReadIndex(); ok {
			c.confirming, c.pending, c.confirmToken, c.confirmStartedAt = c.pending, nil, token, c.now
		}
	}
	if !c.InMajority() {
		return
	}
	if d, due := c.limits.NextCommand(timeunit.Milliseconds(c.now)); due {
		text, err := cbor.Marshal(d)
		if err != nil || !c.voter.Propose(text) {
			c.limits.ProposalFailed(d)
		}
	}
}

// updateLeadership finds out whether it was elected, anew or no longer.
func (c *Coordinator) updateLeadership() {
	term := uint64(0)
	if c.voter.IsLeader() {
		term = c.voter.Term()
	}
	if term == c.leaderTerm {
		return
	}
	c.leaderTerm, c.confirming = term, nil
	c.limits.SetLeader(term > 0, timeunit.Milliseconds(c.now))
	for _, w := range c.pending {
		c.replies = append(c.replies, Reply{RequestID: w.requestID, Leader: c.otherLeader()})
	}
	c.pending = nil
}

// Ready gives what has come of all that was heard since; more is false where there is nothing.
func (c *Coordinator) Ready() (o Ready, more bool) {
	o.Replies, c.replies = c.replies, nil
	if c.voter == nil {
		return o, len(o.Replies) > 0
	}
	if c.newStatePending {
		c.newStatePending, o.IsNewState, o.State = false, true, c.voter.InitialState()
		return o, true
	}
	n, more := c.voter.Ready()
	if err := c.voter.Err(); err != nil {
		c.DiscardState()
		return o, len(o.Replies) > 0
	}
	if !more {
		return o, len(o.Replies) > 0
	}
	o.State, o.Messages = n.State, n.Messages
	if n.Snapshot != nil {
		c.restore(n.Snapshot)
	}
	for _, text := range n.Committed {
		var d quota.Command
		if logDecoder.Unmarshal(text, &d) == nil {
			c.limits.Apply(d, timeunit.Milliseconds(c.now))
			c.AppliedCommands++
		}
	}
	c.updateLeadership()
	for _, token := range n.ConfirmedReads {
		if token != c.confirmToken || c.leaderTerm == 0 || !c.InMajority() {
			continue
		}
		for _, a := range c.confirming {
			answers, granted := c.limits.HandleRequest(a.request, timeunit.Milliseconds(c.now))
			o.Replies = append(o.Replies, Reply{RequestID: a.requestID, Response: answers, Granted: granted, Leader: c.identity.VoterID})
		}
		c.confirming = nil
	}
	if c.voter.NeedsCompaction() {
		if state, err := cbor.Marshal(c.limits.Snapshot()); err == nil {
			c.compact(state, &o)
		}
	}
	return o, true
}

// compact has the log begin with the state. What was to be saved before goes with it: the state is newer.
func (c *Coordinator) compact(state []byte, o *Ready) {
	if s, err := c.voter.Compact(state); err == nil {
		o.State.Snapshot, o.State.HardState = s.Snapshot, s.HardState
	}
}

// logDecoder are read within these bounds.
var logDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (c *Coordinator) restore(state []byte) {
	var s quota.Snapshot
	if len(state) > 0 && logDecoder.Unmarshal(state, &s) == nil {
		c.limits.Restore(s, timeunit.Milliseconds(c.now))
	} else {
		c.limits.Restore(quota.Snapshot{}, timeunit.Milliseconds(c.now))
	}
}
