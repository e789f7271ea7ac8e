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

// A segment is a file: a header, then records. All numbers are little-endian, all times are timeunit.Ticks, each
// checksum is the xxh3 hash of everything before it in the header or record.
//
//	header  offset  bytes   record  offset  bytes
//	magic        0      8   magic        0      2
//	version      8      2   kind         2      1
//	durability  10      1   succeeded    3      1
//	zeros       11      5   key length   4      2
//	id          16      8   payload len. 6      2
//	previous                window end   8      8
//	window end  24      8   written at  16     24   (a clock)
//	created at  32     24   attempt     40      8
//	checksum    56      8   body hash   48     32   (intents only)
//	                        key, payload, checksum (8)
//
// A clock is the wall clock, the monotonic clock and the boot id, 8 bytes each.
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
	recordFixedSize = 2 + 1 + 1 + 2 + 2 + 8 + clockSize + 8 // up to the attempt
	bodyHashSize    = 32
	maxKeyBytes     = 256
	maxPayloadBytes = 8 << 10 // that a reader accepts; the writer stores half of it at most
	maxStoredBytes  = maxPayloadBytes / 2
)

// Offsets of fields in a header and in a record; see the table above.
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

// segmentSuffix ends the name of each segment; the id in 16 hexadecimal digits stands before it.
const segmentSuffix = ".seg"

var (
	errUnsupportedVersion = errors.New("is of another version than this program reads")
	errInvalidHeader      = errors.New("has no header of a segment")
	errTruncated          = errors.New("the data ends in a record")
	errInvalidRecord      = errors.New("no record")
)

func segmentName(id uint64) string { return fmt.Sprintf("%016x%s", id, segmentSuffix) }

func segmentID(name string) (id uint64, valid bool) {
	id, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64)
	return id, err == nil
}

// segmentHeader is what a segment says of itself.
type segmentHeader struct {
	durability        recovery.Durability
	id                uint64
	previousWindowEnd timeunit.Ticks // the latest window end in the segment before: until then that one must be there
	createdAt         recovery.ClockReading
}

func (h segmentHeader) encode() []byte {
	buffer := append(make([]byte, 0, headerSize), segmentMagic...)
	buffer = binary.LittleEndian.AppendUint16(buffer, formatVersion)
	buffer = append(buffer, byte(h.durability), 0, 0, 0, 0, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.id)
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(h.previousWindowEnd))
	buffer = appendClock(buffer, h.createdAt)
	return binary.LittleEndian.AppendUint64(buffer, xxh3.Hash(buffer))
}

// parseHeader reads the header at the beginning of data. It returns errInvalidHeader or errUnsupportedVersion.
func parseHeader(data []byte) (segmentHeader, error) {
	if len(data) < headerSize || string(data[:len(segmentMagic)]) != segmentMagic {
		return segmentHeader{}, errInvalidHeader
	}
	if version := binary.LittleEndian.Uint16(data[headerVersionOffset:]); version != formatVersion {
		return segmentHeader{}, fmt.Errorf("%w: %d, not %d", errUnsupportedVersion, version, formatVersion)
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

// checksumMatches reports whether data ends with the checksum of what stands before it.
func checksumMatches(data []byte) bool {
	end := len(data) - checksumSize
	return binary.LittleEndian.Uint64(data[end:]) == xxh3.Hash(data[:end])
}

func appendClock(buffer []byte, clock recovery.ClockReading) []byte {
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(clock.Wall))
	buffer = binary.LittleEndian.AppendUint64(buffer, uint64(clock.Monotonic))
	return binary.LittleEndian.AppendUint64(buffer, clock.BootID)
}

func parseClock(data []byte) recovery.ClockReading {
	return recovery.ClockReading{
		Wall:      timeunit.Ticks(binary.LittleEndian.Uint64(data)),
		Monotonic: timeunit.Ticks(binary.LittleEndian.Uint64(data[8:])),
		BootID:    binary.LittleEndian.Uint64(data[16:]),
	}
}

// recordSize returns the size of an encoded record with a key and a payload of the given lengths.
func recordSize(kind recovery.RecordKind, keyBytes, payloadBytes int) int64 {
	size := recordFixedSize + keyBytes + payloadBytes + checksumSize
	if kind == recovery.KindIntent {
		size += bodyHashSize
	}
	return int64(size)
}

// reservedCompletionSize returns the space that is reserved for the completion of an intent with the given key.
func reservedCompletionSize(key string) int64 {
	return recordSize(recovery.KindCompletion, len(key), maxStoredBytes)
}

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

// parseRecord reads the record at the beginning of data and returns its size in bytes. The payload is a part of data,
// not a copy. It returns errInvalidRecord, or errTruncated where data ends before the record does.
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
	variable := data[recordFixedSize : size-checksumSize]
	if kind == recovery.KindIntent {
		copy(record.BodyHash[:], variable)
		variable = variable[bodyHashSize:]
	}
	record.Key = string(variable[:keyBytes])
	record.Payload = variable[keyBytes:]
	return record, size, nil
}
