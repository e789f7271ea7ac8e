package service

// This file owns what a named keeper has on a disk: one file of go.etcd.io/bbolt, whose writes are whole or not at all. It must
// never say that something is saved which is not, nor go on with a file that cannot be read.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota/coordinator"
)

// FileStorage is a keeper's memory in one file.
type FileStorage struct {
	path string
	db   *bolt.DB
}

const (
	databaseFile = "keeper.db"
	lockTimeout  = 200 * time.Millisecond
)

var (
	stateBucket  = []byte("state")
	entryBucket  = []byte("entries")
	identityKey  = []byte("identity")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
	lastIndexKey = []byte("last") // index of the newest entry, so that none can be missing
)

// Each value stands behind a checksum: the library has one for the pages that tell which state is the last, none for the others.
func addChecksum(text []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxh3.Hash(text)), text...)
}

func verifyChecksum(value []byte) []byte {
	if len(value) < 8 || binary.BigEndian.Uint64(value) != xxh3.Hash(value[8:]) {
		return nil
	}
	return value[8:]
}

// metaPagesIntact says whether both pages that tell which state is the last are whole. Where one is not, the other may tell of a state
// before a vote: whether a crash tore it or the disk lost it cannot be known, so the memory counts as lost.
func (f *FileStorage) metaPagesIntact(t *bolt.Tx) bool {
	const at, checked = 16, 56 // behind a page's head: what is summed up, and the sum
	in, err := os.Open(f.path)
	if err != nil {
		return false
	}
	defer in.Close()
	for page := range int64(2) {
		head := make([]byte, checked+8)
		if _, err := in.ReadAt(head, page*int64(t.DB().Info().PageSize)+at); err != nil {
			return false
		}
		sum := fnv.New64a()
		_, _ = sum.Write(head[:checked])
		if sum.Sum64() != binary.NativeEndian.Uint64(head[checked:]) {
			return false
		}
	}
	return true
}

// ErrLocked: another process has the file.
var ErrLocked = errors.New("another process has this keeper's memory")

// OpenFileStorage opens the memory in a directory, which is made where it is not there.
func OpenFileStorage(directory string) (*FileStorage, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, err
	}
	f := &FileStorage{path: filepath.Join(directory, databaseFile)}
	return f, f.open()
}

func (f *FileStorage) open() (err error) {
	if f.db, err = openDatabase(f.path); errors.Is(err, bolt.ErrTimeout) {
		return ErrLocked
	} else if err == nil {
		return nil
	}
	if _, is := errors.AsType[*fs.PathError](err); is {
		return err
	}
	return f.replaceCorrupt(err) // it cannot be read
}

// openDatabase has what the library cannot mean be an error: it stops the program on some spoilt pages.
func openDatabase(path string) (db *bolt.DB, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // what is read lies in the file itself
	defer func() {
		if r := recover(); r != nil {
			db, err = nil, fmt.Errorf("%v", r)
		}
	}()
	return bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, FreelistType: bolt.FreelistMapType})
}

// replaceCorrupt keeps the spoilt file under another name and begins an empty one.
func (f *FileStorage) replaceCorrupt(why error) error {
	if f.db != nil {
		_ = f.db.Close()
		f.db = nil
	}
	if err := os.Rename(f.path, fmt.Sprintf("%s.lost-%d", f.path, time.Now().UnixNano())); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errors.Join(why, err)
	}
	var err error
	f.db, err = openDatabase(f.path)
	return err
}

// SetAside sets aside what cannot be gone on with.
func (f *FileStorage) SetAside() error { return f.replaceCorrupt(nil) }

// Close gives the file free.
func (f *FileStorage) Close() error {
	if f.db == nil {
		return nil
	}
	return f.db.Close()
}

var errUnreadable = errors.New("the keeper's memory cannot be read")

// Load reads all of it. What cannot be read is set aside: nothing is there then.
func (f *FileStorage) Load() (id coordinator.Identity, saved *consensus.PersistentState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil || errors.Is(err, errUnreadable) {
			id, saved = coordinator.Identity{}, nil
			err = f.replaceCorrupt(errUnreadable)
		}
	}()
	err = f.db.View(func(t *bolt.Tx) error {
		if info, err := os.Stat(f.path); err != nil || info.Size() < t.Size() || !f.metaPagesIntact(t) {
			return errUnreadable // its tail is torn off, or one of the two pages that tell which state is the last
		}
		b := t.Bucket(stateBucket)
		if b == nil || b.Get(identityKey) == nil {
			return nil
		}
		s := &consensus.PersistentState{}
		get := func(key []byte) (text []byte) {
			if v := b.Get(key); v != nil {
				if text = verifyChecksum(v); text == nil {
					panic(errUnreadable)
				}
			}
			return text
		}
		if cbor.Unmarshal(get(identityKey), &id) != nil || s.HardState.Unmarshal(get(hardStateKey)) != nil || s.Snapshot.Unmarshal(get(snapshotKey)) != nil {
			return errUnreadable
		}
		last := get(lastIndexKey)
		entries := t.Bucket(entryBucket)
		if entries == nil {
			return errUnreadable
		}
		next := s.Snapshot.Metadata.Index + 1
		err := entries.ForEach(func(k, v []byte) error {
			var e raftpb.Entry
			if len(k) != 8 || verifyChecksum(v) == nil || e.Unmarshal(verifyChecksum(v)) != nil || e.Index != binary.BigEndian.Uint64(k) {
				return errUnreadable
			}
			if e.Index < next {
				return nil
			}
			if e.Index != next {
				return errUnreadable
			}
			next++
			s.Entries = append(s.Entries, e)
			return nil
		})
		if saved = s; err == nil && len(last) == 8 && binary.BigEndian.Uint64(last) != next-1 {
			return errUnreadable
		}
		return err
	})
	return id, saved, err
}

// Begin begins another memory; what was there is gone.
func (f *FileStorage) Begin(id coordinator.Identity, s consensus.PersistentState) error {
	text, err := cbor.Marshal(id)
	if err != nil {
		return err
	}
	return f.update(func(t *bolt.Tx) error {
		for _, name := range [][]byte{stateBucket, entryBucket} {
			if t.Bucket(name) != nil {
				if err := t.DeleteBucket(name); err != nil {
					return err
				}
			}
			if _, err := t.CreateBucket(name); err != nil {
				return err
			}
		}
		if err := t.Bucket(stateBucket).Put(identityKey, addChecksum(text)); err != nil {
			return err
		}
		return putState(t, &s)
	})
}

// Save saves on top of what is there.
func (f *FileStorage) Save(s consensus.PersistentState) error {
	return f.update(func(t *bolt.Tx) error {
		if t.Bucket(stateBucket) == nil {
			return errUnreadable
		}
		return putState(t, &s)
	})
}

func (f *FileStorage) update(do func(*bolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the keeper's memory: %v", r)
		}
	}()
	if f.db == nil {
		return errUnreadable
	}
	return f.db.Update(do)
}

func putState(t *bolt.Tx, s *consensus.PersistentState) error {
	state, entries := t.Bucket(stateBucket), t.Bucket(entryBucket)
	if !raft.IsEmptyHardState(s.HardState) {
		text, err := s.HardState.Marshal()
		if err != nil {
			return err
		}
		if err := state.Put(hardStateKey, addChecksum(text)); err != nil {
			return err
		}
	}
	for _, e := range s.Entries {
		text, err := e.Marshal()
		if err != nil {
			return err
		}
		if err := entries.Put(binary.BigEndian.AppendUint64(nil, e.Index), addChecksum(text)); err != nil {
			return err
		}
	}
	last := s.Snapshot.Metadata.Index
	if n := len(s.Entries); n > 0 {
		last = s.Entries[n-1].Index
	}
	if before := verifyChecksum(state.Get(lastIndexKey)); last > 0 && (len(s.Entries) > 0 || before == nil || binary.BigEndian.Uint64(before) < last) {
		if err := state.Put(lastIndexKey, addChecksum(binary.BigEndian.AppendUint64(nil, last))); err != nil {
			return err
		}
	}
	c := entries.Cursor()
	if n := len(s.Entries); n > 0 { // what stood behind them was never agreed on
		behind := binary.BigEndian.AppendUint64(nil, s.Entries[n-1].Index+1)
		for k, _ := c.Seek(behind); k != nil; k, _ = c.Seek(behind) {
			if err := c.Delete(); err != nil {
				return err
			}
		}
	}
	if raft.IsEmptySnap(s.Snapshot) {
		return nil
	}
	text, err := s.Snapshot.Marshal()
	if err != nil {
		return err
	}
	if err := state.Put(snapshotKey, addChecksum(text)); err != nil {
		return err
	}
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= s.Snapshot.Metadata.Index; k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
