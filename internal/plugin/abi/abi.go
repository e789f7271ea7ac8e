// Package abi encodes and decodes the messages that the app server and a plug-in exchange, in version 1 of the plug-in
// ABI. docs/plugin/authors.md describes their layout. All numbers are little-endian. A text is encoded as its length
// (32 bits) followed by its bytes.
//
// The package does no I/O. Messages come from untrusted modules, so every length is checked before it is used.
package abi

import (
	"encoding/binary"
	"errors"
)

// Version is the ABI version, which is the first byte of each message.
const Version = 1

// Hook numbers, as encoded in a request.
const (
	HookRead   = iota // a request has been read
	HookResult        // a result is about to be sent to the client
	HookTick          // the plug-in's tick interval has elapsed
)

// Actions of a verdict, one bit each. A verdict may combine several.
const (
	ActionReject     = 1 << iota // reject the request with Status
	ActionCategorize             // treat the request as one of the category Category
	ActionTag                    // set the request's tag to Tag
	ActionReplace                // replace the result with Body
	knownActions     = ActionReject | ActionCategorize | ActionTag | ActionReplace
)

// Sizes in bytes of the fixed-size fields that precede the texts of a message, and of a text's length.
const (
	requestHeaderSize = 16
	verdictHeaderSize = 4
	textLengthSize    = 4
)

// ErrMalformed reports that data is not a valid message of this ABI version.
var ErrMalformed = errors.New("malformed message of plug-in ABI version 1")

// Request describes the request or result that a plug-in is called for.
type Request struct {
	Hook       int
	TimeLeftMS uint32 // milliseconds until the request's deadline
	UnixMS     int64  // current time in milliseconds since 1970
	Category   string
	Tenant     string
	Tag        string // set by an earlier plug-in
	Body       []byte // body of the request, or the result at HookResult
}

// Verdict is a plug-in's response to a call. The zero Verdict changes nothing, and an empty message decodes to it.
type Verdict struct {
	Actions  int // combination of Action bits
	Status   int
	Category string
	Tag      string
	Body     []byte
}

// Append appends the encoded request to a buffer: version, hook, two zero bytes, time left (32 bits), current time (64
// bits), category, tenant, tag and body.
func (r *Request) Append(dst []byte) []byte {
	dst = append(dst, Version, byte(r.Hook), 0, 0)
	dst = binary.LittleEndian.AppendUint32(dst, r.TimeLeftMS)
	dst = binary.LittleEndian.AppendUint64(dst, uint64(r.UnixMS))
	dst = appendText(dst, r.Category)
	dst = appendText(dst, r.Tenant)
	dst = appendText(dst, r.Tag)
	return appendText(dst, r.Body)
}

// ParseRequest decodes a request. The only possible error is ErrMalformed. The returned Body shares memory with data.
// ParseRequest checks the version and the lengths, but not that the hook is known, that the two bytes after it are
// zero, or that the texts are valid UTF-8.
func ParseRequest(data []byte) (Request, error) {
	in := messageReader{remaining: data}
	header := in.readBytes(requestHeaderSize)
	if in.failed || header[0] != Version {
		return Request{}, ErrMalformed
	}
	r := Request{
		Hook:       int(header[1]),
		TimeLeftMS: binary.LittleEndian.Uint32(header[4:]),
		UnixMS:     int64(binary.LittleEndian.Uint64(header[8:])),
	}
	r.Category = string(in.readText())
	r.Tenant = string(in.readText())
	r.Tag = string(in.readText())
	r.Body = in.readText()
	if in.failed || len(in.remaining) > 0 {
		return Request{}, ErrMalformed
	}
	return r, nil
}

// Append appends the encoded verdict to a buffer: version, actions, status (16 bits), category, tag and body.
func (v *Verdict) Append(dst []byte) []byte {
	dst = append(dst, Version, byte(v.Actions))
	dst = binary.LittleEndian.AppendUint16(dst, uint16(v.Status))
	dst = appendText(dst, v.Category)
	dst = appendText(dst, v.Tag)
	return appendText(dst, v.Body)
}

// ParseVerdict decodes a verdict; empty data decodes to the zero Verdict. The only possible error is ErrMalformed. The
// returned Body shares memory with data.
func ParseVerdict(data []byte) (Verdict, error) {
	if len(data) == 0 {
		return Verdict{}, nil
	}
	in := messageReader{remaining: data}
	header := in.readBytes(verdictHeaderSize)
	if in.failed || header[0] != Version || header[1]&^byte(knownActions) != 0 {
		return Verdict{}, ErrMalformed
	}
	v := Verdict{Actions: int(header[1]), Status: int(binary.LittleEndian.Uint16(header[2:]))}
	v.Category = string(in.readText())
	v.Tag = string(in.readText())
	v.Body = in.readText()
	if in.failed || len(in.remaining) > 0 {
		return Verdict{}, ErrMalformed
	}
	return v, nil
}

// appendText appends the length of a text and its bytes.
func appendText[T string | []byte](dst []byte, text T) []byte {
	dst = binary.LittleEndian.AppendUint32(dst, uint32(len(text)))
	return append(dst, text...)
}

// messageReader decodes the fields of a message in order. The first field that does not fit into the remaining bytes
// sets failed, after which readText returns nil. The caller must check failed before it uses the fields.
type messageReader struct {
	remaining []byte
	failed    bool
}

// readBytes consumes and returns the next n bytes. If fewer remain, it sets failed and returns nil.
func (r *messageReader) readBytes(n int) []byte {
	if n < 0 || n > len(r.remaining) {
		r.failed = true
		return nil
	}
	data := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return data
}

// readText consumes and returns the next text. If it is incomplete, readText sets failed and returns nil.
func (r *messageReader) readText() []byte {
	header := r.readBytes(textLengthSize)
	if r.failed {
		return nil
	}
	length := binary.LittleEndian.Uint32(header)
	if uint64(length) > uint64(len(r.remaining)) {
		r.failed = true
		return nil
	}
	return r.readBytes(int(length))
}
