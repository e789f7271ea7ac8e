package fastcgi

import (
	"encoding/binary"
	"errors"
)

// errTruncated is returned for a name-value pair that is longer than the data that holds it.
var errTruncated = errors.New("name-value pair is truncated")

// longLengthFlag is the bit that marks a length of four bytes instead of one, see section 3.4 of the specification. The
// other 31 bits are the length.
const longLengthFlag = 0x80

// forEachPair calls visit for every name-value pair in data, see section 3.4 of the specification. The names and values
// are slices of data. It calls visit for all pairs before a malformed one, then returns errTruncated.
func forEachPair(data []byte, visit func(name, value []byte)) error {
	for len(data) > 0 {
		nameLength, rest, nameOK := readLength(data)
		valueLength, rest, valueOK := readLength(rest)
		if !nameOK || !valueOK || nameLength > len(rest) || valueLength > len(rest)-nameLength {
			return errTruncated
		}
		end := nameLength + valueLength
		visit(rest[:nameLength], rest[nameLength:end])
		data = rest[end:]
	}
	return nil
}

// readLength decodes the length at the start of data, which has one byte or four, and returns the bytes after it. ok is
// false if data is too short.
func readLength(data []byte) (length int, rest []byte, ok bool) {
	switch {
	case len(data) == 0:
		return 0, nil, false
	case data[0] < longLengthFlag:
		return int(data[0]), data[1:], true
	case len(data) < 4:
		return 0, nil, false
	}
	return int(binary.BigEndian.Uint32(data) &^ (longLengthFlag << 24)), data[4:], true
}

// appendPair appends a name-value pair to dst. Name and value must each be shorter than 128 bytes.
func appendPair(dst, name []byte, value string) []byte {
	dst = append(dst, byte(len(name)), byte(len(value)))
	dst = append(dst, name...)
	return append(dst, value...)
}
