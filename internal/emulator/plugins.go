package emulator

import "thistlequay/internal/plugin/abi"

// Faulty and correct plug-ins, as WebAssembly modules that are assembled here so that tests need no other tool chain.
// Each follows docs/plugin/authors.md except for the fault of its kind.

// Bodies of hooks.
var (
	continueRequest = i64Const(0)
	infiniteLoop    = loop([]byte{opBranch, 0})
	trap            = []byte{opUnreachable}
	trapOneInTen    = join(
		// memory[counter]++
		i32Const(counterAddress), i32Const(counterAddress), []byte{opI32Load, align4, 0}, i32Const(1),
		[]byte{opI32Add, opI32Store, align4, 0},
		// if memory[counter] % 10 == 0 { trap }
		i32Const(counterAddress), []byte{opI32Load, align4, 0}, i32Const(10), []byte{opI32Rem, opI32Eqz},
		[]byte{opIf, blockEmpty, opUnreachable, opEnd})
)

// recurse calls a hook from itself with its own parameters.
func recurse(function byte) []byte {
	return []byte{opLocalGet, 0, opLocalGet, 1, opCall, function}
}

// busyWait spins for so many milliseconds by the host's clock.
func busyWait(ms int64) []byte {
	setStart := []byte{opCall, functionNow, opLocalSet, firstLocal}
	elapsed := []byte{opCall, functionNow, opLocalGet, firstLocal, opI64Sub}
	repeatIfLess := []byte{opI64Less, opBranchIf, 0}
	return join(setStart, loop(elapsed, i64Const(ms), repeatIfLess))
}

// growMemory asks for so many pages of 64 KiB and ignores whether it has them.
func growMemory(pages int64) []byte {
	return join(i32Const(pages), []byte{opMemoryGrow, 0, opDrop})
}

// logRepeatedly logs the same 64 bytes without end.
var logRepeatedly = loop(i32Const(0), i32Const(64), []byte{opCall, functionLog, opBranch, 0})

// verdictSpec is a module that gives one verdict to every request and result.
func verdictSpec(v abi.Verdict) moduleSpec { return moduleSpec{verdict: v.Append(nil)} }

// hookSpec is a module whose read and result hooks have the same body.
func hookSpec(body []byte) moduleSpec { return moduleSpec{read: body, result: body} }

// moduleSpecs are the modules by kind.
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
		read:   join(infiniteLoop, continueRequest),
		result: join(infiniteLoop, continueRequest),
		tick:   join(infiniteLoop, continueRequest),
	},
	"loops-at-start":   {start: infiniteLoop},
	"logs-without-end": {read: join(logRepeatedly, continueRequest)},
	"slow-4ms":         hookSpec(join(busyWait(4), continueRequest)),

	"asks-4gib":       {read: join(growMemory(65535), continueRequest)},
	"asks-bit-by-bit": {read: join(loop(growMemory(1), []byte{opBranch, 0}), continueRequest)},

	"recurses":         {read: recurse(functionRead), result: recurse(functionResult)},
	"traps":            hookSpec(join(trap, continueRequest)),
	"traps-one-in-ten": hookSpec(join(trapOneInTen, continueRequest)),

	"points-outside": hookSpec(pointerAndLength(0xfffffff0, 64)),
	"answers-1gib":   hookSpec(pointerAndLength(0, 1<<30)),

	"other-version": {version: 7},
	"foreign":       {foreignImport: true},
}

// kindTruncated is the first half of a good module.
const kindTruncated = "truncated"

// PluginModule returns the WebAssembly module of a kind: a key of moduleSpecs, or "truncated". It panics for an unknown
// kind.
func PluginModule(kind string) []byte {
	if kind == kindTruncated {
		complete := PluginModule("good")
		return complete[:len(complete)/2]
	}
	spec, known := moduleSpecs[kind]
	if !known {
		panic("no plug-in of kind " + kind)
	}
	return spec.module()
}
