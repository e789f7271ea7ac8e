// Package abi reads and writes the messages that pass between the program and a plug-in, version 1 of the plug-in ABI.
// docs/plugin/authors.md has their layout. All numbers are little-endian; a text is its length (32 bits) and its bytes.
//
// The package does no I/O. Messages come from modules that nobody trusts: every length is checked before it is used.
package abi

import (
	"encoding/binary"
	"errors"
)

// Version is the version of the messages, the first byte of each.
const Version = 1

// Hooks by their number in a request.
const (
	HookRead   = iota // a request was read
	HookResult        // a result is to be answered
	HookTick          // an interval is over
)

// Actions of a verdict, one bit each.
const (
	ActionReject     = 1 << iota // reject the request with Status
	ActionCategorize             // treat the request as one of Category
	ActionTag                    // set Tag
	ActionReplace                // replace the result by Body
	knownActions     = ActionReject | ActionCategorize | ActionTag | ActionReplace
)

// Sizes of the numbers in front of the texts of a message.
const (
	requestHeaderSize = 16
	verdictHeaderSize = 4
	textLengthSize    = 4
)

// ErrMalformed means that bytes are no message of this version.
var ErrMalformed = errors.New("bytes that are no message of version 1")

// Request is what a plug-in is called about.
type Request struct {
	Hook       int
	TimeLeftMS uint32 // milliseconds until the request's deadline
	UnixMS     int64  // the time, in milliseconds since 1970
	Category   string
	Tenant     string
	Tag        string // set by an earlier plug-in
	Body       []byte // of the request, or the result at HookResult
}

// Verdict is a plug-in's answer. The zero Verdict changes nothing, and so does an answer without bytes.
type Verdict struct {
	Actions  int // bits
	Status   int
	Category string
	Tag      string
	Body     []byte
}

// Append appends the request to a buffer: version, hook, two zeros, time left (32 bits), time (64), category, tenant,
// tag and body.
func (r *Request) Append(to []byte) []byte {
	to = append(to, Version, byte(r.Hook), 0, 0)
	to = binary.LittleEndian.AppendUint32(to, r.TimeLeftMS)
	to = binary.LittleEndian.AppendUint64(to, uint64(r.UnixMS))
	to = appendText(to, r.Category)
	to = appendText(to, r.Tenant)
	to = appendText(to, r.Tag)
	return appendText(to, r.Body)
}

// ParseRequest reads a request; the error is ErrMalformed. The body lies in data.
func ParseRequest(data []byte) (Request, error) {
	in := reader{remaining: data}
	header := in.take(requestHeaderSize)
	if in.failed || header[0] != Version {
		return Request{}, ErrMalformed
	}
	r := Request{
		Hook:       int(header[1]),
		TimeLeftMS: binary.LittleEndian.Uint32(header[4:]),
		UnixMS:     int64(binary.LittleEndian.Uint64(header[8:])),
	}
	r.Category = string(in.text())
	r.Tenant = string(in.text())
	r.Tag = string(in.text())
	r.Body = in.text()
	if in.failed || len(in.remaining) > 0 {
		return Request{}, ErrMalformed
	}
	return r, nil
}

// Append appends the verdict to a buffer: version, actions, status (16 bits), category, tag and body.
func (v *Verdict) Append(to []byte) []byte {
	to = append(to, Version, byte(v.Actions))
	to = binary.LittleEndian.AppendUint16(to, uint16(v.Status))
	to = appendText(to, v.Category)
	to = appendText(to, v.Tag)
	return appendText(to, v.Body)
}

// ParseVerdict reads a verdict; the error is ErrMalformed. The body lies in data.
func ParseVerdict(data []byte) (Verdict, error) {
	if len(data) == 0 {
		return Verdict{}, nil
	}
	in := reader{remaining: data}
	header := in.take(verdictHeaderSize)
	if in.failed || header[0] != Version || header[1]&^byte(knownActions) != 0 {
		return Verdict{}, ErrMalformed
	}
	v := Verdict{Actions: int(header[1]), Status: int(binary.LittleEndian.Uint16(header[2:]))}
	v.Category = string(in.text())
	v.Tag = string(in.text())
	v.Body = in.text()
	if in.failed || len(in.remaining) > 0 {
		return Verdict{}, ErrMalformed
	}
	return v, nil
}

func appendText[T string | []byte](to []byte, text T) []byte {
	to = binary.LittleEndian.AppendUint32(to, uint32(len(text)))
	return append(to, text...)
}

// reader takes a message apart. After a part that was not there, failed is set and all further parts are nil.
type reader struct {
	remaining []byte
	failed    bool
}

// take returns the next n bytes.
func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.remaining) {
		r.failed = true
		return nil
	}
	part := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return part
}

// text returns the next text.
func (r *reader) text() []byte {
	header := r.take(textLengthSize)
	if r.failed {
		return nil
	}
	length := binary.LittleEndian.Uint32(header)
	if uint64(length) > uint64(len(r.remaining)) {
		r.failed = true
		return nil
	}
	return r.take(int(length))
}
