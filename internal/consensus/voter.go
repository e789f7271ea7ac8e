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

// Parameters of the Raft library.
const (
	// disabledElectionTick is an election timeout, in ticks, that is never reached. The library must not start
	// elections itself, because it draws its timeouts from a random source that cannot be seeded. Voter.Tick starts
	// them instead.
	disabledElectionTick = 1 << 30
	// maxAppendBytes is the maximum size of the entries in one append message, so that the message fits into one frame
	// of the transport.
	maxAppendBytes = 48 << 10
	// maxInflightAppends is the maximum number of unacknowledged append messages to one voter.
	maxInflightAppends = 16
	// maxUncommittedBytes is the maximum size of all uncommitted proposals; Propose rejects proposals beyond it.
	maxUncommittedBytes = 256 << 10
)

// Index and term of the snapshot that a new log starts with. The snapshot names the first voters.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// ErrInconsistentLog means that the stored state or a received message contradicts the log. The voter cannot continue
// with its state.
var ErrInconsistentLog = errors.New("inconsistent replicated log")

// Voter is one voter of the replicated log. It is not safe for concurrent use.
type Voter struct {
	config   Config
	raftNode *raft.RawNode
	storage  *raft.MemoryStorage // copy of the state that the host makes durable
	random   *rand.Rand          // source of the election timeouts; tests seed it
	failure  error               // why the voter has stopped taking part; nil while it takes part

	now               timeunit.Milliseconds
	lastTickAt        timeunit.Milliseconds // when the Raft library was last ticked
	leaderContactAt   timeunit.Milliseconds // when a message from a leader last arrived
	lastCampaignAt    timeunit.Milliseconds // when this voter last started an election
	electionTimeout   timeunit.Milliseconds // drawn again for each election
	quorumConfirmedAt timeunit.Milliseconds // when a majority last confirmed this leader, or it last did not lead

	readToken    uint64 // token of the last ReadIndex call
	appliedIndex uint64 // index of the newest committed entry or snapshot that Ready returned
	appliedTerm  uint64 // term of the same entry or snapshot

	membership raftpb.ConfState
	// membershipChanged reports whether the stored snapshot names other voters than membership does, so that a new
	// voter could not start from it.
	membershipChanged    bool
	desiredVoters        []uint64              // sorted; empty if the voters are to stay as they are
	membershipProposedAt timeunit.Milliseconds // when a membership change was last proposed
	pendingSnapshots     []pendingSnapshot
}

// pendingSnapshot is a snapshot that was sent to another voter and may not have arrived yet.
type pendingSnapshot struct {
	to     uint64
	sentAt timeunit.Milliseconds
}

// New starts a voter at the given time. If saved is not nil, the voter resumes from that state. Otherwise firstVoters
// names the voters of a new log, including this one; it is empty for a voter that joins an existing log. The election
// timeouts are drawn from random. The host must make InitialState durable before it does anything else.
//
// The error is ErrInconsistentLog if the Raft library finds a contradiction in the saved state.
func New(config Config, saved *PersistentState, firstVoters []uint64, random *rand.Rand,
	now timeunit.Milliseconds) (v *Voter, err error) {
	v = &Voter{config: config, storage: raft.NewMemoryStorage(), random: random, now: now, leaderContactAt: now}
	v.drawElectionTimeout()
	switch {
	case saved != nil:
		err = restoreStorage(v.storage, saved)
	case len(firstVoters) > 0:
		err = bootstrapStorage(v.storage, firstVoters)
	}
	if err != nil {
		return nil, err
	}
	snapshot, err := v.storage.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("read the snapshot: %w", err)
	}
	v.adoptSnapshotMetadata(&snapshot)
	defer v.recoverPanic(&err)
	v.raftNode, err = raft.NewRawNode(v.raftConfig())
	return v, err
}

// restoreStorage writes saved state to an empty storage.
func restoreStorage(storage *raft.MemoryStorage, saved *PersistentState) error {
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

// bootstrapStorage initializes an empty storage with a new log that has the given voters. All of these voters start
// with the same state.
func bootstrapStorage(storage *raft.MemoryStorage, voters []uint64) error {
	metadata := raftpb.SnapshotMetadata{
		Index:     bootstrapIndex,
		Term:      bootstrapTerm,
		ConfState: raftpb.ConfState{Voters: sortedIDs(voters)},
	}
	if err := storage.ApplySnapshot(raftpb.Snapshot{Data: []byte{}, Metadata: metadata}); err != nil {
		return fmt.Errorf("write the first snapshot: %w", err)
	}
	if err := storage.SetHardState(raftpb.HardState{Term: bootstrapTerm, Commit: bootstrapIndex}); err != nil {
		return fmt.Errorf("write the first hard state: %w", err)
	}
	return nil
}

// raftConfig returns the configuration of the Raft library.
func (v *Voter) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        v.config.ID,
		ElectionTick:              disabledElectionTick,
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

// recoverPanic turns a panic into a failure of this voter, and stores the failure in *err if err is not nil. It must be
// deferred around each call of the Raft library that changes state: the library panics if it finds a contradiction,
// which must stop only this voter, not the process.
func (v *Voter) recoverPanic(err *error) {
	if r := recover(); r != nil {
		v.failure = fmt.Errorf("%w: %v", ErrInconsistentLog, r)
		if err != nil {
			*err = v.failure
		}
	}
}

// adoptSnapshotMetadata sets the applied index, the applied term and the membership to those of a snapshot.
func (v *Voter) adoptSnapshotMetadata(snapshot *raftpb.Snapshot) {
	v.membership = snapshot.Metadata.ConfState
	v.appliedIndex = snapshot.Metadata.Index
	v.appliedTerm = snapshot.Metadata.Term
}

// Err returns an ErrInconsistentLog once the voter has stopped taking part, and nil before.
func (v *Voter) Err() error { return v.failure }

// InitialState returns the state that the host must make durable before anything else when a voter has been started.
func (v *Voter) InitialState() PersistentState {
	hardState, _, _ := v.storage.InitialState() // a MemoryStorage never returns an error here
	snapshot, _ := v.storage.Snapshot()         // nor here
	return PersistentState{HardState: hardState, Snapshot: snapshot}
}

// Voters returns the IDs of the voters after the newest applied membership change.
func (v *Voter) Voters() []uint64 { return slices.Clone(v.membership.Voters) }

// Term returns the current term.
func (v *Voter) Term() uint64 { return v.raftNode.BasicStatus().Term }

// IsLeader reports whether this voter is the leader and has applied an entry of its own term, and with it everything
// committed in earlier terms. Before the host acts as leader on a request from others, a read index that was requested
// after that request must be confirmed.
func (v *Voter) IsLeader() bool {
	if v.failure != nil {
		return false
	}
	status := v.raftNode.BasicStatus()
	return status.RaftState == raft.StateLeader && v.appliedTerm == status.Term
}

// Leader returns the ID of the leader as far as this voter knows. It is 0 if the voter knows no leader or has not
// received a message from one for two election timeouts.
func (v *Voter) Leader() uint64 {
	if v.failure != nil {
		return raft.None
	}
	status := v.raftNode.BasicStatus()
	if status.RaftState != raft.StateLeader && v.now-v.leaderContactAt > 2*v.config.ElectionTimeout {
		return raft.None
	}
	return status.Lead
}

// isRaftLeader reports whether this voter is the Raft leader, even if entries of earlier terms are not applied yet.
func (v *Voter) isRaftLeader() bool { return v.raftNode.BasicStatus().RaftState == raft.StateLeader }

// isVoter reports whether an ID has a vote, including by the outgoing half of a joint configuration.
func (v *Voter) isVoter(id uint64) bool {
	return slices.Contains(v.membership.Voters, id) || slices.Contains(v.membership.VotersOutgoing, id)
}
