package segmentlog

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"thistlequay/internal/recovery"
)

// ScanResult is what lies in a directory.
type ScanResult struct {
	recovery.RecoveredState
	Findings    []recovery.Finding
	RecordCount int
	space       recovery.Space
	nextID      uint64
}

// maxSegmentBytes is the most that is read of one file: it is written no longer than this.
const maxSegmentBytes = 64 << 20

// Scan reads all segments and has the recovery conclude. See, where given, is shown each record.
func Scan(files Storage, recovered *recovery.Analysis, now recovery.ClockReading, fresh bool, see func(file string, offset int64, r *recovery.Record)) (s ScanResult, err error) {
	names, err := files.List()
	if err != nil {
		return s, err
	}
	s.nextID = 1
	if len(names) == 0 && !fresh {
		recovered.AddCorruption(recovery.CorruptionNoSegment, "", 0, true)
	}
	before := uint64(0)
	for i, name := range names {
		id, ok := segmentID(name)
		if !ok {
			recovered.AddCorruption(recovery.CorruptionInvalid, name, 0, false)
			continue
		}
		in, err := files.Open(name)
		if err != nil {
			return s, err
		}
		text, err := io.ReadAll(io.LimitReader(in, maxSegmentBytes))
		in.Close()
		if err != nil {
			return s, fmt.Errorf("%s: %w", name, err)
		}
		s.nextID = id + 1
		s.space.StartSegment(id, int64(len(text)))
		last := i == len(names)-1
		h, err := parseHeader(text)
		switch {
		case errors.Is(err, errUnsupportedVersion):
			return s, fmt.Errorf("%s %w", name, err)
		case err != nil && last && len(text) < headerSize: // it was being begun, nothing in it was acknowledged
			recovered.AddCorruption(recovery.CorruptionTruncated, name, 0, true)
			continue
		case err != nil:
			recovered.AddCorruption(recovery.CorruptionInvalid, name, 0, false)
			text = text[min(len(text), 1):]
		default:
			if before > 0 && id != before+1 || before == 0 && h.previousWindowEnd > now.Wall {
				recovered.AddCorruption(recovery.CorruptionMissingSegment, segmentName(id-1), 0, false)
			}
			recovered.StartSegment(h.durability)
		}
		before = id
		s.scanRecords(text, min(len(text), headerSize), name, last, recovered, see)
	}
	s.RecoveredState, s.Findings, s.RecordCount = recovered.Finish(), recovered.Findings, recovered.RecordCount
	return s, nil
}

func (s *ScanResult) scanRecords(text []byte, at int, name string, last bool, recovered *recovery.Analysis, see func(string, int64, *recovery.Record)) {
	for at < len(text) {
		r, n, err := parseRecord(text[at:])
		if err == nil {
			recovered.AddRecord(r)
			s.space.CommitWrite(0, 0, r.WindowEnd)
			if see != nil {
				see(name, int64(at), &r)
			}
			at += n
			continue
		}
		// Find the next whole record, if there is one.
		next := -1
		for from := at + 1; next < 0; {
			k := bytes.Index(text[from:], []byte{byte(recordMagic & 0xff), byte(recordMagic >> 8)})
			if k < 0 {
				break
			}
			if from += k; from < len(text) {
				if _, _, err := parseRecord(text[from:]); err == nil {
					next = from
				}
			}
			from++
		}
		what := recovery.CorruptionInvalid
		if err == errTruncated && next < 0 {
			what = recovery.CorruptionTruncated
		}
		recovered.AddCorruption(what, name, int64(at), last && next < 0)
		if next < 0 {
			return
		}
		at = next
	}
}
