package segmentlog

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"thistlequay/internal/recovery"
)

// maxSegmentBytes is the maximum number of bytes that are read from one file. It is far above the largest segment size
// that can be configured.
const maxSegmentBytes = 64 << 20

// ScanResult holds the state that Scan recovered from a storage and the corruption that it found.
type ScanResult struct {
	recovery.RecoveredState
	Findings    []recovery.Finding // in the order in which they were found
	RecordCount int                // number of valid records in all segments

	space  recovery.Space // accounts for the segments that were found
	nextID uint64         // the id of the next segment to create
}

// Visitor is called with each valid record that Scan reads, the name of its file and its offset in bytes.
type Visitor func(file string, offset int64, record *recovery.Record)

// Scan reads all segments in order, adds their records to the analysis and finishes it. Unless allowEmpty is set, an
// empty storage counts as data loss. Corruption is reported as a finding, not as an error. Scan returns an error if the
// storage cannot be read or a segment has another format version. The visitor may be nil.
func Scan(storage Storage, analysis *recovery.Analysis, now recovery.ClockReading, allowEmpty bool,
	visit Visitor) (ScanResult, error) {
	names, err := storage.List()
	if err != nil {
		return ScanResult{}, err
	}
	s := scanner{storage: storage, analysis: analysis, now: now, visit: visit}
	s.result.nextID = 1
	if len(names) == 0 && !allowEmpty {
		analysis.AddCorruption(recovery.CorruptionNoSegment, "", 0, true)
	}
	for i, name := range names {
		if err := s.scanSegment(name, i == len(names)-1); err != nil {
			return s.result, err
		}
	}
	s.result.RecoveredState = analysis.Finish()
	s.result.Findings = analysis.Findings
	s.result.RecordCount = analysis.RecordCount
	return s.result, nil
}

// scanner holds the state of one call of Scan.
type scanner struct {
	storage    Storage
	analysis   *recovery.Analysis
	now        recovery.ClockReading
	visit      Visitor
	previousID uint64 // the id of the previous segment; 0 if there is none
	result     ScanResult
}

// scanSegment reads one segment and adds its records and corruption to the analysis.
func (s *scanner) scanSegment(name string, isLast bool) error {
	id, valid := parseSegmentName(name)
	if !valid {
		s.analysis.AddCorruption(recovery.CorruptionInvalid, name, 0, false)
		return nil
	}
	data, err := s.readSegment(name)
	if err != nil {
		return err
	}
	s.result.nextID = id + 1
	s.result.space.StartSegment(id, int64(len(data)))
	header, err := parseHeader(data)
	switch {
	case errors.Is(err, errUnsupportedVersion):
		return fmt.Errorf("%s: %w", name, err)
	case err != nil && isLast && len(data) < headerSize:
		// The process crashed while it created this segment, so no record in it was acknowledged.
		s.analysis.AddCorruption(recovery.CorruptionTruncated, name, 0, true)
		return nil
	case err != nil:
		s.analysis.AddCorruption(recovery.CorruptionInvalid, name, 0, false)
		data = data[min(len(data), 1):]
	default:
		s.checkPrevious(&header, id)
		s.analysis.StartSegment(header.durability)
	}
	s.previousID = id
	s.scanRecords(data, name, isLast)
	return nil
}

// readSegment returns the contents of a segment.
func (s *scanner) readSegment(name string) ([]byte, error) {
	file, err := s.storage.Open(name)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(file, maxSegmentBytes))
	_ = file.Close() // the file was only read
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return data, nil
}

// checkPrevious reports corruption if segments before this one are missing: if there is a gap between this segment and
// the previous one, or if this is the first one and its header says that the one before it is still needed.
func (s *scanner) checkPrevious(header *segmentHeader, id uint64) {
	isGap := s.previousID > 0 && id != s.previousID+1
	isPredecessorNeeded := s.previousID == 0 && header.previousWindowEnd > s.now.Wall
	if isGap || isPredecessorNeeded {
		s.analysis.AddCorruption(recovery.CorruptionMissingSegment, segmentName(id-1), 0, false)
	}
}

// scanRecords reads the records after the header of a segment. For bytes that are not a valid record it reports
// corruption and continues with the next valid record.
func (s *scanner) scanRecords(data []byte, name string, isLast bool) {
	offset := min(len(data), headerSize)
	for offset < len(data) {
		record, size, err := parseRecord(data[offset:])
		if err == nil {
			s.analysis.AddRecord(record)
			s.result.space.CommitWrite(0, 0, record.WindowEnd) // the size of the segment already includes its bytes
			if s.visit != nil {
				s.visit(name, int64(offset), &record)
			}
			offset += size
			continue
		}
		next, found := findRecord(data, offset+1)
		corruption := recovery.CorruptionInvalid
		if errors.Is(err, errTruncated) && !found {
			corruption = recovery.CorruptionTruncated
		}
		s.analysis.AddCorruption(corruption, name, int64(offset), isLast && !found)
		if !found {
			return
		}
		offset = next
	}
}

// findRecord returns the offset of the first valid record at or after start.
func findRecord(data []byte, start int) (offset int, found bool) {
	magic := []byte{byte(recordMagic & 0xff), byte(recordMagic >> 8)}
	for start <= len(data) {
		distance := bytes.Index(data[start:], magic)
		if distance < 0 {
			return 0, false
		}
		offset = start + distance
		if _, _, err := parseRecord(data[offset:]); err == nil {
			return offset, true
		}
		start = offset + 1
	}
	return 0, false
}
