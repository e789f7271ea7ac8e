// Package segmentlog stores the records of package recovery in segments on a disk: appended, with checksums, whole
// segments removed once no retry needs their records.
//
// Scan reads the segments at a start. A Log appends; its writer goroutine is the only one that touches the disk, so
// that the event loop never waits for it. It must never report a record as durable that is not, nor take a failed write
// or sync for done because a later one succeeded.
package segmentlog

import (
	"errors"
	"sync"
	"time"

	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// Config holds the parameters of a Log. All fields but AllowEmpty and OnWritten are required.
type Config struct {
	// Durability is what an acknowledged record survives.
	Durability recovery.Durability
	// MaxBytes and MaxRecords bound what is stored, space reserved for completions included.
	MaxBytes   int64
	MaxRecords int
	// SegmentBytes is the size from which on another segment is begun.
	SegmentBytes int64
	// MaxWindow is the longest deduplication window of all request categories.
	MaxWindow timeunit.Ticks
	// ClockUncertainty is by how much the wall clock may be off after a restart of the machine.
	ClockUncertainty timeunit.Ticks
	// MaxOutcomes is the number of outcomes that memory has room for.
	MaxOutcomes int
	// AllowEmpty says that an empty directory is no loss, as at the first start.
	AllowEmpty bool
	// Now reads the clocks; MachineClock outside of tests. Open and the writer call it.
	Now func() recovery.ClockReading
	// OnWritten is notified of what became of appended records. The writer calls it, so it must be fast and hand over
	// to the event loop.
	OnWritten func(results []WriteResult)
}

// WriteResult is what became of an appended record.
type WriteResult struct {
	Tag uint64 // as given with the record
	Err error  // where it is set, the record isn't durable and never will be
}

const (
	// queueCapacity is the number of records that may wait for the writer. Intents may take half of it, so that
	// completions find room.
	queueCapacity = 1024
	// maxBatch is the number of records that share one write and one sync.
	maxBatch = 256
)

// Backoff after a write error: the delay until another segment is tried doubles between these.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// ErrFull reports that the space or the queue is full.
var ErrFull = errors.New("the store is full")

// ErrUnavailable reports that the disk refused a write. The log goes on with a new segment after a backoff.
var ErrUnavailable = errors.New("the store cannot be written")

// Log is an open store. AppendIntent, AppendCompletion, AppendWarmStart and Close are for one goroutine, the event
// loop.
type Log struct {
	ScanResult // as of Open

	config  Config
	storage Storage
	queue   chan queuedRecord
	done    chan struct{} // closed when the writer has ended

	mutex   sync.Mutex // guards what follows, which writer and event loop share; never held during I/O
	space   recovery.Space
	failure error     // of the last write, where that failed
	retryAt time.Time // while it failed: when the next intent may try a new segment
}

// queuedRecord is a record that waits for the writer. One without a kind only wakes the writer up.
type queuedRecord struct {
	record        recovery.Record
	tag           uint64
	reservedBytes int64
}

// Open scans the storage, concludes from what it finds and begins a segment of its own. The caller ends the log with
// Close and waits for Done.
func Open(storage Storage, config Config) (*Log, error) {
	now := config.Now()
	analysis := recovery.NewAnalysis(recovery.Config{
		MaxWindow:        config.MaxWindow,
		ClockUncertainty: config.ClockUncertainty,
		MaxOutcomes:      config.MaxOutcomes,
	}, now)
	scan, err := Scan(storage, analysis, now, config.AllowEmpty, nil)
	if err != nil {
		return nil, err
	}
	l := &Log{
		ScanResult: scan,
		config:     config,
		storage:    storage,
		queue:      make(chan queuedRecord, queueCapacity),
		done:       make(chan struct{}),
		space:      scan.space,
	}
	l.space.MaxBytes = config.MaxBytes
	l.space.MaxRecords = config.MaxRecords
	w := &writer{Log: l, batch: make([]queuedRecord, 0, maxBatch)}
	if err := w.startSegment(); err != nil {
		return nil, err
	}
	go w.run()
	return l, nil
}

// AppendIntent appends an intent record and reserves space for its completion. An error means that nothing was
// appended: it is ErrFull, or wraps ErrUnavailable. OnWritten reports later whether the record became durable.
func (l *Log) AppendIntent(record recovery.Record, tag uint64) error {
	intentBytes := recordSize(recovery.KindIntent, len(record.Key), 0)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.failure != nil && time.Now().Before(l.retryAt) {
		return l.failure
	}
	if len(l.queue) >= queueCapacity/2 || !l.space.Reserve(intentBytes, reservedCompletionSize(record.Key)) {
		l.wakeWriter()
		return ErrFull
	}
	record.Kind = recovery.KindIntent
	l.queue <- queuedRecord{record: record, tag: tag, reservedBytes: intentBytes}
	return nil
}

// wakeWriter has the writer remove segments that are no longer needed. A full queue needs no waking.
func (l *Log) wakeWriter() {
	select {
	case l.queue <- queuedRecord{}:
	default:
	}
}

// AppendCompletion appends what became of an intent: its completion, or a cancellation. The space was reserved with the
// intent. The result of a completion that is too long is not stored, and its retry is rejected after a restart.
func (l *Log) AppendCompletion(record recovery.Record, tag uint64) {
	if len(record.Payload) > maxStoredBytes {
		record.Payload = nil
		record.Succeeded = false
	}
	reserved := reservedCompletionSize(record.Key)
	select {
	case l.queue <- queuedRecord{record: record, tag: tag, reservedBytes: reserved}:
	default:
		// More requests ended at once than the queue ever lets in. The record is lost; a retry is rejected after a
		// restart.
		l.mutex.Lock()
		l.space.Release(reserved)
		l.mutex.Unlock()
	}
}

// AppendWarmStart appends an encoded warm-start state, unless it is too long or other records wait.
func (l *Log) AppendWarmStart(state []byte) {
	if len(state) > maxStoredBytes || len(l.queue) > 0 {
		return
	}
	select {
	case l.queue <- queuedRecord{record: recovery.Record{Kind: recovery.KindWarmStart, Payload: state}}:
	default:
	}
}

// Usage returns the bytes used and reserved, the number of records, and the error of the last write, where that failed.
func (l *Log) Usage() (usedBytes, reservedBytes int64, records int, failure error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	usedBytes, reservedBytes, records = l.space.Usage()
	return usedBytes, reservedBytes, records, l.failure
}

// Close has the writer write all that was appended, then a shutdown record. It doesn't wait; Done is closed after that.
// Nothing may be appended afterwards.
func (l *Log) Close() { close(l.queue) }

// Done returns a channel that is closed when the writer has ended.
func (l *Log) Done() <-chan struct{} { return l.done }
