package service

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
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota/coordinator"
)

const (
	databaseFile = "keeper.db" // the name on disk since the first version
	lockTimeout  = 200 * time.Millisecond
)

// Layout of the head of a page of bbolt 1.5 that says which state is the newest: two such pages take turns.
const (
	metaPages          = 2
	metaOffset         = 16 // of the fields, behind the head that every page has
	metaChecksumOffset = 56 // from metaOffset: the bytes before it are summed up (FNV-1a, 64 bits)
	metaChecksumLength = 8
)

// errUnreadable means that the file is not complete or a record in it is corrupt.
var errUnreadable = errors.New("the coordinator's stored state cannot be read")

// FileStorage is a Storage in one file of go.etcd.io/bbolt, whose transactions are written completely or not at all. It
// never reports a state as saved that is not, and never goes on with a file that cannot be read.
type FileStorage struct {
	path string
	db   *bolt.DB // nil after a corrupt file could not be replaced
}

// OpenFileStorage opens the storage in a directory, which is created if needed. The error is ErrLocked if another
// process uses it. A file that is no database is set aside.
func OpenFileStorage(directory string) (*FileStorage, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, err
	}
	f := &FileStorage{path: filepath.Join(directory, databaseFile)}
	return f, f.open()
}

func (f *FileStorage) open() error {
	var err error
	f.db, err = openDatabase(f.path)
	if err == nil {
		return nil
	}
	if errors.Is(err, bolterrors.ErrTimeout) {
		return ErrLocked
	}
	if _, isPathError := errors.AsType[*fs.PathError](err); isPathError {
		return err // the file may be sound: it cannot be reached
	}
	return f.replaceCorrupt(err)
}

// openDatabase opens a bbolt file. The library panics or faults on some corrupt pages, which lie in mapped memory; both
// become errors.
func openDatabase(path string) (db *bolt.DB, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			db = nil
			err = fmt.Errorf("open %s: %v", path, cause)
		}
	}()
	return bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, FreelistType: bolt.FreelistMapType})
}

// replaceCorrupt renames the file, which keeps it for inspection, and begins an empty one. Cause is part of the error
// if the file cannot be renamed; it may be nil.
func (f *FileStorage) replaceCorrupt(cause error) error {
	if f.db != nil {
		_ = f.db.Close() // the file is abandoned, whatever else is wrong with it
		f.db = nil
	}
	aside := fmt.Sprintf("%s.lost-%d", f.path, time.Now().UnixNano())
	if err := os.Rename(f.path, aside); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errors.Join(cause, err)
	}
	var err error
	f.db, err = openDatabase(f.path)
	return err
}

// SetAside implements Storage.
func (f *FileStorage) SetAside() error { return f.replaceCorrupt(nil) }

// Close implements Storage.
func (f *FileStorage) Close() error {
	if f.db == nil {
		return nil
	}
	return f.db.Close()
}

// Load implements Storage.
func (f *FileStorage) Load() (identity coordinator.Identity, saved *consensus.PersistentState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a torn file faults where it is mapped
	defer func() {
		if cause := recover(); cause != nil || errors.Is(err, errUnreadable) {
			identity = coordinator.Identity{}
			saved = nil
			err = f.replaceCorrupt(errUnreadable)
		}
	}()
	err = f.db.View(func(tx *bolt.Tx) error {
		if !f.isComplete(tx) {
			return errUnreadable
		}
		var err error
		identity, saved, err = readRecords(tx)
		return err
	})
	return identity, saved, err
}

// Begin implements Storage.
func (f *FileStorage) Begin(identity coordinator.Identity, state consensus.PersistentState) error {
	encoded, err := cbor.Marshal(identity)
	if err != nil {
		return fmt.Errorf("encode the coordinator's identity: %w", err)
	}
	return f.update(func(tx *bolt.Tx) error {
		for _, name := range [][]byte{stateBucket, entryBucket} {
			if err := recreateBucket(tx, name); err != nil {
				return err
			}
		}
		if err := tx.Bucket(stateBucket).Put(identityKey, addChecksum(encoded)); err != nil {
			return err
		}
		return putState(tx, &state)
	})
}

// Save implements Storage.
func (f *FileStorage) Save(state consensus.PersistentState) error {
	return f.update(func(tx *bolt.Tx) error {
		if tx.Bucket(stateBucket) == nil {
			return errUnreadable
		}
		return putState(tx, &state)
	})
}

// update runs a transaction. What makes the library panic or fault becomes an error.
func (f *FileStorage) update(do func(*bolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("update the coordinator's stored state: %v", cause)
		}
	}()
	if f.db == nil {
		return errUnreadable
	}
	return f.db.Update(do)
}

// isComplete reports whether the file has its full length and both pages that say which state is the newest are
// intact. Without one of them the other may lead to a state before a vote. Whether a crash tore the page or the disk
// lost it cannot be known, so the state counts as lost.
func (f *FileStorage) isComplete(tx *bolt.Tx) bool {
	info, err := os.Stat(f.path)
	return err == nil && info.Size() >= tx.Size() && f.metaPagesIntact(tx)
}

func (f *FileStorage) metaPagesIntact(tx *bolt.Tx) bool {
	file, err := os.Open(f.path)
	if err != nil {
		return false
	}
	defer func() { _ = file.Close() }() // it was only read
	for page := range int64(metaPages) {
		meta := make([]byte, metaChecksumOffset+metaChecksumLength)
		if _, err := file.ReadAt(meta, page*int64(tx.DB().Info().PageSize)+metaOffset); err != nil {
			return false
		}
		sum := fnv.New64a()
		_, _ = sum.Write(meta[:metaChecksumOffset]) // a hash never fails to take bytes
		if sum.Sum64() != binary.NativeEndian.Uint64(meta[metaChecksumOffset:]) {
			return false
		}
	}
	return true
}
