package service

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota/coordinator"
)

// makeEntries returns entries of one term with the indexes from..to, both included.
func makeEntries(from, to uint64, term uint64) (entries []consensus.Entry) {
	for index := from; index <= to; index++ {
		data := []byte{byte(index), byte(term)}
		entries = append(entries, consensus.Entry{Index: index, Term: term, Data: data})
	}
	return entries
}

// makeSnapshot returns a snapshot of a state at an index and term.
func makeSnapshot(state []byte, index, term uint64) raftpb.Snapshot {
	return raftpb.Snapshot{Data: state, Metadata: raftpb.SnapshotMetadata{Index: index, Term: term}}
}

// openStorage opens a storage and closes it at the end of the test, which may have closed it before.
func openStorage(t *testing.T, directory string) *FileStorage {
	t.Helper()
	storage, err := OpenFileStorage(directory)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, storage.Close()) })
	return storage
}

// loadState returns the state in a storage, which must not be empty.
func loadState(t *testing.T, storage *FileStorage) (coordinator.Identity, *consensus.PersistentState) {
	t.Helper()
	identity, saved, err := storage.Load()
	require.NoError(t, err)
	require.NotNil(t, saved)
	return identity, saved
}

// TestFileStorageFindsSavedState checks that a storage returns the saved state: after entries replaced others, after a
// compaction, and after the state of another voter replaced it. It also checks that a storage in use is locked.
func TestFileStorageFindsSavedState(t *testing.T) {
	require := require.New(t)
	directory := t.TempDir()
	storage := openStorage(t, directory)
	_, saved, err := storage.Load()
	require.NoError(err)
	require.Nil(saved, "a new storage must be empty")
	identity := coordinator.Identity{LogID: 3, VoterID: 5}
	first := consensus.PersistentState{
		HardState: raftpb.HardState{Term: 1, Commit: 1},
		Snapshot:  makeSnapshot([]byte{}, 1, 1),
	}
	require.NoError(storage.Reset(identity, first))
	require.NoError(storage.Save(consensus.PersistentState{Entries: makeEntries(2, 9, 1)}))
	require.NoError(storage.Save(consensus.PersistentState{ // entries 7 to 9 were never committed
		HardState: raftpb.HardState{Term: 2, Vote: 7, Commit: 4},
		Entries:   makeEntries(5, 6, 2),
	}))
	_, err = OpenFileStorage(directory)
	require.ErrorIs(err, ErrLocked)
	require.NoError(storage.Close())

	storage = openStorage(t, directory)
	found, saved := loadState(t, storage)
	require.Equal(identity, found)
	require.Equal(raftpb.HardState{Term: 2, Vote: 7, Commit: 4}, saved.HardState)
	require.Equal(append(makeEntries(2, 4, 1), makeEntries(5, 6, 2)...), saved.Entries)

	compacted := consensus.PersistentState{HardState: saved.HardState, Snapshot: makeSnapshot([]byte("state"), 5, 2)}
	require.NoError(storage.Save(compacted))
	_, saved = loadState(t, storage)
	require.Equal(makeEntries(6, 6, 2), saved.Entries)
	require.Equal("state", string(saved.Snapshot.Data))

	require.NoError(storage.Reset(coordinator.Identity{LogID: 3, VoterID: 8}, consensus.PersistentState{}))
	found, saved = loadState(t, storage)
	require.Equal(uint64(8), found.VoterID)
	require.Empty(saved.Entries)
}

// TestFileStorageSetsCorruptFileAside checks that a file that is truncated or has a page of zeros is either read
// completely or set aside. It must neither stop the program nor yield a state that was not saved.
func TestFileStorageSetsCorruptFileAside(t *testing.T) {
	intactDirectory := t.TempDir()
	storage := openStorage(t, intactDirectory)
	identity := coordinator.Identity{LogID: 1, VoterID: 2}
	require.NoError(t, storage.Reset(identity, consensus.PersistentState{
		HardState: raftpb.HardState{Term: 1, Commit: 1},
		Snapshot:  makeSnapshot(nil, 1, 1),
	}))
	require.NoError(t, storage.Save(consensus.PersistentState{Entries: makeEntries(2, 400, 1)}))
	require.NoError(t, storage.Close())
	intact, err := os.ReadFile(filepath.Join(intactDirectory, databaseFile))
	require.NoError(t, err)
	setAside := 0
	check := func(name string, corrupt []byte) {
		t.Run(name, func(t *testing.T) {
			directory := t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(directory, databaseFile), corrupt, 0o600))
			storage := openStorage(t, directory)
			found, saved, err := storage.Load()
			require.NoError(t, err)
			if saved != nil {
				require.Equal(t, identity, found)
				require.Len(t, saved.Entries, 399)
				return
			}
			setAside++
			other := coordinator.Identity{LogID: 1, VoterID: 3}
			require.NoError(t, storage.Reset(other, consensus.PersistentState{}))
		})
	}
	for size := 0; size < len(intact); size += 1 + len(intact)/24 {
		check(fmt.Sprintf("truncated to %d bytes", size), intact[:size])
	}
	pageSize := os.Getpagesize()
	for offset := 0; offset < len(intact); offset += pageSize {
		corrupt := bytes.Clone(intact)
		clear(corrupt[offset : offset+pageSize])
		check(fmt.Sprintf("page of zeros at %d", offset), corrupt)
	}
	require.Greater(t, setAside, 20)
}
