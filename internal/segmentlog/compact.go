package segmentlog

import (
	"fmt"

	"thistlequay/internal/recovery"
)

// Compact writes the outcomes that retries may still need to one new segment, makes it durable and removes all other
// segments. It returns the number of outcomes that it kept and the number of segments that it removed. If records may
// be missing, Compact changes nothing and returns an error, because the segments are the only evidence of the loss. No
// other process may have the storage open.
func Compact(storage Storage, analysis *recovery.Analysis, now recovery.ClockReading) (kept, removed int, err error) {
	scan, err := Scan(storage, analysis, now, true, nil)
	if err != nil {
		return 0, 0, err
	}
	if scan.RejectUntil > 0 {
		waitMs := (scan.RejectUntil - now.Wall).Milliseconds()
		return 0, 0, fmt.Errorf("records may be missing; retry in %d ms, when all their windows have ended", waitMs)
	}
	previous, err := storage.List()
	if err != nil {
		return 0, 0, err
	}
	name := segmentName(scan.nextID)
	file, err := storage.Create(name)
	if err != nil {
		return 0, 0, err
	}
	if err := writeSegment(storage, file, encodeCompactedSegment(&scan, now)); err != nil {
		_ = storage.Remove(name) // its records are still in the other segments
		return 0, 0, err
	}
	for _, name := range previous {
		if err := storage.Remove(name); err != nil {
			return len(scan.Outcomes), removed, err
		}
		removed++
	}
	return len(scan.Outcomes), removed, nil
}

// encodeCompactedSegment returns an encoded segment with the outcomes of a scan, ending with a shutdown record.
func encodeCompactedSegment(scan *ScanResult, now recovery.ClockReading) []byte {
	header := segmentHeader{durability: recovery.DurabilityMachine, id: scan.nextID, createdAt: now}
	data := header.encode()
	for i := range scan.Outcomes {
		outcome := &scan.Outcomes[i]
		record := recovery.Record{
			Kind:      recovery.KindIntent,
			Key:       outcome.Key,
			BodyHash:  outcome.BodyHash,
			WindowEnd: outcome.WindowEnd,
			WrittenAt: now,
		}
		data = appendRecord(data, &record)
		if outcome.Completed {
			record.Kind = recovery.KindCompletion
			record.Succeeded = outcome.Succeeded
			record.Payload = outcome.Result
			data = appendRecord(data, &record)
		}
	}
	return appendRecord(data, &recovery.Record{Kind: recovery.KindShutdown, WrittenAt: now})
}

// writeSegment writes a complete segment, makes it and its file name durable and closes it. The file is closed after an
// error too.
func writeSegment(storage Storage, file SegmentFile, data []byte) error {
	_, err := file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = storage.SyncDirectory()
	}
	return err
}
