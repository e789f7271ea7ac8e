package plugin

import (
	"encoding/binary"
	"errors"
	"io"
	"time"
)

// The app server and the plug-in process exchange frames. A frame consists of the length of the rest (32 bits), a kind
// (8 bits), the index of the plug-in (16 bits), the ID of the call (64 bits) and a payload. All numbers are
// little-endian.
const (
	frameLengthSize = 4
	frameHeaderSize = 1 + 2 + 8 // after the length: kind, plug-in index and call ID

	// MaxFrameSize is the largest size of every frame but the first, in bytes after the length.
	MaxFrameSize = 64 << 10

	// maxSpecSize is the largest size of the first frame, in bytes after the length. It is larger because the first
	// frame contains the plug-ins' state.
	maxSpecSize = 16 << 20
)

// Frame kinds.
const (
	// The app server sends:
	frameSpec = 'S' // a HostSpec as JSON; the first frame
	FrameCall = 'A' // hook (8 bits), timeout in ticks of 100 us (32 bits), request

	// The plug-in process sends:
	FrameReady      = 'Y' // all plug-ins are loaded
	FrameLoadFailed = 'N' // a plug-in could not be loaded; the payload is the reason
	FrameVerdict    = 'V' // outcome (8 bits), duration in microseconds (32 bits), verdict
	FrameLog        = 'L' // a log line of a plug-in
	FrameState      = 'K' // length of the key (8 bits), key, value; an empty value deletes the key
	FrameCounters   = 'C' // the increment of each counter, as JSON
)

// CallOutcome describes how a call ended. It is sent in frames of kind FrameVerdict.
type CallOutcome byte

// The outcomes.
const (
	CallSucceeded  CallOutcome = iota // the plug-in returned a verdict, which may be empty
	CallTimedOut                      // the call exceeded its timeout
	CallTrapped                       // the plug-in crashed or failed
	CallMalformed                     // the plug-in's response could not be read
	CallNotStarted                    // the queue was full, or the timeout passed before a worker was free
)

// callHeaderSize is the size in bytes of the fields that precede the request in a FrameCall payload, and of those that
// precede the verdict in a FrameVerdict payload.
const callHeaderSize = 1 + 4

var errMalformedFrame = errors.New("malformed frame")

// Frame is a decoded frame.
type Frame struct {
	Kind        byte
	PluginIndex int
	CallID      uint64
	Payload     []byte
}

// AppendFrame appends an encoded frame to a buffer. The payload is the concatenation of the given parts.
func AppendFrame(dst []byte, kind byte, pluginIndex int, callID uint64, payload ...[]byte) []byte {
	length := frameHeaderSize
	for _, part := range payload {
		length += len(part)
	}
	dst = binary.LittleEndian.AppendUint32(dst, uint32(length))
	dst = append(dst, kind)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(pluginIndex))
	dst = binary.LittleEndian.AppendUint64(dst, callID)
	for _, part := range payload {
		dst = append(dst, part...)
	}
	return dst
}

// ParseFrame decodes the first frame in data and returns the bytes after it. If the frame is still incomplete,
// isComplete is false. The payload shares memory with data.
func ParseFrame(data []byte) (f Frame, rest []byte, isComplete bool, err error) {
	if len(data) < frameLengthSize {
		return f, data, false, nil
	}
	length := binary.LittleEndian.Uint32(data)
	if length < frameHeaderSize || length > MaxFrameSize {
		return f, data, false, errMalformedFrame
	}
	if uint32(len(data)-frameLengthSize) < length {
		return f, data, false, nil
	}
	end := frameLengthSize + length
	return parseFrameBody(data[frameLengthSize:end]), data[end:], true, nil
}

// readFrame reads one frame from a stream. Its size after the length may be at most maxSize bytes.
func readFrame(in io.Reader, maxSize uint32) (f Frame, err error) {
	var prefix [frameLengthSize]byte
	if _, err := io.ReadFull(in, prefix[:]); err != nil {
		return f, err
	}
	length := binary.LittleEndian.Uint32(prefix[:])
	if length < frameHeaderSize || length > maxSize {
		return f, errMalformedFrame
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(in, body); err != nil {
		return f, err
	}
	return parseFrameBody(body), nil
}

// parseFrameBody decodes the part of a frame after the length, which must have at least frameHeaderSize bytes.
func parseFrameBody(body []byte) Frame {
	return Frame{
		Kind:        body[0],
		PluginIndex: int(binary.LittleEndian.Uint16(body[1:])),
		CallID:      binary.LittleEndian.Uint64(body[3:]),
		Payload:     body[frameHeaderSize:],
	}
}

// AppendCall appends an encoded frame that calls a hook of a plug-in. The timeout is in ticks of 100 us.
func AppendCall(dst []byte, pluginIndex, hook int, callID uint64, timeout int64, request []byte) []byte {
	header := binary.LittleEndian.AppendUint32([]byte{byte(hook)}, uint32(timeout))
	return AppendFrame(dst, FrameCall, pluginIndex, callID, header, request)
}

// Verdict decodes the payload of a frame of kind FrameVerdict. If the payload is too short, ok is false.
func (f *Frame) Verdict() (outcome CallOutcome, elapsed time.Duration, verdict []byte, ok bool) {
	if len(f.Payload) < callHeaderSize {
		return 0, 0, nil, false
	}
	elapsed = time.Duration(binary.LittleEndian.Uint32(f.Payload[1:])) * time.Microsecond
	return CallOutcome(f.Payload[0]), elapsed, f.Payload[callHeaderSize:], true
}

// appendStateEntry appends the encoded payload of a frame of kind FrameState. The key has at most maxKeySize bytes.
func appendStateEntry(dst []byte, key, value string) []byte {
	dst = append(dst, byte(len(key)))
	dst = append(dst, key...)
	return append(dst, value...)
}

// StateEntry decodes the payload of a frame of kind FrameState. If the payload is too short, ok is false.
func (f *Frame) StateEntry() (key string, value []byte, ok bool) {
	if len(f.Payload) < 1 || len(f.Payload) < 1+int(f.Payload[0]) {
		return "", nil, false
	}
	end := 1 + int(f.Payload[0])
	return string(f.Payload[1:end]), f.Payload[end:], true
}
