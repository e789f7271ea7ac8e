package service

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota/coordinator"
)

// Bucket names and keys. They are part of the file format and must not change. The key of an entry is its index, 8
// bytes in big-endian order.
var (
	stateBucket  = []byte("state")
	entryBucket  = []byte("entries")
	identityKey  = []byte("identity") // a coordinator.Identity as CBOR
	hardStateKey = []byte("hard")     // a raftpb.HardState
	snapshotKey  = []byte("snapshot") // a raftpb.Snapshot
	lastIndexKey = []byte("last")     // the index of the newest entry, to detect missing entries
)

const (
	checksumLength = 8
	indexLength    = 8
)

// addChecksum returns a record with a checksum in front of it. bbolt itself has checksums only for its meta pages.
func addChecksum(data []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxh3.Hash(data)), data...)
}

// verifyChecksum returns the record after its checksum, or nil if the checksum does not match.
func verifyChecksum(value []byte) []byte {
	if len(value) < checksumLength || binary.BigEndian.Uint64(value) != xxh3.Hash(value[checksumLength:]) {
		return nil
	}
	return value[checksumLength:]
}

func encodeIndex(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// readRecords returns the stored identity and state. Without a stored identity, saved is nil. The error is
// errUnreadable if a record is corrupt or an entry is missing.
func readRecords(tx *bolt.Tx) (identity coordinator.Identity, saved *consensus.PersistentState, err error) {
	records := tx.Bucket(stateBucket)
	if records == nil || records.Get(identityKey) == nil {
		return identity, nil, nil
	}
	saved = &consensus.PersistentState{}
	decodeIdentity := func(data []byte) error { return cbor.Unmarshal(data, &identity) }
	for _, record := range []struct {
		key    []byte
		decode func([]byte) error
	}{
		{identityKey, decodeIdentity},
		{hardStateKey, saved.HardState.Unmarshal},
		{snapshotKey, saved.Snapshot.Unmarshal},
	} {
		data, err := readRecord(records, record.key)
		if err != nil || record.decode(data) != nil {
			return identity, nil, errUnreadable
		}
	}
	snapshotIndex := saved.Snapshot.Metadata.Index
	saved.Entries, err = readEntries(tx.Bucket(entryBucket), snapshotIndex+1)
	if err != nil {
		return identity, nil, err
	}
	storedLastIndex, err := readRecord(records, lastIndexKey)
	if err != nil {
		return identity, nil, err
	}
	newestIndex := snapshotIndex + uint64(len(saved.Entries))
	if len(storedLastIndex) == indexLength && binary.BigEndian.Uint64(storedLastIndex) != newestIndex {
		return identity, nil, errUnreadable
	}
	return identity, saved, nil
}

// readRecord returns the record under a key, or nil if there is none.
func readRecord(bucket *bolt.Bucket, key []byte) ([]byte, error) {
	value := bucket.Get(key)
	if value == nil {
		return nil, nil
	}
	data := verifyChecksum(value)
	if data == nil {
		return nil, errUnreadable
	}
	return data, nil
}

// readEntries returns the entries from an index on, which must be consecutive. It skips older entries, because the
// snapshot has replaced them.
func readEntries(bucket *bolt.Bucket, from uint64) ([]consensus.Entry, error) {
	if bucket == nil {
		return nil, errUnreadable
	}
	var entries []consensus.Entry
	next := from
	err := bucket.ForEach(func(key, value []byte) error {
		entry, err := decodeEntry(key, value)
		if err != nil {
			return err
		}
		if entry.Index < next {
			return nil
		}
		if entry.Index != next {
			return errUnreadable
		}
		next++
		entries = append(entries, entry)
		return nil
	})
	return entries, err
}

// decodeEntry verifies and decodes an entry, whose index must be its key.
func decodeEntry(key, value []byte) (entry consensus.Entry, err error) {
	data := verifyChecksum(value)
	if len(key) != indexLength || data == nil || entry.Unmarshal(data) != nil {
		return entry, errUnreadable
	}
	if entry.Index != binary.BigEndian.Uint64(key) {
		return entry, errUnreadable
	}
	return entry, nil
}

// putState writes the parts of a state that are set. Entries replace all stored entries from the index of the first one
// on; a snapshot replaces the entries up to its index.
func putState(tx *bolt.Tx, state *consensus.PersistentState) error {
	records := tx.Bucket(stateBucket)
	entries := tx.Bucket(entryBucket)
	if !raft.IsEmptyHardState(state.HardState) {
		if err := putRecord(records, hardStateKey, &state.HardState); err != nil {
			return err
		}
	}
	for i := range state.Entries {
		entry := &state.Entries[i]
		if err := putRecord(entries, encodeIndex(entry.Index), entry); err != nil {
			return err
		}
	}
	if err := putLastIndex(records, state); err != nil {
		return err
	}
	if n := len(state.Entries); n > 0 {
		// Stored entries after the new ones were never committed.
		if err := deleteEntriesAfter(entries, state.Entries[n-1].Index); err != nil {
			return err
		}
	}
	if raft.IsEmptySnap(state.Snapshot) {
		return nil
	}
	if err := putRecord(records, snapshotKey, &state.Snapshot); err != nil {
		return err
	}
	return deleteEntriesUpTo(entries, state.Snapshot.Metadata.Index)
}

// putRecord writes a record with its checksum in front.
func putRecord(bucket *bolt.Bucket, key []byte, record interface{ Marshal() ([]byte, error) }) error {
	data, err := record.Marshal()
	if err != nil {
		return err
	}
	return bucket.Put(key, addChecksum(data))
}

// putLastIndex writes the index of the newest entry. New entries may decrease it, because they replace stored ones; a
// snapshot without entries may only increase it.
func putLastIndex(records *bolt.Bucket, state *consensus.PersistentState) error {
	lastIndex := state.Snapshot.Metadata.Index
	hasEntries := len(state.Entries) > 0
	if hasEntries {
		lastIndex = state.Entries[len(state.Entries)-1].Index
	}
	if lastIndex == 0 {
		return nil
	}
	storedIndex := verifyChecksum(records.Get(lastIndexKey))
	if !hasEntries && storedIndex != nil && binary.BigEndian.Uint64(storedIndex) >= lastIndex {
		return nil
	}
	return records.Put(lastIndexKey, addChecksum(encodeIndex(lastIndex)))
}

// deleteEntriesAfter deletes all entries with a greater index.
func deleteEntriesAfter(entries *bolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	first := encodeIndex(index + 1)
	for key, _ := cursor.Seek(first); key != nil; key, _ = cursor.Seek(first) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntriesUpTo deletes all entries up to and including an index.
func deleteEntriesUpTo(entries *bolt.Bucket, index uint64) error {
	cursor := entries.Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) <= index; key, _ = cursor.First() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// recreateBucket replaces a bucket with an empty one.
func recreateBucket(tx *bolt.Tx, name []byte) error {
	if tx.Bucket(name) != nil {
		if err := tx.DeleteBucket(name); err != nil {
			return err
		}
	}
	_, err := tx.CreateBucket(name)
	return err
}
