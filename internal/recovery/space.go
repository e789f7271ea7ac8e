package recovery

import "thistlequay/timeunit"

// Space keeps account of the space of a store: what is used, what is reserved for records still to come, and which
// segments may be removed. It must never reserve the same byte twice, nor let go of a segment that a retry may still
// need. It is for one goroutine at a time. The limits are set before the first Reserve.
type Space struct {
	MaxBytes   int64
	MaxRecords int

	usedBytes     int64
	reservedBytes int64
	recordCount   int
	segments      []segmentUsage // oldest first; the last one is being written
}

// segmentUsage is what one segment holds.
type segmentUsage struct {
	id        uint64
	bytes     int64
	records   int
	windowEnd timeunit.Ticks // the latest of its records
}

// Reserve takes space for an intent and for the completion that must follow it. It returns false where there is too
// little; the request must then be rejected before it runs.
func (s *Space) Reserve(intentBytes, completionBytes int64) bool {
	wanted := intentBytes + completionBytes
	if s.usedBytes+s.reservedBytes+wanted > s.MaxBytes || s.recordCount >= s.MaxRecords {
		return false
	}
	s.reservedBytes += wanted
	return true
}

// Release gives back reserved bytes that were not used.
func (s *Space) Release(bytes int64) { s.reservedBytes -= bytes }

// StartSegment adds a segment, which has the given size already.
func (s *Space) StartSegment(id uint64, bytes int64) {
	s.segments = append(s.segments, segmentUsage{id: id, bytes: bytes})
	s.usedBytes += bytes
}

// CommitWrite accounts for a record in the newest segment: its size, how much had been reserved for it, and until when
// it is needed. StartSegment must have been called before.
func (s *Space) CommitWrite(bytes, reserved int64, windowEnd timeunit.Ticks) {
	newest := &s.segments[len(s.segments)-1]
	newest.bytes += bytes
	newest.records++
	newest.windowEnd = max(newest.windowEnd, windowEnd)
	s.usedBytes += bytes
	s.recordCount++
	s.reservedBytes -= reserved
}

// CurrentSegment returns the id and the size of the segment that is being written, and the latest window end in it;
// zeros where there is none.
func (s *Space) CurrentSegment() (id uint64, bytes int64, windowEnd timeunit.Ticks) {
	if len(s.segments) == 0 {
		return 0, 0, 0
	}
	newest := s.segments[len(s.segments)-1]
	return newest.id, newest.bytes, newest.windowEnd
}

// RemoveExpired forgets the segments that no retry needs any more, and returns their ids. The newest always stays. A
// segment goes only together with all older ones, because a gap would be taken for a loss at the next start.
func (s *Space) RemoveExpired(now timeunit.Ticks) (expired []uint64) {
	for len(s.segments) > 1 && s.segments[0].windowEnd <= now {
		oldest := s.segments[0]
		expired = append(expired, oldest.id)
		s.usedBytes -= oldest.bytes
		s.recordCount -= oldest.records
		s.segments = s.segments[1:]
	}
	return expired
}

// Usage returns the bytes used and reserved, and the number of records.
func (s *Space) Usage() (usedBytes, reservedBytes int64, records int) {
	return s.usedBytes, s.reservedBytes, s.recordCount
}
