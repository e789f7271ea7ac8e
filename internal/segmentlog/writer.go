package segmentlog

import (
	"errors"
	"slices"
	"time"

	"thistlequay/internal/recovery"
)

// writer holds the state of the goroutine that writes the log. After Open only this goroutine accesses the storage.
type writer struct {
	*Log
	file       SegmentFile    // the current segment
	batch      []queuedRecord // reused for each batch
	buffer     []byte         // the encoded batch; reused
	retryDelay time.Duration  // backoff after the last write error; 0 after a success
}

// run writes the queued records until the queue is closed and empty, and then a shutdown record.
func (w *writer) run() {
	defer close(w.done)
	for first := range w.queue {
		batch := w.collectBatch(first)
		if len(batch) > 0 {
			w.writeBatch(batch)
		}
		clear(batch) // lets the garbage collector free the payloads
		w.removeExpired()
	}
	if w.file != nil {
		// If this fails, the next start finds no clean shutdown and may reject more requests than necessary.
		_ = w.appendBatch([]queuedRecord{{record: recovery.Record{Kind: recovery.KindShutdown}}})
		_ = w.file.Close() // all records that must be durable are synced
	}
}

// collectBatch returns the given record and the records that wait in the queue, at most maxBatch, without those that
// only wake the writer. The batch is valid until the next call.
func (w *writer) collectBatch(first queuedRecord) []queuedRecord {
	batch := append(w.batch[:0], first)
	for mayHaveMore := true; mayHaveMore && len(batch) < maxBatch; {
		select {
		case next, received := <-w.queue:
			mayHaveMore = received
			if received {
				batch = append(batch, next)
			}
		default:
			mayHaveMore = false
		}
	}
	return slices.DeleteFunc(batch, func(queued queuedRecord) bool { return queued.record.Kind == 0 })
}

// writeBatch writes a batch, without intents that come too late, and passes the results to OnWritten.
func (w *writer) writeBatch(batch []queuedRecord) {
	if !w.acceptsIntents() {
		var intents []queuedRecord
		intents, batch = splitIntents(batch)
		w.releaseBatch(intents)
		w.reportResults(intents, ErrShuttingDown)
	}
	if len(batch) > 0 {
		w.reportResults(batch, w.writeAll(batch))
	}
}

// writeAll writes a batch. If the write fails, it releases the reserved space.
func (w *writer) writeAll(batch []queuedRecord) error {
	err := w.ensureSegment()
	if err == nil {
		err = w.appendBatch(batch)
	}
	if err != nil {
		w.releaseBatch(batch)
	}
	return err
}

// splitIntents returns the intents and the other records of a batch.
func splitIntents(batch []queuedRecord) (intents, others []queuedRecord) {
	for _, queued := range batch {
		if queued.isIntent() {
			intents = append(intents, queued)
		} else {
			others = append(others, queued)
		}
	}
	return intents, others
}

// reportResults passes the result of a batch to OnWritten.
func (w *writer) reportResults(batch []queuedRecord, err error) {
	if w.config.OnWritten == nil || len(batch) == 0 {
		return
	}
	results := make([]WriteResult, len(batch))
	for i := range batch {
		results[i] = WriteResult{Tag: batch[i].tag, Err: err}
	}
	w.config.OnWritten(results)
}

// releaseBatch releases the space that was reserved for records that could not be written.
func (w *writer) releaseBatch(batch []queuedRecord) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for i := range batch {
		queued := &batch[i]
		w.space.Release(queued.reservedBytes)
		if queued.isIntent() { // its request will not run, so no completion follows
			w.space.Release(reservedCompletionSize(queued.record.Key))
		}
	}
}

// ensureSegment starts a new segment if the current one is full or was abandoned after an error. During a shutdown a
// full segment grows, because a new one would have to be synced.
func (w *writer) ensureSegment() error {
	w.mutex.Lock()
	writeErr := w.writeErr
	_, bytes, _ := w.space.CurrentSegment()
	w.mutex.Unlock()
	if writeErr == nil && (bytes < w.config.SegmentBytes || w.isShuttingDown()) {
		return nil
	}
	if err := w.startSegment(); err != nil {
		return w.abandonSegment(err)
	}
	w.mutex.Lock()
	w.writeErr = nil
	w.mutex.Unlock()
	w.retryDelay = 0
	return nil
}

// startSegment creates the next segment, writes its header and closes the previous segment. With DurabilityMachine the
// header is durable before any record follows. After an error the previous segment stays the current one.
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
		_ = file.Close()           // it holds no records
		_ = w.storage.Remove(name) // if this fails, a scan finds a segment without records
		return err
	}
	if w.file != nil {
		_ = w.file.Close() // all records that must be durable are synced
	}
	w.file = file
	w.mutex.Lock()
	w.space.StartSegment(id, int64(len(data)))
	w.mutex.Unlock()
	return nil
}

// writeHeader writes the header of a new segment. With DurabilityMachine it makes the header and the file name durable.
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

// abandonSegment abandons the current segment after a write error and sets the time of the next try. The segment cannot
// be used any more, because its unsynced records may not be durable even if a later sync succeeds. abandonSegment
// returns an error that wraps ErrUnavailable, which the waiting records and new intents get.
func (w *writer) abandonSegment(err error) error {
	w.retryDelay = min(max(minRetryDelay, 2*w.retryDelay), maxRetryDelay)
	writeErr := errors.Join(ErrUnavailable, err)
	w.mutex.Lock()
	w.writeErr = writeErr
	w.retryAt = time.Now().Add(w.retryDelay)
	w.mutex.Unlock()
	return writeErr
}

// mustSync reports whether a batch must be durable on the disk before its results are passed on. During a shutdown only
// intents must: a run may have started because of one, and then no later process may run the request again.
func (w *writer) mustSync(batch []queuedRecord) bool {
	if w.config.Durability != recovery.DurabilityMachine {
		return false
	}
	return !w.isShuttingDown() || slices.ContainsFunc(batch, queuedRecord.isIntent)
}

// appendBatch writes records to the current segment, and syncs them if they must be durable.
func (w *writer) appendBatch(batch []queuedRecord) error {
	now := w.config.Now()
	w.buffer = w.buffer[:0]
	for i := range batch {
		batch[i].record.WrittenAt = now
		w.buffer = appendRecord(w.buffer, &batch[i].record)
	}
	if _, err := w.file.Write(w.buffer); err != nil {
		return w.abandonSegment(err)
	}
	if w.mustSync(batch) {
		if err := w.file.Sync(); err != nil {
			return w.abandonSegment(err)
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

// removeExpired removes the segments whose windows ended longer ago than the clock uncertainty. If more than half of
// the space is used and the windows in the current segment have ended too, it first starts a new segment, so that the
// current one can also be removed. It starts none during a shutdown.
func (w *writer) removeExpired() {
	expiryCutoff := w.config.Now().Wall - w.config.ClockUncertainty
	w.mutex.Lock()
	_, bytes, windowEnd := w.space.CurrentSegment()
	usedBytes, _, _ := w.space.Usage()
	writeErr := w.writeErr
	w.mutex.Unlock()
	isExpired := bytes > headerSize && windowEnd <= expiryCutoff
	isHalfFull := usedBytes > w.config.MaxBytes/2
	if writeErr == nil && isExpired && isHalfFull && !w.isShuttingDown() {
		if err := w.startSegment(); err != nil {
			_ = w.abandonSegment(err) // the next intent gets the error
		}
	}
	w.mutex.Lock()
	expired := w.space.RemoveExpired(expiryCutoff)
	w.mutex.Unlock()
	for _, id := range expired {
		_ = w.storage.Remove(segmentName(id)) // if this fails, it is removed after the next start
	}
}
