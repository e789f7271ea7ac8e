package service

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota/coordinator"
)

// entriesOf returns the entries from one index to another, all of one term.
func entriesOf(from, to uint64, term uint64) (entries []consensus.Entry) {
	for index := from; index <= to; index++ {
		data := []byte{byte(index), byte(term)}
		entries = append(entries, consensus.Entry{Index: index, Term: term, Data: data})
	}
	return entries
}

// snapshotOf returns a snapshot of a state.
func snapshotOf(state []byte, index, term uint64) raftpb.Snapshot {
	return raftpb.Snapshot{Data: state, Metadata: raftpb.SnapshotMetadata{Index: index, Term: term}}
}

func openStorage(t *testing.T, directory string) *FileStorage {
	t.Helper()
	storage, err := OpenFileStorage(directory)
	require.NoError(t, err)
	return storage
}

// What was saved is found again: entries that took the place of others, a log that was compacted, another voter's state
// in its place.
func TestFileStorageFindsSavedState(t *testing.T) {
	r := require.New(t)
	directory := t.TempDir()
	storage := openStorage(t, directory)
	_, saved, err := storage.Load()
	r.NoError(err)
	r.Nil(saved, "a new one")
	identity := coordinator.Identity{LogID: 3, VoterID: 5}
	first := consensus.PersistentState{
		HardState: raftpb.HardState{Term: 1, Commit: 1},
		Snapshot:  snapshotOf([]byte{}, 1, 1),
	}
	r.NoError(storage.Begin(identity, first))
	r.NoError(storage.Save(consensus.PersistentState{Entries: entriesOf(2, 9, 1)}))
	r.NoError(storage.Save(consensus.PersistentState{ // 7 to 9 were never committed
		HardState: raftpb.HardState{Term: 2, Vote: 7, Commit: 4},
		Entries:   entriesOf(5, 6, 2),
	}))
	_, err = OpenFileStorage(directory)
	r.ErrorIs(err, ErrLocked)
	r.NoError(storage.Close())

	storage = openStorage(t, directory)
	found, saved, err := storage.Load()
	r.NoError(err)
	r.Equal(identity, found)
	r.Equal(raftpb.HardState{Term: 2, Vote: 7, Commit: 4}, saved.HardState)
	r.Equal(append(entriesOf(2, 4, 1), entriesOf(5, 6, 2)...), saved.Entries)

	compacted := consensus.PersistentState{HardState: saved.HardState, Snapshot: snapshotOf([]byte("state"), 5, 2)}
	r.NoError(storage.Save(compacted))
	_, saved, err = storage.Load()
	r.NoError(err)
	r.Equal(entriesOf(6, 6, 2), saved.Entries)
	r.Equal("state", string(saved.Snapshot.Data))

	r.NoError(storage.Begin(coordinator.Identity{LogID: 3, VoterID: 8}, consensus.PersistentState{}))
	found, saved, err = storage.Load()
	r.NoError(err)
	r.Equal(uint64(8), found.VoterID)
	r.Empty(saved.Entries)
	r.NoError(storage.Close())
}

// A file cut short or damaged anywhere is either read as it was or set aside: it never stops the program, and never
// gives a state that was not saved.
func TestFileStorageSetsDamagedFileAside(t *testing.T) {
	r := require.New(t)
	intactDirectory := t.TempDir()
	storage := openStorage(t, intactDirectory)
	identity := coordinator.Identity{LogID: 1, VoterID: 2}
	r.NoError(storage.Begin(identity, consensus.PersistentState{
		HardState: raftpb.HardState{Term: 1, Commit: 1},
		Snapshot:  snapshotOf(nil, 1, 1),
	}))
	r.NoError(storage.Save(consensus.PersistentState{Entries: entriesOf(2, 400, 1)}))
	r.NoError(storage.Close())
	intact, err := os.ReadFile(filepath.Join(intactDirectory, databaseFile))
	r.NoError(err)
	setAside := 0
	try := func(name string, damaged []byte) {
		directory := t.TempDir()
		r.NoError(os.WriteFile(filepath.Join(directory, databaseFile), damaged, 0o600))
		storage := openStorage(t, directory)
		found, saved, err := storage.Load()
		r.NoError(err, name)
		if saved != nil {
			r.Equal(identity, found, name)
			r.Len(saved.Entries, 399, name)
		} else {
			setAside++
			other := coordinator.Identity{LogID: 1, VoterID: 3}
			r.NoError(storage.Begin(other, consensus.PersistentState{}), name)
		}
		r.NoError(storage.Close())
	}
	for cut := 0; cut < len(intact); cut += 1 + len(intact)/24 {
		try("cut short", intact[:cut])
	}
	for page := 0; page < len(intact); page += os.Getpagesize() {
		damaged := append([]byte(nil), intact...)
		copy(damaged[page:page+os.Getpagesize()], make([]byte, os.Getpagesize()))
		try("a page of zeros", damaged)
	}
	r.Greater(setAside, 20)
}
