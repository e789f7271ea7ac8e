package consensus

import (
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

// Limits of the engine.
const (
	// noElectionTick is a number of ticks that never pass. The engine must not start elections: its timeouts come from
	// a random source that can't be seeded, so Tick starts them instead.
	noElectionTick = 1 << 30
	// maxAppendBytes bounds one append message, so that it fits into one frame of the transport.
	maxAppendBytes = 48 << 10
	// maxInflightAppends bounds the append messages to one voter that are not yet acknowledged.
	maxInflightAppends = 16
	// maxUncommittedBytes bounds the proposals that are not yet committed; beyond it Propose refuses.
	maxUncommittedBytes = 256 << 10
)

// A log begins with a snapshot at this index and term, which names its first voters.
const (
	firstIndex = 1
	firstTerm  = 1
)

// ErrInconsistentLog reports that the stored state or a received message contradicts the log: this voter has no memory
// that it can go on with.
var ErrInconsistentLog = errors.New("the log contradicts itself")

// Voter is one voter of the replicated log. Its methods must be called by one goroutine at a time.
type Voter struct {
	config   Config
	raftNode *raft.RawNode
	storage  *raft.MemoryStorage // a copy of what the host has made durable
	random   *rand.Rand          // seeded by tests
	failure  error               // why the voter no longer takes part; nil while it does

	now             timeunit.Milliseconds
	tickedAt        timeunit.Milliseconds // when the engine last ticked
	leaderHeardAt   timeunit.Milliseconds // when a message of a leader last came
	campaignedAt    timeunit.Milliseconds // when this voter last started an election
	electionTimeout timeunit.Milliseconds // drawn anew for each election
	quorumHeardAt   timeunit.Milliseconds // when a majority last confirmed this leader, or it was no leader yet

	readToken    uint64 // of the last ReadIndex
	appliedIndex uint64 // of the newest entry that Ready returned as committed
	appliedTerm  uint64 // of the same entry

	membership raftpb.ConfState
	// membershipChanged says that the stored snapshot names other voters than membership: a new voter could not start
	// from it.
	membershipChanged    bool
	desiredVoters        []uint64              // sorted; empty for no wish
	membershipProposedAt timeunit.Milliseconds // when a change of voters was last proposed
	pendingSnapshots     []pendingSnapshot
}

// pendingSnapshot is a snapshot on its way to another voter.
type pendingSnapshot struct {
	to     uint64
	sentAt timeunit.Milliseconds
}

// New starts a voter at the given time. With saved state it goes on where that was stored. Without, firstVoters names
// the voters of a new log, this one among them; a voter that joins an existing log later is given none. The random
// source draws election timeouts. The host must make InitialState durable before it does anything else.
//
// It returns ErrInconsistentLog where the saved state contradicts itself.
func New(config Config, saved *PersistentState, firstVoters []uint64, random *rand.Rand,
	now timeunit.Milliseconds) (v *Voter, err error) {
	v = &Voter{config: config, storage: raft.NewMemoryStorage(), random: random, now: now, leaderHeardAt: now}
	v.drawElectionTimeout()
	switch {
	case saved != nil:
		err = restore(v.storage, saved)
	case len(firstVoters) > 0:
		err = bootstrap(v.storage, firstVoters)
	}
	if err != nil {
		return nil, err
	}
	snapshot, err := v.storage.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("read the snapshot: %w", err)
	}
	v.noteSnapshot(&snapshot)
	defer v.recoverPanic(&err)
	v.raftNode, err = raft.NewRawNode(v.engineConfig())
	return v, err
}

// restore puts saved state into an empty storage.
func restore(storage *raft.MemoryStorage, saved *PersistentState) error {
	if !raft.IsEmptySnap(saved.Snapshot) {
		if err := storage.ApplySnapshot(saved.Snapshot); err != nil {
			return fmt.Errorf("restore the snapshot: %w", err)
		}
	}
	if err := storage.Append(saved.Entries); err != nil {
		return fmt.Errorf("restore the entries: %w", err)
	}
	if err := storage.SetHardState(saved.HardState); err != nil {
		return fmt.Errorf("restore the hard state: %w", err)
	}
	return nil
}

// bootstrap puts the beginning of a new log with the given voters into an empty storage. It is the same for all of
// them.
func bootstrap(storage *raft.MemoryStorage, voters []uint64) error {
	metadata := raftpb.SnapshotMetadata{
		Index:     firstIndex,
		Term:      firstTerm,
		ConfState: raftpb.ConfState{Voters: sortedIDs(voters)},
	}
	if err := storage.ApplySnapshot(raftpb.Snapshot{Data: []byte{}, Metadata: metadata}); err != nil {
		return fmt.Errorf("begin a log: %w", err)
	}
	if err := storage.SetHardState(raftpb.HardState{Term: firstTerm, Commit: firstIndex}); err != nil {
		return fmt.Errorf("begin a log: %w", err)
	}
	return nil
}

func (v *Voter) engineConfig() *raft.Config {
	return &raft.Config{
		ID:                        v.config.ID,
		ElectionTick:              noElectionTick,
		HeartbeatTick:             1,
		Storage:                   v.storage,
		Applied:                   v.appliedIndex,
		MaxSizePerMsg:             maxAppendBytes,
		MaxInflightMsgs:           maxInflightAppends,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	}
}

// recoverPanic is to be deferred around each call of the engine, which panics where it finds a contradiction. That must
// end this voter alone, not the process. It sets err, where that is given.
func (v *Voter) recoverPanic(err *error) {
	if r := recover(); r != nil {
		v.failure = fmt.Errorf("%w: %v", ErrInconsistentLog, r)
		if err != nil {
			*err = v.failure
		}
	}
}

// noteSnapshot takes the applied position and the voters from a snapshot.
func (v *Voter) noteSnapshot(snapshot *raftpb.Snapshot) {
	v.membership = snapshot.Metadata.ConfState
	v.appliedIndex = snapshot.Metadata.Index
	v.appliedTerm = snapshot.Metadata.Term
}

// Err returns why the voter no longer takes part, an ErrInconsistentLog, or nil while it does.
func (v *Voter) Err() error { return v.failure }

// InitialState returns what a newly started voter must make durable before anything else.
func (v *Voter) InitialState() PersistentState {
	hard, _, _ := v.storage.InitialState() // a MemoryStorage returns no error here
	snapshot, _ := v.storage.Snapshot()    // nor here
	return PersistentState{HardState: hard, Snapshot: snapshot}
}

// Voters returns the ids of the voters by the newest applied change of membership.
func (v *Voter) Voters() []uint64 { return slices.Clone(v.membership.Voters) }

// Term returns the current term.
func (v *Voter) Term() uint64 { return v.raftNode.BasicStatus().Term }

// IsLeader reports whether this voter leads and has applied everything committed before its term. The host may act on
// it for others only as far as a read index was confirmed after they asked.
func (v *Voter) IsLeader() bool {
	if v.failure != nil {
		return false
	}
	status := v.raftNode.BasicStatus()
	return status.RaftState == raft.StateLeader && v.appliedTerm == status.Term
}

// Leader returns the id of the leader as far as this voter knows, 0 where it knows none or has not heard of it for
// long.
func (v *Voter) Leader() uint64 {
	if v.failure != nil {
		return raft.None
	}
	status := v.raftNode.BasicStatus()
	if status.RaftState != raft.StateLeader && v.now-v.leaderHeardAt > 2*v.config.ElectionTimeout {
		return raft.None
	}
	return status.Lead
}

// isRaftLeader reports whether the engine leads, be it that entries of earlier terms are not applied yet.
func (v *Voter) isRaftLeader() bool { return v.raftNode.BasicStatus().RaftState == raft.StateLeader }

// isVoter reports whether an id has a vote, also by the outgoing half of a joint configuration.
func (v *Voter) isVoter(id uint64) bool {
	return slices.Contains(v.membership.Voters, id) || slices.Contains(v.membership.VotersOutgoing, id)
}
