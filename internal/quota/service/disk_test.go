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

func entries(from, to uint64, term uint64) (list []consensus.Entry) {
	for i := from; i <= to; i++ {
		list = append(list, consensus.Entry{Index: i, Term: term, Data: []byte{byte(i), byte(term)}})
	}
	return list
}

// What was saved is found again: entries that took the place of others, a log that was cut, another memory in its place.
func TestAMemoryIsFoundAgain(t *testing.T) {
	r := require.New(t)
	directory := t.TempDir()
	f, err := OpenFileStorage(directory)
	r.NoError(err)
	_, saved, err := f.Load()
	r.NoError(err)
	r.Nil(saved, "a new one")
	id := coordinator.Identity{LogID: 3, VoterID: 5}
	r.NoError(f.Begin(id, consensus.PersistentState{HardState: raftpb.HardState{Term: 1, Commit: 1}, Snapshot: raftpb.Snapshot{Data: []byte{}, Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1}}}))
	r.NoError(f.Save(consensus.PersistentState{Entries: entries(2, 9, 1)}))
	r.NoError(f.Save(consensus.PersistentState{HardState: raftpb.HardState{Term: 2, Vote: 7, Commit: 4}, Entries: entries(5, 6, 2)})) // 7 to 9 were never agreed on
	_, err = OpenFileStorage(directory)
	r.ErrorIs(err, ErrLocked)
	r.NoError(f.Close())
	f, err = OpenFileStorage(directory)
	r.NoError(err)
	found, saved, err := f.Load()
	r.NoError(err)
	r.Equal(id, found)
	r.Equal(raftpb.HardState{Term: 2, Vote: 7, Commit: 4}, saved.HardState)
	r.Equal(append(entries(2, 4, 1), entries(5, 6, 2)...), saved.Entries)
	r.NoError(f.Save(consensus.PersistentState{HardState: saved.HardState, Snapshot: raftpb.Snapshot{Data: []byte("state"), Metadata: raftpb.SnapshotMetadata{Index: 5, Term: 2}}}))
	_, saved, err = f.Load()
	r.NoError(err)
	r.Equal(entries(6, 6, 2), saved.Entries)
	r.Equal("state", string(saved.Snapshot.Data))
	r.NoError(f.Begin(coordinator.Identity{LogID: 3, VoterID: 8}, consensus.PersistentState{}))
	found, saved, err = f.Load()
	r.NoError(err)
	r.Equal(uint64(8), found.VoterID)
	r.Empty(saved.Entries)
	r.NoError(f.Close())
}

// A file cut short or garbled anywhere is either read as it was or set aside: it never stops the program, and never gives a
// memory that was not saved.
func TestASpoiltMemoryIsSetAside(t *testing.T) {
	r := require.New(t)
	whole := t.TempDir()
	f, err := OpenFileStorage(whole)
	r.NoError(err)
	r.NoError(f.Begin(coordinator.Identity{LogID: 1, VoterID: 2}, consensus.PersistentState{HardState: raftpb.HardState{Term: 1, Commit: 1}, Snapshot: raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1}}}))
	r.NoError(f.Save(consensus.PersistentState{Entries: entries(2, 400, 1)}))
	r.NoError(f.Close())
	text, err := os.ReadFile(filepath.Join(whole, databaseFile))
	r.NoError(err)
	aside := 0
	try := func(name string, spoilt []byte) {
		directory := t.TempDir()
		r.NoError(os.WriteFile(filepath.Join(directory, databaseFile), spoilt, 0o600))
		f, err := OpenFileStorage(directory)
		r.NoError(err, name)
		id, saved, err := f.Load()
		r.NoError(err, name)
		if saved != nil {
			r.Equal(coordinator.Identity{LogID: 1, VoterID: 2}, id, name)
			r.Len(saved.Entries, 399, name)
		} else {
			aside++
			r.NoError(f.Begin(coordinator.Identity{LogID: 1, VoterID: 3}, consensus.PersistentState{}), name)
		}
		r.NoError(f.Close())
	}
	for cut := 0; cut < len(text); cut += 1 + len(text)/24 {
		try("cut", text[:cut])
	}
	for page := 0; page < len(text); page += os.Getpagesize() {
		spoilt := append([]byte(nil), text...)
		copy(spoilt[page:page+os.Getpagesize()], make([]byte, os.Getpagesize()))
		try("a page of nothing", spoilt)
	}
	r.Greater(aside, 20)
}
