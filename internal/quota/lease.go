package quota

import (
	"slices"

	"thistlequay/timeunit"
)

// lease is the allocator's record of one server: its current lease, previous leases that it may still use, and its
// demand.
type lease struct {
	version       uint64 // zero if the server has no lease
	amount        Amount
	previous      []previousLease
	expiresAt     timeunit.Milliseconds // on the leader's clock; no work under the lease continues afterwards
	desired       Amount                // in the last request
	required      Amount                // in the last request
	lastRequestAt timeunit.Milliseconds
}

// previousLease is an earlier lease whose holder has not yet confirmed a later version.
type previousLease struct {
	version uint64
	amount  Amount
}

// outstanding returns the maximum amount that the server may be using beyond its guaranteed minimum.
func (l *lease) outstanding() Amount {
	largest := l.amount
	for _, earlier := range l.previous {
		largest = max(largest, earlier.amount)
	}
	return largest
}

// recordRequest records the demand reported in a request, capped at the total of the limit.
func (l *lease) recordRequest(request LimitRequest, total Amount, now timeunit.Milliseconds) {
	l.desired = min(request.Desired, total)
	l.required = min(request.Required, total)
	l.lastRequestAt = now
}

// confirmHeld drops the previous leases that the server no longer uses, given that all of its usage is covered by the
// lease with the given version.
func (l *lease) confirmHeld(version uint64) {
	l.previous = slices.DeleteFunc(l.previous, func(earlier previousLease) bool {
		return earlier.version < version || version == l.version
	})
}
