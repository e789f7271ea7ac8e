package quota

import "thistlequay/timeunit"

// The types in this file are sent between servers and stored on disk as CBOR maps with the integer keys of their struct
// tags. The keys must not change.

// Change is one step of a Command. It sets or ends the lease of a server, or sets the total of a limit.
type Change struct {
	// Server names the server incarnation whose lease changes. If it is empty, the change sets Total.
	Server string `cbor:"1,keyasint,omitempty"`

	// LeaseVersion is the version of the new lease. Versions increase with every lease of the same limit and log.
	LeaseVersion uint64 `cbor:"2,keyasint,omitempty"`

	// Amount is the amount that the new lease allows beyond the guaranteed minimum.
	Amount Amount `cbor:"3,keyasint,omitempty"`

	// Total is the new total of the limit. It is used only if Server is empty.
	Total Amount `cbor:"4,keyasint,omitempty"`

	// Expired states that the lease has expired on every clock, so that its amount may be leased to other servers.
	Expired bool `cbor:"5,keyasint,omitempty"`

	// LimitIndex is the index of the limit in the LimitSet.
	LimitIndex int `cbor:"6,keyasint,omitempty"`
}

// Command is one entry of the replicated log that all coordinators apply.
type Command struct {
	// Open permits leases in this log. It states that all leases of earlier logs have expired.
	Open bool `cbor:"1,keyasint,omitempty"`

	// Revision is the revision of the settings that the totals come from. Zero means that the totals do not change.
	Revision uint64 `cbor:"2,keyasint,omitempty"`

	// Changes are applied in order.
	Changes []Change `cbor:"3,keyasint,omitempty"`
}

// Request is sent by one server incarnation to the leader. It contains one LimitRequest per limit, in the order of the
// limits.
type Request struct {
	// ConfigDigest covers the whole configuration except the totals. The leader grants nothing to a server with a
	// different digest.
	ConfigDigest uint32 `cbor:"1,keyasint"`

	// Revision is the revision of the server's settings.
	Revision uint64 `cbor:"2,keyasint"`

	// Totals are the totals in the server's settings, one per limit. The leader adopts them if Revision is new to it.
	Totals []Amount `cbor:"3,keyasint"`

	Limits []LimitRequest `cbor:"4,keyasint"`
}

// LimitRequest is the part of a Request that concerns one limit. A server sends requestsPerLease of them per lease
// duration.
type LimitRequest struct {
	// Server names the server incarnation.
	Server string `cbor:"1,keyasint"`

	// RequestedAt is the time of the request on the server's clock. The response repeats it.
	RequestedAt timeunit.Milliseconds `cbor:"2,keyasint"`

	// HeldVersion is the version of the lease that covers the server's entire usage. It is zero if the usage exceeds
	// the lease.
	HeldVersion uint64 `cbor:"3,keyasint"`

	// Desired is the amount that the server requests beyond its guaranteed minimum.
	Desired Amount `cbor:"4,keyasint"`

	// Required is the part of Desired that the server is certain to use. The rest is headroom for bursts and is leased
	// only if no other server requires it.
	Required Amount `cbor:"6,keyasint"`

	// LogID identifies the log that HeldVersion belongs to.
	LogID uint64 `cbor:"5,keyasint"`
}

// Response answers a Request. It contains one LimitResponse per limit, in the order of the limits.
type Response struct {
	Limits []LimitResponse `cbor:"1,keyasint"`
}

// LimitResponse is the part of a Response that concerns one limit. If LeaseVersion is zero, no lease is granted.
type LimitResponse struct {
	RequestedAt   timeunit.Milliseconds `cbor:"1,keyasint"`
	LeaseVersion  uint64                `cbor:"2,keyasint"`
	Amount        Amount                `cbor:"3,keyasint"`
	LeaseDuration timeunit.Milliseconds `cbor:"4,keyasint"`

	// LogID identifies the log that LeaseVersion belongs to. Versions of different logs must not be compared.
	LogID uint64 `cbor:"5,keyasint"`
}

// Snapshot is the state of a LimitSet after some number of commands. It replaces those commands in the log.
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

	// Leases are sorted by server. The leases of one server are ordered from oldest to newest.
	Leases []Change `cbor:"4,keyasint"`
}
