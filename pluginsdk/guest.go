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
type Verdict struct{ v abi.Verdict }

// Decline turns the work item away with a status of its own, 400 to 499 or 503.
func (v Verdict) Decline(status int) Verdict {
	v.v.Does |= abi.Declines
	v.v.Status = status
	return v
}

// Treat has the work item treated as one of another category.
func (v Verdict) Treat(category string) Verdict {
	v.v.Does |= abi.Categorises
	v.v.Category = category
	return v
}

// Tag sets a tag that later plug-ins and the fair queues see.
func (v Verdict) Tag(tag string) Verdict {
	v.v.Does |= abi.Tags
	v.v.Tag = tag
	return v
}

// Replace answers with a shorter result.
func (v Verdict) Replace(result []byte) Verdict {
	v.v.Does |= abi.Replaces
	v.v.Body = result
	return v
}

// What the plug-in does; set before main would run, in init.
var (
	OnRead   func(Request) Verdict
	OnResult func(Request) Verdict
	OnTick   func(Request)
)

var in, out []byte

func pointer(b []byte) uint32 { return uint32(uintptr(unsafe.Pointer(unsafe.SliceData(b)))) }

//go:wasmexport tq_abi
func version() uint32 { return abi.Version }

//go:wasmexport tq_buffer
func buffer(n uint32) uint32 {
	if uint32(cap(in)) < n+1 {
		in = make([]byte, n+1)
	}
	in = in[:n+1]
	return pointer(in)
}

func ask(n uint32, on func(Request) Verdict) uint64 {
	q, err := abi.ReadRequest(in[:n])
	if err != nil || on == nil {
		return 0
	}
	v := on(q)
	if v.v.Does == 0 {
		return 0
	}
	out = v.v.Append(out[:0])
	return uint64(pointer(out))<<32 | uint64(len(out))
}

//go:wasmexport tq_read
func read(_, n uint32) uint64 { return ask(n, OnRead) }

//go:wasmexport tq_result
func result(_, n uint32) uint64 { return ask(n, OnResult) }

//go:wasmexport tq_tick
func tick(_, n uint32) uint64 {
	return ask(n, func(q Request) Verdict {
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
func hostChance() int64

// Log writes a line to the server's log: 256 bytes at most, twenty lines a second.
func Log(line string) { hostLog(pointer([]byte(line)), uint32(len(line))) }

// Count moves a counter of the plug-in's: 32 of them, names of 32 bytes at most.
func Count(name string, by int64) { hostCount(pointer([]byte(name)), uint32(len(name)), by) }

// Get reads what the plug-in keeps under a key; false where there is nothing.
func Get(key string) ([]byte, bool) {
	room := make([]byte, 4<<10)
	n := hostGet(pointer([]byte(key)), uint32(len(key)), pointer(room), uint32(len(room)))
	if n < 0 || int(n) > len(room) {
		return nil, false
	}
	return room[:n], true
}

// Put keeps a value, 4 KiB at most, under a key of 128 bytes at most; an empty one forgets it. False where there is no room.
func Put(key string, value []byte) bool {
	room := append(make([]byte, 0, len(value)+1), value...)
	return hostPut(pointer([]byte(key)), uint32(len(key)), pointer(room), uint32(len(room))) == 0
}

// Now is the time in Unix milliseconds, Chance a number from 0 on, from the program's seed.
func Now() int64    { return hostNow() }
func Chance() int64 { return hostChance() }
