package fastcgi

// maxContent is the most that one record can carry, in bytes: its length has 16 bits.
const maxContent = 0xffff

// AppendStdout appends a part of an answer, in as many STDOUT records as it takes; none if data is empty, as an empty
// record would end the stream.
func AppendStdout(dst []byte, id uint16, data []byte) []byte {
	for len(data) > 0 {
		length := min(len(data), maxContent)
		dst = appendHeader(dst, typeStdout, id, length)
		dst = append(dst, data[:length]...)
		data = data[length:]
	}
	return dst
}

// AppendEndRequest appends the end of an answer, which closes the request. The stream of STDOUT is ended first if the
// request was answered.
func AppendEndRequest(dst []byte, id uint16, status byte) []byte {
	if status == StatusRequestComplete {
		dst = appendHeader(dst, typeStdout, id, 0)
	}
	dst = appendHeader(dst, typeEndRequest, id, 8)
	return append(dst, 0, 0, 0, 0, status, 0, 0, 0) // the first four are the exit code of an application
}

// unknownTypeRecord tells the router that a record's type is not known.
func unknownTypeRecord(recordType byte) []byte {
	record := appendHeader(nil, typeUnknownType, 0, 8)
	return append(record, recordType, 0, 0, 0, 0, 0, 0, 0)
}

// appendHeader appends the header of a record without padding.
func appendHeader(dst []byte, recordType byte, id uint16, length int) []byte {
	const padding, reserved = 0, 0
	return append(dst, version, recordType, byte(id>>8), byte(id), byte(length>>8), byte(length), padding, reserved)
}
