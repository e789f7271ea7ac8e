package consensus

import "fmt"

// compactionThreshold is the number of entries applied since the last compaction from which on another is due.
const compactionThreshold = 256

// NeedsCompaction reports whether the host should call Compact: the log has grown long, or the stored snapshot names
// voters that are not the present ones, so that a new voter could not start from it.
func (v *Voter) NeedsCompaction() bool {
	first, err := v.storage.FirstIndex()
	if v.failure != nil || err != nil {
		return false
	}
	return v.membershipChanged || v.appliedIndex > first+compactionThreshold+v.config.RetainedEntries
}

// Compact replaces the beginning of the log by the host's state as of everything that Ready has returned as committed.
// The result is to be stored on top of what is stored already; entries that its snapshot covers need not be kept.
func (v *Voter) Compact(state []byte) (PersistentState, error) {
	snapshot, err := v.storage.CreateSnapshot(v.appliedIndex, &v.membership, state)
	if err != nil {
		return PersistentState{Snapshot: snapshot}, fmt.Errorf("create a snapshot: %w", err)
	}
	saved := PersistentState{Snapshot: snapshot}
	v.membershipChanged = false
	first, _ := v.storage.FirstIndex() // a MemoryStorage returns no error here
	if v.appliedIndex > first+v.config.RetainedEntries {
		if err := v.storage.Compact(v.appliedIndex - v.config.RetainedEntries); err != nil {
			return saved, fmt.Errorf("compact the log: %w", err)
		}
	}
	saved.HardState, _, _ = v.storage.InitialState() // it returns no error either
	return saved, nil
}
