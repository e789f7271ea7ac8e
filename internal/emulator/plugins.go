package emulator

import "thistlequay/internal/plugin/abi"

// This file defines correct and faulty plug-ins. Their WebAssembly modules are assembled in Go, so that tests need no
// other toolchain. Apart from the fault that its kind names, each plug-in follows docs/plugin/authors.md.

// Function bodies of hooks, or parts of them.
var (
	continueRequest = i64Const(0)
	infiniteLoop    = loopBlock([]byte{opBranch, 0})
	trap            = []byte{opUnreachable}
	trapOneInTen    = concat(
		// memory[counter]++
		i32Const(counterAddress), i32Const(counterAddress), []byte{opI32Load, align4, 0}, i32Const(1),
		[]byte{opI32Add, opI32Store, align4, 0},
		// if memory[counter] % 10 == 0 { trap }
		i32Const(counterAddress), []byte{opI32Load, align4, 0}, i32Const(10), []byte{opI32Rem, opI32Eqz},
		[]byte{opIf, blockEmpty, opUnreachable, opEnd})
)

// callWithOwnParameters returns a hook body that calls the given function with its own parameters. It recurses without
// end if the function is the hook itself.
func callWithOwnParameters(function byte) []byte {
	return []byte{opLocalGet, 0, opLocalGet, 1, opCall, function}
}

// busyWait returns code that spins for the given number of milliseconds of the host's clock.
func busyWait(ms int64) []byte {
	setStart := []byte{opCall, functionNow, opLocalSet, firstLocal}
	elapsed := []byte{opCall, functionNow, opLocalGet, firstLocal, opI64Sub}
	repeatIfLess := []byte{opI64Less, opBranchIf, 0}
	return concat(setStart, loopBlock(elapsed, i64Const(ms), repeatIfLess))
}

// growMemory returns code that grows the memory by the given number of 64 KiB pages and ignores the result.
func growMemory(pages int64) []byte {
	return concat(i32Const(pages), []byte{opMemoryGrow, 0, opDrop})
}

// logRepeatedly logs the same 64 bytes in an infinite loop.
var logRepeatedly = loopBlock(i32Const(0), i32Const(64), []byte{opCall, functionLog, opBranch, 0})

// verdictSpec returns the specification of a module whose hooks always return the given verdict.
func verdictSpec(v abi.Verdict) moduleSpec { return moduleSpec{verdict: v.Append(nil)} }

// hookSpec returns the specification of a module whose read and result hooks have the given body.
func hookSpec(body []byte) moduleSpec { return moduleSpec{read: body, result: body} }

// moduleSpecs maps the kind of each plug-in to the specification of its module.
var moduleSpecs = map[string]moduleSpec{
	"good":     {},
	"declines": verdictSpec(abi.Verdict{Actions: abi.ActionReject, Status: 403}),
	"shortens": verdictSpec(abi.Verdict{Actions: abi.ActionReplace, Body: []byte("short")}),
	"tags":     verdictSpec(abi.Verdict{Actions: abi.ActionTag, Tag: "vip"}),

	"recategorise":     verdictSpec(abi.Verdict{Actions: abi.ActionCategorize, Category: "brief"}),
	"no-such-category": verdictSpec(abi.Verdict{Actions: abi.ActionCategorize, Category: "nowhere"}),
	"status-9999":      verdictSpec(abi.Verdict{Actions: abi.ActionReject, Status: 9999}),
	"noise":            {verdict: []byte("\xff\x00 no verdict at all")},

	"loops": {
		read:   concat(infiniteLoop, continueRequest),
		result: concat(infiniteLoop, continueRequest),
		tick:   concat(infiniteLoop, continueRequest),
	},
	"loops-at-start":   {start: infiniteLoop},
	"logs-without-end": {read: concat(logRepeatedly, continueRequest)},
	"slow-4ms":         hookSpec(concat(busyWait(4), continueRequest)),

	"asks-4gib":       {read: concat(growMemory(65535), continueRequest)},
	"asks-bit-by-bit": {read: concat(loopBlock(growMemory(1), []byte{opBranch, 0}), continueRequest)},

	"recurses":         {read: callWithOwnParameters(functionRead), result: callWithOwnParameters(functionResult)},
	"traps":            hookSpec(concat(trap, continueRequest)),
	"traps-one-in-ten": hookSpec(concat(trapOneInTen, continueRequest)),

	"points-outside": hookSpec(pointerAndLength(0xfffffff0, 64)),
	"answers-1gib":   hookSpec(pointerAndLength(0, 1<<30)),

	"other-version": {abiVersion: 7},
	"foreign":       {hasUnknownImport: true},
}

// truncatedKind is the kind of a plug-in that consists of the first half of a good module.
const truncatedKind = "truncated"

// PluginModule returns the WebAssembly module of the plug-in of the given kind, which is a key of moduleSpecs or
// "truncated". It panics if the kind is unknown.
func PluginModule(kind string) []byte {
	if kind == truncatedKind {
		complete := PluginModule("good")
		return complete[:len(complete)/2]
	}
	spec, known := moduleSpecs[kind]
	if !known {
		panic("unknown plug-in kind: " + kind)
	}
	return spec.assemble()
}
