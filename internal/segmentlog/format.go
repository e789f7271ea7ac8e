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

// A segment is a file that consists of a header and records. All numbers are little-endian, and all times are
// timeunit.Ticks. Each checksum is the xxh3 hash of everything before it in the header or record.
//
//	header  offset  bytes   record  offset  bytes
//	magic        0      8   magic        0      2
//	version      8      2   kind         2      1
//	durability  10      1   succeeded    3      1
//	zeros       11      5   key length   4      2
//	id          16      8   payload len. 6      2
//	previous                window end   8      8
//	window end  24      8   written at  16     24   (a clock reading)
//	created at  32     24   attempt     40      8
//	checksum    56      8   body hash   48     32   (intents only)
//	                        key, payload, checksum (8)
//
// A clock reading consists of the wall clock, the monotonic clock and the boot id, 8 bytes each.
const (
	segmentMagic  = "thistleS"
	recordMagic   = 0x5354
	formatVersion = 1
)

// Sizes in bytes.
const (
	clockSize       = 8 + 8 + 8
	checksumSize    = 8
	headerSize      = 8 + 8 + 8 + 8 + clockSize + checksumSize
	recordFixedSize = 2 + 1 + 1 + 2 + 2 + 8 + clockSize + 8 // all fields up to and including the attempt
	bodyHashSize    = 32
	maxKeyBytes     = 256
	maxPayloadBytes = 8 << 10             // limit of the reader; the writer stores at most half of it
	maxStoredBytes  = maxPayloadBytes / 2 // limit of the writer
)

// Offsets of the fields in a header and in a record, in bytes. See the table above.
const (
	headerVersionOffset       = 8
	headerDurabilityOffset    = 10
	headerIDOffset            = 16
	headerPreviousOffset      = 24
	headerCreatedOffset       = 32
	recordKindOffset          = 2
	recordSucceededOffset     = 3
	recordKeyLengthOffset     = 4
	recordPayloadLengthOffset = 6
	recordWindowEndOffset     = 8
	recordWrittenOffset       = 16
	recordAttemptOffset       = 40
)

// segmentSuffix is the file name extension of segments. The name before it is the segment id in 16 hexadecimal digits.
const segmentSuffix = ".seg"

var (
	errUnsupportedVersion = errors.New("unsupported segment format version")
	errInvalidHeader      = errors.New("invalid segment header")
	errTruncated          = errors.New("truncated record")
	errInvalidRecord      = errors.New("invalid record")
)

// segmentName returns the file name of the segment with the given id.
func segmentName(id uint64) string { return fmt.Sprintf("%016x%s", id, segmentSuffix) }

// parseSegmentName returns the segment id in a file name. valid is false if the name does not contain one.
func parseSegmentName(name string) (id uint64, valid bool) {
	id, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
	return id, err == nil
}

// segmentHeader holds the fields of the header of a segment.
type segmentHeader struct {
	durability        recovery.Durability
	id                uint64
	previousWindowEnd timeunit.Ticks // the latest window end in the previous segment, which must exist until then
	createdAt         recovery.ClockReading
}

// encode returns the header in the stored format.
func (h segmentHeader) encode() []byte {
	buffer := append(make([]byte, 0, headerSize), segmentMagic...)
	buffer = binary.LittleEndian.AppendUint16(buffer, formatVersion)
	buffer = append(buffer, byte(h.durability), 0, 0, 0, 0, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.id)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(h.previousWindowEnd))
	buffer = appendClock(buffer, h.createdAt)
	return binary.LittleEndian.AppendUint64(buffer, xxh3.Hash(buffer))
}

// parseHeader decodes the header at the beginning of data. An error is errInvalidHeader or wraps errUnsupportedVersion.
func parseHeader(data []byte) (segmentHeader, error) {
	if len(data) < headerSize || string(data[:len(segmentMagic)]) != segmentMagic {
		return segmentHeader{}, errInvalidHeader
	}
	if version := binary.LittleEndian.Uint16(data[headerVersionOffset:]); version != formatVersion {
		return segmentHeader{}, fmt.Errorf("%w: got %d, want %d", errUnsupportedVersion, version, formatVersion)
	}
	if !checksumMatches(data[:headerSize]) {
		return segmentHeader{}, errInvalidHeader
	}
	return segmentHeader{
		durability:        recovery.Durability(data[headerDurabilityOffset]),
		id:                binary.LittleEndian.Uint64(data[headerIDOffset:]),
		previousWindowEnd: timeunit.Ticks(binary.LittleEndian.Uint64(data[headerPreviousOffset:])),
		createdAt:         parseClock(data[headerCreatedOffset:]),
	}, nil
}

// checksumMatches reports whether data ends with the checksum of the bytes before it.
func checksumMatches(data []byte) bool {
	end := len(data) - checksumSize
	return binary.LittleEndian.Uint64(data[end:]) == xxh3.Hash(data[:end])
}

// appendClock appends an encoded clock reading to the buffer.
func appendClock(buffer []byte, clock recovery.ClockReading) []byte {
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(clock.Wall))
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(clock.Monotonic))
	return binary.LittleEndian.AppendUint64(buffer, clock.BootID)
}

// parseClock decodes the clock reading at the beginning of data.
func parseClock(data []byte) recovery.ClockReading {
	return recovery.ClockReading{
		Wall:      timeunit.Ticks(binary.LittleEndian.Uint64(data)),
		Monotonic: timeunit.Ticks(binary.LittleEndian.Uint64(data[8:])),
		BootID:    binary.LittleEndian.Uint64(data[16:]),
	}
}

// recordSize returns the size in bytes of an encoded record with a key and a payload of the given lengths.
func recordSize(kind recovery.RecordKind, keyBytes, payloadBytes int) int64 {
	size := recordFixedSize + keyBytes + payloadBytes + checksumSize
	if kind == recovery.KindIntent {
		size += bodyHashSize
	}
	return int64(size)
}

// reservedCompletionSize returns the number of bytes that are reserved for the completion of an intent with the given
// key.
func reservedCompletionSize(key string) int64 {
	return recordSize(recovery.KindCompletion, len(key), maxStoredBytes)
}

// appendRecord appends an encoded record to the buffer.
func appendRecord(buffer []byte, record *recovery.Record) []byte {
	start := len(buffer)
	succeeded := byte(0)
	if record.Succeeded {
		succeeded = 1
	}
	buffer = binary.LittleEndian.AppendUint16(buffer, recordMagic)
	buffer = append(buffer, byte(record.Kind), succeeded)
	buffer = binary.LittleEndian.AppendUint16(buffer, uint16(len(record.Key)))
	buffer = binary.LittleEndian.AppendUint16(buffer, uint16(len(record.Payload)))
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(record.WindowEnd))
	buffer = appendClock(buffer, record.WrittenAt)
	buffer = binary.LittleEndian.AppendUint64(buffer, record.Attempt)
	if record.Kind == recovery.KindIntent {
		buffer = append(buffer, record.BodyHash[:]...)
	}
	buffer = append(buffer, record.Key...)
	buffer = append(buffer, record.Payload...)
	return binary.LittleEndian.AppendUint64(buffer, xxh3.Hash(buffer[start:]))
}

// parseRecord decodes the record at the beginning of data and returns it and its size in bytes. The payload of the
// record is a slice of data, not a copy. An error is errTruncated if data ends before the record does, otherwise
// errInvalidRecord.
func parseRecord(data []byte) (record recovery.Record, size int, err error) {
	if len(data) >= 2 && binary.LittleEndian.Uint16(data) != recordMagic {
		return record, 0, errInvalidRecord
	}
	if len(data) < recordFixedSize {
		return record, 0, errTruncated
	}
	kind := recovery.RecordKind(data[recordKindOffset])
	succeeded := data[recordSucceededOffset]
	keyBytes := int(binary.LittleEndian.Uint16(data[recordKeyLengthOffset:]))
	payloadBytes := int(binary.LittleEndian.Uint16(data[recordPayloadLengthOffset:]))
	if kind < recovery.KindIntent || kind > recovery.KindWarmStart || succeeded > 1 {
		return record, 0, errInvalidRecord
	}
	if keyBytes > maxKeyBytes || payloadBytes > maxPayloadBytes {
		return record, 0, errInvalidRecord
	}
	size = int(recordSize(kind, keyBytes, payloadBytes))
	if len(data) < size {
		return record, 0, errTruncated
	}
	if !checksumMatches(data[:size]) {
		return record, 0, errInvalidRecord
	}
	record.Kind = kind
	record.Succeeded = succeeded == 1
	record.WindowEnd = timeunit.Ticks(binary.LittleEndian.Uint64(data[recordWindowEndOffset:]))
	record.WrittenAt = parseClock(data[recordWrittenOffset:])
	record.Attempt = binary.LittleEndian.Uint64(data[recordAttemptOffset:])
	variableFields := data[recordFixedSize : size-checksumSize]
	if kind == recovery.KindIntent {
		copy(record.BodyHash[:], variableFields)
		variableFields = variableFields[bodyHashSize:]
	}
	record.Key = string(variableFields[:keyBytes])
	record.Payload = variableFields[keyBytes:]
	return record, size, nil
}
