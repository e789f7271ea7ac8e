package fastcgi

import (
	"encoding/binary"
	"errors"
)

var errTruncated = errors.New("name or value runs past the end")

// longLength marks a length of four bytes, section 3.4 of the specification; the other 31 bits are the length.
const longLength = 0x80

// forEachPair calls each for every name-value pair, section 3.4 of the specification. The bytes lie in data. The error
// comes after the calls for the pairs before it.
func forEachPair(data []byte, each func(name, value []byte)) error {
	for len(data) > 0 {
		nameLength, rest, nameOK := readLength(data)
		valueLength, rest, valueOK := readLength(rest)
		if !nameOK || !valueOK || nameLength > len(rest) || valueLength > len(rest)-nameLength {
			return errTruncated
		}
		end := nameLength + valueLength
		each(rest[:nameLength], rest[nameLength:end])
		data = rest[end:]
	}
	return nil
}

// readLength reads a length of one byte or of four and returns the bytes after it.
func readLength(data []byte) (length int, rest []byte, ok bool) {
	switch {
	case len(data) == 0:
		return 0, nil, false
	case data[0] < longLength:
		return int(data[0]), data[1:], true
	case len(data) < 4:
		return 0, nil, false
	}
	return int(binary.BigEndian.Uint32(data) &^ (longLength << 24)), data[4:], true
}

// appendPair appends a pair whose name and value are each shorter than 128 bytes.
func appendPair(dst, name []byte, value string) []byte {
	dst = append(dst, byte(len(name)), byte(len(value)))
	dst = append(dst, name...)
	return append(dst, value...)
}
