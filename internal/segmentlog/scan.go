package segmentlog

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"thistlequay/internal/recovery"
)

// Scanned is what lies in a directory.
type Scanned struct {
	recovery.Conclusion
	Found   []recovery.Found
	Records int
	room    recovery.Room
	next    uint64
}

// mostSegment is the most that is read of one file: it is written no longer than this.
const mostSegment = 64 << 20

// Scan reads all segments and has the recovery conclude. See, where given, is shown each record.
func Scan(files Files, recovered *recovery.Recovery, now recovery.Clock, fresh bool, see func(file string, offset int64, r *recovery.Record)) (s Scanned, err error) {
	names, err := files.List()
	if err != nil {
		return s, err
	}
	s.next = 1
	if len(names) == 0 && !fresh {
		recovered.Damaged(recovery.Nothing, "", 0, true)
	}
	before := uint64(0)
	for i, name := range names {
		id, ok := idOf(name)
		if !ok {
			recovered.Damaged(recovery.Garbled, name, 0, false)
			continue
		}
		in, err := files.Open(name)
		if err != nil {
			return s, err
		}
		text, err := io.ReadAll(io.LimitReader(in, mostSegment))
		in.Close()
		if err != nil {
			return s, fmt.Errorf("%s: %w", name, err)
		}
		s.next = id + 1
		s.room.Begin(id, int64(len(text)))
		last := i == len(names)-1
		h, err := headOf(text)
		switch {
		case errors.Is(err, errVersion):
			return s, fmt.Errorf("%s %w", name, err)
		case err != nil && last && len(text) < headerSize: // it was being begun, nothing in it was acknowledged
			recovered.Damaged(recovery.Short, name, 0, true)
			continue
		case err != nil:
			recovered.Damaged(recovery.Garbled, name, 0, false)
			text = text[min(len(text), 1):]
		default:
			if before > 0 && id != before+1 || before == 0 && h.before > now.Wall {
				recovered.Damaged(recovery.Missing, nameOf(id-1), 0, false)
			}
			recovered.Segment(h.mode)
		}
		before = id
		s.records(text, min(len(text), headerSize), name, last, recovered, see)
	}
	s.Conclusion, s.Found, s.Records = recovered.Finish(), recovered.Found, recovered.Seen
	return s, nil
}

func (s *Scanned) records(text []byte, at int, name string, last bool, recovered *recovery.Recovery, see func(string, int64, *recovery.Record)) {
	for at < len(text) {
		r, n, err := recordOf(text[at:])
		if err == nil {
			recovered.Record(r)
			s.room.Wrote(0, 0, r.Until)
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
				if _, _, err := recordOf(text[from:]); err == nil {
					next = from
				}
			}
			from++
		}
		what := recovery.Garbled
		if err == errShort && next < 0 {
			what = recovery.Short
		}
		recovered.Damaged(what, name, int64(at), last && next < 0)
		if next < 0 {
			return
		}
		at = next
	}
}
