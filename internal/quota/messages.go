package quota

import "thistlequay/timeunit"

// The types of this file travel between servers and are stored on disk as CBOR maps with the integer keys of their
// tags. The keys must not change.

// Change is one step of a Command: it sets the lease of a server, ends it, or sets the total of a limit.
type Change struct {
	// Server names the incarnation of the server whose lease changes. An empty name makes this a change of Total.
	Server string `cbor:"1,keyasint,omitempty"`

	// LeaseVersion is the number of the new lease. It grows with every lease of the same limit and log.
	LeaseVersion uint64 `cbor:"2,keyasint,omitempty"`

	// Amount is what the new lease allows beyond the guaranteed minimum.
	Amount Amount `cbor:"3,keyasint,omitempty"`

	// Total is the new total of the limit, in a change without a server.
	Total Amount `cbor:"4,keyasint,omitempty"`

	// Expired says that the lease is over on every clock, so that from now on others may have what it allowed.
	Expired bool `cbor:"5,keyasint,omitempty"`

	// LimitIndex is the position of the limit in the LimitSet.
	LimitIndex int `cbor:"6,keyasint,omitempty"`
}

// Command is one entry of the log that all coordinators apply.
type Command struct {
	// Open allows leases in this log. It says that all leases of any earlier log have expired.
	Open bool `cbor:"1,keyasint,omitempty"`

	// Revision is the revision of the settings that the totals are from. Zero means that they stay as they are.
	Revision uint64 `cbor:"2,keyasint,omitempty"`

	// Changes are applied in their order.
	Changes []Change `cbor:"3,keyasint,omitempty"`
}

// Request is what one incarnation of a server asks the leader for: one LimitRequest per limit, in the order of the
// limits.
type Request struct {
	// ConfigDigest covers all of the configuration except the totals. A server with another configuration gets nothing.
	ConfigDigest uint32 `cbor:"1,keyasint"`

	// Revision is the revision of the server's settings.
	Revision uint64 `cbor:"2,keyasint"`

	// Totals are those of the server's settings, one per limit. They are taken up when Revision is new to the leader.
	Totals []Amount `cbor:"3,keyasint"`

	Limits []LimitRequest `cbor:"4,keyasint"`
}

// LimitRequest is the part of a Request that is about one limit. A server sends requestsPerLease of them in the
// duration of a lease.
type LimitRequest struct {
	// Server names the incarnation of the server.
	Server string `cbor:"1,keyasint"`

	// RequestedAt is the time by the server's clock. The response repeats it.
	RequestedAt timeunit.Milliseconds `cbor:"2,keyasint"`

	// HeldVersion is the version of the lease that covers all that the server uses, zero if its use exceeds the lease.
	HeldVersion uint64 `cbor:"3,keyasint"`

	// Desired is what the server would like to have beyond its guaranteed minimum.
	Desired Amount `cbor:"4,keyasint"`

	// Required is the part of Desired that the server would surely use. The rest is room for bursts, leased only
	// where no other server requires it.
	Required Amount `cbor:"6,keyasint"`

	// LogID is the log that HeldVersion belongs to.
	LogID uint64 `cbor:"5,keyasint"`
}

// Response answers a Request: one LimitResponse per limit, in the order of the limits.
type Response struct {
	Limits []LimitResponse `cbor:"1,keyasint"`
}

// LimitResponse is the part of a Response that is about one limit. With a LeaseVersion of zero nothing is leased.
type LimitResponse struct {
	RequestedAt   timeunit.Milliseconds `cbor:"1,keyasint"`
	LeaseVersion  uint64                `cbor:"2,keyasint"`
	Amount        Amount                `cbor:"3,keyasint"`
	LeaseDuration timeunit.Milliseconds `cbor:"4,keyasint"`

	// LogID is the log that LeaseVersion belongs to. Versions of two logs must not be compared.
	LogID uint64 `cbor:"5,keyasint"`
}

// Snapshot is the state of a LimitSet after a number of commands. It takes the place of those commands in the log.
type Snapshot struct {
	Opened   bool            `cbor:"1,keyasint"`
	Revision uint64          `cbor:"2,keyasint"`
	Limits   []LimitSnapshot `cbor:"3,keyasint"`
}

// LimitSnapshot is the state of one Allocator.
type LimitSnapshot struct {
	LastVersion    uint64 `cbor:"1,keyasint"`
	TargetTotal    Amount `cbor:"2,keyasint"`
	EffectiveTotal Amount `cbor:"3,keyasint"`

	// Leases are sorted by server. Those of one server are in the order in which they were made, the newest one last.
	Leases []Change `cbor:"4,keyasint"`
}
