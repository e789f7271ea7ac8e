package segmentlog

import (
	"errors"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sys/unix"

	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// Terms are how a store is kept.
type Terms struct {
	Mode     recovery.Mode
	Bytes    int64
	Records  int
	Segment  int64          // a new one is begun beyond
	Window   timeunit.Ticks // the longest of all categories
	Doubt    timeunit.Ticks
	Most     int  // stamps that can be remembered
	Fresh    bool // an empty directory is as it should be
	Now      func() recovery.Clock
	Answered func(done []Done) // called by the writer: what became of what was put
}

// Done is what became of a record.
type Done struct {
	Tag uint64 // as it was put
	Err error  // it is not durable, and never will be
}

const (
	queued     = 1024 // records that wait for the writer
	batch      = 256  // of which so many are written at once
	retryFirst = 100 * time.Millisecond
	retryMost  = 5 * time.Second
)

// ErrFull: there is no room, or the queue is.
var ErrFull = errors.New("the store is full")

// ErrIll: the disk refused a write; the store is trying to begin a new segment.
var ErrIll = errors.New("the store cannot be written")

// Store is one that is open. Put and Close may be called by one goroutine, the loop.
type Store struct {
	Scanned
	terms Terms
	files Files
	queue chan entry
	ended chan struct{}

	lock  sync.Mutex // of what the writer and the loop share, never held over the disk
	room  recovery.Room
	ill   error
	again time.Time // when the next intent may try a new segment
}

type entry struct {
	record   recovery.Record
	tag      uint64
	promised int64
}

// Open scans the directory, concludes, and begins a segment of its own.
func Open(files Files, t Terms) (*Store, error) {
	now := t.Now()
	s := &Store{terms: t, files: files, queue: make(chan entry, queued), ended: make(chan struct{})}
	recovered := recovery.NewRecovery(recovery.Terms{Window: t.Window, Doubt: t.Doubt, Most: t.Most}, now)
	var err error
	if s.Scanned, err = Scan(files, recovered, now, t.Fresh, nil); err != nil {
		return nil, err
	}
	s.room = s.Scanned.room
	s.room.Most, s.room.Records = t.Bytes, t.Records
	w := &writer{Store: s}
	if err := w.begin(); err != nil {
		return nil, err
	}
	go w.run()
	return s, nil
}

// Intend puts an intent, with room for the result that must follow it. An error is at once: nothing was put.
func (s *Store) Intend(r recovery.Record, tag uint64) error {
	intent, result := sizeOf(recovery.Intent, len(r.Key), 0), sizeOf(recovery.Result, len(r.Key), mostResult/2)
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.ill != nil && time.Now().Before(s.again) {
		return s.ill
	}
	if len(s.queue) >= queued/2 || !s.room.Promise(intent, result) {
		select {
		case s.queue <- entry{}: // that the writer looks what may go
		default:
		}
		return ErrFull
	}
	r.Kind = recovery.Intent
	s.queue <- entry{r, tag, intent}
	return nil
}

// Conclude puts what became of an intent: a result, or that it never began. Its room was promised; half of the queue is kept
// for these. It is not waited for.
func (s *Store) Conclude(r recovery.Record, tag uint64) {
	if len(r.Result) > mostResult/2 {
		r.Result, r.Well = nil, false
	}
	select {
	case s.queue <- entry{r, tag, sizeOf(recovery.Result, len(r.Key), mostResult/2)}:
	default: // more ended at once than were ever let in: a repeat will be broken off after a restart
		s.lock.Lock()
		s.room.Return(sizeOf(recovery.Result, len(r.Key), mostResult/2))
		s.lock.Unlock()
	}
}

// Learn puts a snapshot, where there is time and room for it.
func (s *Store) Learn(snapshot []byte) {
	if len(snapshot) > mostResult/2 || len(s.queue) > 0 {
		return
	}
	select {
	case s.queue <- entry{record: recovery.Record{Kind: recovery.Learnt, Result: snapshot}}:
	default:
	}
}

// Figures are what it holds.
func (s *Store) Figures() (used, promised int64, records int, ill error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	used, promised, records = s.room.Figures()
	return used, promised, records, s.ill
}

// Close has the writer write all that was put and say that the life ended in order. Ended is closed after that.
func (s *Store) Close() { close(s.queue) }

// Ended is closed when the writer is through.
func (s *Store) Ended() <-chan struct{} { return s.ended }

// writer is the one goroutine that touches the disk.
type writer struct {
	*Store
	file  File
	text  []byte
	until timeunit.Ticks
	wait  time.Duration
}

// begin begins a segment: its header is durable before anything is put in it.
func (w *writer) begin() error {
	w.lock.Lock()
	_, _, before := w.room.Newest()
	w.lock.Unlock()
	id := w.next
	w.next++
	f, err := w.files.Create(nameOf(id))
	if err != nil {
		return err
	}
	text := head{mode: w.terms.Mode, id: id, before: before, at: w.terms.Now()}.append(nil)
	if _, err = f.Write(text); err == nil && w.terms.Mode == recovery.Machine {
		if err = f.Sync(); err == nil {
			err = w.files.SyncNames()
		}
	}
	if err != nil {
		f.Close()
		_ = w.files.Remove(nameOf(id))
		return err
	}
	if w.file != nil {
		w.file.Close()
	}
	w.file = f
	w.lock.Lock()
	w.room.Begin(id, int64(len(text)))
	w.lock.Unlock()
	return nil
}

func (w *writer) run() {
	defer close(w.ended)
	for first := range w.queue {
		group := append(make([]entry, 0, batch), first)
	more:
		for len(group) < batch {
			select {
			case e, open := <-w.queue:
				if !open {
					break more
				}
				group = append(group, e)
			default:
				break more
			}
		}
		group = slices.DeleteFunc(group, func(e entry) bool { return e.record.Kind == 0 })
		if len(group) > 0 {
			w.write(group)
		}
		w.age()
	}
	if w.file != nil {
		w.put([]entry{{record: recovery.Record{Kind: recovery.Closed}}})
		w.file.Close()
	}
}

// write writes a group and tells what became of it.
func (w *writer) write(group []entry) {
	err := w.ready()
	if err == nil {
		err = w.put(group)
	}
	done := make([]Done, len(group))
	for i, e := range group {
		done[i] = Done{Tag: e.tag, Err: err}
		if err != nil && e.record.Kind == recovery.Intent { // it will not be run: the promise for its result goes too
			w.lock.Lock()
			w.room.Return(e.promised + sizeOf(recovery.Result, len(e.record.Key), mostResult/2))
			w.lock.Unlock()
		} else if err != nil {
			w.lock.Lock()
			w.room.Return(e.promised)
			w.lock.Unlock()
		}
	}
	if w.terms.Answered != nil {
		w.terms.Answered(done)
	}
}

// ready begins a segment where the last is full, or was given up.
func (w *writer) ready() error {
	w.lock.Lock()
	ill := w.ill
	_, bytes, _ := w.room.Newest()
	w.lock.Unlock()
	if ill == nil && bytes < w.terms.Segment {
		return nil
	}
	if err := w.begin(); err != nil {
		return w.fail(err)
	}
	w.lock.Lock()
	w.ill = nil
	w.lock.Unlock()
	w.wait = 0
	return nil
}

// fail gives the segment up: whatever a later sync says, what was in it is not known to be durable.
func (w *writer) fail(err error) error {
	w.wait = min(max(retryFirst, 2*w.wait), retryMost)
	ill := errors.Join(ErrIll, err)
	w.lock.Lock()
	w.ill, w.again = ill, time.Now().Add(w.wait)
	w.lock.Unlock()
	return ill
}

func (w *writer) put(group []entry) error {
	now := w.terms.Now()
	w.text = w.text[:0]
	for i := range group {
		group[i].record.At = now
		w.text = appendRecord(w.text, &group[i].record)
	}
	if _, err := w.file.Write(w.text); err != nil {
		return w.fail(err)
	}
	if w.terms.Mode == recovery.Machine {
		if err := w.file.Sync(); err != nil {
			return w.fail(err)
		}
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, e := range group {
		w.room.Wrote(sizeOf(e.record.Kind, len(e.record.Key), len(e.record.Result)), e.promised, e.record.Until)
	}
	return nil
}

// age removes segments that no repeat needs.
func (w *writer) age() {
	now := w.terms.Now().Wall - w.terms.Doubt
	w.lock.Lock()
	_, bytes, until := w.room.Newest()
	used, _, _ := w.room.Figures()
	ill := w.ill
	w.lock.Unlock()
	if ill == nil && bytes > headerSize && until <= now && used > w.terms.Bytes/2 {
		if err := w.begin(); err != nil { // so that this one can go too
			_ = w.fail(err)
		}
	}
	w.lock.Lock()
	gone := w.room.Aged(now)
	w.lock.Unlock()
	for _, id := range gone {
		_ = w.files.Remove(nameOf(id)) // what stays is aged out at the next start
	}
}

// MachineClock reads the machine's clocks.
func MachineClock() recovery.Clock {
	c := recovery.Clock{Wall: timeunit.Ticks(time.Now().UnixMicro() / 100)}
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) == nil {
		c.Mono = timeunit.Ticks(ts.Nano() / 100_000)
	}
	if text, err := os.ReadFile("/proc/sys/kernel/random/boot_id"); err == nil {
		c.Boot = xxh3.HashString(strings.TrimSpace(string(text)))
	}
	return c
}
