package consensus

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// readTokenSize is the length of an encoded token in the context of a read request, in bytes.
const readTokenSize = 8

// Ready returns what the host must do since the last call. If more is false, there is nothing to do or the voter has
// failed (see Err). The host must make State durable and send Messages before it calls Ready again.
func (v *Voter) Ready() (ready Ready, more bool) {
	if v.failure != nil || !v.raftNode.HasReady() {
		return ready, false
	}
	defer v.recoverPanic(nil)
	update := v.raftNode.Ready()
	ready.State = PersistentState{HardState: update.HardState, Snapshot: update.Snapshot, Entries: update.Entries}
	if err := v.applySnapshot(&update.Snapshot, &ready); err != nil {
		v.failure = err
		return ready, false
	}
	_ = v.storage.Append(update.Entries) // a MemoryStorage panics on a gap and never returns an error
	if !raft.IsEmptyHardState(update.HardState) {
		_ = v.storage.SetHardState(update.HardState) // it never returns an error
	}
	v.collectMessages(update.Messages, &ready)
	v.applyEntries(update.CommittedEntries, &ready)
	v.confirmReads(update.ReadStates, &ready)
	v.raftNode.Advance(update)
	return ready, true
}

// applySnapshot applies a snapshot that a leader sent instead of entries that it has already compacted. It does nothing
// if the snapshot is empty.
func (v *Voter) applySnapshot(snapshot *raftpb.Snapshot, ready *Ready) error {
	if raft.IsEmptySnap(*snapshot) {
		return nil
	}
	if err := v.storage.ApplySnapshot(*snapshot); err != nil {
		return fmt.Errorf("%w: apply a snapshot: %w", ErrInconsistentLog, err)
	}
	v.adoptSnapshotMetadata(snapshot)
	ready.Snapshot = snapshot.Data
	if ready.Snapshot == nil {
		ready.Snapshot = []byte{} // nil would mean that there is no snapshot
	}
	return nil
}

func (v *Voter) collectMessages(messages []raftpb.Message, ready *Ready) {
	for i := range messages {
		message := &messages[i]
		if data, err := message.Marshal(); err == nil {
			ready.Messages = append(ready.Messages, Message{To: message.To, Data: data})
		}
		if message.Type == raftpb.MsgSnap {
			v.pendingSnapshots = append(v.pendingSnapshots, pendingSnapshot{to: message.To, sentAt: v.now})
		}
	}
}

// applyEntries applies committed membership changes to this voter and adds the host's proposals to ready.
func (v *Voter) applyEntries(entries []Entry, ready *Ready) {
	for i := range entries {
		entry := &entries[i]
		v.appliedIndex = entry.Index
		v.appliedTerm = entry.Term
		switch entry.Type {
		case raftpb.EntryConfChangeV2:
			var change raftpb.ConfChangeV2
			if change.Unmarshal(entry.Data) == nil {
				v.applyMembershipChange(change)
			}
		case raftpb.EntryConfChange:
			var change raftpb.ConfChange
			if change.Unmarshal(entry.Data) == nil {
				v.applyMembershipChange(change)
			}
		default:
			if len(entry.Data) > 0 { // a new leader starts its term with an empty entry
				ready.Committed = append(ready.Committed, entry.Data)
			}
		}
	}
}

func (v *Voter) applyMembershipChange(change raftpb.ConfChangeI) {
	v.membership = *v.raftNode.ApplyConfChange(change)
	v.membershipChanged = true
}

// confirmReads handles read requests that a majority has confirmed: those of the host, whose tokens it adds to ready,
// and those of checkQuorum.
func (v *Voter) confirmReads(reads []raft.ReadState, ready *Ready) {
	for _, read := range reads {
		v.quorumConfirmedAt = v.now
		if len(read.RequestCtx) != readTokenSize {
			continue
		}
		if token := binary.BigEndian.Uint64(read.RequestCtx); token != quorumCheckToken {
			ready.ConfirmedReads = append(ready.ConfirmedReads, token)
		}
	}
}
