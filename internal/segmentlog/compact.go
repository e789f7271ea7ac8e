package segmentlog

import (
	"fmt"

	"thistlequay/internal/recovery"
)

// Compact writes what repeats may still need into one segment, makes that durable and removes the others. Where something
// may have been lost it does nothing: the doubt would be gone with the segments.
func Compact(files Storage, recovered *recovery.Analysis, now recovery.ClockReading) (kept, gone int, err error) {
	s, err := Scan(files, recovered, now, true, nil)
	if err != nil {
		return 0, 0, err
	}
	if s.RejectUntil > 0 {
		return 0, 0, fmt.Errorf("records may be missing; try again in %d ms, when no repeat of them can come", (s.RejectUntil-now.Wall)/10)
	}
	before, err := files.List()
	if err != nil {
		return 0, 0, err
	}
	f, err := files.Create(segmentName(s.nextID))
	if err != nil {
		return 0, 0, err
	}
	text := segmentHeader{durability: recovery.DurabilityMachine, id: s.nextID, createdAt: now}.append(nil)
	for _, fate := range s.Outcomes {
		r := recovery.Record{Kind: recovery.KindIntent, Key: fate.Key, BodyHash: fate.BodyHash, WindowEnd: fate.WindowEnd, WrittenAt: now}
		text = appendRecord(text, &r)
		if fate.Completed {
			r.Kind, r.Succeeded, r.Payload = recovery.KindCompletion, fate.Succeeded, fate.Result
			text = appendRecord(text, &r)
		}
	}
	text = appendRecord(text, &recovery.Record{Kind: recovery.KindShutdown, WrittenAt: now})
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if errClose := f.Close(); err == nil {
		err = errClose
	}
	if err == nil {
		err = files.SyncDirectory()
	}
	if err != nil {
		_ = files.Remove(segmentName(s.nextID))
		return 0, 0, err
	}
	for _, name := range before {
		if err := files.Remove(name); err != nil {
			return len(s.Outcomes), gone, err
		}
		gone++
	}
	return len(s.Outcomes), gone, nil
}
