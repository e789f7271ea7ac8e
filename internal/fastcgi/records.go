package fastcgi

// maxContentBytes is the maximum content length of one record, because the length field has 16 bits.
const maxContentBytes = 0xffff

// AppendStdout appends a part of a response as one or more STDOUT records. It appends nothing if data is empty, because
// an empty record would end the stream.
func AppendStdout(dst []byte, id uint16, data []byte) []byte {
	for len(data) > 0 {
		length := min(len(data), maxContentBytes)
		dst = appendHeader(dst, typeStdout, id, length)
		dst = append(dst, data[:length]...)
		data = data[length:]
	}
	return dst
}

// AppendEndRequest appends an END_REQUEST record, which closes the request. With StatusRequestComplete, it first
// appends the empty record that ends the STDOUT stream.
func AppendEndRequest(dst []byte, id uint16, status byte) []byte {
	if status == StatusRequestComplete {
		dst = appendHeader(dst, typeStdout, id, 0)
	}
	dst = appendHeader(dst, typeEndRequest, id, 8)
	return append(dst, 0, 0, 0, 0, status, 0, 0, 0) // the first four bytes are the exit code of the application
}

// unknownTypeRecord returns the record that tells the router that the type of a record is unknown.
func unknownTypeRecord(recordType byte) []byte {
	record := appendHeader(nil, typeUnknownType, 0, 8)
	return append(record, recordType, 0, 0, 0, 0, 0, 0, 0)
}

// appendHeader appends the header of a record that has length bytes of content and no padding.
func appendHeader(dst []byte, recordType byte, id uint16, length int) []byte {
	const padding, reserved = 0, 0
	return append(dst, protocolVersion, recordType, byte(id>>8), byte(id), byte(length>>8), byte(length),
		padding, reserved)
}
