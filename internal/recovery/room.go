package recovery

import "thistlequay/timeunit"

// This file owns the room in a store: what may be promised, what is needed, which segments can go. It must never promise
// the same byte twice, nor let go of a segment that a repeat may still need.

// Room is the books on a store's bytes.
type Room struct {
	Most     int64 // bytes
	Records  int   // and records
	used     int64
	count    int
	promised int64
	segments []span // oldest first; the last is being written
}

type span struct {
	id    uint64
	bytes int64
	count int
	until timeunit.Ticks // the last of its windows
}

// Promise takes room for an intent and for the result that must follow it; false where there is none: then its work item
// is declined before its run.
func (r *Room) Promise(intent, result int64) bool {
	if r.used+r.promised+intent+result > r.Most || r.count >= r.Records {
		return false
	}
	r.promised += intent + result
	return true
}

// Return gives a promise back that was not, or not wholly, used.
func (r *Room) Return(bytes int64) { r.promised -= bytes }

// Begin begins a segment.
func (r *Room) Begin(id uint64, bytes int64) {
	r.segments = append(r.segments, span{id: id, bytes: bytes})
	r.used += bytes
}

// Wrote books bytes in the newest segment, what of them had been promised, and until when they are needed.
func (r *Room) Wrote(bytes, promised int64, until timeunit.Ticks) {
	s := &r.segments[len(r.segments)-1]
	s.bytes += bytes
	s.count++
	s.until = max(s.until, until)
	r.used += bytes
	r.count++
	r.promised -= promised
}

// Newest is the id of the segment being written and its size; Last the end of all windows in it.
func (r *Room) Newest() (id uint64, bytes int64, until timeunit.Ticks) {
	if len(r.segments) == 0 {
		return 0, 0, 0
	}
	s := r.segments[len(r.segments)-1]
	return s.id, s.bytes, s.until
}

// Aged gives the segments that no repeat needs any more, and forgets them. The newest stays. A segment goes only with all
// that are older: a gap would be a loss.
func (r *Room) Aged(now timeunit.Ticks) (gone []uint64) {
	for len(r.segments) > 1 && r.segments[0].until <= now {
		s := r.segments[0]
		gone = append(gone, s.id)
		r.used -= s.bytes
		r.count -= s.count
		r.segments = r.segments[1:]
	}
	return gone
}

// Figures are the bytes used and promised, and the records.
func (r *Room) Figures() (used, promised int64, records int) { return r.used, r.promised, r.count }
