package uwsgi

import (
	"bytes"
	"strconv"
)

// AppendPong appends the response to a ping.
func AppendPong(dst []byte) []byte { return append(dst, ModifierPing, 0, 0, 0) }

// AppendResponse appends an HTTP/1.0 response to dst. The headers are complete lines, each with its CRLF;
// AppendResponse adds Content-Length. The connection must be closed after the response.
func AppendResponse(dst []byte, status, headers string, body []byte) []byte {
	dst = append(dst, "HTTP/1.0 "...)
	dst = append(dst, status...)
	dst = append(dst, "\r\n"...)
	dst = append(dst, headers...)
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

// ParseResponse parses an HTTP response from the bytes received so far. While complete is false and err is nil, it must
// be called again once more bytes have been received. closed reports that no more bytes will be received. maxBytes is
// the maximum size of the head and of the body each. The returned body is a slice of data. An error is a StatusError.
func ParseResponse(data []byte, closed bool, maxBytes int) (status int, body []byte, complete bool, err error) {
	head, body, headComplete := bytes.Cut(data, []byte("\r\n\r\n"))
	if !headComplete {
		if closed || len(data) > maxBytes {
			return 0, nil, false, ErrMalformedVariables
		}
		return 0, nil, false, nil
	}
	lines := bytes.Split(head, []byte("\r\n"))
	status, err = parseStatusLine(lines[0])
	if err != nil {
		return 0, nil, false, err
	}
	length, err := findContentLength(lines[1:])
	if err != nil {
		return 0, nil, false, err
	}
	complete, err = isBodyComplete(len(body), length, closed, maxBytes)
	if err != nil || !complete {
		return 0, nil, false, err
	}
	return status, body, true, nil
}

// parseStatusLine returns the status code of an HTTP status line.
func parseStatusLine(line []byte) (status int, err error) {
	fields := bytes.Fields(line)
	if len(fields) < 2 || !bytes.HasPrefix(fields[0], []byte("HTTP/1.")) {
		return 0, ErrMalformedVariables
	}
	status, err = strconv.Atoi(string(fields[1]))
	if err != nil || status < 100 || status > 599 {
		return 0, ErrMalformedVariables
	}
	return status, nil
}

// noContentLength stands for the length of a body without Content-Length, which ends when the connection is closed.
const noContentLength = -1

// findContentLength returns the value of Content-Length in the header lines, or noContentLength. Contradictory lines
// are an error, because two parsers that rely on different lines would disagree on which bytes are the body.
func findContentLength(lines [][]byte) (length int, err error) {
	length = noContentLength
	for _, line := range lines {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Content-Length")) {
			continue
		}
		parsed, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, contentLengthBits)
		if err != nil || length != noContentLength && length != int(parsed) {
			return 0, ErrInvalidContentLength
		}
		length = int(parsed)
	}
	return length, nil
}

// isBodyComplete reports whether the body is complete after the received bytes. length is the value of Content-Length
// or noContentLength.
func isBodyComplete(received, length int, closed bool, maxBytes int) (bool, error) {
	switch {
	case length > maxBytes || received > maxBytes:
		return false, ErrBodyTooLong
	case length == noContentLength:
		return closed, nil
	case received > length:
		return false, ErrInvalidContentLength
	case received == length:
		return true, nil
	case closed: // the body is truncated
		return false, ErrInvalidContentLength
	}
	return false, nil
}
