//go:build wasip1

package pluginsdk

import (
	"unsafe"

	"thistlequay/internal/plugin/abi"
)

// Buffers for the messages between the app server and the plug-in. They are reused, because an instance serves only one
// call at a time.
var (
	requestBuffer []byte
	verdictBuffer []byte
)

// addressOf returns the address of a slice's bytes in the module's linear memory, whose addresses have 32 bits.
func addressOf(bytes []byte) uint32 { return uint32(uintptr(unsafe.Pointer(unsafe.SliceData(bytes)))) }

//go:wasmexport tq_abi
func exportVersion() uint32 { return abi.Version }

// exportBuffer returns the address at which the app server writes a request of the given length. The buffer is one byte
// longer than the request, so that it has an address even if the length is 0.
//
//go:wasmexport tq_buffer
func exportBuffer(length uint32) uint32 {
	size := length + 1
	if uint32(cap(requestBuffer)) < size {
		requestBuffer = make([]byte, size)
	}
	requestBuffer = requestBuffer[:size]
	return addressOf(requestBuffer)
}

// handle calls a function of the plug-in for the request in requestBuffer. The upper 32 bits of its result are the
// address of the encoded verdict and the lower 32 bits its length. The result is 0 if the verdict changes nothing.
func handle(length uint32, function func(Request) Verdict) uint64 {
	request, err := abi.ParseRequest(requestBuffer[:length])
	if err != nil || function == nil {
		return 0
	}
	verdict := function(request)
	if verdict.message.Actions == 0 {
		return 0
	}
	verdictBuffer = verdict.message.Append(verdictBuffer[:0])
	return uint64(addressOf(verdictBuffer))<<32 | uint64(len(verdictBuffer))
}

//go:wasmexport tq_read
func exportRead(_, length uint32) uint64 { return handle(length, OnRead) }

//go:wasmexport tq_result
func exportResult(_, length uint32) uint64 { return handle(length, OnResult) }

//go:wasmexport tq_tick
func exportTick(_, length uint32) uint64 {
	return handle(length, func(request Request) Verdict {
		if OnTick != nil {
			OnTick(request)
		}
		return Verdict{}
	})
}
