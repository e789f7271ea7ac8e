package segmentlog

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"golang.org/x/sys/unix"
)

// SegmentFile is a segment that is open for writing.
type SegmentFile interface {
	io.Writer
	// Sync makes all previous writes durable. After an error it is unknown which of them are durable, whatever a later
	// Sync returns.
	Sync() error
	// Close closes the file without making writes durable.
	Close() error
}

// Storage is a directory of segments. Directory stores them in a file system. Tests use implementations that return
// errors and that lose or reorder unsynced writes.
type Storage interface {
	// List returns the names of all segments, sorted.
	List() ([]string, error)
	// Open opens a segment for reading.
	Open(name string) (io.ReadCloser, error)
	// Create creates a segment that must not exist yet. Its name is durable once SyncDirectory has returned.
	Create(name string) (SegmentFile, error)
	// Remove removes a segment.
	Remove(name string) error
	// SyncDirectory makes the creation and removal of segments durable.
	SyncDirectory() error
}

// Directory is a Storage in a directory of the file system.
type Directory struct {
	path     string
	lockFile *os.File // nil if the directory is only read
}

// ErrLocked is returned by OpenDirectory if another process has opened the directory.
var ErrLocked = errors.New("another process has this store")

// lockFileName is the name of the file in the directory that the process with exclusive access keeps locked.
const lockFileName = "lock"

// OpenDirectory opens a directory for exclusive use by this process, and creates it if it does not exist. It returns
// ErrLocked if another process has opened it. The caller must call Close.
func OpenDirectory(path string) (*Directory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lockFile, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lockFile.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lockFile.Close() // nothing was written to the file
		return nil, ErrLocked
	}
	return &Directory{path: path, lockFile: lockFile}, nil
}

// OpenDirectoryReadOnly returns a Directory for reading, without locking it, so another process may have it open. The
// Directory does not enforce that it is only read: the caller must not call Create or Remove. Close must not be called
// either, as there is no lock to release.
func OpenDirectoryReadOnly(path string) *Directory { return &Directory{path: path} }

// Close releases the lock, so that another process can open the directory.
func (d *Directory) Close() error { return d.lockFile.Close() }

// List returns the names of all segments, sorted.
func (d *Directory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	var names []string
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), segmentSuffix) {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

// Open opens a segment for reading.
func (d *Directory) Open(name string) (io.ReadCloser, error) {
	return os.Open(filepath.Join(d.path, name))
}

// Create creates a segment for appending. It returns an error if the segment exists.
func (d *Directory) Create(name string) (SegmentFile, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Remove removes a segment.
func (d *Directory) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

// SyncDirectory makes the creation and removal of segments durable.
func (d *Directory) SyncDirectory() error {
	directory, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // the directory was only read
	return directory.Sync()
}
