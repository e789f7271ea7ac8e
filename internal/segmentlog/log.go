// Package segmentlog stores the records of package recovery on disk, in append-only segments with checksums. A segment
// is removed as a whole once no retry needs its records.
//
// Scan reads the segments at the start of a process. A Log appends records. Only its writer goroutine accesses the
// disk, so that the event loop never waits for I/O. The package must never report a record as durable that is not, nor
// treat a failed write or sync as done because a later one succeeded.
package segmentlog

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// Config holds the parameters of a Log. All fields but AllowEmpty and OnWritten are required.
type Config struct {
	// Durability is the kind of failure that an acknowledged record survives.
	Durability recovery.Durability
	// MaxBytes limits the stored bytes, including the space that is reserved for completions. MaxRecords limits the
	// number of stored records.
	MaxBytes   int64
	MaxRecords int
	// SegmentBytes is the size at which a segment is full and the writer starts the next one.
	SegmentBytes int64
	// MaxWindow is the longest deduplication window of all request categories.
	MaxWindow timeunit.Ticks
	// ClockUncertainty is by how much the wall clock may be wrong after a reboot of the machine.
	ClockUncertainty timeunit.Ticks
	// MaxOutcomes is the maximum number of outcomes that are kept in memory.
	MaxOutcomes int
	// AllowEmpty means that an empty directory is not treated as data loss. It is set for the first start.
	AllowEmpty bool
	// Now reads the clocks. It is MachineClock except in tests. Open and the writer call it.
	Now func() recovery.ClockReading
	// OnWritten receives the results of appended records. The writer goroutine calls it, so it must return quickly and
	// pass the results to the event loop.
	OnWritten func(results []WriteResult)
}

// WriteResult is the result of writing an appended record.
type WriteResult struct {
	Tag uint64 // the tag that was passed with the record
	Err error  // if not nil, the record must not be treated as durable, now or later
}

const (
	// queueCapacity is the number of records that may wait for the writer. Intents may use only half of it, so that
	// there is room for completions.
	queueCapacity = 1024
	// maxBatch is the maximum number of records that share one write and one sync.
	maxBatch = 256
)

// Limits of the backoff after a write error. The delay before the writer tries a new segment doubles with each error.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// ErrFull is returned by AppendIntent if the space of the store, or the part of the queue for intents, is exhausted.
var ErrFull = errors.New("the store is full")

// ErrShuttingDown is the error of intents that still wait for the disk when BeginShutdown no longer allows them.
var ErrShuttingDown = errors.New("the process shuts down")

// ErrUnavailable reports that a write to the disk failed. After a backoff the log continues with a new segment.
var ErrUnavailable = errors.New("the store cannot be written")

// Log is an open store. AppendIntent, AppendCompletion, AppendWarmStart and Close must all be called from the same
// goroutine, the event loop.
type Log struct {
	ScanResult // the state that Open found

	config  Config
	storage Storage
	queue   chan queuedRecord
	done    chan struct{} // closed when the writer goroutine has ended

	intentsUntil atomic.Pointer[time.Time] // set by BeginShutdown; nil before

	mutex    sync.Mutex // guards the fields below; never held during I/O
	space    recovery.Space
	writeErr error     // the error of the last write; nil if it succeeded
	retryAt  time.Time // if writeErr is set: when the next intent may try a new segment
}

// queuedRecord is a record that waits for the writer. A record without a kind is not written and only wakes the writer.
type queuedRecord struct {
	record        recovery.Record
	tag           uint64
	reservedBytes int64
}

func (q queuedRecord) isIntent() bool { return q.record.Kind == recovery.KindIntent }

// Open scans the storage, recovers the state of earlier processes and starts a new segment. The caller must call Close
// and wait for Done to end the log.
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

// AppendIntent appends an intent record and reserves space for its completion. After an error nothing was appended; the
// error is ErrFull or wraps ErrUnavailable. Otherwise OnWritten reports later whether the record became durable.
func (l *Log) AppendIntent(record recovery.Record, tag uint64) error {
	intentBytes := recordSize(recovery.KindIntent, len(record.Key), 0)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.writeErr != nil && time.Now().Before(l.retryAt) {
		return l.writeErr
	}
	if len(l.queue) >= queueCapacity/2 || !l.space.Reserve(intentBytes, reservedCompletionSize(record.Key)) {
		l.wakeWriter()
		return ErrFull
	}
	record.Kind = recovery.KindIntent
	l.queue <- queuedRecord{record: record, tag: tag, reservedBytes: intentBytes}
	return nil
}

// wakeWriter makes the writer remove segments that are no longer needed. If the queue is full, the writer is active
// anyway.
func (l *Log) wakeWriter() {
	select {
	case l.queue <- queuedRecord{}:
	default:
	}
}

// AppendCompletion appends the completion or the cancellation of an intent. The space for it was reserved with the
// intent. A result of more than maxStoredBytes is not stored, and a retry is rejected after a restart.
func (l *Log) AppendCompletion(record recovery.Record, tag uint64) {
	if len(record.Payload) > maxStoredBytes {
		record.Payload = nil
		record.Succeeded = false
	}
	reserved := reservedCompletionSize(record.Key)
	select {
	case l.queue <- queuedRecord{record: record, tag: tag, reservedBytes: reserved}:
	default:
		// More requests ended at once than the queue has room for. The record is dropped, and a retry is rejected
		// after a restart.
		l.mutex.Lock()
		l.space.Release(reserved)
		l.mutex.Unlock()
	}
}

// AppendWarmStart appends an encoded warm-start state. It drops a state that is longer than maxStoredBytes or that
// would wait behind other records.
func (l *Log) AppendWarmStart(state []byte) {
	if len(state) > maxStoredBytes || len(l.queue) > 0 {
		return
	}
	select {
	case l.queue <- queuedRecord{record: recovery.Record{Kind: recovery.KindWarmStart, Payload: state}}:
	default:
	}
}

// Usage returns the used and the reserved bytes, the number of records, and the error of the last write, or nil if it
// succeeded.
func (l *Log) Usage() (usedBytes, reservedBytes int64, records int, writeErr error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	usedBytes, reservedBytes, records = l.space.Usage()
	return usedBytes, reservedBytes, records, l.writeErr
}

// BeginShutdown prepares the log for the exit of the process, which the operating system delays for as long as a sync
// is in progress, however long the disk takes: it does not interrupt a sync, not even to kill the process. From now on
// the writer syncs only batches that contain an intent, and from intentsUntil on it drops waiting intents with the
// error ErrShuttingDown. Records that are written without a sync survive the exit of the process. If the machine
// crashes before it has written them to the disk, retries of their requests are aborted.
func (l *Log) BeginShutdown(intentsUntil time.Time) { l.intentsUntil.Store(&intentsUntil) }

// isShuttingDown reports whether BeginShutdown has been called.
func (l *Log) isShuttingDown() bool { return l.intentsUntil.Load() != nil }

// acceptsIntents reports whether intents may still be written.
func (l *Log) acceptsIntents() bool {
	intentsUntil := l.intentsUntil.Load()
	return intentsUntil == nil || time.Now().Before(*intentsUntil)
}

// Close makes the writer write all appended records and then a shutdown record. It does not wait: the channel of Done
// is closed when the writer has ended. Nothing may be appended after Close.
func (l *Log) Close() { close(l.queue) }

// Done returns a channel that is closed when the writer has ended.
func (l *Log) Done() <-chan struct{} { return l.done }
