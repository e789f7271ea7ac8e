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

// SegmentFile is a segment that is being written.
type SegmentFile interface {
	io.Writer
	// Sync makes all that was written durable. After an error nothing is known of it, whatever a later Sync returns.
	Sync() error
	Close() error
}

// Storage is a directory of segments. Directory is the one on a disk; tests use others, which fail, forget and reorder.
type Storage interface {
	// List returns the names of all segments, sorted.
	List() ([]string, error)
	// Open opens a segment for reading.
	Open(name string) (io.ReadCloser, error)
	// Create creates a segment that must not exist yet. Its name is durable once SyncDirectory has returned.
	Create(name string) (SegmentFile, error)
	// Remove removes a segment.
	Remove(name string) error
	// SyncDirectory makes names that were created and removed durable.
	SyncDirectory() error
}

// Directory is the Storage on a disk.
type Directory struct {
	path     string
	lockFile *os.File // nil where the directory is only read
}

// ErrLocked reports that another process has opened the directory.
var ErrLocked = errors.New("another process has this store")

const lockFileName = "lock"

// OpenDirectory opens a directory for this process alone, and creates it where it doesn't exist. It returns ErrLocked
// where another process has it. The caller closes it.
func OpenDirectory(path string) (*Directory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lockFile, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lockFile.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lockFile.Close() // nothing was written to it
		return nil, ErrLocked
	}
	return &Directory{path: path, lockFile: lockFile}, nil
}

// OpenDirectoryReadOnly opens a directory for reading, also one that another process has opened. It must not be closed.
func OpenDirectoryReadOnly(path string) *Directory { return &Directory{path: path} }

// Close lets another process open the directory.
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

// Create creates a segment that must not exist yet.
func (d *Directory) Create(name string) (SegmentFile, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Remove removes a segment.
func (d *Directory) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

// SyncDirectory makes names that were created and removed durable.
func (d *Directory) SyncDirectory() error {
	directory, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }() // it was only read
	return directory.Sync()
}
