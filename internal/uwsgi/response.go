package uwsgi

import (
	"bytes"
	"strconv"
)

// AppendPong appends the answer to a ping.
func AppendPong(dst []byte) []byte { return append(dst, ModifierPing, 0, 0, 0) }

// AppendResponse appends a response as HTTP/1.0. The headers are whole lines, each with its end; Content-Length is
// added. The connection is to be closed after it.
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

// ParseResponse reads a response as HTTP from what has come of it so far. It is to be called again with more bytes
// while complete is false without an error. closed says that no more bytes will come, maxBytes bounds the head and
// the body each. The body lies in data. An error is a StatusError.
func ParseResponse(data []byte, closed bool, maxBytes int) (status int, body []byte, complete bool, err error) {
	head, body, headComplete := bytes.Cut(data, []byte("\r\n\r\n"))
	if !headComplete {
		if closed || len(data) > maxBytes {
			return 0, nil, false, ErrUnreadableVariables
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
	complete, err = bodyComplete(len(body), length, closed, maxBytes)
	if err != nil || !complete {
		return 0, nil, false, err
	}
	return status, body, true, nil
}

func parseStatusLine(line []byte) (status int, err error) {
	words := bytes.Fields(line)
	if len(words) < 2 || !bytes.HasPrefix(words[0], []byte("HTTP/1.")) {
		return 0, ErrUnreadableVariables
	}
	status, err = strconv.Atoi(string(words[1]))
	if err != nil || status < 100 || status > 599 {
		return 0, ErrUnreadableVariables
	}
	return status, nil
}

// noContentLength is the length of a body that only the end of the connection ends.
const noContentLength = -1

// findContentLength returns the length that header lines give. Lines that contradict each other are an error: two
// readers that believe different ones would take different bytes for the body.
func findContentLength(lines [][]byte) (length int, err error) {
	length = noContentLength
	for _, line := range lines {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Content-Length")) {
			continue
		}
		parsed, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, contentLengthBits)
		if err != nil || length != noContentLength && length != int(parsed) {
			return 0, ErrContentLength
		}
		length = int(parsed)
	}
	return length, nil
}

// bodyComplete reports whether as many bytes as have come are all of the body.
func bodyComplete(come, length int, closed bool, maxBytes int) (bool, error) {
	switch {
	case length > maxBytes || come > maxBytes:
		return false, ErrBodyTooLong
	case length == noContentLength:
		return closed, nil
	case come > length:
		return false, ErrContentLength
	case come == length:
		return true, nil
	case closed: // cut off
		return false, ErrContentLength
	}
	return false, nil
}
