// Package abi is the bytes that pass between the program and a plug-in, version 1. docs/plugin/authors.md has them
// written out. It does no I/O; reading checks every length and must never believe one.
package abi

import (
	"encoding/binary"
	"errors"
)

// Version of all bytes here.
const Version = 1

// Hooks by their number on the wire.
const (
	HookRead = iota
	HookResult
	HookTick
)

// What a verdict does.
const (
	ActionReject = 1 << iota
	ActionCategorize
	ActionTag
	ActionReplace
	knownActions = ActionReject | ActionCategorize | ActionTag | ActionReplace
)

// Request is what a plug-in is asked about.
type Request struct {
	Hook       int
	TimeLeftMS uint32 // milliseconds that its caller still waits
	UnixMS     int64  // Unix milliseconds
	Category   string
	Tenant     string
	Tag        string // set by an earlier plug-in
	Body       []byte // of the request, or the result
}

// Verdict is what it says. Its zero value is "goes on as it is", and so are no bytes at all.
type Verdict struct {
	Actions  int
	Status   int
	Category string
	Tag      string
	Body     []byte
}

// ErrMalformed is what no verdict and no request is made of.
var ErrMalformed = errors.New("bytes that are no message of version 1")

func appendText[T string | []byte](to []byte, text T) []byte {
	return append(binary.LittleEndian.AppendUint32(to, uint32(len(text))), text...)
}

// Append writes a request: version, hook, two zeros, left (32), now (64), then category, tenant, tag and body, each
// with its length (32) in front. All little-endian.
func (r *Request) Append(to []byte) []byte {
	to = append(to, Version, byte(r.Hook), 0, 0)
	to = binary.LittleEndian.AppendUint32(to, r.TimeLeftMS)
	to = binary.LittleEndian.AppendUint64(to, uint64(r.UnixMS))
	to = appendText(appendText(appendText(to, r.Category), r.Tenant), r.Tag)
	return appendText(to, r.Body)
}

type reader struct {
	remaining []byte
	failed    bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.remaining) {
		r.failed = true
		return nil
	}
	part := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return part
}

func (r *reader) text() []byte {
	head := r.take(4)
	if r.failed {
		return nil
	}
	n := binary.LittleEndian.Uint32(head)
	if uint64(n) > uint64(len(r.remaining)) {
		r.failed = true
		return nil
	}
	return r.take(int(n))
}

// ParseRequest reads one. Its texts lie in data.
func ParseRequest(data []byte) (q Request, err error) {
	r := reader{remaining: data}
	head := r.take(16)
	if r.failed || head[0] != Version {
		return q, ErrMalformed
	}
	q.Hook, q.TimeLeftMS, q.UnixMS = int(head[1]), binary.LittleEndian.Uint32(head[4:]), int64(binary.LittleEndian.Uint64(head[8:]))
	q.Category, q.Tenant, q.Tag, q.Body = string(r.text()), string(r.text()), string(r.text()), r.text()
	if r.failed || len(r.remaining) > 0 {
		return Request{}, ErrMalformed
	}
	return q, nil
}

// Append writes a verdict: version, what it does, status (16), then category, tag and body, each with its length.
func (v *Verdict) Append(to []byte) []byte {
	to = append(to, Version, byte(v.Actions), byte(v.Status), byte(v.Status>>8))
	return appendText(appendText(appendText(to, v.Category), v.Tag), v.Body)
}

// ParseVerdict reads one. Its body lies in data.
func ParseVerdict(data []byte) (v Verdict, err error) {
	if len(data) == 0 {
		return v, nil
	}
	r := reader{remaining: data}
	head := r.take(4)
	if r.failed || head[0] != Version || head[1]&^byte(knownActions) != 0 {
		return v, ErrMalformed
	}
	v.Actions, v.Status = int(head[1]), int(head[2])|int(head[3])<<8
	v.Category, v.Tag, v.Body = string(r.text()), string(r.text()), r.text()
	if r.failed || len(r.remaining) > 0 {
		return Verdict{}, ErrMalformed
	}
	return v, nil
}
