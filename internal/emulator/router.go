package emulator

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"
)

// FastCGI's record types and sizes, from its specification (version 1).
const (
	fastCGIVersion     = 1
	recordBeginRequest = 1
	recordEndRequest   = 3
	recordParams       = 4
	recordStdin        = 5
	recordStdout       = 6
	recordHeaderBytes  = 8

	// roleResponder with the flag that keeps the connection, as the body of a begin record.
	beginResponderKeepOpen = "\x00\x01\x01\x00\x00\x00\x00\x00"
)

// FastCGIRecord returns one FastCGI record without padding. The slot is FastCGI's request ID. The content must be
// shorter than 64 KiB.
func FastCGIRecord(kind byte, slot uint16, content string) []byte {
	record := []byte{fastCGIVersion, kind}
	record = binary.BigEndian.AppendUint16(record, slot)
	record = binary.BigEndian.AppendUint16(record, uint16(len(content)))
	record = append(record, 0, 0) // no padding, one reserved byte
	return append(record, content...)
}

// FastCGIRequest returns the records of one complete request. Parameters come in the order of their names after the
// path, which is SCRIPT_NAME; names and values must be shorter than 128 bytes each.
func FastCGIRequest(slot uint16, path, body string, parameters map[string]string) []byte {
	data := FastCGIRecord(recordBeginRequest, slot, beginResponderKeepOpen)
	data = append(data, FastCGIRecord(recordParams, slot, encodeParameters(path, parameters))...)
	data = append(data, FastCGIRecord(recordParams, slot, "")...)
	if body != "" {
		data = append(data, FastCGIRecord(recordStdin, slot, body)...)
	}
	return append(data, FastCGIRecord(recordStdin, slot, "")...)
}

// encodeParameters returns the name-value pairs, the path first.
func encodeParameters(path string, parameters map[string]string) string {
	var out strings.Builder
	put := func(name, value string) {
		out.Write([]byte{byte(len(name)), byte(len(value))})
		out.WriteString(name + value)
	}
	put("SCRIPT_NAME", path)
	names := make([]string, 0, len(parameters))
	for name := range parameters {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		put(name, parameters[name])
	}
	return out.String()
}

// RequestParameters returns the parameters of a request that has just arrived at its router, with its ID, its tenant
// and the time left until its deadline.
func RequestParameters(id, tenant string, budget time.Duration) map[string]string {
	return map[string]string{
		"HTTP_REQUEST_ID":    id,
		"HTTP_RECEIVED_AT":   strconv.FormatInt(time.Now().UnixMilli(), 10),
		"HTTP_SENT_BY":       "1",
		"HTTP_ACCOUNT":       tenant,
		"HTTP_BUDGET_MS":     strconv.FormatInt(budget.Milliseconds(), 10),
		"HTTP_FOOTPRINT_KB":  "24.5",
		"HTTP_PRIORITY_RANK": "0.6250",
		"REQUEST_METHOD":     "POST",
	}
}

// Response is one response of the server.
type Response struct {
	// Slot is FastCGI's request ID.
	Slot uint16
	// Status is the HTTP status; 0 where the response has none.
	Status int
	// Headers has all header lines, the status line among them, without the empty line after them.
	Headers string
	// Body is the body.
	Body string
}

// RetryAfter returns the Retry-After of the response (Back-Off-Ms, in milliseconds on the wire); 0 where it has none.
func (r *Response) RetryAfter() time.Duration {
	for _, line := range strings.Split(r.Headers, "\r\n") {
		text, found := strings.CutPrefix(line, "Back-Off-Ms: ")
		if found {
			ms, _ := strconv.Atoi(text) // a value that is not a number counts as none
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// errUnexpectedRecord means that a record has a type that no response has.
var errUnexpectedRecord = errors.New("a record that is no part of a response")

// ReadResponse reads the next response. Its records must not be interleaved with those of another.
func (l *Link) ReadResponse() (Response, error) {
	var output []byte
	for {
		kind, slot, content, err := l.readRecord()
		if err != nil {
			return Response{}, err
		}
		switch kind {
		case recordStdout:
			output = append(output, content...)
		case recordEndRequest:
			response := Response{Slot: slot}
			response.Headers, response.Body, _ = strings.Cut(string(output), "\r\n\r\n")
			// Without a status line the status stays 0, which no checker takes for a response.
			_, _ = fmt.Sscanf(response.Headers, "Status: %d", &response.Status)
			return response, nil
		default:
			return Response{}, errUnexpectedRecord
		}
	}
}

// readRecord reads one FastCGI record with its padding.
func (l *Link) readRecord() (kind byte, slot uint16, content []byte, err error) {
	var header [recordHeaderBytes]byte
	if _, err = io.ReadFull(l.Reader, header[:]); err != nil {
		return 0, 0, nil, err
	}
	contentBytes := int(binary.BigEndian.Uint16(header[4:]))
	paddingBytes := int(header[6])
	content = make([]byte, contentBytes+paddingBytes)
	if _, err = io.ReadFull(l.Reader, content); err != nil {
		return 0, 0, nil, err
	}
	return header[1], binary.BigEndian.Uint16(header[2:]), content, nil
}
