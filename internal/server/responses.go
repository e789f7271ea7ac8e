package server

import (
	"strconv"

	"thistlequay/timeunit"
)

// Status lines of responses to routers, apart from those for invalid requests (see statusError). Routers compare them,
// so a change to one of them is a change to the protocol.
const (
	statusOK              = "200 OK"
	statusRequestTimeout  = "408 Not whole in time"
	statusRunFailed       = "500 The run failed"
	statusSharedRunFailed = "500 The other try failed"
	statusAborted         = "500 Broken off"
	statusRejected        = "503 Declined"
	statusStarting        = "503 Starting"
	statusLeaving         = "503 Leaving"

	// statusRejectedByPlugin is appended to the status code that the plug-in chose.
	statusRejectedByPlugin = " Declined by a plug-in"
)

// finalRejectionHeader tells the router not to retry on another server, as no other would accept the request either.
const finalRejectionHeader = "Final-Refusal: 1\r\n"

// retryAfterHeader returns the header that tells the router how long to wait before a retry, in milliseconds and
// rounded up. It returns an empty string if retryAfter is not positive.
func retryAfterHeader(retryAfter timeunit.Ticks) string {
	if retryAfter <= 0 {
		return ""
	}
	roundedUp := retryAfter + timeunit.TicksPerMillisecond - 1
	return "Back-Off-Ms: " + strconv.FormatInt(roundedUp.Milliseconds(), 10) + "\r\n"
}

// statusError is the error for an invalid request. It holds the status line of the response.
type statusError struct{ status string }

// Error implements error.
func (e *statusError) Error() string { return e.status }

// Errors for invalid requests, in the order in which they are checked.
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

	// errKeyReused means that the idempotency key was used before with another body.
	errKeyReused = &statusError{"422 Once-Key with another body"}
)
