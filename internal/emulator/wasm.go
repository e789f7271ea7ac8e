package emulator

// This file owns plug-ins that do harm, and some that do not, as bytes: small modules put together here, so that tests need
// no other tool chain. Each follows docs/plugin/authors.md as far as its kind lets it.

import (
	"encoding/binary"
	"maps"
	"slices"

	"thistlequay/internal/plugin/abi"
)

// uleb and sleb are the encodings of numbers in a module.
func uleb(n uint32) (out []byte) {
	for ; n >= 0x80; n >>= 7 {
		out = append(out, byte(n)|0x80)
	}
	return append(out, byte(n))
}

func sleb(n int64) (out []byte) {
	for {
		b := byte(n & 0x7f)
		n >>= 7
		if n == 0 && b&0x40 == 0 || n == -1 && b&0x40 != 0 {
			return append(out, b)
		}
		out = append(out, b|0x80)
	}
}

func vector(items ...[]byte) []byte {
	out := uleb(uint32(len(items)))
	for _, i := range items {
		out = append(out, i...)
	}
	return out
}

func section(id byte, body []byte) []byte {
	return append(append([]byte{id}, uleb(uint32(len(body)))...), body...)
}

func name(s string) []byte { return append(uleb(uint32(len(s))), s...) }

const (
	verdictAt = 64   // where a module keeps the verdict that it gives
	bufferAt  = 4096 // and where requests are written
)

// Functions of a module by their index: the imports come first.
const (
	fnLog = iota
	fnNow
	fnABI
	fnBuffer
	fnRead
	fnResult
	fnTick
	fnStart
)

func i32(n int64) []byte { return append([]byte{0x41}, sleb(n)...) }
func i64(n int64) []byte { return append([]byte{0x42}, sleb(n)...) }
func join(parts ...[]byte) (out []byte) {
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

// pointerAndLength is a pointer and a length as a hook returns them.
func pointerAndLength(pointer, length uint32) []byte {
	return i64(int64(uint64(pointer)<<32 | uint64(length)))
}

// moduleSpec is what differs from module to module.
type moduleSpec struct {
	version            int64
	read, result, tick []byte // bodies, which leave an i64
	start              []byte
	verdict            []byte
	foreign            bool // imports what the program does not offer
}

var (
	continueResult = i64(0)
	infiniteLoop   = []byte{0x03, 0x40, 0x0c, 0x00, 0x0b} // loop, br 0, end
	trap           = []byte{0x00}
	trapOneInTen   = join(i32(0), i32(0), []byte{0x28, 2, 0}, i32(1), []byte{0x6a, 0x36, 2, 0}, // memory[0]++
		i32(0), []byte{0x28, 2, 0}, i32(10), []byte{0x70, 0x45, 0x04, 0x40, 0x00, 0x0b}) // if memory[0]%10 == 0: trap
	recurse = func(fn byte) []byte { return []byte{0x20, 0, 0x20, 1, 0x10, fn} }
	// busy waits for so many milliseconds by the clock.
	busyWait = func(ms int64) []byte {
		return join([]byte{0x10, fnNow, 0x21, 2, 0x03, 0x40, 0x10, fnNow, 0x20, 2, 0x7d}, i64(ms), []byte{0x53, 0x0d, 0, 0x0b})
	}
)

func encodedVerdict(v abi.Verdict) []byte { return v.Append(nil) }

var moduleSpecs = map[string]func() moduleSpec{
	"good": func() moduleSpec { return moduleSpec{} },
	"declines": func() moduleSpec {
		return moduleSpec{verdict: encodedVerdict(abi.Verdict{Actions: abi.ActionReject, Status: 403})}
	},
	"shortens": func() moduleSpec {
		return moduleSpec{verdict: encodedVerdict(abi.Verdict{Actions: abi.ActionReplace, Body: []byte("short")})}
	},
	"tags": func() moduleSpec {
		return moduleSpec{verdict: encodedVerdict(abi.Verdict{Actions: abi.ActionTag, Tag: "vip"})}
	},
	"recategorise": func() moduleSpec {
		return moduleSpec{verdict: encodedVerdict(abi.Verdict{Actions: abi.ActionCategorize, Category: "brief"})}
	},
	"loops": func() moduleSpec {
		return moduleSpec{read: join(infiniteLoop, continueResult), result: join(infiniteLoop, continueResult), tick: join(infiniteLoop, continueResult)}
	},
	"loops-at-start": func() moduleSpec { return moduleSpec{start: infiniteLoop} },
	"asks-4gib":      func() moduleSpec { return moduleSpec{read: join(i32(65535), []byte{0x40, 0, 0x1a}, continueResult)} },
	"asks-bit-by-bit": func() moduleSpec {
		return moduleSpec{read: join([]byte{0x03, 0x40}, i32(1), []byte{0x40, 0, 0x1a, 0x0c, 0, 0x0b}, continueResult)}
	},
	"recurses": func() moduleSpec { return moduleSpec{read: recurse(fnRead), result: recurse(fnResult)} },
	"traps": func() moduleSpec {
		return moduleSpec{read: join(trap, continueResult), result: join(trap, continueResult)}
	},
	"traps-one-in-ten": func() moduleSpec {
		return moduleSpec{read: join(trapOneInTen, continueResult), result: join(trapOneInTen, continueResult)}
	},
	"points-outside": func() moduleSpec {
		return moduleSpec{read: pointerAndLength(0xfffffff0, 64), result: pointerAndLength(0xfffffff0, 64)}
	},
	"answers-1gib": func() moduleSpec {
		return moduleSpec{read: pointerAndLength(0, 1<<30), result: pointerAndLength(0, 1<<30)}
	},
	"status-9999": func() moduleSpec {
		return moduleSpec{verdict: encodedVerdict(abi.Verdict{Actions: abi.ActionReject, Status: 9999})}
	},
	"no-such-category": func() moduleSpec {
		return moduleSpec{verdict: encodedVerdict(abi.Verdict{Actions: abi.ActionCategorize, Category: "nowhere"})}
	},
	"noise": func() moduleSpec { return moduleSpec{verdict: []byte("\xff\x00 no verdict at all")} },
	"logs-without-end": func() moduleSpec {
		return moduleSpec{read: join([]byte{0x03, 0x40}, i32(0), i32(64), []byte{0x10, fnLog, 0x0c, 0, 0x0b}, continueResult)}
	},
	"other-version": func() moduleSpec { return moduleSpec{version: 7} },
	"foreign":       func() moduleSpec { return moduleSpec{foreign: true} },
	"slow-4ms": func() moduleSpec {
		return moduleSpec{read: join(busyWait(4), continueResult), result: join(busyWait(4), continueResult)}
	},
}

// PluginKinds lists the kinds of plug-in that Plugin makes.
func PluginKinds() []string { return slices.Sorted(maps.Keys(moduleSpecs)) }

// PluginModule makes a module of a kind.
func PluginModule(kind string) []byte {
	if kind == "truncated" {
		whole := PluginModule("good")
		return whole[:len(whole)/2]
	}
	s := moduleSpecs[kind]()
	if s.version == 0 {
		s.version = abi.Version
	}
	for _, body := range []*[]byte{&s.read, &s.result, &s.tick} {
		if *body == nil {
			*body = continueResult
			if s.verdict != nil {
				*body = pointerAndLength(verdictAt, uint32(len(s.verdict)))
			}
		}
	}
	const i32t, i64t = 0x7f, 0x7e
	types := vector([]byte{0x60, 0, 1, i32t}, []byte{0x60, 1, i32t, 1, i32t}, []byte{0x60, 2, i32t, i32t, 1, i64t},
		[]byte{0x60, 2, i32t, i32t, 0}, []byte{0x60, 0, 0}, []byte{0x60, 0, 1, i64t})
	log := "log"
	if s.foreign {
		log = "open_socket"
	}
	imports := vector(join(name("thistlequay"), name(log), []byte{0, 3}), join(name("thistlequay"), name("now"), []byte{0, 5}))
	functions := vector([]byte{0}, []byte{1}, []byte{2}, []byte{2}, []byte{2}, []byte{4})
	exports := vector(join(name("memory"), []byte{2, 0}), join(name("tq_abi"), []byte{0, fnABI}),
		join(name("tq_buffer"), []byte{0, fnBuffer}), join(name("tq_read"), []byte{0, fnRead}),
		join(name("tq_result"), []byte{0, fnResult}), join(name("tq_tick"), []byte{0, fnTick}),
		join(name("_initialize"), []byte{0, fnStart}))
	body := func(code []byte) []byte { // one local, an i64
		code = join([]byte{1, 1, i64t}, code, []byte{0x0b})
		return append(uleb(uint32(len(code))), code...)
	}
	code := vector(body(i32(s.version)), body(i32(bufferAt)), body(s.read), body(s.result), body(s.tick), body(s.start))
	out := binary.LittleEndian.AppendUint32([]byte("\x00asm"), 1)
	out = join(out, section(1, types), section(2, imports), section(3, functions), section(5, []byte{1, 0, 1}),
		section(7, exports), section(10, code))
	if s.verdict != nil {
		out = join(out, section(11, vector(join([]byte{0}, i32(verdictAt), []byte{0x0b}, uleb(uint32(len(s.verdict))), s.verdict))))
	}
	return out
}
