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

// Config are how a store is kept.
type Config struct {
	Durability       recovery.Durability
	MaxBytes         int64
	MaxRecords       int
	SegmentBytes     int64          // a new one is begun beyond
	MaxWindow        timeunit.Ticks // the longest of all categories
	ClockUncertainty timeunit.Ticks
	MaxOutcomes      int  // stamps that can be remembered
	AllowEmpty       bool // an empty directory is as it should be
	Now              func() recovery.ClockReading
	OnWritten        func(done []WriteResult) // called by the writer: what became of what was put
}

// WriteResult is what became of a record.
type WriteResult struct {
	Tag uint64 // as it was put
	Err error  // it is not durable, and never will be
}

const (
	queueCapacity = 1024 // records that wait for the writer
	maxBatch      = 256  // of which so many are written at once
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// ErrFull: there is no room, or the queue is.
var ErrFull = errors.New("the store is full")

// ErrUnavailable: the disk refused a write; the store is trying to begin a new segment.
var ErrUnavailable = errors.New("the store cannot be written")

// Log is one that is open. Put and Close may be called by one goroutine, the loop.
type Log struct {
	ScanResult
	config  Config
	storage Storage
	queue   chan queuedRecord
	done    chan struct{}

	mutex   sync.Mutex // of what the writer and the loop share, never held over the disk
	space   recovery.Space
	failure error
	retryAt time.Time // when the next intent may try a new segment
}

type queuedRecord struct {
	record        recovery.Record
	tag           uint64
	reservedBytes int64
}

// Open scans the directory, concludes, and begins a segment of its own.
func Open(files Storage, t Config) (*Log, error) {
	now := t.Now()
	s := &Log{config: t, storage: files, queue: make(chan queuedRecord, queueCapacity), done: make(chan struct{})}
	recovered := recovery.NewAnalysis(recovery.Config{MaxWindow: t.MaxWindow, ClockUncertainty: t.ClockUncertainty, MaxOutcomes: t.MaxOutcomes}, now)
	var err error
	if s.ScanResult, err = Scan(files, recovered, now, t.AllowEmpty, nil); err != nil {
		return nil, err
	}
	s.space = s.ScanResult.space
	s.space.MaxBytes, s.space.MaxRecords = t.MaxBytes, t.MaxRecords
	w := &writer{Log: s}
	if err := w.startSegment(); err != nil {
		return nil, err
	}
	go w.run()
	return s, nil
}

// AppendIntent puts an intent, with room for the result that must follow it. An error is at once: nothing was put.
func (s *Log) AppendIntent(r recovery.Record, tag uint64) error {
	intent, result := recordSize(recovery.KindIntent, len(r.Key), 0), recordSize(recovery.KindCompletion, len(r.Key), maxPayloadBytes/2)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failure != nil && time.Now().Before(s.retryAt) {
		return s.failure
	}
	if len(s.queue) >= queueCapacity/2 || !s.space.Reserve(intent, result) {
		select {
		case s.queue <- queuedRecord{}: // that the writer looks what may go
		default:
		}
		return ErrFull
	}
	r.Kind = recovery.KindIntent
	s.queue <- queuedRecord{r, tag, intent}
	return nil
}

// AppendCompletion puts what became of an intent: a result, or that it never began. Its room was promised; half of the queue is kept
// for these. It is not waited for.
func (s *Log) AppendCompletion(r recovery.Record, tag uint64) {
	if len(r.Payload) > maxPayloadBytes/2 {
		r.Payload, r.Succeeded = nil, false
	}
	select {
	case s.queue <- queuedRecord{r, tag, recordSize(recovery.KindCompletion, len(r.Key), maxPayloadBytes/2)}:
	default: // more ended at once than were ever let in: a repeat will be broken off after a restart
		s.mutex.Lock()
		s.space.Release(recordSize(recovery.KindCompletion, len(r.Key), maxPayloadBytes/2))
		s.mutex.Unlock()
	}
}

// AppendWarmStart puts a snapshot, where there is time and room for it.
func (s *Log) AppendWarmStart(snapshot []byte) {
	if len(snapshot) > maxPayloadBytes/2 || len(s.queue) > 0 {
		return
	}
	select {
	case s.queue <- queuedRecord{record: recovery.Record{Kind: recovery.KindWarmStart, Payload: snapshot}}:
	default:
	}
}

// Usage are what it holds.
func (s *Log) Usage() (used, promised int64, records int, ill error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	used, promised, records = s.space.Usage()
	return used, promised, records, s.failure
}

// Close has the writer write all that was put and say that the life ended in order. Ended is closed after that.
func (s *Log) Close() { close(s.queue) }

// Done is closed when the writer is through.
func (s *Log) Done() <-chan struct{} { return s.done }

// writer is the one goroutine that touches the disk.
type writer struct {
	*Log
	file       SegmentFile
	buffer     []byte
	until      timeunit.Ticks
	retryDelay time.Duration
}

// startSegment begins a segment: its header is durable before anything is put in it.
func (w *writer) startSegment() error {
	w.mutex.Lock()
	_, _, before := w.space.CurrentSegment()
	w.mutex.Unlock()
	id := w.nextID
	w.nextID++
	f, err := w.storage.Create(segmentName(id))
	if err != nil {
		return err
	}
	text := segmentHeader{durability: w.config.Durability, id: id, previousWindowEnd: before, createdAt: w.config.Now()}.append(nil)
	if _, err = f.Write(text); err == nil && w.config.Durability == recovery.DurabilityMachine {
		if err = f.Sync(); err == nil {
			err = w.storage.SyncDirectory()
		}
	}
	if err != nil {
		f.Close()
		_ = w.storage.Remove(segmentName(id))
		return err
	}
	if w.file != nil {
		w.file.Close()
	}
	w.file = f
	w.mutex.Lock()
	w.space.StartSegment(id, int64(len(text)))
	w.mutex.Unlock()
	return nil
}

func (w *writer) run() {
	defer close(w.done)
	for first := range w.queue {
		group := append(make([]queuedRecord, 0, maxBatch), first)
	more:
		for len(group) < maxBatch {
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
		group = slices.DeleteFunc(group, func(e queuedRecord) bool { return e.record.Kind == 0 })
		if len(group) > 0 {
			w.writeBatch(group)
		}
		w.removeExpired()
	}
	if w.file != nil {
		w.appendBatch([]queuedRecord{{record: recovery.Record{Kind: recovery.KindShutdown}}})
		w.file.Close()
	}
}

// writeBatch writes a group and tells what became of it.
func (w *writer) writeBatch(group []queuedRecord) {
	err := w.ensureSegment()
	if err == nil {
		err = w.appendBatch(group)
	}
	done := make([]WriteResult, len(group))
	for i, e := range group {
		done[i] = WriteResult{Tag: e.tag, Err: err}
		if err != nil && e.record.Kind == recovery.KindIntent { // it will not be run: the promise for its result goes too
			w.mutex.Lock()
			w.space.Release(e.reservedBytes + recordSize(recovery.KindCompletion, len(e.record.Key), maxPayloadBytes/2))
			w.mutex.Unlock()
		} else if err != nil {
			w.mutex.Lock()
			w.space.Release(e.reservedBytes)
			w.mutex.Unlock()
		}
	}
	if w.config.OnWritten != nil {
		w.config.OnWritten(done)
	}
}

// ensureSegment begins a segment where the last is full, or was given up.
func (w *writer) ensureSegment() error {
	w.mutex.Lock()
	ill := w.failure
	_, bytes, _ := w.space.CurrentSegment()
	w.mutex.Unlock()
	if ill == nil && bytes < w.config.SegmentBytes {
		return nil
	}
	if err := w.startSegment(); err != nil {
		return w.noteFailure(err)
	}
	w.mutex.Lock()
	w.failure = nil
	w.mutex.Unlock()
	w.retryDelay = 0
	return nil
}

// noteFailure gives the segment up: whatever a later sync says, what was in it is not known to be durable.
func (w *writer) noteFailure(err error) error {
	w.retryDelay = min(max(minRetryDelay, 2*w.retryDelay), maxRetryDelay)
	ill := errors.Join(ErrUnavailable, err)
	w.mutex.Lock()
	w.failure, w.retryAt = ill, time.Now().Add(w.retryDelay)
	w.mutex.Unlock()
	return ill
}

func (w *writer) appendBatch(group []queuedRecord) error {
	now := w.config.Now()
	w.buffer = w.buffer[:0]
	for i := range group {
		group[i].record.WrittenAt = now
		w.buffer = appendRecord(w.buffer, &group[i].record)
	}
	if _, err := w.file.Write(w.buffer); err != nil {
		return w.noteFailure(err)
	}
	if w.config.Durability == recovery.DurabilityMachine {
		if err := w.file.Sync(); err != nil {
			return w.noteFailure(err)
		}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, e := range group {
		w.space.CommitWrite(recordSize(e.record.Kind, len(e.record.Key), len(e.record.Payload)), e.reservedBytes, e.record.WindowEnd)
	}
	return nil
}

// removeExpired removes segments that no repeat needs.
func (w *writer) removeExpired() {
	now := w.config.Now().Wall - w.config.ClockUncertainty
	w.mutex.Lock()
	_, bytes, until := w.space.CurrentSegment()
	used, _, _ := w.space.Usage()
	ill := w.failure
	w.mutex.Unlock()
	if ill == nil && bytes > headerSize && until <= now && used > w.config.MaxBytes/2 {
		if err := w.startSegment(); err != nil { // so that this one can go too
			_ = w.noteFailure(err)
		}
	}
	w.mutex.Lock()
	gone := w.space.RemoveExpired(now)
	w.mutex.Unlock()
	for _, id := range gone {
		_ = w.storage.Remove(segmentName(id)) // what stays is aged out at the next start
	}
}

// MachineClock reads the machine's clocks.
func MachineClock() recovery.ClockReading {
	c := recovery.ClockReading{Wall: timeunit.Ticks(time.Now().UnixMicro() / 100)}
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) == nil {
		c.Monotonic = timeunit.Ticks(ts.Nano() / 100_000)
	}
	if text, err := os.ReadFile("/proc/sys/kernel/random/boot_id"); err == nil {
		c.BootID = xxh3.HashString(strings.TrimSpace(string(text)))
	}
	return c
}
