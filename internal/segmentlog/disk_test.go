package segmentlog

import (
	"bytes"
	"errors"
	"io"
	"os"
	"slices"
	"sync"

	"thistlequay/internal/recovery"
)

// diskStep is one thing that was done to the disk, in order.
type diskStep struct {
	operation string // create, write, sync, names, remove
	name      string
	data      []byte
}

// memoryDisk is a directory in memory that notes each step and fails on demand.
type memoryDisk struct {
	mutex sync.Mutex
	steps []diskStep
	files map[string][]byte
	fail  func(what string, n int) error // by the number of the step
	stall chan struct{}                  // syncs wait for it, where there is one
}

func newMemoryDisk() *memoryDisk { return &memoryDisk{files: map[string][]byte{}} }

func (d *memoryDisk) apply(s diskStep) error {
	d.mutex.Lock()
	stall := d.stall
	d.mutex.Unlock()
	if stall != nil && s.operation == "sync" {
		<-stall
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.fail != nil {
		if err := d.fail(s.operation, len(d.steps)); err != nil {
			if s.operation == "write" { // a part of it may be there
				d.files[s.name] = append(d.files[s.name], s.data[:len(s.data)/2]...)
			}
			return err
		}
	}
	d.steps = append(d.steps, s)
	switch s.operation {
	case "create":
		if _, there := d.files[s.name]; there {
			return os.ErrExist
		}
		d.files[s.name] = nil
	case "write":
		d.files[s.name] = append(d.files[s.name], s.data...)
	case "remove":
		delete(d.files, s.name)
	}
	return nil
}

func (d *memoryDisk) count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.steps)
}

func (d *memoryDisk) List() (names []string, _ error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (d *memoryDisk) Open(name string) (io.ReadCloser, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return io.NopCloser(bytes.NewReader(bytes.Clone(d.files[name]))), nil
}

func (d *memoryDisk) Create(name string) (SegmentFile, error) {
	if err := d.apply(diskStep{operation: "create", name: name}); err != nil {
		return nil, err
	}
	return &memoryFile{d, name}, nil
}
func (d *memoryDisk) Remove(name string) error {
	return d.apply(diskStep{operation: "remove", name: name})
}
func (d *memoryDisk) SyncDirectory() error { return d.apply(diskStep{operation: "names"}) }

type memoryFile struct {
	disk *memoryDisk
	name string
}

func (f *memoryFile) Write(b []byte) (int, error) {
	if err := f.disk.apply(diskStep{operation: "write", name: f.name, data: bytes.Clone(b)}); err != nil {
		return 0, err
	}
	return len(b), nil
}
func (f *memoryFile) Sync() error  { return f.disk.apply(diskStep{operation: "sync", name: f.name}) }
func (f *memoryFile) Close() error { return nil }

var errDisk = errors.New("input/output error")

// crashedDisk gives the directory as it is after the first n steps, where writes that no sync made sure of are taken as lost says:
// by the number of the write among those.
func crashedDisk(steps []diskStep, n int, lost func(unsynced int) (keep bool)) *memoryDisk {
	d := newMemoryDisk()
	synced := make([]bool, n)
	for i := range n { // what a later sync of the same file covers is there
		if steps[i].operation != "write" {
			synced[i] = true
			continue
		}
		for j := i + 1; j < n; j++ {
			if steps[j].operation == "sync" && steps[j].name == steps[i].name {
				synced[i] = true
			}
		}
	}
	unsynced := 0
	for i, s := range steps[:n] {
		switch s.operation {
		case "create":
			d.files[s.name] = nil
		case "write":
			if !synced[i] {
				if unsynced++; !lost(unsynced - 1) {
					// The file is as long as it would be, with zeros, where a later write is there; else it ends before.
					d.files[s.name] = append(d.files[s.name], make([]byte, len(s.data))...)
					continue
				}
			}
			d.files[s.name] = append(d.files[s.name], s.data...)
		case "remove":
			delete(d.files, s.name)
		}
	}
	return d
}

// testClock is a clock that a test moves: life n begins where the one before ended.
type testClock struct {
	mutex   sync.Mutex
	reading recovery.ClockReading
}

func (a *testClock) now() recovery.ClockReading {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.reading.Wall++
	a.reading.Monotonic++
	return a.reading
}
