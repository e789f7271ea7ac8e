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
	databaseFile = "keeper.db" // unchanged since the first version, so that existing files are found
	lockTimeout  = 200 * time.Millisecond
)

// Layout of the meta pages of bbolt 1.5, which refer to the root of the database. A transaction writes one of the two
// pages in turn; the newer one is in force.
const (
	metaPages          = 2
	metaOffset         = 16 // of the meta fields, after the header that every page has
	metaChecksumOffset = 56 // relative to metaOffset: 64-bit FNV-1a checksum of the bytes before it
	metaChecksumLength = 8
)

// errUnreadable means that the file is incomplete or that a record in it is corrupt.
var errUnreadable = errors.New("stored coordinator state is incomplete or corrupt")

// FileStorage is a Storage in one go.etcd.io/bbolt file, whose transactions are written completely or not at all. It
// never reports a state as saved before it is durable, and never continues with a file that cannot be read.
type FileStorage struct {
	path string
	db   *bolt.DB // nil if a corrupt file could not be replaced
}

// OpenFileStorage opens the storage in a directory, which it creates if needed. The error is ErrLocked if another
// process uses the storage. A file that is not a valid database is set aside.
func OpenFileStorage(directory string) (*FileStorage, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, err
	}
	f := &FileStorage{path: filepath.Join(directory, databaseFile)}
	return f, f.openOrReplace()
}

// openOrReplace opens the database file and replaces it if it is not a valid database.
func (f *FileStorage) openOrReplace() error {
	var err error
	f.db, err = openDatabase(f.path)
	if err == nil {
		return nil
	}
	if errors.Is(err, bolterrors.ErrTimeout) {
		return ErrLocked
	}
	if _, isPathError := errors.AsType[*fs.PathError](err); isPathError {
		return err // the file cannot be accessed, but may be valid
	}
	return f.replaceFile(err)
}

// openDatabase opens a bbolt file. On some corrupt pages, which are in mapped memory, the library panics or causes a
// memory fault; openDatabase turns both into errors.
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

// replaceFile renames the file, so that it can be inspected, and creates an empty one. If the file cannot be
// renamed, the error includes cause, which may be nil.
func (f *FileStorage) replaceFile(cause error) error {
	if f.db != nil {
		_ = f.db.Close() // the file is no longer used, so a failed close does not matter
		f.db = nil
	}
	renamedPath := fmt.Sprintf("%s.lost-%d", f.path, time.Now().UnixNano())
	if err := os.Rename(f.path, renamedPath); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errors.Join(cause, err)
	}
	var err error
	f.db, err = openDatabase(f.path)
	return err
}

// SetAside implements Storage.
func (f *FileStorage) SetAside() error { return f.replaceFile(nil) }

// Close implements Storage.
func (f *FileStorage) Close() error {
	if f.db == nil {
		return nil
	}
	return f.db.Close()
}

// Load implements Storage.
func (f *FileStorage) Load() (identity coordinator.Identity, saved *consensus.PersistentState, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a mapped file that is truncated causes memory faults
	defer func() {
		if cause := recover(); cause != nil || errors.Is(err, errUnreadable) {
			identity = coordinator.Identity{}
			saved = nil
			err = f.replaceFile(errUnreadable)
		}
	}()
	err = f.db.View(func(tx *bolt.Tx) error {
		if !f.isIntact(tx) {
			return errUnreadable
		}
		var err error
		identity, saved, err = readRecords(tx)
		return err
	})
	return identity, saved, err
}

// Reset implements Storage.
func (f *FileStorage) Reset(identity coordinator.Identity, state consensus.PersistentState) error {
	encoded, err := cbor.Marshal(identity)
	if err != nil {
		return fmt.Errorf("encode coordinator identity: %w", err)
	}
	return f.runUpdate(func(tx *bolt.Tx) error {
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
	return f.runUpdate(func(tx *bolt.Tx) error {
		if tx.Bucket(stateBucket) == nil {
			return errUnreadable
		}
		return putState(tx, &state)
	})
}

// runUpdate runs a read-write transaction. It turns panics and memory faults of the library into errors.
func (f *FileStorage) runUpdate(transaction func(*bolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("update stored coordinator state: %v", cause)
		}
	}()
	if f.db == nil {
		return errUnreadable
	}
	return f.db.Update(transaction)
}

// isIntact reports whether the file has its full length and both meta pages are intact. If one of them is corrupt,
// the other one may refer to a state from before the last vote, which would allow a second vote in the same term. A
// write that a crash interrupted cannot be told apart from later corruption on the disk, so the state counts as lost in
// both cases.
func (f *FileStorage) isIntact(tx *bolt.Tx) bool {
	info, err := os.Stat(f.path)
	return err == nil && info.Size() >= tx.Size() && f.hasIntactMetaPages(tx)
}

func (f *FileStorage) hasIntactMetaPages(tx *bolt.Tx) bool {
	file, err := os.Open(f.path)
	if err != nil {
		return false
	}
	defer func() { _ = file.Close() }() // the file was only read
	for page := range int64(metaPages) {
		meta := make([]byte, metaChecksumOffset+metaChecksumLength)
		if _, err := file.ReadAt(meta, page*int64(tx.DB().Info().PageSize)+metaOffset); err != nil {
			return false
		}
		checksum := fnv.New64a()
		_, _ = checksum.Write(meta[:metaChecksumOffset]) // Write of a hash never returns an error
		if checksum.Sum64() != binary.NativeEndian.Uint64(meta[metaChecksumOffset:]) {
			return false
		}
	}
	return true
}
