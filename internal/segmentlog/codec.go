package segmentlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"

	"thistlequay/internal/recovery"
	"thistlequay/timeunit"
)

// A segment is a header and records, little-endian. The header: magic (8), version (2), mode (1), 0 (5), id (64), the end
// of the last window in the segment before (64), clock (3 x 64), checksum (64). A record: magic (2), kind (1), well (1), length of
// the key (16) and of the result (16), until (64), clock (3 x 64), try (64), print (32 bytes, of intents), key, result, checksum (64) of all before.
const (
	magic       = "thistleS"
	version     = 1
	headerSize  = 8 + 8 + 8 + 8 + 24 + 8
	recordMagic = 0x5354
	fixed       = 2 + 2 + 4 + 8 + 24 + 8
	sumSize     = 8
	mostKey     = 256
	mostResult  = 8 << 10
	mostRecord  = fixed + 32 + mostKey + mostResult + sumSize
	suffix      = ".seg"
)

func nameOf(id uint64) string { return fmt.Sprintf("%016x%s", id, suffix) }

func idOf(name string) (uint64, bool) {
	id, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 16, 64)
	return id, err == nil
}

// head is what a segment says of itself.
type head struct {
	mode   recovery.Mode
	id     uint64
	before timeunit.Ticks // the last window of the segment before it
	at     recovery.Clock
}

var errVersion = errors.New("is of another version than this program reads")
var errHeader = errors.New("has no header of a segment")

func appendClock(to []byte, c recovery.Clock) []byte {
	to = binary.LittleEndian.AppendUint64(to, uint64(c.Wall))
	to = binary.LittleEndian.AppendUint64(to, uint64(c.Mono))
	return binary.LittleEndian.AppendUint64(to, c.Boot)
}

func clockOf(b []byte) recovery.Clock {
	return recovery.Clock{Wall: timeunit.Ticks(binary.LittleEndian.Uint64(b)), Mono: timeunit.Ticks(binary.LittleEndian.Uint64(b[8:])),
		Boot: binary.LittleEndian.Uint64(b[16:])}
}

func (h head) append(to []byte) []byte {
	from := len(to)
	to = append(to, magic...)
	to = binary.LittleEndian.AppendUint16(to, version)
	to = append(to, byte(h.mode), 0, 0, 0, 0, 0)
	to = binary.LittleEndian.AppendUint64(to, h.id)
	to = binary.LittleEndian.AppendUint64(to, uint64(h.before))
	to = appendClock(to, h.at)
	return binary.LittleEndian.AppendUint64(to, xxh3.Hash(to[from:]))
}

func headOf(b []byte) (h head, err error) {
	if len(b) < headerSize || string(b[:8]) != magic {
		return h, errHeader
	}
	if v := binary.LittleEndian.Uint16(b[8:]); v != version {
		return h, fmt.Errorf("%w: %d, not %d", errVersion, v, version)
	}
	if binary.LittleEndian.Uint64(b[headerSize-8:]) != xxh3.Hash(b[:headerSize-8]) {
		return h, errHeader
	}
	return head{mode: recovery.Mode(b[10]), id: binary.LittleEndian.Uint64(b[16:]),
		before: timeunit.Ticks(binary.LittleEndian.Uint64(b[24:])), at: clockOf(b[32:])}, nil
}

func sizeOf(kind recovery.Kind, key, result int) int64 {
	n := fixed + key + result + sumSize
	if kind == recovery.Intent {
		n += 32
	}
	return int64(n)
}

func appendRecord(to []byte, r *recovery.Record) []byte {
	from := len(to)
	to = binary.LittleEndian.AppendUint16(to, recordMagic)
	well := byte(0)
	if r.Well {
		well = 1
	}
	to = append(to, byte(r.Kind), well)
	to = binary.LittleEndian.AppendUint16(to, uint16(len(r.Key)))
	to = binary.LittleEndian.AppendUint16(to, uint16(len(r.Result)))
	to = binary.LittleEndian.AppendUint64(to, uint64(r.Until))
	to = binary.LittleEndian.AppendUint64(appendClock(to, r.At), r.Try)
	if r.Kind == recovery.Intent {
		to = append(to, r.Print[:]...)
	}
	to = append(append(to, r.Key...), r.Result...)
	return binary.LittleEndian.AppendUint64(to, xxh3.Hash(to[from:]))
}

var (
	errShort   = errors.New("the text ends in a record")
	errGarbled = errors.New("no record")
)

// recordOf reads the record at the beginning of b and tells its length. Its result lies in b.
func recordOf(b []byte) (r recovery.Record, n int, err error) {
	if len(b) >= 2 && binary.LittleEndian.Uint16(b) != recordMagic {
		return r, 0, errGarbled
	}
	if len(b) < fixed {
		return r, 0, errShort
	}
	key, result := int(binary.LittleEndian.Uint16(b[4:])), int(binary.LittleEndian.Uint16(b[6:]))
	r.Kind = recovery.Kind(b[2])
	if r.Kind < recovery.Intent || r.Kind > recovery.Learnt || key > mostKey || result > mostResult || b[3] > 1 {
		return r, 0, errGarbled
	}
	n = int(sizeOf(r.Kind, key, result))
	if len(b) < n {
		return r, 0, errShort
	}
	if binary.LittleEndian.Uint64(b[n-sumSize:]) != xxh3.Hash(b[:n-sumSize]) {
		return r, 0, errGarbled
	}
	r.Well, r.Until, r.At = b[3] == 1, timeunit.Ticks(binary.LittleEndian.Uint64(b[8:])), clockOf(b[16:])
	r.Try = binary.LittleEndian.Uint64(b[40:])
	at := fixed
	if r.Kind == recovery.Intent {
		copy(r.Print[:], b[at:])
		at += 32
	}
	r.Key = string(b[at : at+key])
	r.Result = b[at+key : at+key+result]
	return r, n, nil
}
