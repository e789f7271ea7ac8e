package segmentlog

import (
	"fmt"

	"thistlequay/internal/recovery"
)

// Compact writes what repeats may still need into one segment, makes that durable and removes the others. Where something
// may have been lost it does nothing: the doubt would be gone with the segments.
func Compact(files Files, recovered *recovery.Recovery, now recovery.Clock) (kept, gone int, err error) {
	s, err := Scan(files, recovered, now, true, nil)
	if err != nil {
		return 0, 0, err
	}
	if s.DeclineUntil > 0 {
		return 0, 0, fmt.Errorf("records may be missing; try again in %d ms, when no repeat of them can come", (s.DeclineUntil-now.Wall)/10)
	}
	before, err := files.List()
	if err != nil {
		return 0, 0, err
	}
	f, err := files.Create(nameOf(s.next))
	if err != nil {
		return 0, 0, err
	}
	text := head{mode: recovery.Machine, id: s.next, at: now}.append(nil)
	for _, fate := range s.Fates {
		r := recovery.Record{Kind: recovery.Intent, Key: fate.Key, Print: fate.Print, Until: fate.Until, At: now}
		text = appendRecord(text, &r)
		if fate.Ended {
			r.Kind, r.Well, r.Result = recovery.Result, fate.Well, fate.Result
			text = appendRecord(text, &r)
		}
	}
	text = appendRecord(text, &recovery.Record{Kind: recovery.Closed, At: now})
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if errClose := f.Close(); err == nil {
		err = errClose
	}
	if err == nil {
		err = files.SyncNames()
	}
	if err != nil {
		_ = files.Remove(nameOf(s.next))
		return 0, 0, err
	}
	for _, name := range before {
		if err := files.Remove(name); err != nil {
			return len(s.Fates), gone, err
		}
		gone++
	}
	return len(s.Fates), gone, nil
}
