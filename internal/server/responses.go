package server

import (
	"strconv"

	"thistlequay/timeunit"
)

// The status lines that a router may be answered, apart from those of requests that cannot be accepted (see
// statusError). Routers compare them: a change is a change of the protocol.
const (
	statusOK              = "200 OK"
	statusRequestTimeout  = "408 Not whole in time"
	statusRunFailed       = "500 The run failed"
	statusSharedRunFailed = "500 The other try failed"
	statusAborted         = "500 Broken off"
	statusRejected        = "503 Declined"
	statusStarting        = "503 Starting"
	statusLeaving         = "503 Leaving"

	// statusRejectedByPlugin follows the number that the plug-in chose.
	statusRejectedByPlugin = " Declined by a plug-in"
)

// finalRejectionHeader tells the router that no other server would accept the request either.
const finalRejectionHeader = "Final-Refusal: 1\r\n"

// retryAfterHeader tells the router how long to stay away, in whole milliseconds rounded up; it is empty for not at
// all.
func retryAfterHeader(retryAfter timeunit.Ticks) string {
	if retryAfter <= 0 {
		return ""
	}
	roundedUp := retryAfter + timeunit.TicksPerMillisecond - 1
	return "Back-Off-Ms: " + strconv.FormatInt(roundedUp.Milliseconds(), 10) + "\r\n"
}

// statusError says why a request cannot be accepted, in the status line of its answer.
type statusError struct{ status string }

// Error implements error.
func (e *statusError) Error() string { return e.status }

// What a request may be answered with that is not accepted, in the order in which it is looked for.
var (
	errUnknownPath     = &statusError{"404 Unknown path"}
	errUnknownCategory = &statusError{"404 Unknown category"}
	errMethod          = &statusError{"405 Method"}
	errBodyTooLong     = &statusError{"413 Body too long"}
	errContentLength   = &statusError{"400 Content-Length"}
	errDuplicateField  = &statusError{"400 A field came twice"}
	errRequestID       = &statusError{"400 Request-Id is not 16 hex digits"}
	errRequestIDInUse  = &statusError{"400 Request-Id is in hand already"}
	errReceivedAt      = &statusError{"400 Received-At"}
	errBudget          = &statusError{"400 Budget-Ms"}
	errSentBy          = &statusError{"400 Sent-By"}
	errFootprint       = &statusError{"400 Footprint-Kb"}
	errPriorityRank    = &statusError{"400 Priority-Rank"}
	errAccount         = &statusError{"400 Account"}
	errOnceKey         = &statusError{"400 Once-Key"}

	// errKeyReused: the idempotency key came before, with another body.
	errKeyReused = &statusError{"422 Once-Key with another body"}
)
