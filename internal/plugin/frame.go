package plugin

import (
	"encoding/binary"
	"errors"
	"io"
	"time"
)

// A frame between the app server and the plug-in process is the length of what follows (32 bits), a kind (8), the index
// of the plug-in (16), the number of the call (64) and a payload. All numbers are little-endian.
const (
	frameLengthSize = 4
	frameHeaderSize = 1 + 2 + 8 // behind the length

	// MaxFrameSize bounds every frame but the first, in bytes behind the length.
	MaxFrameSize = 64 << 10

	// maxSpecSize bounds the first frame, which has the plug-ins' state in it.
	maxSpecSize = 16 << 20
)

// Kinds of frame.
const (
	// The app server sends:
	frameSpec = 'S' // HostSpec as JSON; the first frame
	FrameCall = 'A' // hook (8 bits), timeout in ticks of 100 us (32), the request

	// The plug-in process sends:
	FrameReady    = 'Y' // all plug-ins are loaded
	FrameRefused  = 'N' // the reason why a plug-in could not be loaded
	FrameVerdict  = 'V' // outcome (8 bits), time taken in microseconds (32), the verdict
	FrameLog      = 'L' // a line
	FrameState    = 'K' // length of the key (8 bits), key, value; an empty value removes the key
	FrameCounters = 'C' // by how much each counter moved, as JSON
)

// CallOutcome is how a call ended, in a frame of kind FrameVerdict.
type CallOutcome byte

// The outcomes.
const (
	CallSucceeded  CallOutcome = iota // there is a verdict, maybe an empty one
	CallTimedOut                      // it exceeded its timeout
	CallTrapped                       // the plug-in failed
	CallMalformed                     // the verdict's bytes are no message
	CallNotStarted                    // no time was left when a worker was free
)

// callHeaderSize is the size of the numbers in front of the request in a call, and of the verdict in its answer.
const callHeaderSize = 1 + 4

var errMalformedFrame = errors.New("what came is no frame")

// Frame is a frame as it was read.
type Frame struct {
	Kind        byte
	PluginIndex int
	CallID      uint64
	Payload     []byte
}

// AppendFrame appends a frame to a buffer. The parts of the payload follow each other.
func AppendFrame(to []byte, kind byte, pluginIndex int, callID uint64, payload ...[]byte) []byte {
	length := frameHeaderSize
	for _, part := range payload {
		length += len(part)
	}
	to = binary.LittleEndian.AppendUint32(to, uint32(length))
	to = append(to, kind)
	to = binary.LittleEndian.AppendUint16(to, uint16(pluginIndex))
	to = binary.LittleEndian.AppendUint64(to, callID)
	for _, part := range payload {
		to = append(to, part...)
	}
	return to
}

// ParseFrame reads the first frame in data and returns what follows it; false for a frame that is not complete yet. The
// payload lies in data.
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

// readFrame reads one frame of at most maxSize bytes behind the length.
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

// parseFrameBody splits what follows the length, at least frameHeaderSize bytes.
func parseFrameBody(body []byte) Frame {
	return Frame{
		Kind:        body[0],
		PluginIndex: int(binary.LittleEndian.Uint16(body[1:])),
		CallID:      binary.LittleEndian.Uint64(body[3:]),
		Payload:     body[frameHeaderSize:],
	}
}

// AppendCall appends a frame that calls a hook of a plug-in. The timeout is in ticks of 100 us.
func AppendCall(to []byte, pluginIndex, hook int, callID uint64, timeout int64, request []byte) []byte {
	header := binary.LittleEndian.AppendUint32([]byte{byte(hook)}, uint32(timeout))
	return AppendFrame(to, FrameCall, pluginIndex, callID, header, request)
}

// Verdict splits the payload of a frame of kind FrameVerdict; false if it is too short.
func (f *Frame) Verdict() (outcome CallOutcome, took time.Duration, verdict []byte, ok bool) {
	if len(f.Payload) < callHeaderSize {
		return 0, 0, nil, false
	}
	took = time.Duration(binary.LittleEndian.Uint32(f.Payload[1:])) * time.Microsecond
	return CallOutcome(f.Payload[0]), took, f.Payload[callHeaderSize:], true
}

// appendStateEntry appends the payload of a frame of kind FrameState. The key has maxKeySize bytes at most.
func appendStateEntry(to []byte, key, value string) []byte {
	to = append(to, byte(len(key)))
	to = append(to, key...)
	return append(to, value...)
}

// StateEntry splits the payload of a frame of kind FrameState; false if it is too short.
func (f *Frame) StateEntry() (key string, value []byte, ok bool) {
	if len(f.Payload) < 1 || len(f.Payload) < 1+int(f.Payload[0]) {
		return "", nil, false
	}
	end := 1 + int(f.Payload[0])
	return string(f.Payload[1:end]), f.Payload[end:], true
}
