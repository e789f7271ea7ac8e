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
	segmentMagic    = "thistleS"
	formatVersion   = 1
	headerSize      = 8 + 8 + 8 + 8 + 24 + 8
	recordMagic     = 0x5354
	recordFixedSize = 2 + 2 + 4 + 8 + 24 + 8
	checksumSize    = 8
	maxKeyBytes     = 256
	maxPayloadBytes = 8 << 10
	maxRecordBytes  = recordFixedSize + 32 + maxKeyBytes + maxPayloadBytes + checksumSize
	segmentSuffix   = ".seg"
)

func segmentName(id uint64) string { return fmt.Sprintf("%016x%s", id, segmentSuffix) }

func segmentID(name string) (uint64, bool) {
	id, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
	return id, err == nil
}

// segmentHeader is what a segment says of itself.
type segmentHeader struct {
	durability        recovery.Durability
	id                uint64
	previousWindowEnd timeunit.Ticks // the last window of the segment before it
	createdAt         recovery.ClockReading
}

var errUnsupportedVersion = errors.New("is of another version than this program reads")
var errInvalidHeader = errors.New("has no header of a segment")

func appendClock(to []byte, c recovery.ClockReading) []byte {
	to = binary.LittleEndian.AppendUint64(to, uint64(c.Wall))
	to = binary.LittleEndian.AppendUint64(to, uint64(c.Monotonic))
	return binary.LittleEndian.AppendUint64(to, c.BootID)
}

func parseClock(b []byte) recovery.ClockReading {
	return recovery.ClockReading{Wall: timeunit.Ticks(binary.LittleEndian.Uint64(b)), Monotonic: timeunit.Ticks(binary.LittleEndian.Uint64(b[8:])),
		BootID: binary.LittleEndian.Uint64(b[16:])}
}

func (h segmentHeader) append(to []byte) []byte {
	from := len(to)
	to = append(to, segmentMagic...)
	to = binary.LittleEndian.AppendUint16(to, formatVersion)
	to = append(to, byte(h.durability), 0, 0, 0, 0, 0)
	to = binary.LittleEndian.AppendUint64(to, h.id)
	to = binary.LittleEndian.AppendUint64(to, uint64(h.previousWindowEnd))
	to = appendClock(to, h.createdAt)
	return binary.LittleEndian.AppendUint64(to, xxh3.Hash(to[from:]))
}

func parseHeader(b []byte) (h segmentHeader, err error) {
	if len(b) < headerSize || string(b[:8]) != segmentMagic {
		return h, errInvalidHeader
	}
	if v := binary.LittleEndian.Uint16(b[8:]); v != formatVersion {
		return h, fmt.Errorf("%w: %d, not %d", errUnsupportedVersion, v, formatVersion)
	}
	if binary.LittleEndian.Uint64(b[headerSize-8:]) != xxh3.Hash(b[:headerSize-8]) {
		return h, errInvalidHeader
	}
	return segmentHeader{durability: recovery.Durability(b[10]), id: binary.LittleEndian.Uint64(b[16:]),
		previousWindowEnd: timeunit.Ticks(binary.LittleEndian.Uint64(b[24:])), createdAt: parseClock(b[32:])}, nil
}

func recordSize(kind recovery.RecordKind, key, result int) int64 {
	n := recordFixedSize + key + result + checksumSize
	if kind == recovery.KindIntent {
		n += 32
	}
	return int64(n)
}

func appendRecord(to []byte, r *recovery.Record) []byte {
	from := len(to)
	to = binary.LittleEndian.AppendUint16(to, recordMagic)
	well := byte(0)
	if r.Succeeded {
		well = 1
	}
	to = append(to, byte(r.Kind), well)
	to = binary.LittleEndian.AppendUint16(to, uint16(len(r.Key)))
	to = binary.LittleEndian.AppendUint16(to, uint16(len(r.Payload)))
	to = binary.LittleEndian.AppendUint64(to, uint64(r.WindowEnd))
	to = binary.LittleEndian.AppendUint64(appendClock(to, r.WrittenAt), r.Attempt)
	if r.Kind == recovery.KindIntent {
		to = append(to, r.BodyHash[:]...)
	}
	to = append(append(to, r.Key...), r.Payload...)
	return binary.LittleEndian.AppendUint64(to, xxh3.Hash(to[from:]))
}

var (
	errTruncated     = errors.New("the text ends in a record")
	errInvalidRecord = errors.New("no record")
)

// parseRecord reads the record at the beginning of b and tells its length. Its result lies in b.
func parseRecord(b []byte) (r recovery.Record, n int, err error) {
	if len(b) >= 2 && binary.LittleEndian.Uint16(b) != recordMagic {
		return r, 0, errInvalidRecord
	}
	if len(b) < recordFixedSize {
		return r, 0, errTruncated
	}
	key, result := int(binary.LittleEndian.Uint16(b[4:])), int(binary.LittleEndian.Uint16(b[6:]))
	r.Kind = recovery.RecordKind(b[2])
	if r.Kind < recovery.KindIntent || r.Kind > recovery.KindWarmStart || key > maxKeyBytes || result > maxPayloadBytes || b[3] > 1 {
		return r, 0, errInvalidRecord
	}
	n = int(recordSize(r.Kind, key, result))
	if len(b) < n {
		return r, 0, errTruncated
	}
	if binary.LittleEndian.Uint64(b[n-checksumSize:]) != xxh3.Hash(b[:n-checksumSize]) {
		return r, 0, errInvalidRecord
	}
	r.Succeeded, r.WindowEnd, r.WrittenAt = b[3] == 1, timeunit.Ticks(binary.LittleEndian.Uint64(b[8:])), parseClock(b[16:])
	r.Attempt = binary.LittleEndian.Uint64(b[40:])
	at := recordFixedSize
	if r.Kind == recovery.KindIntent {
		copy(r.BodyHash[:], b[at:])
		at += 32
	}
	r.Key = string(b[at : at+key])
	r.Payload = b[at+key : at+key+result]
	return r, n, nil
}
