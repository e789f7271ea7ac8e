//go:build wasip1

// Package guest is what a plug-in written in Go is made of. Build it with
//
//	GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -ldflags="-s -w" -o rule.wasm .
//
// and set what it does in init: OnRead, OnResult, OnTick. docs/plugin/authors.md leads from nothing to a loaded plug-in.
package pluginsdk

import (
	"unsafe"

	"thistlequay/internal/plugin/abi"
)

// Request is what a plug-in is asked about: Left in milliseconds, Now in Unix milliseconds, Body of the request or, for
// OnResult, the result.
type Request = abi.Request

// Verdict is what it says. The zero value lets all go on as it is.
type Verdict struct{ message abi.Verdict }

// Reject turns the work item away with a status of its own, 400 to 499 or 503.
func (v Verdict) Reject(status int) Verdict {
	v.message.Actions |= abi.ActionReject
	v.message.Status = status
	return v
}

// Categorize has the work item treated as one of another category.
func (v Verdict) Categorize(category string) Verdict {
	v.message.Actions |= abi.ActionCategorize
	v.message.Category = category
	return v
}

// Tag sets a tag that later plug-ins and the fair queues see.
func (v Verdict) Tag(tag string) Verdict {
	v.message.Actions |= abi.ActionTag
	v.message.Tag = tag
	return v
}

// Replace answers with a shorter result.
func (v Verdict) Replace(result []byte) Verdict {
	v.message.Actions |= abi.ActionReplace
	v.message.Body = result
	return v
}

// What the plug-in does; set before main would run, in init.
var (
	OnRead   func(Request) Verdict
	OnResult func(Request) Verdict
	OnTick   func(Request)
)

var requestBuffer, verdictBuffer []byte

func addressOf(b []byte) uint32 { return uint32(uintptr(unsafe.Pointer(unsafe.SliceData(b)))) }

//go:wasmexport tq_abi
func exportVersion() uint32 { return abi.Version }

//go:wasmexport tq_buffer
func exportBuffer(n uint32) uint32 {
	if uint32(cap(requestBuffer)) < n+1 {
		requestBuffer = make([]byte, n+1)
	}
	requestBuffer = requestBuffer[:n+1]
	return addressOf(requestBuffer)
}

func handle(n uint32, on func(Request) Verdict) uint64 {
	q, err := abi.ParseRequest(requestBuffer[:n])
	if err != nil || on == nil {
		return 0
	}
	v := on(q)
	if v.message.Actions == 0 {
		return 0
	}
	verdictBuffer = v.message.Append(verdictBuffer[:0])
	return uint64(addressOf(verdictBuffer))<<32 | uint64(len(verdictBuffer))
}

//go:wasmexport tq_read
func exportRead(_, n uint32) uint64 { return handle(n, OnRead) }

//go:wasmexport tq_result
func exportResult(_, n uint32) uint64 { return handle(n, OnResult) }

//go:wasmexport tq_tick
func exportTick(_, n uint32) uint64 {
	return handle(n, func(q Request) Verdict {
		if OnTick != nil {
			OnTick(q)
		}
		return Verdict{}
	})
}

//go:wasmimport thistlequay log
func hostLog(at, n uint32)

//go:wasmimport thistlequay count
func hostCount(at, n uint32, by int64)

//go:wasmimport thistlequay get
func hostGet(key, keyN, to, room uint32) int32

//go:wasmimport thistlequay put
func hostPut(key, keyN, value, n uint32) int32

//go:wasmimport thistlequay now
func hostNow() int64

//go:wasmimport thistlequay chance
func hostRandom() int64

// Log writes a line to the server's log: 256 bytes at most, twenty lines a second.
func Log(line string) { hostLog(addressOf([]byte(line)), uint32(len(line))) }

// Count moves a counter of the plug-in's: 32 of them, names of 32 bytes at most.
func Count(name string, by int64) { hostCount(addressOf([]byte(name)), uint32(len(name)), by) }

// Get reads what the plug-in keeps under a key; false where there is nothing.
func Get(key string) ([]byte, bool) {
	room := make([]byte, 4<<10)
	n := hostGet(addressOf([]byte(key)), uint32(len(key)), addressOf(room), uint32(len(room)))
	if n < 0 || int(n) > len(room) {
		return nil, false
	}
	return room[:n], true
}

// Put keeps a value, 4 KiB at most, under a key of 128 bytes at most; an empty one forgets it. False where there is no room.
func Put(key string, value []byte) bool {
	room := append(make([]byte, 0, len(value)+1), value...)
	return hostPut(addressOf([]byte(key)), uint32(len(key)), addressOf(room), uint32(len(room))) == 0
}

// Now is the time in Unix milliseconds, Chance a number from 0 on, from the program's seed.
func Now() int64    { return hostNow() }
func Random() int64 { return hostRandom() }
