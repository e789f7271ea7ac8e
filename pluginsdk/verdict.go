// Package pluginsdk is what a plug-in written in Go is made of. Build a plug-in with
//
//	GOOS=wasip1 GOARCH=wasm go build -buildmode=c-shared -ldflags="-s -w" -o rule.wasm .
//
// and set OnRead, OnResult and OnTick in an init function. docs/plugin/authors.md leads from nothing to a loaded
// plug-in.
//
// A rule that calls none of the host functions (Log, Count, Get, Put, Now, Random) can be tested on any platform; the
// host functions exist in a module only.
package pluginsdk

import "thistlequay/internal/plugin/abi"

// Request is what a plug-in is called about. TimeLeftMS is the time until the request's deadline and UnixMS the time,
// both in milliseconds; Body is the body of the request or, for OnResult, the result.
type Request = abi.Request

// The functions that the plug-in is called by. They are set in init functions; one that is nil does nothing.
var (
	// OnRead is called about a request that has been read and was not admitted yet.
	OnRead func(Request) Verdict

	// OnResult is called about the result of a request that has succeeded and is not answered yet.
	OnResult func(Request) Verdict

	// OnTick is called at intervals, about no request.
	OnTick func(Request)
)

// Verdict is a plug-in's answer. The zero Verdict changes nothing. Its methods return it with one action more.
type Verdict struct{ message abi.Verdict }

// Reject rejects the request with a status: 400 to 499, or 503.
func (v Verdict) Reject(status int) Verdict {
	v.message.Actions |= abi.ActionReject
	v.message.Status = status
	return v
}

// Categorize has the request treated as one of another category.
func (v Verdict) Categorize(category string) Verdict {
	v.message.Actions |= abi.ActionCategorize
	v.message.Category = category
	return v
}

// Tag sets a tag that later plug-ins and fair queueing see.
func (v Verdict) Tag(tag string) Verdict {
	v.message.Actions |= abi.ActionTag
	v.message.Tag = tag
	return v
}

// Replace replaces the result by a shorter one.
func (v Verdict) Replace(result []byte) Verdict {
	v.message.Actions |= abi.ActionReplace
	v.message.Body = result
	return v
}
