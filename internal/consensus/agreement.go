// Package agreement has a few servers of a fleet keep one log: what is in it was agreed on by a majority of its voters and
// stays. go.etcd.io/raft/v3 is the engine; it has no socket, disk or clock, and neither has this package.
//
// This file owns one voter: what it hears, when it stands for leader, what must be durable before it speaks, and what was
// agreed on. It must never send a message before what it rests on was saved, take part under a number whose memory is lost, or
// call itself leader for others to act on without a majority's word that came after they asked.
package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"thistlequay/timeunit"
)

// Config are what a voter goes by.
type Config struct {
	ID                uint64                // a number for one memory: who has lost it comes back under another
	ElectionTimeout   timeunit.Milliseconds // a leader that was not heard of for this, or up to twice as long, is stood against
	HeartbeatInterval timeunit.Milliseconds // between two words of a leader
	RetainedEntries   uint64                // entries kept for voters that are behind, when the log is cut
}

// DefaultConfig fit servers of one place: a word a tenth of a second, ten lost ones for another leader.
func DefaultConfig(me uint64) Config {
	return Config{ID: me, ElectionTimeout: 1000, HeartbeatInterval: 100, RetainedEntries: 128}
}

// PersistentState is what a voter must find again, or come back as another.
type PersistentState struct {
	HardState raftpb.HardState
	Snapshot  raftpb.Snapshot // empty where there is none
	Entries   []Entry
}

// IsEmpty says that there is nothing to save.
func (s *PersistentState) IsEmpty() bool {
	return raft.IsEmptyHardState(s.HardState) && raft.IsEmptySnap(s.Snapshot) && len(s.Entries) == 0
}

// Entry is one of the log.
type Entry = raftpb.Entry

// Message is a message to another voter.
type Message struct {
	To   uint64
	Data []byte
}

// Ready is what has come of what was heard. Save is to be durable before Letters go out; Restored comes before Agreed.
type Ready struct {
	State          PersistentState
	Messages       []Message
	Snapshot       []byte   // a state that takes the place of all before, nil for none
	Committed      [][]byte // in their order
	ConfirmedReads []uint64 // tokens of Confirm: a majority still took this one for leader after that
}

// Voter is one voter. It is for one goroutine at a time.
type Voter struct {
	config               Config
	raftNode             *raft.RawNode
	storage              *raft.MemoryStorage
	random               *rand.Rand
	now                  timeunit.Milliseconds
	leaderHeardAt        timeunit.Milliseconds // when a leader was last heard of
	campaignedAt         timeunit.Milliseconds // when this one last stood
	electionTimeout      timeunit.Milliseconds // how long it waits for the next leader
	quorumHeardAt        timeunit.Milliseconds // when a majority last said that it leads, or it began to
	tickedAt             timeunit.Milliseconds
	readToken            uint64
	membership           raftpb.ConfState
	appliedIndex         uint64
	appliedTerm          uint64 // of the newest entry that was applied
	desiredVoters        []uint64
	membershipProposedAt timeunit.Milliseconds // when another set of voters was last proposed
	pendingSnapshots     []pendingSnapshot     // that are on their way
	membershipChanged    bool                  // the state that is kept names other voters than there are: it would not do for a newcomer
	failure              error
}

type pendingSnapshot struct {
	to     uint64
	sentAt timeunit.Milliseconds
}

// New begins a voter. First names the voters of a log that begins with them, this one among them; a voter that joins a log
// later has none. A saved one goes on where it was; first then means nothing.
func New(t Config, saved *PersistentState, first []uint64, chance *rand.Rand, now timeunit.Milliseconds) (n *Voter, err error) {
	n = &Voter{config: t, storage: raft.NewMemoryStorage(), random: chance, now: now, leaderHeardAt: now}
	n.drawElectionTimeout()
	switch {
	case saved != nil:
		if !raft.IsEmptySnap(saved.Snapshot) {
			if err := n.storage.ApplySnapshot(saved.Snapshot); err != nil {
				return nil, err
			}
		}
		if err := n.storage.Append(saved.Entries); err != nil {
			return nil, err
		}
		if err := n.storage.SetHardState(saved.HardState); err != nil {
			return nil, err
		}
	case len(first) > 0:
		first = slices.Clone(first)
		slices.Sort(first)
		begin := raftpb.Snapshot{Data: []byte{}, Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: raftpb.ConfState{Voters: first}}}
		if err := n.storage.ApplySnapshot(begin); err != nil {
			return nil, err
		}
		if err := n.storage.SetHardState(raftpb.HardState{Term: 1, Commit: 1}); err != nil {
			return nil, err
		}
	}
	snapshot, err := n.storage.Snapshot()
	if err != nil {
		return nil, err
	}
	n.membership, n.appliedIndex, n.appliedTerm = snapshot.Metadata.ConfState, snapshot.Metadata.Index, snapshot.Metadata.Term
	defer n.recoverPanic(&err)
	n.raftNode, err = raft.NewRawNode(&raft.Config{ID: t.ID, ElectionTick: noElectionTick, HeartbeatTick: 1, Storage: n.storage, Applied: n.appliedIndex,
		MaxSizePerMsg: maxAppendBytes, MaxInflightMsgs: 16, MaxUncommittedEntriesSize: maxUncommittedBytes, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	return n, err
}

const (
	noElectionTick      = 1 << 30 // ticks until the engine would stand by itself: its chance is no seeded one, so this package has it stand
	maxAppendBytes      = 48 << 10
	maxUncommittedBytes = 256 << 10
	compactionThreshold = 256 // entries applied since the last snapshot from which on the log is cut
)

// ErrInconsistentLog: what was heard cannot be: this voter has no memory that it can go on with.
var ErrInconsistentLog = errors.New("the log contradicts itself")

// recoverPanic turns the engine's word that something cannot be into the end of this voter alone.
func (n *Voter) recoverPanic(err *error) {
	if r := recover(); r != nil {
		n.failure = fmt.Errorf("%w: %v", ErrInconsistentLog, r)
		if err != nil {
			*err = n.failure
		}
	}
}

// Err is why the voter no longer takes part; nil where it does.
func (n *Voter) Err() error { return n.failure }

// InitialState is what a begun voter must save before anything else.
func (n *Voter) InitialState() PersistentState {
	hard, _, _ := n.storage.InitialState()
	snapshot, _ := n.storage.Snapshot()
	return PersistentState{HardState: hard, Snapshot: snapshot}
}

func (n *Voter) drawElectionTimeout() {
	n.electionTimeout = n.config.ElectionTimeout + timeunit.Milliseconds(n.random.Int63n(int64(n.config.ElectionTimeout)+1))
}

// Tick moves the time on: a leader speaks, one that hears none stands.
func (n *Voter) Tick(now timeunit.Milliseconds) {
	n.now = max(n.now, now)
	if n.failure != nil {
		return
	}
	defer n.recoverPanic(nil)
	if n.now-n.tickedAt >= n.config.HeartbeatInterval {
		n.tickedAt = n.now
		n.raftNode.Tick()
		n.checkQuorum()
		n.proposeMembershipChange()
		n.pendingSnapshots = slices.DeleteFunc(n.pendingSnapshots, func(s pendingSnapshot) bool { // one that came has been answered by now
			if n.now-s.sentAt < n.config.ElectionTimeout {
				return false
			}
			n.raftNode.ReportSnapshot(s.to, raft.SnapshotFailure)
			return true
		})
	}
	if !n.isRaftLeader() && n.now-max(n.leaderHeardAt, n.campaignedAt) > n.electionTimeout && n.isVoter(n.config.ID) {
		n.campaignedAt = n.now
		n.drawElectionTimeout()
		_ = n.raftNode.Campaign()
	}
}

// checkQuorum has a leader that no majority answers give up, as if it had heard of a later term: others must not wait for it.
func (n *Voter) checkQuorum() {
	switch {
	case !n.isRaftLeader():
		n.quorumHeardAt = n.now
	case n.now-n.quorumHeardAt > quorumTimeoutFactor*n.config.ElectionTimeout:
		for _, id := range n.membership.Voters {
			if id != n.config.ID {
				_ = n.raftNode.Step(raftpb.Message{Type: raftpb.MsgAppResp, From: id, To: n.config.ID, Term: n.raftNode.BasicStatus().Term + 1})
				break
			}
		}
		n.leaderHeardAt = n.now - n.config.ElectionTimeout
	case n.IsLeader() && n.now-n.quorumHeardAt > n.config.ElectionTimeout/2:
		n.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, quorumCheckToken))
	}
}

const (
	quorumTimeoutFactor = 3
	quorumCheckToken    = 0
)

func (n *Voter) isRaftLeader() bool { return n.raftNode.BasicStatus().RaftState == raft.StateLeader }

func (n *Voter) isVoter(id uint64) bool {
	return slices.Contains(n.membership.Voters, id) || slices.Contains(n.membership.VotersOutgoing, id)
}

// Voters are those that the log names now.
func (n *Voter) Voters() []uint64 { return slices.Clone(n.membership.Voters) }

// IsLeader says whether this one leads and knows all that was agreed on before it did. Others may act on it only as far as a
// token was confirmed after they asked.
func (n *Voter) IsLeader() bool {
	if n.failure != nil {
		return false
	}
	s := n.raftNode.BasicStatus()
	return s.RaftState == raft.StateLeader && n.appliedTerm == s.Term
}

// Leader is who leads as far as is known, 0 for nobody.
func (n *Voter) Leader() uint64 {
	s := n.raftNode.BasicStatus()
	if n.failure != nil || s.RaftState != raft.StateLeader && n.now-n.leaderHeardAt > 2*n.config.ElectionTimeout {
		return 0
	}
	return s.Lead
}

// Term is the present one.
func (n *Voter) Term() uint64 { return n.raftNode.BasicStatus().Term }

// leaderTransferContext is how the engine marks a vote that the leader itself asked for.
const leaderTransferContext = "CampaignTransfer"

// Step takes a message that came from a voter.
func (n *Voter) Step(from uint64, text []byte) {
	if n.failure != nil {
		return
	}
	var m raftpb.Message
	if m.Unmarshal(text) != nil || m.From != from || m.To != n.config.ID {
		return
	}
	defer n.recoverPanic(nil)
	switch m.Type {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.Term >= n.raftNode.BasicStatus().Term {
			n.leaderHeardAt = n.now
		}
	case raftpb.MsgPreVote, raftpb.MsgVote: // who hears a leader has no other
		if n.now-n.leaderHeardAt < n.config.ElectionTimeout && !n.isRaftLeader() && n.raftNode.BasicStatus().Lead != raft.None && string(m.Context) != leaderTransferContext {
			return
		}
	case raftpb.MsgAppResp, raftpb.MsgVoteResp, raftpb.MsgPreVoteResp, raftpb.MsgHeartbeatResp, raftpb.MsgTimeoutNow:
	default:
		return
	}
	_ = n.raftNode.Step(m)
}

// Propose puts something to the voters; false where this one does not lead or too much is under way. That it will be
// agreed on is not said by that.
func (n *Voter) Propose(text []byte) (ok bool) {
	if !n.IsLeader() {
		return false
	}
	defer n.recoverPanic(nil)
	return n.raftNode.Propose(text) == nil
}

// ReadIndex asks a majority whether this one still leads. The token comes in an Output once it has said so.
func (n *Voter) ReadIndex() (token uint64, ok bool) {
	if !n.IsLeader() {
		return 0, false
	}
	defer n.recoverPanic(nil)
	n.readToken++
	n.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, n.readToken))
	return n.readToken, true
}

// SetDesiredVoters has the leader see to it that these are the voters, by way of a joint set. None is no wish.
func (n *Voter) SetDesiredVoters(voters []uint64) {
	n.desiredVoters = slices.Clone(voters)
	slices.Sort(n.desiredVoters)
}

// proposeMembershipChange proposes the voters that are wanted, one change at a time. A leader that is not among them hands over first.
func (n *Voter) proposeMembershipChange() {
	if len(n.desiredVoters) == 0 || !n.IsLeader() || len(n.membership.VotersOutgoing) > 0 || n.now-n.membershipProposedAt < n.config.ElectionTimeout || slices.Equal(n.desiredVoters, sortedIDs(n.membership.Voters)) {
		return
	}
	n.membershipProposedAt = n.now
	if !slices.Contains(n.desiredVoters, n.config.ID) {
		for id, p := range n.raftNode.Status().Progress {
			if slices.Contains(n.desiredVoters, id) && p.RecentActive && p.Match+compactionThreshold > n.appliedIndex && id == n.transferTarget() {
				n.raftNode.TransferLeader(id)
				return
			}
		}
	}
	c := raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto}
	for _, id := range n.desiredVoters {
		if !slices.Contains(n.membership.Voters, id) {
			c.Changes = append(c.Changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode, NodeID: id})
		}
	}
	for _, id := range n.membership.Voters {
		if !slices.Contains(n.desiredVoters, id) && (id != n.config.ID || n.transferTarget() == 0) {
			c.Changes = append(c.Changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
		}
	}
	if len(c.Changes) > 0 {
		_ = n.raftNode.ProposeConfChange(c)
	}
}

// transferTarget is the first of the voters that are wanted and there already, 0 for none.
func (n *Voter) transferTarget() uint64 {
	for _, id := range n.desiredVoters {
		if id != n.config.ID && slices.Contains(n.membership.Voters, id) {
			return id
		}
	}
	return 0
}

func sortedIDs(ids []uint64) []uint64 {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	return ids
}

// Ready gives what has come of all that was heard since; more is false where there is nothing. Done follows, once Save is
// durable and Letters are on their way.
func (n *Voter) Ready() (o Ready, more bool) {
	if n.failure != nil || !n.raftNode.HasReady() {
		return o, false
	}
	defer n.recoverPanic(nil)
	r := n.raftNode.Ready()
	o.State = PersistentState{HardState: r.HardState, Snapshot: r.Snapshot, Entries: r.Entries}
	if !raft.IsEmptySnap(r.Snapshot) {
		if err := n.storage.ApplySnapshot(r.Snapshot); err != nil {
			n.failure = fmt.Errorf("%w: %v", ErrInconsistentLog, err)
			return o, false
		}
		n.membership, n.appliedIndex, n.appliedTerm = r.Snapshot.Metadata.ConfState, r.Snapshot.Metadata.Index, r.Snapshot.Metadata.Term
		o.Snapshot = r.Snapshot.Data
		if o.Snapshot == nil {
			o.Snapshot = []byte{}
		}
	}
	_ = n.storage.Append(r.Entries)
	if !raft.IsEmptyHardState(r.HardState) {
		_ = n.storage.SetHardState(r.HardState)
	}
	for _, m := range r.Messages {
		if text, err := m.Marshal(); err == nil {
			o.Messages = append(o.Messages, Message{m.To, text})
		}
		if m.Type == raftpb.MsgSnap {
			n.pendingSnapshots = append(n.pendingSnapshots, pendingSnapshot{m.To, n.now})
		}
	}
	for _, e := range r.CommittedEntries {
		n.appliedIndex, n.appliedTerm = e.Index, e.Term
		switch e.Type {
		case raftpb.EntryConfChangeV2:
			var c raftpb.ConfChangeV2
			if c.Unmarshal(e.Data) == nil {
				n.membership, n.membershipChanged = *n.raftNode.ApplyConfChange(c), true
			}
		case raftpb.EntryConfChange:
			var c raftpb.ConfChange
			if c.Unmarshal(e.Data) == nil {
				n.membership, n.membershipChanged = *n.raftNode.ApplyConfChange(c), true
			}
		default:
			if len(e.Data) > 0 {
				o.Committed = append(o.Committed, e.Data)
			}
		}
	}
	for _, s := range r.ReadStates {
		if n.quorumHeardAt = n.now; len(s.RequestCtx) == 8 && binary.BigEndian.Uint64(s.RequestCtx) != quorumCheckToken {
			o.ConfirmedReads = append(o.ConfirmedReads, binary.BigEndian.Uint64(s.RequestCtx))
		}
	}
	n.raftNode.Advance(r)
	return o, true
}

// NeedsCompaction says that the log should be cut: Cut then takes the state as of all that was agreed on.
func (n *Voter) NeedsCompaction() bool {
	first, err := n.storage.FirstIndex()
	return n.failure == nil && err == nil && (n.membershipChanged || n.appliedIndex > first+compactionThreshold+n.config.RetainedEntries)
}

// Compact has the log begin with a state. What it gives is to be saved in the place of what was.
func (n *Voter) Compact(state []byte) (s PersistentState, err error) {
	if s.Snapshot, err = n.storage.CreateSnapshot(n.appliedIndex, &n.membership, state); err != nil {
		return s, err
	}
	n.membershipChanged = false
	if first, _ := n.storage.FirstIndex(); n.appliedIndex > first+n.config.RetainedEntries {
		if err = n.storage.Compact(n.appliedIndex - n.config.RetainedEntries); err != nil {
			return s, err
		}
	}
	s.HardState, _, _ = n.storage.InitialState()
	return s, nil
}
