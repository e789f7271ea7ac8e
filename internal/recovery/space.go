package recovery

import "thistlequay/timeunit"

// Space accounts for the space of a store: the bytes that are used, the bytes that are reserved for future records, and
// the segments that may be removed. It must never reserve the same byte twice, nor release a segment that a retry may
// still need. A Space is not safe for concurrent use. MaxBytes and MaxRecords must be set before the first call of
// Reserve.
type Space struct {
	MaxBytes   int64 // limit of the used and reserved bytes
	MaxRecords int   // limit of the number of records

	usedBytes     int64
	reservedBytes int64
	recordCount   int
	segments      []segmentUsage // oldest first; records are appended to the last one
}

// segmentUsage describes the contents of one segment.
type segmentUsage struct {
	id              uint64
	bytes           int64          // header included
	records         int            // number of records
	latestWindowEnd timeunit.Ticks // the latest window end of its records
}

// Reserve reserves space for an intent and for the completion that follows it. It returns false if there is too little
// space; the request must then be rejected before it runs.
func (s *Space) Reserve(intentBytes, completionBytes int64) bool {
	neededBytes := intentBytes + completionBytes
	if s.usedBytes+s.reservedBytes+neededBytes > s.MaxBytes || s.recordCount >= s.MaxRecords {
		return false
	}
	s.reservedBytes += neededBytes
	return true
}

// Release releases reserved bytes that were not used.
func (s *Space) Release(bytes int64) { s.reservedBytes -= bytes }

// StartSegment adds a segment whose present size is the given number of bytes. It becomes the current segment.
func (s *Space) StartSegment(id uint64, bytes int64) {
	s.segments = append(s.segments, segmentUsage{id: id, bytes: bytes})
	s.usedBytes += bytes
}

// CommitWrite accounts for a record that was written to the current segment. It adds the size of the record to the used
// bytes, releases the bytes that were reserved for it, and keeps the segment until windowEnd at least. StartSegment
// must have been called before.
func (s *Space) CommitWrite(bytes, reserved int64, windowEnd timeunit.Ticks) {
	newest := &s.segments[len(s.segments)-1]
	newest.bytes += bytes
	newest.records++
	newest.latestWindowEnd = max(newest.latestWindowEnd, windowEnd)
	s.usedBytes += bytes
	s.recordCount++
	s.reservedBytes -= reserved
}

// CurrentSegment returns the id of the segment to which records are appended, its size, and the latest window end of
// its records. It returns zeros if there is no segment.
func (s *Space) CurrentSegment() (id uint64, bytes int64, windowEnd timeunit.Ticks) {
	if len(s.segments) == 0 {
		return 0, 0, 0
	}
	newest := s.segments[len(s.segments)-1]
	return newest.id, newest.bytes, newest.latestWindowEnd
}

// RemoveExpired stops accounting for the segments whose windows have all ended by now, and returns their ids so that
// the caller can remove them. It never includes the current segment. A segment expires only together with all older
// ones, because the next start would take a gap for data loss.
func (s *Space) RemoveExpired(now timeunit.Ticks) (expired []uint64) {
	for len(s.segments) > 1 && s.segments[0].latestWindowEnd <= now {
		oldest := s.segments[0]
		expired = append(expired, oldest.id)
		s.usedBytes -= oldest.bytes
		s.recordCount -= oldest.records
		s.segments = s.segments[1:]
	}
	return expired
}

// Usage returns the used and the reserved bytes, and the number of records.
func (s *Space) Usage() (usedBytes, reservedBytes int64, records int) {
	return s.usedBytes, s.reservedBytes, s.recordCount
}
