package segmentlog

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"os"
	"slices"
	"sync"

	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// diskOperation is a kind of step on the disk, by its name in the recorded histories.
type diskOperation string

// The operations.
const (
	opCreate        diskOperation = "create"
	opWrite         diskOperation = "write"
	opSync          diskOperation = "sync"
	opRemove        diskOperation = "remove"
	opSyncDirectory diskOperation = "names"
)

// diskStep is one thing that was done to the disk, in order.
type diskStep struct {
	operation diskOperation
	name      string
	data      []byte
}

// memoryDisk is a directory in memory that notes each step and fails on demand.
type memoryDisk struct {
	mutex sync.Mutex
	steps []diskStep
	files map[string][]byte
	fail  func(operation diskOperation) error // nil for a disk that works
}

func newMemoryDisk() *memoryDisk { return &memoryDisk{files: map[string][]byte{}} }

// failWith has operations fail where the function returns an error.
func (d *memoryDisk) failWith(fail func(operation diskOperation) error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fail = fail
}

func (d *memoryDisk) apply(step diskStep) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.fail != nil {
		if err := d.fail(step.operation); err != nil {
			if step.operation == opWrite { // a part of it may be there
				d.files[step.name] = append(d.files[step.name], step.data[:len(step.data)/2]...)
			}
			return err
		}
	}
	d.steps = append(d.steps, step)
	switch step.operation {
	case opCreate:
		if _, exists := d.files[step.name]; exists {
			return os.ErrExist
		}
		d.files[step.name] = nil
	case opWrite:
		d.files[step.name] = append(d.files[step.name], step.data...)
	case opRemove:
		delete(d.files, step.name)
	}
	return nil
}

func (d *memoryDisk) count() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.steps)
}

func (d *memoryDisk) List() ([]string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

func (d *memoryDisk) Open(name string) (io.ReadCloser, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return io.NopCloser(bytes.NewReader(bytes.Clone(d.files[name]))), nil
}

func (d *memoryDisk) Create(name string) (SegmentFile, error) {
	if err := d.apply(diskStep{operation: opCreate, name: name}); err != nil {
		return nil, err
	}
	return &memoryFile{d, name}, nil
}

func (d *memoryDisk) Remove(name string) error {
	return d.apply(diskStep{operation: opRemove, name: name})
}

func (d *memoryDisk) SyncDirectory() error { return d.apply(diskStep{operation: opSyncDirectory}) }

type memoryFile struct {
	disk *memoryDisk
	name string
}

func (f *memoryFile) Write(data []byte) (int, error) {
	if err := f.disk.apply(diskStep{operation: opWrite, name: f.name, data: bytes.Clone(data)}); err != nil {
		return 0, err
	}
	return len(data), nil
}

func (f *memoryFile) Sync() error { return f.disk.apply(diskStep{operation: opSync, name: f.name}) }

func (f *memoryFile) Close() error { return nil }

var errDisk = errors.New("input/output error")

// crashedDisk returns the disk as a crash after these steps leaves it. Of the unsynced writes, which are numbered from
// 0, those survive that the function says.
func crashedDisk(steps []diskStep, survives func(unsynced int) bool) *memoryDisk {
	disk := newMemoryDisk()
	unsynced := 0
	for i, step := range steps {
		switch step.operation {
		case opCreate:
			disk.files[step.name] = nil
		case opWrite:
			data := step.data
			if !isSynced(steps, i) {
				if !survives(unsynced) {
					// The file is as long as it would be, with zeros, where a later write is there; else it ends
					// before.
					data = make([]byte, len(step.data))
				}
				unsynced++
			}
			disk.files[step.name] = append(disk.files[step.name], data...)
		case opRemove:
			delete(disk.files, step.name)
		}
	}
	return disk
}

// isSynced reports whether a later step syncs the file of a write.
func isSynced(steps []diskStep, write int) bool {
	return slices.ContainsFunc(steps[write+1:], func(later diskStep) bool {
		return later.operation == opSync && later.name == steps[write].name
	})
}

// testClock is a clock that moves by a tick with each look at it, and that a test moves further.
type testClock struct {
	mutex   sync.Mutex
	reading recovery.ClockReading
}

func newTestClock() *testClock { return &testClock{reading: firstReading} }

// later returns another clock, which has moved on, perhaps with another boot.
func (c *testClock) later(wall, monotonic timeunit.Ticks, bootID uint64) *testClock {
	reading := c.now()
	reading.Wall += wall
	reading.Monotonic += monotonic
	reading.BootID = bootID
	return &testClock{reading: reading}
}

func (c *testClock) now() recovery.ClockReading {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading.Wall++
	c.reading.Monotonic++
	return c.reading
}

// moveWall sets the wall clock forward.
func (c *testClock) moveWall(by timeunit.Ticks) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading.Wall += by
}
