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

// Types of the records that a client sends, from the specification of FastCGI (version 1).
const (
	RecordBeginRequest = 1
	RecordAbortRequest = 2
	RecordParams       = 4
	RecordStdin        = 5
)

// Version, header size and types of the server's records, from the same specification.
const (
	fastCGIVersion    = 1
	recordEndRequest  = 3
	recordStdout      = 6
	recordHeaderBytes = 8

	// beginResponderKeepOpen is the body of a begin record with the responder role and the flag that keeps the
	// connection open after the request.
	beginResponderKeepOpen = "\x00\x01\x01\x00\x00\x00\x00\x00"
)

// FastCGIRecord returns one FastCGI record without padding. The slot is the request ID of FastCGI. The content must be
// shorter than 64 KiB.
func FastCGIRecord(recordType byte, slot uint16, content string) []byte {
	record := []byte{fastCGIVersion, recordType}
	record = binary.BigEndian.AppendUint16(record, slot)
	record = binary.BigEndian.AppendUint16(record, uint16(len(content)))
	record = append(record, 0, 0) // no padding, one reserved byte
	return append(record, content...)
}

// FastCGIBegin returns the record that begins a request in the given slot and keeps the connection open after it.
func FastCGIBegin(slot uint16) []byte {
	return FastCGIRecord(RecordBeginRequest, slot, beginResponderKeepOpen)
}

// FastCGIRequest returns the records of one complete request. The path is sent first, as SCRIPT_NAME; the parameters
// follow, sorted by name. Each name and each value must be shorter than 128 bytes.
func FastCGIRequest(slot uint16, path, body string, parameters map[string]string) []byte {
	data := FastCGIBegin(slot)
	data = append(data, FastCGIRecord(RecordParams, slot, encodeParameters(path, parameters))...)
	data = append(data, FastCGIRecord(RecordParams, slot, "")...)
	if body != "" {
		data = append(data, FastCGIRecord(RecordStdin, slot, body)...)
	}
	return append(data, FastCGIRecord(RecordStdin, slot, "")...)
}

// encodeParameters returns the encoded name-value pairs: the path first, then the parameters sorted by name.
func encodeParameters(path string, parameters map[string]string) string {
	var out strings.Builder
	appendPair := func(name, value string) {
		out.Write([]byte{byte(len(name)), byte(len(value))})
		out.WriteString(name + value)
	}
	appendPair("SCRIPT_NAME", path)
	names := make([]string, 0, len(parameters))
	for name := range parameters {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		appendPair(name, parameters[name])
	}
	return out.String()
}

// RequestParameters returns the parameters of a request that its router has just received. The budget is the time left
// until the deadline of the request.
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

// Response is a response from the server.
type Response struct {
	// Slot is the request ID of FastCGI.
	Slot uint16
	// Status is the HTTP status, or 0 if the response has none.
	Status int
	// Headers holds all header lines, including the status line, without the empty line that ends them.
	Headers string
	// Body is the response body.
	Body string
}

// RetryAfter returns the Retry-After of the response, or 0 if it has none. On the wire it is the header Back-Off-Ms, in
// milliseconds.
func (r *Response) RetryAfter() time.Duration {
	for _, line := range strings.Split(r.Headers, "\r\n") {
		text, found := strings.CutPrefix(line, "Back-Off-Ms: ")
		if found {
			ms, _ := strconv.Atoi(text) // a value that is not a number counts as 0
			return time.Duration(ms) * time.Millisecond
		}
	}
	return 0
}

// errUnexpectedRecord means that a record has a type that does not occur in responses.
var errUnexpectedRecord = errors.New("unexpected FastCGI record type in a response")

// ReadResponse reads the next response. Its records must not be interleaved with those of another response.
func (l *Link) ReadResponse() (Response, error) {
	var output []byte
	for {
		recordType, slot, content, err := l.readRecord()
		if err != nil {
			return Response{}, err
		}
		switch recordType {
		case recordStdout:
			output = append(output, content...)
		case recordEndRequest:
			response := Response{Slot: slot}
			response.Headers, response.Body, _ = strings.Cut(string(output), "\r\n\r\n")
			// Without a status line the status stays 0, which no caller accepts as the status of a response.
			_, _ = fmt.Sscanf(response.Headers, "Status: %d", &response.Status)
			return response, nil
		default:
			return Response{}, errUnexpectedRecord
		}
	}
}

// readRecord reads one FastCGI record. The returned content includes the padding.
func (l *Link) readRecord() (recordType byte, slot uint16, content []byte, err error) {
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
