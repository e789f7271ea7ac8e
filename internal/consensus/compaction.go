package consensus

import "fmt"

// compactionThreshold is the number of entries applied since the last compaction after which the log is compacted
// again. A voter that lags behind by this many entries cannot take over the leadership.
const compactionThreshold = 256

// NeedsCompaction reports whether the host should call Compact, because the log has grown too long or because the
// stored snapshot does not name the current voters, so that a new voter could not start from it.
func (v *Voter) NeedsCompaction() bool {
	first, err := v.storage.FirstIndex()
	if v.failure != nil || err != nil {
		return false
	}
	return v.membershipChanged || v.appliedIndex > first+compactionThreshold+v.config.RetainedEntries
}

// Compact replaces the start of the log with a snapshot. The given state is that of the host after it has applied
// everything that Ready returned as committed. The host must add the result to its stored state; it may delete stored
// entries that the snapshot covers.
func (v *Voter) Compact(state []byte) (PersistentState, error) {
	snapshot, err := v.storage.CreateSnapshot(v.appliedIndex, &v.membership, state)
	if err != nil {
		return PersistentState{Snapshot: snapshot}, fmt.Errorf("create a snapshot: %w", err)
	}
	saved := PersistentState{Snapshot: snapshot}
	v.membershipChanged = false
	first, _ := v.storage.FirstIndex() // a MemoryStorage never returns an error here
	if v.appliedIndex > first+v.config.RetainedEntries {
		if err := v.storage.Compact(v.appliedIndex - v.config.RetainedEntries); err != nil {
			return saved, fmt.Errorf("compact the log: %w", err)
		}
	}
	saved.HardState, _, _ = v.storage.InitialState() // nor does it here
	return saved, nil
}
