// Package store keeps the records of package lasting in segments on a disk: appended, checked, aged out whole.
//
// files.go owns the disk, codec.go the bytes, store.go the writer beside the loop, scan.go the reading at a start. It must
// never say that a record is durable which is not, nor take a write or a sync that failed for done by a later one.
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
	Sync() error
	Close() error
}

// Storage is a directory of segments. Tests put one in its place that fails, forgets and reorders.
type Storage interface {
	List() ([]string, error) // names, sorted
	Open(name string) (io.ReadCloser, error)
	Create(name string) (SegmentFile, error) // durable as a name once SyncNames returns
	Remove(name string) error
	SyncDirectory() error
}

// Directory is the real one.
type Directory struct {
	path     string
	lockFile *os.File
}

// ErrLocked: another process has the directory.
var ErrLocked = errors.New("another process has this store")

const lockFileName = "lock"

// OpenDirectory makes the directory where it is not there and takes it for this process.
func OpenDirectory(path string) (*Directory, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, ErrLocked
	}
	return &Directory{path, lock}, nil
}

// OpenDirectoryReadOnly only reads, whoever has it.
func OpenDirectoryReadOnly(path string) *Directory { return &Directory{path: path} }

// Close gives it free.
func (d *Directory) Close() error { return d.lockFile.Close() }

// List gives the names of segments.
func (d *Directory) List() (names []string, err error) {
	entries, err := os.ReadDir(d.path)
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), segmentSuffix) {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, err
}

// Open reads a segment.
func (d *Directory) Open(name string) (io.ReadCloser, error) {
	return os.Open(filepath.Join(d.path, name))
}

// Create begins one; a name that is there is an error.
func (d *Directory) Create(name string) (SegmentFile, error) {
	return os.OpenFile(filepath.Join(d.path, name), os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o600)
}

// Remove takes one away.
func (d *Directory) Remove(name string) error { return os.Remove(filepath.Join(d.path, name)) }

// SyncDirectory makes names durable.
func (d *Directory) SyncDirectory() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}
