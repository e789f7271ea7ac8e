package segmentlog

import (
	"errors"
	"slices"
	"time"

	"thistlequay/internal/recovery"
)

// writer is the goroutine that writes. After Open nothing else touches the disk.
type writer struct {
	*Log
	file       SegmentFile    // the current segment
	batch      []queuedRecord // reused
	buffer     []byte         // the encoded batch, reused
	retryDelay time.Duration
}

// run writes what was appended until the queue is closed and empty.
func (w *writer) run() {
	defer close(w.done)
	for first := range w.queue {
		batch := w.collectBatch(first)
		if len(batch) > 0 {
			w.writeBatch(batch)
		}
		clear(batch) // so that no payload is kept alive
		w.removeExpired()
	}
	if w.file != nil {
		// Where this fails, the next start finds no clean shutdown and rejects more than it need.
		_ = w.appendBatch([]queuedRecord{{record: recovery.Record{Kind: recovery.KindShutdown}}})
		_ = w.file.Close() // what had to be durable was synced
	}
}

// collectBatch returns the given record and those that wait behind it, without those that only wake the writer up. The
// batch is valid until the next call.
func (w *writer) collectBatch(first queuedRecord) []queuedRecord {
	batch := append(w.batch[:0], first)
	for isOpen := true; isOpen && len(batch) < maxBatch; {
		select {
		case next, received := <-w.queue:
			isOpen = received
			if received {
				batch = append(batch, next)
			}
		default:
			isOpen = false
		}
	}
	return slices.DeleteFunc(batch, func(queued queuedRecord) bool { return queued.record.Kind == 0 })
}

// writeBatch writes a batch and reports what became of it. Where that failed, the reserved space is released.
func (w *writer) writeBatch(batch []queuedRecord) {
	err := w.ensureSegment()
	if err == nil {
		err = w.appendBatch(batch)
	}
	if err != nil {
		w.releaseBatch(batch)
	}
	if w.config.OnWritten == nil {
		return
	}
	results := make([]WriteResult, len(batch))
	for i := range batch {
		results[i] = WriteResult{Tag: batch[i].tag, Err: err}
	}
	w.config.OnWritten(results)
}

// releaseBatch releases what was reserved for records that were not written.
func (w *writer) releaseBatch(batch []queuedRecord) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i := range batch {
		queued := &batch[i]
		w.space.Release(queued.reservedBytes)
		if queued.record.Kind == recovery.KindIntent { // its request won't run, so no completion follows
			w.space.Release(reservedCompletionSize(queued.record.Key))
		}
	}
}

// ensureSegment begins a segment where the current one is full or was abandoned after an error.
func (w *writer) ensureSegment() error {
	w.mutex.Lock()
	failure := w.failure
	_, bytes, _ := w.space.CurrentSegment()
	w.mutex.Unlock()
	if failure == nil && bytes < w.config.SegmentBytes {
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

// startSegment creates the next segment and writes its header, which is durable before any record follows. The segment
// before is closed. After an error the one before stays the current one.
func (w *writer) startSegment() error {
	w.mutex.Lock()
	_, _, previousWindowEnd := w.space.CurrentSegment()
	w.mutex.Unlock()
	id := w.nextID
	w.nextID++
	name := segmentName(id)
	file, err := w.storage.Create(name)
	if err != nil {
		return err
	}
	header := segmentHeader{
		durability:        w.config.Durability,
		id:                id,
		previousWindowEnd: previousWindowEnd,
		createdAt:         w.config.Now(),
	}
	data := header.encode()
	if err := w.writeHeader(file, data); err != nil {
		_ = file.Close()           // it holds nothing
		_ = w.storage.Remove(name) // where it stays, a scan finds a segment without records
		return err
	}
	if w.file != nil {
		_ = w.file.Close() // what had to be durable was synced
	}
	w.file = file
	w.mutex.Lock()
	w.space.StartSegment(id, int64(len(data)))
	w.mutex.Unlock()
	return nil
}

func (w *writer) writeHeader(file SegmentFile, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	if w.config.Durability != recovery.DurabilityMachine {
		return nil
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return w.storage.SyncDirectory()
}

// noteFailure gives the current segment up: whatever a later sync returns, its unsynced records are not known to be
// durable. It returns the error that waiting and new records get.
func (w *writer) noteFailure(err error) error {
	w.retryDelay = min(max(minRetryDelay, 2*w.retryDelay), maxRetryDelay)
	failure := errors.Join(ErrUnavailable, err)
	w.mutex.Lock()
	w.failure = failure
	w.retryAt = time.Now().Add(w.retryDelay)
	w.mutex.Unlock()
	return failure
}

// appendBatch writes records to the current segment and makes them durable.
func (w *writer) appendBatch(batch []queuedRecord) error {
	now := w.config.Now()
	w.buffer = w.buffer[:0]
	for i := range batch {
		batch[i].record.WrittenAt = now
		w.buffer = appendRecord(w.buffer, &batch[i].record)
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
	for i := range batch {
		record := &batch[i].record
		bytes := recordSize(record.Kind, len(record.Key), len(record.Payload))
		w.space.CommitWrite(bytes, batch[i].reservedBytes, record.WindowEnd)
	}
	return nil
}

// removeExpired removes segments that no retry needs. Where the space is half used and only the current segment could
// go, it begins another so that the current one can go too.
func (w *writer) removeExpired() {
	now := w.config.Now().Wall - w.config.ClockUncertainty
	w.mutex.Lock()
	_, bytes, windowEnd := w.space.CurrentSegment()
	usedBytes, _, _ := w.space.Usage()
	failure := w.failure
	w.mutex.Unlock()
	isExpired := bytes > headerSize && windowEnd <= now
	if failure == nil && isExpired && usedBytes > w.config.MaxBytes/2 {
		if err := w.startSegment(); err != nil {
			_ = w.noteFailure(err) // the next intent gets it
		}
	}
	w.mutex.Lock()
	expired := w.space.RemoveExpired(now)
	w.mutex.Unlock()
	for _, id := range expired {
		_ = w.storage.Remove(segmentName(id)) // where it stays, it is removed after the next start
	}
}
