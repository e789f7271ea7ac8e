package emulator

import (
	"encoding/binary"

	"thistlequay/internal/plugin/abi"
)

// Byte values of the WebAssembly binary format, version 1 (W3C core specification, chapter 5).
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
	blockEmpty    = 0x40 // the type of a block without a result
	align4        = 2    // an alignment of 4 bytes, as a power of 2
)

// Addresses in a module's memory.
const (
	counterAddress = 0    // an i32 that keeps its value between calls
	verdictAddress = 64   // the encoded verdict that the module returns
	bufferAddress  = 4096 // the buffer into which the host writes requests
)

// Indices of the functions of a module. Imported functions come first.
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

// Indices of the function signatures in a module's type section.
const (
	signatureABI    = iota // () i32
	signatureBuffer        // (i32) i32
	signatureHook          // (i32, i32) i64
	signatureLog           // (i32, i32)
	signatureStart         // ()
	signatureNow           // () i64
)

// firstLocal is the index of a hook's local variable, an i64. The hook's two parameters have the indices before it.
const firstLocal = 2

// unsignedLEB128 returns the unsigned LEB128 encoding of a number, which modules use for indices and lengths.
func unsignedLEB128(n uint32) (out []byte) {
	for n >= 0x80 {
		out = append(out, byte(n)|0x80)
		n >>= 7
	}
	return append(out, byte(n))
}

// signedLEB128 returns the signed LEB128 encoding of a number, which modules use for constants.
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

// concat returns the concatenation of the parts.
func concat(parts ...[]byte) (out []byte) {
	for _, part := range parts {
		out = append(out, part...)
	}
	return out
}

// encodeVector returns the encoding of a vector: the number of items, then the items.
func encodeVector(items ...[]byte) []byte {
	return append(unsignedLEB128(uint32(len(items))), concat(items...)...)
}

// sizePrefixed returns the data preceded by its length in bytes.
func sizePrefixed(data []byte) []byte { return append(unsignedLEB128(uint32(len(data))), data...) }

// encodeName returns the encoding of a name.
func encodeName(s string) []byte { return sizePrefixed([]byte(s)) }

// encodeSection returns the encoding of a section.
func encodeSection(id byte, body []byte) []byte { return append([]byte{id}, sizePrefixed(body)...) }

// i32Const returns the instruction that pushes an i32 constant.
func i32Const(n int64) []byte { return append([]byte{opI32Const}, signedLEB128(n)...) }

// i64Const returns the instruction that pushes an i64 constant.
func i64Const(n int64) []byte { return append([]byte{opI64Const}, signedLEB128(n)...) }

// pointerAndLength returns the instruction that pushes the result of a hook, an i64 with the pointer in the upper 32
// bits and the length in the lower 32 bits.
func pointerAndLength(pointer, length uint32) []byte {
	return i64Const(int64(uint64(pointer)<<32 | uint64(length)))
}

// loopBlock returns a loop block. Its body must end with a branch if it is to repeat.
func loopBlock(body ...[]byte) []byte {
	return concat([]byte{opLoop, blockEmpty}, concat(body...), []byte{opEnd})
}

// moduleSpec specifies the parts in which modules differ. Hooks are function bodies that leave an i64 on the stack.
type moduleSpec struct {
	abiVersion         int64  // the ABI version that the module reports; 0 means abi.Version
	read, result, tick []byte // hook bodies; nil means defaultHook
	start              []byte // the body of _initialize, which leaves nothing on the stack
	verdict            []byte // the encoded verdict that the default hooks return; nil for none
	hasUnknownImport   bool   // whether the module imports a function that the host does not provide
}

// defaultHook returns the body of a hook that the specification leaves out. The hook returns the verdict, or lets the
// request continue if there is no verdict.
func (s *moduleSpec) defaultHook() []byte {
	if s.verdict == nil {
		return continueRequest
	}
	return pointerAndLength(verdictAddress, uint32(len(s.verdict)))
}

// assemble returns the encoded module. It first fills in the defaults of the specification.
func (s *moduleSpec) assemble() []byte {
	if s.abiVersion == 0 {
		s.abiVersion = abi.Version
	}
	for _, hook := range []*[]byte{&s.read, &s.result, &s.tick} {
		if *hook == nil {
			*hook = s.defaultHook()
		}
	}
	out := binary.LittleEndian.AppendUint32([]byte("\x00asm"), 1)
	out = concat(out,
		encodeSection(sectionType, typeSection()),
		encodeSection(sectionImport, s.importSection()),
		encodeSection(sectionFunction, encodeVector([]byte{signatureABI}, []byte{signatureBuffer},
			[]byte{signatureHook}, []byte{signatureHook}, []byte{signatureHook}, []byte{signatureStart})),
		encodeSection(sectionMemory, []byte{1, 0, 1}), // one memory of at least one page
		encodeSection(sectionExport, exportSection()),
		encodeSection(sectionCode, encodeVector(
			encodeFunction(i32Const(s.abiVersion)), encodeFunction(i32Const(bufferAddress)), encodeFunction(s.read),
			encodeFunction(s.result), encodeFunction(s.tick), encodeFunction(s.start))))
	if s.verdict != nil {
		segment := concat([]byte{0}, i32Const(verdictAddress), []byte{opEnd}, sizePrefixed(s.verdict))
		out = concat(out, encodeSection(sectionData, encodeVector(segment)))
	}
	return out
}

// typeSection returns the contents of the type section, in the order of the signature constants.
func typeSection() []byte {
	return encodeVector(
		[]byte{typeFunction, 0, 1, typeI32},
		[]byte{typeFunction, 1, typeI32, 1, typeI32},
		[]byte{typeFunction, 2, typeI32, typeI32, 1, typeI64},
		[]byte{typeFunction, 2, typeI32, typeI32, 0},
		[]byte{typeFunction, 0, 0},
		[]byte{typeFunction, 0, 1, typeI64})
}

// importSection returns the contents of the import section.
func (s *moduleSpec) importSection() []byte {
	log := "log"
	if s.hasUnknownImport {
		log = "open_socket"
	}
	host := encodeName("thistlequay")
	return encodeVector(
		concat(host, encodeName(log), []byte{kindFunction, signatureLog}),
		concat(host, encodeName("now"), []byte{kindFunction, signatureNow}))
}

// exportSection returns the contents of the export section.
func exportSection() []byte {
	return encodeVector(
		concat(encodeName("memory"), []byte{kindMemory, 0}),
		concat(encodeName("tq_abi"), []byte{kindFunction, functionABI}),
		concat(encodeName("tq_buffer"), []byte{kindFunction, functionBuffer}),
		concat(encodeName("tq_read"), []byte{kindFunction, functionRead}),
		concat(encodeName("tq_result"), []byte{kindFunction, functionResult}),
		concat(encodeName("tq_tick"), []byte{kindFunction, functionTick}),
		concat(encodeName("_initialize"), []byte{kindFunction, functionStart}))
}

// encodeFunction returns the encoding of a function with the given body and one local variable, an i64.
func encodeFunction(body []byte) []byte {
	return sizePrefixed(concat([]byte{1, 1, typeI64}, body, []byte{opEnd}))
}
