package segmentlog

import (
	"fmt"

	"thistlequay/internal/recovery"
)

// Compact writes what retries may still need into one new segment, makes that durable and removes all others. It
// returns how many outcomes were kept and how many segments removed. While records may be missing it does nothing and
// returns an error: the segments are the only trace of the loss. No other process may have the storage open.
func Compact(storage Storage, analysis *recovery.Analysis, now recovery.ClockReading) (kept, removed int, err error) {
	scan, err := Scan(storage, analysis, now, true, nil)
	if err != nil {
		return 0, 0, err
	}
	if scan.RejectUntil > 0 {
		wait := (scan.RejectUntil - now.Wall).Milliseconds()
		return 0, 0, fmt.Errorf("records may be missing; try again in %d ms, when no repeat of them can come", wait)
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
	if err := writeWhole(storage, file, compacted(&scan, now)); err != nil {
		_ = storage.Remove(name) // what it holds is in the other segments too
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

// compacted returns the text of a segment with the outcomes of a scan.
func compacted(scan *ScanResult, now recovery.ClockReading) []byte {
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

// writeWhole writes a whole segment, makes it and its name durable and closes it. After an error the file is closed
// too.
func writeWhole(storage Storage, file SegmentFile, data []byte) error {
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
