package quota

import (
	"slices"

	"thistlequay/timeunit"
)

// lease is what the allocator knows of one server: its lease, and all earlier amounts that it may still use.
type lease struct {
	version       uint64 // zero until the first lease
	amount        Amount
	previous      []previousLease
	expiresAt     timeunit.Milliseconds // by the leader's clock; nothing of the lease is in use afterwards
	desired       Amount                // by the last request
	required      Amount                // by the last request
	lastRequestAt timeunit.Milliseconds
}

// previousLease is an earlier lease whose holder has not confirmed yet that it keeps to a later one.
type previousLease struct {
	version uint64
	amount  Amount
}

// outstanding is the most that the server may be using beyond its guaranteed minimum.
func (l *lease) outstanding() Amount {
	most := l.amount
	for _, earlier := range l.previous {
		most = max(most, earlier.amount)
	}
	return most
}

// recordRequest takes up what the server desires and which lease it keeps to. Nothing is desired beyond the limit's
// total.
func (l *lease) recordRequest(request LimitRequest, total Amount, now timeunit.Milliseconds) {
	l.desired = min(request.Desired, total)
	l.required = min(request.Required, total)
	l.lastRequestAt = now
}

// confirmHeld forgets the previous leases that no longer count once all that the server uses is covered by a version.
func (l *lease) confirmHeld(version uint64) {
	l.previous = slices.DeleteFunc(l.previous, func(earlier previousLease) bool {
		return earlier.version < version || version == l.version
	})
}
