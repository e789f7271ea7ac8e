package emulator

import (
	"encoding/binary"

	"thistlequay/internal/plugin/abi"
)

// Bytes of the WebAssembly binary format, version 1 (W3C core specification, chapter 5).
const (
	typeI32      = 0x7f
	typeI64      = 0x7e
	typeFunction = 0x60

	sectionType     = 1
	sectionImport   = 2
	sectionFunction = 3
	sectionMemory   = 5
	sectionExport   = 7
	sectionCode     = 10
	sectionData     = 11

	kindFunction = 0
	kindMemory   = 2

	opUnreachable = 0x00
	opLoop        = 0x03
	opIf          = 0x04
	opEnd         = 0x0b
	opBranch      = 0x0c
	opBranchIf    = 0x0d
	opCall        = 0x10
	opDrop        = 0x1a
	opLocalGet    = 0x20
	opLocalSet    = 0x21
	opI32Load     = 0x28
	opI32Store    = 0x36
	opMemoryGrow  = 0x40
	opI32Const    = 0x41
	opI64Const    = 0x42
	opI32Eqz      = 0x45
	opI64Less     = 0x53 // signed
	opI32Add      = 0x6a
	opI32Rem      = 0x70 // unsigned
	opI64Sub      = 0x7d
	blockEmpty    = 0x40 // the type of a block that leaves nothing
	align4        = 2    // the exponent of an alignment to 4 bytes
)

// Addresses in a module's memory.
const (
	counterAddress = 0    // an i32 that lasts from call to call
	verdictAddress = 64   // the verdict that the module gives
	bufferAddress  = 4096 // where the host writes requests
)

// Functions of a module by their index: the imports come first.
const (
	functionLog = iota
	functionNow
	functionABI
	functionBuffer
	functionRead
	functionResult
	functionTick
	functionStart
)

// Signatures of a module's functions by their index in its type section.
const (
	signatureABI    = iota // () i32
	signatureBuffer        // (i32) i32
	signatureHook          // (i32, i32) i64
	signatureLog           // (i32, i32)
	signatureStart         // ()
	signatureNow           // () i64
)

// firstLocal is the index of the local, an i64, of a hook: its two parameters come before it.
const firstLocal = 2

// unsignedLEB128 and signedLEB128 are the encodings of numbers in a module.
func unsignedLEB128(n uint32) (out []byte) {
	for n >= 0x80 {
		out = append(out, byte(n)|0x80)
		n >>= 7
	}
	return append(out, byte(n))
}

func signedLEB128(n int64) (out []byte) {
	for {
		low := byte(n & 0x7f)
		n >>= 7
		signBit := low&0x40 != 0
		if n == 0 && !signBit || n == -1 && signBit {
			return append(out, low)
		}
		out = append(out, low|0x80)
	}
}

func join(parts ...[]byte) (out []byte) {
	for _, part := range parts {
		out = append(out, part...)
	}
	return out
}

// vector is a module's list: its length, then the items.
func vector(items ...[]byte) []byte {
	return append(unsignedLEB128(uint32(len(items))), join(items...)...)
}

// sized is bytes after their length.
func sized(content []byte) []byte { return append(unsignedLEB128(uint32(len(content))), content...) }

func name(s string) []byte { return sized([]byte(s)) }

func section(id byte, body []byte) []byte { return append([]byte{id}, sized(body)...) }

func i32Const(n int64) []byte { return append([]byte{opI32Const}, signedLEB128(n)...) }

func i64Const(n int64) []byte { return append([]byte{opI64Const}, signedLEB128(n)...) }

// pointerAndLength leaves a pointer and a length as a hook returns them.
func pointerAndLength(pointer, length uint32) []byte {
	return i64Const(int64(uint64(pointer)<<32 | uint64(length)))
}

// loop repeats a body that ends with a branch.
func loop(body ...[]byte) []byte {
	return join([]byte{opLoop, blockEmpty}, join(body...), []byte{opEnd})
}

// moduleSpec is what differs from module to module. Hooks are bodies of functions, which leave an i64.
type moduleSpec struct {
	version            int64  // of the ABI that it says it has; 0 for the right one
	read, result, tick []byte // nil for one that gives the verdict, or continues where there is none
	start              []byte // body of _initialize, which leaves nothing
	verdict            []byte // encoded
	foreignImport      bool   // imports what the host does not offer
}

// defaultHook is the body of a hook that the specification leaves out.
func (s *moduleSpec) defaultHook() []byte {
	if s.verdict == nil {
		return continueRequest
	}
	return pointerAndLength(verdictAddress, uint32(len(s.verdict)))
}

// module puts the module together.
func (s *moduleSpec) module() []byte {
	if s.version == 0 {
		s.version = abi.Version
	}
	for _, hook := range []*[]byte{&s.read, &s.result, &s.tick} {
		if *hook == nil {
			*hook = s.defaultHook()
		}
	}
	out := binary.LittleEndian.AppendUint32([]byte("\x00asm"), 1)
	out = join(out,
		section(sectionType, signatures()),
		section(sectionImport, s.imports()),
		section(sectionFunction, vector([]byte{signatureABI}, []byte{signatureBuffer}, []byte{signatureHook},
			[]byte{signatureHook}, []byte{signatureHook}, []byte{signatureStart})),
		section(sectionMemory, []byte{1, 0, 1}), // one memory, of one page or more
		section(sectionExport, exports()),
		section(sectionCode, vector(function(i32Const(s.version)), function(i32Const(bufferAddress)), function(s.read),
			function(s.result), function(s.tick), function(s.start))))
	if s.verdict != nil {
		segment := join([]byte{0}, i32Const(verdictAddress), []byte{opEnd}, sized(s.verdict))
		out = join(out, section(sectionData, vector(segment)))
	}
	return out
}

// signatures is the type section, in the order of the signature constants.
func signatures() []byte {
	return vector(
		[]byte{typeFunction, 0, 1, typeI32},
		[]byte{typeFunction, 1, typeI32, 1, typeI32},
		[]byte{typeFunction, 2, typeI32, typeI32, 1, typeI64},
		[]byte{typeFunction, 2, typeI32, typeI32, 0},
		[]byte{typeFunction, 0, 0},
		[]byte{typeFunction, 0, 1, typeI64})
}

func (s *moduleSpec) imports() []byte {
	log := "log"
	if s.foreignImport {
		log = "open_socket"
	}
	host := name("thistlequay")
	return vector(
		join(host, name(log), []byte{kindFunction, signatureLog}),
		join(host, name("now"), []byte{kindFunction, signatureNow}))
}

func exports() []byte {
	return vector(
		join(name("memory"), []byte{kindMemory, 0}),
		join(name("tq_abi"), []byte{kindFunction, functionABI}),
		join(name("tq_buffer"), []byte{kindFunction, functionBuffer}),
		join(name("tq_read"), []byte{kindFunction, functionRead}),
		join(name("tq_result"), []byte{kindFunction, functionResult}),
		join(name("tq_tick"), []byte{kindFunction, functionTick}),
		join(name("_initialize"), []byte{kindFunction, functionStart}))
}

// function is a body with one local, an i64.
func function(body []byte) []byte {
	return sized(join([]byte{1, 1, typeI64}, body, []byte{opEnd}))
}
