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

// diskOperation is a kind of disk step. Its values are recorded in the golden files.
type diskOperation string

// Kinds of disk steps.
const (
	opCreate        diskOperation = "create"
	opWrite         diskOperation = "write"
	opSync          diskOperation = "sync"
	opRemove        diskOperation = "remove"
	opSyncDirectory diskOperation = "names"
)

// diskStep is one operation that was applied to the disk.
type diskStep struct {
	operation diskOperation
	name      string
	data      []byte
}

// memoryDisk is a Storage in memory that records each step and returns errors on demand.
type memoryDisk struct {
	mutex          sync.Mutex
	steps          []diskStep
	files          map[string][]byte
	operationError func(operation diskOperation) error // the function that failWith set; nil if no operation fails
}

func newMemoryDisk() *memoryDisk { return &memoryDisk{files: map[string][]byte{}} }

// failWith makes operations fail with the error that the function returns for them. A nil function lets all succeed.
func (d *memoryDisk) failWith(fail func(operation diskOperation) error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.operationError = fail
}

// apply records a step and applies it to the files. A step that fails is not recorded.
func (d *memoryDisk) apply(step diskStep) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.operationError != nil {
		if err := d.operationError(step.operation); err != nil {
			if step.operation == opWrite { // a failed write may leave a part of its data in the file
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

// stepCount returns the number of steps so far.
func (d *memoryDisk) stepCount() int {
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

// memoryFile is a segment of a memoryDisk that is open for writing.
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

// crashedDisk returns the disk as a crash after the given steps leaves it. Unsynced writes are numbered from 0; the
// function reports which of them survive.
func crashedDisk(steps []diskStep, survives func(unsynced int) bool) *memoryDisk {
	disk := newMemoryDisk()
	unsyncedWrites := 0
	for i, step := range steps {
		switch step.operation {
		case opCreate:
			disk.files[step.name] = nil
		case opWrite:
			data := step.data
			if !isSynced(steps, i) {
				if !survives(unsyncedWrites) {
					// The lost write leaves zeros, so that the file keeps its length in case a later write
					// survives.
					data = make([]byte, len(step.data))
				}
				unsyncedWrites++
			}
			disk.files[step.name] = append(disk.files[step.name], data...)
		case opRemove:
			delete(disk.files, step.name)
		}
	}
	return disk
}

// isSynced reports whether a later step syncs the file of the write at the given index.
func isSynced(steps []diskStep, writeIndex int) bool {
	return slices.ContainsFunc(steps[writeIndex+1:], func(later diskStep) bool {
		return later.operation == opSync && later.name == steps[writeIndex].name
	})
}

// testClock is a clock that advances by one tick each time it is read. A test can set its wall clock forward.
type testClock struct {
	mutex   sync.Mutex
	reading recovery.ClockReading
}

func newTestClock() *testClock { return &testClock{reading: initialClockReading} }

// later returns a new clock that is ahead of this one by the given times and has the given boot id.
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

// advanceWall sets the wall clock forward without changing the monotonic clock.
func (c *testClock) advanceWall(by timeunit.Ticks) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.reading.Wall += by
}
