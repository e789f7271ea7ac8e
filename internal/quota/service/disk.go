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

// File is a keeper's memory in one file.
type File struct {
	path string
	db   *bolt.DB
}

const (
	fileName   = "keeper.db"
	lockWithin = 200 * time.Millisecond
)

var (
	stateBucket = []byte("state")
	entryBucket = []byte("entries")
	identityKey = []byte("identity")
	hardKey     = []byte("hard")
	snapshotKey = []byte("snapshot")
	lastKey     = []byte("last") // index of the newest entry, so that none can be missing
)

// Each value stands behind a checksum: the library has one for the pages that tell which state is the last, none for the others.
func sealedText(text []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxh3.Hash(text)), text...)
}

func unsealed(value []byte) []byte {
	if len(value) < 8 || binary.BigEndian.Uint64(value) != xxh3.Hash(value[8:]) {
		return nil
	}
	return value[8:]
}

// heads says whether both pages that tell which state is the last are whole. Where one is not, the other may tell of a state
// before a vote: whether a crash tore it or the disk lost it cannot be known, so the memory counts as lost.
func (f *File) heads(t *bolt.Tx) bool {
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

// ErrTaken: another process has the file.
var ErrTaken = errors.New("another process has this keeper's memory")

// OpenFile opens the memory in a directory, which is made where it is not there.
func OpenFile(directory string) (*File, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, err
	}
	f := &File{path: filepath.Join(directory, fileName)}
	return f, f.open()
}

func (f *File) open() (err error) {
	if f.db, err = openBolt(f.path); errors.Is(err, bolt.ErrTimeout) {
		return ErrTaken
	} else if err == nil {
		return nil
	}
	if _, is := errors.AsType[*fs.PathError](err); is {
		return err
	}
	return f.aside(err) // it cannot be read
}

// openBolt has what the library cannot mean be an error: it stops the program on some spoilt pages.
func openBolt(path string) (db *bolt.DB, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // what is read lies in the file itself
	defer func() {
		if r := recover(); r != nil {
			db, err = nil, fmt.Errorf("%v", r)
		}
	}()
	return bolt.Open(path, 0o600, &bolt.Options{Timeout: lockWithin, FreelistType: bolt.FreelistMapType})
}

// aside keeps the spoilt file under another name and begins an empty one.
func (f *File) aside(why error) error {
	if f.db != nil {
		_ = f.db.Close()
		f.db = nil
	}
	if err := os.Rename(f.path, fmt.Sprintf("%s.lost-%d", f.path, time.Now().UnixNano())); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errors.Join(why, err)
	}
	var err error
	f.db, err = openBolt(f.path)
	return err
}

// Spoilt sets aside what cannot be gone on with.
func (f *File) Spoilt() error { return f.aside(nil) }

// Close gives the file free.
func (f *File) Close() error {
	if f.db == nil {
		return nil
	}
	return f.db.Close()
}

var errUnread = errors.New("the keeper's memory cannot be read")

// Load reads all of it. What cannot be read is set aside: nothing is there then.
func (f *File) Load() (id coordinator.Identity, saved *consensus.Saved, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil || errors.Is(err, errUnread) {
			id, saved = coordinator.Identity{}, nil
			err = f.aside(errUnread)
		}
	}()
	err = f.db.View(func(t *bolt.Tx) error {
		if info, err := os.Stat(f.path); err != nil || info.Size() < t.Size() || !f.heads(t) {
			return errUnread // its tail is torn off, or one of the two pages that tell which state is the last
		}
		b := t.Bucket(stateBucket)
		if b == nil || b.Get(identityKey) == nil {
			return nil
		}
		s := &consensus.Saved{}
		get := func(key []byte) (text []byte) {
			if v := b.Get(key); v != nil {
				if text = unsealed(v); text == nil {
					panic(errUnread)
				}
			}
			return text
		}
		if cbor.Unmarshal(get(identityKey), &id) != nil || s.Hard.Unmarshal(get(hardKey)) != nil || s.Snapshot.Unmarshal(get(snapshotKey)) != nil {
			return errUnread
		}
		last := get(lastKey)
		entries := t.Bucket(entryBucket)
		if entries == nil {
			return errUnread
		}
		next := s.Snapshot.Metadata.Index + 1
		err := entries.ForEach(func(k, v []byte) error {
			var e raftpb.Entry
			if len(k) != 8 || unsealed(v) == nil || e.Unmarshal(unsealed(v)) != nil || e.Index != binary.BigEndian.Uint64(k) {
				return errUnread
			}
			if e.Index < next {
				return nil
			}
			if e.Index != next {
				return errUnread
			}
			next++
			s.Entries = append(s.Entries, e)
			return nil
		})
		if saved = s; err == nil && len(last) == 8 && binary.BigEndian.Uint64(last) != next-1 {
			return errUnread
		}
		return err
	})
	return id, saved, err
}

// Begin begins another memory; what was there is gone.
func (f *File) Begin(id coordinator.Identity, s consensus.Saved) error {
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
		if err := t.Bucket(stateBucket).Put(identityKey, sealedText(text)); err != nil {
			return err
		}
		return put(t, &s)
	})
}

// Save saves on top of what is there.
func (f *File) Save(s consensus.Saved) error {
	return f.update(func(t *bolt.Tx) error {
		if t.Bucket(stateBucket) == nil {
			return errUnread
		}
		return put(t, &s)
	})
}

func (f *File) update(do func(*bolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the keeper's memory: %v", r)
		}
	}()
	if f.db == nil {
		return errUnread
	}
	return f.db.Update(do)
}

func put(t *bolt.Tx, s *consensus.Saved) error {
	state, entries := t.Bucket(stateBucket), t.Bucket(entryBucket)
	if !raft.IsEmptyHardState(s.Hard) {
		text, err := s.Hard.Marshal()
		if err != nil {
			return err
		}
		if err := state.Put(hardKey, sealedText(text)); err != nil {
			return err
		}
	}
	for _, e := range s.Entries {
		text, err := e.Marshal()
		if err != nil {
			return err
		}
		if err := entries.Put(binary.BigEndian.AppendUint64(nil, e.Index), sealedText(text)); err != nil {
			return err
		}
	}
	last := s.Snapshot.Metadata.Index
	if n := len(s.Entries); n > 0 {
		last = s.Entries[n-1].Index
	}
	if before := unsealed(state.Get(lastKey)); last > 0 && (len(s.Entries) > 0 || before == nil || binary.BigEndian.Uint64(before) < last) {
		if err := state.Put(lastKey, sealedText(binary.BigEndian.AppendUint64(nil, last))); err != nil {
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
	if err := state.Put(snapshotKey, sealedText(text)); err != nil {
		return err
	}
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= s.Snapshot.Metadata.Index; k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}
