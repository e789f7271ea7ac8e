package recovery

import "thistlequay/timeunit"

// This file owns the room in a store: what may be promised, what is needed, which segments can go. It must never promise
// the same byte twice, nor let go of a segment that a repeat may still need.

// Space is the books on a store's bytes.
type Space struct {
	MaxBytes      int64 // bytes
	MaxRecords    int   // and records
	usedBytes     int64
	recordCount   int
	reservedBytes int64
	segments      []segmentUsage // oldest first; the last is being written
}

type segmentUsage struct {
	id        uint64
	bytes     int64
	records   int
	windowEnd timeunit.Ticks // the last of its windows
}

// Reserve takes room for an intent and for the result that must follow it; false where there is none: then its work item
// is declined before its run.
func (r *Space) Reserve(intent, result int64) bool {
	if r.usedBytes+r.reservedBytes+intent+result > r.MaxBytes || r.recordCount >= r.MaxRecords {
		return false
	}
	r.reservedBytes += intent + result
	return true
}

// Release gives a promise back that was not, or not wholly, used.
func (r *Space) Release(bytes int64) { r.reservedBytes -= bytes }

// StartSegment begins a segment.
func (r *Space) StartSegment(id uint64, bytes int64) {
	r.segments = append(r.segments, segmentUsage{id: id, bytes: bytes})
	r.usedBytes += bytes
}

// CommitWrite books bytes in the newest segment, what of them had been promised, and until when they are needed.
func (r *Space) CommitWrite(bytes, promised int64, until timeunit.Ticks) {
	s := &r.segments[len(r.segments)-1]
	s.bytes += bytes
	s.records++
	s.windowEnd = max(s.windowEnd, until)
	r.usedBytes += bytes
	r.recordCount++
	r.reservedBytes -= promised
}

// CurrentSegment is the id of the segment being written and its size; Last the end of all windows in it.
func (r *Space) CurrentSegment() (id uint64, bytes int64, until timeunit.Ticks) {
	if len(r.segments) == 0 {
		return 0, 0, 0
	}
	s := r.segments[len(r.segments)-1]
	return s.id, s.bytes, s.windowEnd
}

// RemoveExpired gives the segments that no repeat needs any more, and forgets them. The newest stays. A segment goes only with all
// that are older: a gap would be a loss.
func (r *Space) RemoveExpired(now timeunit.Ticks) (gone []uint64) {
	for len(r.segments) > 1 && r.segments[0].windowEnd <= now {
		s := r.segments[0]
		gone = append(gone, s.id)
		r.usedBytes -= s.bytes
		r.recordCount -= s.records
		r.segments = r.segments[1:]
	}
	return gone
}

// Usage are the bytes used and promised, and the records.
func (r *Space) Usage() (used, promised int64, records int) {
	return r.usedBytes, r.reservedBytes, r.recordCount
}
