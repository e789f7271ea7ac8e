// Package pluginsdk is the SDK for plug-ins written in Go. Build a plug-in with
//
//	GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -ldflags="-s -w" -o rule.wasm .
//
// and set OnRead, OnResult and OnTick in an init function. docs/plugin/authors.md is a step-by-step guide from an empty
// directory to a loaded plug-in.
//
// Code that calls none of the host functions (Log, Count, Get, Put, Now, Random) can be tested on any platform; the
// host functions exist only in a WebAssembly module.
package pluginsdk

import "thistlequay/internal/plugin/abi"

// Request describes the request or result that a plug-in is called for. TimeLeftMS is the time until the request's
// deadline in milliseconds, and UnixMS is the current time in milliseconds since 1970. Body is the body of the request
// or, for OnResult, the result.
type Request = abi.Request

// Hook functions of the plug-in, which it sets in init functions. A nil function is not called.
var (
	// OnRead is called for a request that has been read but not yet admitted.
	OnRead func(Request) Verdict

	// OnResult is called for the result of a request that has succeeded but has not yet been answered.
	OnResult func(Request) Verdict

	// OnTick is called at regular intervals, without a request.
	OnTick func(Request)
)

// Verdict is a plug-in's response to a call. The zero Verdict changes nothing. Each method returns a copy of the
// verdict with one more action.
type Verdict struct{ message abi.Verdict }

// Reject rejects the request with the given status, which must be 400 to 499 or 503.
func (v Verdict) Reject(status int) Verdict {
	v.message.Actions |= abi.ActionReject
	v.message.Status = status
	return v
}

// Categorize makes the server treat the request as one of the given category.
func (v Verdict) Categorize(category string) Verdict {
	v.message.Actions |= abi.ActionCategorize
	v.message.Category = category
	return v
}

// Tag sets a tag that later plug-ins and fair queueing use.
func (v Verdict) Tag(tag string) Verdict {
	v.message.Actions |= abi.ActionTag
	v.message.Tag = tag
	return v
}

// Replace replaces the result with the given one, which must be shorter.
func (v Verdict) Replace(result []byte) Verdict {
	v.message.Actions |= abi.ActionReplace
	v.message.Body = result
	return v
}
