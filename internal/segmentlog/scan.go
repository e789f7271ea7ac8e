package segmentlog

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"thistlequay/internal/recovery"
)

// maxSegmentBytes is the most that is read of one file. It is far above the largest segment size that can be
// configured.
const maxSegmentBytes = 64 << 20

// ScanResult is what lies in a directory and what follows from it.
type ScanResult struct {
	recovery.RecoveredState
	Findings    []recovery.Finding
	RecordCount int

	space  recovery.Space
	nextID uint64 // of the next segment
}

// Visitor is shown each record that Scan finds.
type Visitor func(file string, offset int64, record *recovery.Record)

// Scan reads all segments in their order and has the analysis conclude. An empty directory counts as a loss unless
// allowEmpty. Corruption is no error but a finding. A storage that can't be read is an error, as is a segment of
// another format version. The visitor may be nil.
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

// scanner is the state of one Scan.
type scanner struct {
	storage    Storage
	analysis   *recovery.Analysis
	now        recovery.ClockReading
	visit      Visitor
	previousID uint64 // of the segment before; 0 for none
	result     ScanResult
}

func (s *scanner) scanSegment(name string, isLast bool) error {
	id, valid := segmentID(name)
	if !valid {
		s.analysis.AddCorruption(recovery.CorruptionInvalid, name, 0, false)
		return nil
	}
	data, err := s.read(name)
	if err != nil {
		return err
	}
	s.result.nextID = id + 1
	s.result.space.StartSegment(id, int64(len(data)))
	header, err := parseHeader(data)
	switch {
	case errors.Is(err, errUnsupportedVersion):
		return fmt.Errorf("%s %w", name, err)
	case err != nil && isLast && len(data) < headerSize:
		// The process crashed while it began this segment: nothing in it was acknowledged.
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

func (s *scanner) read(name string) ([]byte, error) {
	file, err := s.storage.Open(name)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(file, maxSegmentBytes))
	_ = file.Close() // it was only read
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return data, nil
}

// checkPrevious finds out whether segments before this one are missing: between two that are there, or before the first
// one while its header says that they are still needed.
func (s *scanner) checkPrevious(header *segmentHeader, id uint64) {
	isGap := s.previousID > 0 && id != s.previousID+1
	isNeeded := s.previousID == 0 && header.previousWindowEnd > s.now.Wall
	if isGap || isNeeded {
		s.analysis.AddCorruption(recovery.CorruptionMissingSegment, segmentName(id-1), 0, false)
	}
}

// scanRecords reads the records behind a header. Where there is none, it reports corruption and goes on at the next
// valid one.
func (s *scanner) scanRecords(data []byte, name string, isLast bool) {
	offset := min(len(data), headerSize)
	for offset < len(data) {
		record, size, err := parseRecord(data[offset:])
		if err == nil {
			s.analysis.AddRecord(record)
			s.result.space.CommitWrite(0, 0, record.WindowEnd) // its bytes are counted with the segment
			if s.visit != nil {
				s.visit(name, int64(offset), &record)
			}
			offset += size
			continue
		}
		next, found := nextRecord(data, offset+1)
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

// nextRecord returns the offset of the first valid record at or after start.
func nextRecord(data []byte, start int) (offset int, found bool) {
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
