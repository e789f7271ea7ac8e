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

// Terms are what a voter goes by.
type Terms struct {
	Me       uint64                // a number for one memory: who has lost it comes back under another
	Patience timeunit.Milliseconds // a leader that was not heard of for this, or up to twice as long, is stood against
	Beat     timeunit.Milliseconds // between two words of a leader
	Keep     uint64                // entries kept for voters that are behind, when the log is cut
}

// DefaultTerms fit servers of one place: a word a tenth of a second, ten lost ones for another leader.
func DefaultTerms(me uint64) Terms { return Terms{Me: me, Patience: 1000, Beat: 100, Keep: 128} }

// Saved is what a voter must find again, or come back as another.
type Saved struct {
	Hard     raftpb.HardState
	Snapshot raftpb.Snapshot // empty where there is none
	Entries  []Entry
}

// Empty says that there is nothing to save.
func (s *Saved) Empty() bool {
	return raft.IsEmptyHardState(s.Hard) && raft.IsEmptySnap(s.Snapshot) && len(s.Entries) == 0
}

// Entry is one of the log.
type Entry = raftpb.Entry

// Letter is a message to another voter.
type Letter struct {
	To   uint64
	Text []byte
}

// Output is what has come of what was heard. Save is to be durable before Letters go out; Restored comes before Agreed.
type Output struct {
	Save      Saved
	Letters   []Letter
	Restored  []byte   // a state that takes the place of all before, nil for none
	Agreed    [][]byte // in their order
	Confirmed []uint64 // tokens of Confirm: a majority still took this one for leader after that
}

// Node is one voter. It is for one goroutine at a time.
type Node struct {
	terms   Terms
	raw     *raft.RawNode
	kept    *raft.MemoryStorage
	chance  *rand.Rand
	now     timeunit.Milliseconds
	leader  timeunit.Milliseconds // when a leader was last heard of
	stood   timeunit.Milliseconds // when this one last stood
	wait    timeunit.Milliseconds // how long it waits for the next leader
	sure    timeunit.Milliseconds // when a majority last said that it leads, or it began to
	beat    timeunit.Milliseconds
	token   uint64
	conf    raftpb.ConfState
	applied uint64
	term    uint64 // of the newest entry that was applied
	want    []uint64
	changed timeunit.Milliseconds // when another set of voters was last proposed
	snaps   []snap                // that are on their way
	stale   bool                  // the state that is kept names other voters than there are: it would not do for a newcomer
	broken  error
}

type snap struct {
	to uint64
	at timeunit.Milliseconds
}

// New begins a voter. First names the voters of a log that begins with them, this one among them; a voter that joins a log
// later has none. A saved one goes on where it was; first then means nothing.
func New(t Terms, saved *Saved, first []uint64, chance *rand.Rand, now timeunit.Milliseconds) (n *Node, err error) {
	n = &Node{terms: t, kept: raft.NewMemoryStorage(), chance: chance, now: now, leader: now}
	n.draw()
	switch {
	case saved != nil:
		if !raft.IsEmptySnap(saved.Snapshot) {
			if err := n.kept.ApplySnapshot(saved.Snapshot); err != nil {
				return nil, err
			}
		}
		if err := n.kept.Append(saved.Entries); err != nil {
			return nil, err
		}
		if err := n.kept.SetHardState(saved.Hard); err != nil {
			return nil, err
		}
	case len(first) > 0:
		first = slices.Clone(first)
		slices.Sort(first)
		begin := raftpb.Snapshot{Data: []byte{}, Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: raftpb.ConfState{Voters: first}}}
		if err := n.kept.ApplySnapshot(begin); err != nil {
			return nil, err
		}
		if err := n.kept.SetHardState(raftpb.HardState{Term: 1, Commit: 1}); err != nil {
			return nil, err
		}
	}
	snapshot, err := n.kept.Snapshot()
	if err != nil {
		return nil, err
	}
	n.conf, n.applied, n.term = snapshot.Metadata.ConfState, snapshot.Metadata.Index, snapshot.Metadata.Term
	defer n.guard(&err)
	n.raw, err = raft.NewRawNode(&raft.Config{ID: t.Me, ElectionTick: never, HeartbeatTick: 1, Storage: n.kept, Applied: n.applied,
		MaxSizePerMsg: mostAppend, MaxInflightMsgs: 16, MaxUncommittedEntriesSize: mostPending, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	return n, err
}

const (
	never       = 1 << 30 // ticks until the engine would stand by itself: its chance is no seeded one, so this package has it stand
	mostAppend  = 48 << 10
	mostPending = 256 << 10
	cutAfter    = 256 // entries applied since the last snapshot from which on the log is cut
)

// ErrBroken: what was heard cannot be: this voter has no memory that it can go on with.
var ErrBroken = errors.New("the log contradicts itself")

// guard turns the engine's word that something cannot be into the end of this voter alone.
func (n *Node) guard(err *error) {
	if r := recover(); r != nil {
		n.broken = fmt.Errorf("%w: %v", ErrBroken, r)
		if err != nil {
			*err = n.broken
		}
	}
}

// Broken is why the voter no longer takes part; nil where it does.
func (n *Node) Broken() error { return n.broken }

// Initial is what a begun voter must save before anything else.
func (n *Node) Initial() Saved {
	hard, _, _ := n.kept.InitialState()
	snapshot, _ := n.kept.Snapshot()
	return Saved{Hard: hard, Snapshot: snapshot}
}

func (n *Node) draw() {
	n.wait = n.terms.Patience + timeunit.Milliseconds(n.chance.Int63n(int64(n.terms.Patience)+1))
}

// At moves the time on: a leader speaks, one that hears none stands.
func (n *Node) At(now timeunit.Milliseconds) {
	n.now = max(n.now, now)
	if n.broken != nil {
		return
	}
	defer n.guard(nil)
	if n.now-n.beat >= n.terms.Beat {
		n.beat = n.now
		n.raw.Tick()
		n.doubt()
		n.change()
		n.snaps = slices.DeleteFunc(n.snaps, func(s snap) bool { // one that came has been answered by now
			if n.now-s.at < n.terms.Patience {
				return false
			}
			n.raw.ReportSnapshot(s.to, raft.SnapshotFailure)
			return true
		})
	}
	if !n.led() && n.now-max(n.leader, n.stood) > n.wait && n.votes(n.terms.Me) {
		n.stood = n.now
		n.draw()
		_ = n.raw.Campaign()
	}
}

// doubt has a leader that no majority answers give up, as if it had heard of a later term: others must not wait for it.
func (n *Node) doubt() {
	switch {
	case !n.led():
		n.sure = n.now
	case n.now-n.sure > doubtAfter*n.terms.Patience:
		for _, id := range n.conf.Voters {
			if id != n.terms.Me {
				_ = n.raw.Step(raftpb.Message{Type: raftpb.MsgAppResp, From: id, To: n.terms.Me, Term: n.raw.BasicStatus().Term + 1})
				break
			}
		}
		n.leader = n.now - n.terms.Patience
	case n.Leads() && n.now-n.sure > n.terms.Patience/2:
		n.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, ownToken))
	}
}

const (
	doubtAfter = 3
	ownToken   = 0
)

func (n *Node) led() bool { return n.raw.BasicStatus().RaftState == raft.StateLeader }

func (n *Node) votes(id uint64) bool {
	return slices.Contains(n.conf.Voters, id) || slices.Contains(n.conf.VotersOutgoing, id)
}

// Voters are those that the log names now.
func (n *Node) Voters() []uint64 { return slices.Clone(n.conf.Voters) }

// Leads says whether this one leads and knows all that was agreed on before it did. Others may act on it only as far as a
// token was confirmed after they asked.
func (n *Node) Leads() bool {
	if n.broken != nil {
		return false
	}
	s := n.raw.BasicStatus()
	return s.RaftState == raft.StateLeader && n.term == s.Term
}

// Leader is who leads as far as is known, 0 for nobody.
func (n *Node) Leader() uint64 {
	s := n.raw.BasicStatus()
	if n.broken != nil || s.RaftState != raft.StateLeader && n.now-n.leader > 2*n.terms.Patience {
		return 0
	}
	return s.Lead
}

// Term is the present one.
func (n *Node) Term() uint64 { return n.raw.BasicStatus().Term }

// transfer is how the engine marks a vote that the leader itself asked for.
const transfer = "CampaignTransfer"

// Step takes a message that came from a voter.
func (n *Node) Step(from uint64, text []byte) {
	if n.broken != nil {
		return
	}
	var m raftpb.Message
	if m.Unmarshal(text) != nil || m.From != from || m.To != n.terms.Me {
		return
	}
	defer n.guard(nil)
	switch m.Type {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.Term >= n.raw.BasicStatus().Term {
			n.leader = n.now
		}
	case raftpb.MsgPreVote, raftpb.MsgVote: // who hears a leader has no other
		if n.now-n.leader < n.terms.Patience && !n.led() && n.raw.BasicStatus().Lead != raft.None && string(m.Context) != transfer {
			return
		}
	case raftpb.MsgAppResp, raftpb.MsgVoteResp, raftpb.MsgPreVoteResp, raftpb.MsgHeartbeatResp, raftpb.MsgTimeoutNow:
	default:
		return
	}
	_ = n.raw.Step(m)
}

// Propose puts something to the voters; false where this one does not lead or too much is under way. That it will be
// agreed on is not said by that.
func (n *Node) Propose(text []byte) (ok bool) {
	if !n.Leads() {
		return false
	}
	defer n.guard(nil)
	return n.raw.Propose(text) == nil
}

// Confirm asks a majority whether this one still leads. The token comes in an Output once it has said so.
func (n *Node) Confirm() (token uint64, ok bool) {
	if !n.Leads() {
		return 0, false
	}
	defer n.guard(nil)
	n.token++
	n.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, n.token))
	return n.token, true
}

// Want has the leader see to it that these are the voters, by way of a joint set. None is no wish.
func (n *Node) Want(voters []uint64) {
	n.want = slices.Clone(voters)
	slices.Sort(n.want)
}

// change proposes the voters that are wanted, one change at a time. A leader that is not among them hands over first.
func (n *Node) change() {
	if len(n.want) == 0 || !n.Leads() || len(n.conf.VotersOutgoing) > 0 || n.now-n.changed < n.terms.Patience || slices.Equal(n.want, sorted(n.conf.Voters)) {
		return
	}
	n.changed = n.now
	if !slices.Contains(n.want, n.terms.Me) {
		for id, p := range n.raw.Status().Progress {
			if slices.Contains(n.want, id) && p.RecentActive && p.Match+cutAfter > n.applied && id == n.able() {
				n.raw.TransferLeader(id)
				return
			}
		}
	}
	c := raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto}
	for _, id := range n.want {
		if !slices.Contains(n.conf.Voters, id) {
			c.Changes = append(c.Changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode, NodeID: id})
		}
	}
	for _, id := range n.conf.Voters {
		if !slices.Contains(n.want, id) && (id != n.terms.Me || n.able() == 0) {
			c.Changes = append(c.Changes, raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode, NodeID: id})
		}
	}
	if len(c.Changes) > 0 {
		_ = n.raw.ProposeConfChange(c)
	}
}

// able is the first of the voters that are wanted and there already, 0 for none.
func (n *Node) able() uint64 {
	for _, id := range n.want {
		if id != n.terms.Me && slices.Contains(n.conf.Voters, id) {
			return id
		}
	}
	return 0
}

func sorted(ids []uint64) []uint64 {
	ids = slices.Clone(ids)
	slices.Sort(ids)
	return ids
}

// Take gives what has come of all that was heard since; more is false where there is nothing. Done follows, once Save is
// durable and Letters are on their way.
func (n *Node) Take() (o Output, more bool) {
	if n.broken != nil || !n.raw.HasReady() {
		return o, false
	}
	defer n.guard(nil)
	r := n.raw.Ready()
	o.Save = Saved{Hard: r.HardState, Snapshot: r.Snapshot, Entries: r.Entries}
	if !raft.IsEmptySnap(r.Snapshot) {
		if err := n.kept.ApplySnapshot(r.Snapshot); err != nil {
			n.broken = fmt.Errorf("%w: %v", ErrBroken, err)
			return o, false
		}
		n.conf, n.applied, n.term = r.Snapshot.Metadata.ConfState, r.Snapshot.Metadata.Index, r.Snapshot.Metadata.Term
		o.Restored = r.Snapshot.Data
		if o.Restored == nil {
			o.Restored = []byte{}
		}
	}
	_ = n.kept.Append(r.Entries)
	if !raft.IsEmptyHardState(r.HardState) {
		_ = n.kept.SetHardState(r.HardState)
	}
	for _, m := range r.Messages {
		if text, err := m.Marshal(); err == nil {
			o.Letters = append(o.Letters, Letter{m.To, text})
		}
		if m.Type == raftpb.MsgSnap {
			n.snaps = append(n.snaps, snap{m.To, n.now})
		}
	}
	for _, e := range r.CommittedEntries {
		n.applied, n.term = e.Index, e.Term
		switch e.Type {
		case raftpb.EntryConfChangeV2:
			var c raftpb.ConfChangeV2
			if c.Unmarshal(e.Data) == nil {
				n.conf, n.stale = *n.raw.ApplyConfChange(c), true
			}
		case raftpb.EntryConfChange:
			var c raftpb.ConfChange
			if c.Unmarshal(e.Data) == nil {
				n.conf, n.stale = *n.raw.ApplyConfChange(c), true
			}
		default:
			if len(e.Data) > 0 {
				o.Agreed = append(o.Agreed, e.Data)
			}
		}
	}
	for _, s := range r.ReadStates {
		if n.sure = n.now; len(s.RequestCtx) == 8 && binary.BigEndian.Uint64(s.RequestCtx) != ownToken {
			o.Confirmed = append(o.Confirmed, binary.BigEndian.Uint64(s.RequestCtx))
		}
	}
	n.raw.Advance(r)
	return o, true
}

// Long says that the log should be cut: Cut then takes the state as of all that was agreed on.
func (n *Node) Long() bool {
	first, err := n.kept.FirstIndex()
	return n.broken == nil && err == nil && (n.stale || n.applied > first+cutAfter+n.terms.Keep)
}

// Cut has the log begin with a state. What it gives is to be saved in the place of what was.
func (n *Node) Cut(state []byte) (s Saved, err error) {
	if s.Snapshot, err = n.kept.CreateSnapshot(n.applied, &n.conf, state); err != nil {
		return s, err
	}
	n.stale = false
	if first, _ := n.kept.FirstIndex(); n.applied > first+n.terms.Keep {
		if err = n.kept.Compact(n.applied - n.terms.Keep); err != nil {
			return s, err
		}
	}
	s.Hard, _, _ = n.kept.InitialState()
	return s, nil
}
