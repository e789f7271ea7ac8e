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

// step is one thing that was done to the disk, in order.
type step struct {
	what string // create, write, sync, names, remove
	name string
	data []byte
}

// disk is a directory in memory that notes each step and fails on demand.
type disk struct {
	lock  sync.Mutex
	steps []step
	files map[string][]byte
	fail  func(what string, n int) error // by the number of the step
	stall chan struct{}                  // syncs wait for it, where there is one
}

func newDisk() *disk { return &disk{files: map[string][]byte{}} }

func (d *disk) do(s step) error {
	d.lock.Lock()
	stall := d.stall
	d.lock.Unlock()
	if stall != nil && s.what == "sync" {
		<-stall
	}
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.fail != nil {
		if err := d.fail(s.what, len(d.steps)); err != nil {
			if s.what == "write" { // a part of it may be there
				d.files[s.name] = append(d.files[s.name], s.data[:len(s.data)/2]...)
			}
			return err
		}
	}
	d.steps = append(d.steps, s)
	switch s.what {
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

func (d *disk) count() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return len(d.steps)
}

func (d *disk) List() (names []string, _ error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (d *disk) Open(name string) (io.ReadCloser, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	return io.NopCloser(bytes.NewReader(bytes.Clone(d.files[name]))), nil
}

func (d *disk) Create(name string) (File, error) {
	if err := d.do(step{what: "create", name: name}); err != nil {
		return nil, err
	}
	return &diskFile{d, name}, nil
}
func (d *disk) Remove(name string) error { return d.do(step{what: "remove", name: name}) }
func (d *disk) SyncNames() error         { return d.do(step{what: "names"}) }

type diskFile struct {
	d    *disk
	name string
}

func (f *diskFile) Write(b []byte) (int, error) {
	if err := f.d.do(step{what: "write", name: f.name, data: bytes.Clone(b)}); err != nil {
		return 0, err
	}
	return len(b), nil
}
func (f *diskFile) Sync() error  { return f.d.do(step{what: "sync", name: f.name}) }
func (f *diskFile) Close() error { return nil }

var errDisk = errors.New("input/output error")

// after gives the directory as it is after the first n steps, where writes that no sync made sure of are taken as lost says:
// by the number of the write among those.
func after(steps []step, n int, lost func(unsynced int) (keep bool)) *disk {
	d := newDisk()
	synced := make([]bool, n)
	for i := range n { // what a later sync of the same file covers is there
		if steps[i].what != "write" {
			synced[i] = true
			continue
		}
		for j := i + 1; j < n; j++ {
			if steps[j].what == "sync" && steps[j].name == steps[i].name {
				synced[i] = true
			}
		}
	}
	unsynced := 0
	for i, s := range steps[:n] {
		switch s.what {
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

// at is a clock that a test moves: life n begins where the one before ended.
type at struct {
	lock sync.Mutex
	c    recovery.Clock
}

func (a *at) now() recovery.Clock {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.c.Wall++
	a.c.Mono++
	return a.c
}
