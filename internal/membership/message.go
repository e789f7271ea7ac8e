package membership

import (
	"cmp"

	"thistlequay/timeunit"
)

// Ballot orders the proposals for the configuration that follows one epoch, as in Paxos. The zero value is lower than
// the ballot of every proposal.
type Ballot struct {
	Round    uint64 `cbor:"1,keyasint"`
	Proposer ID     `cbor:"2,keyasint"`
}

func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), b.Proposer.Compare(other.Proposer))
}

// MessageKind is the type of a Message. The values are part of the wire format; unknown kinds are ignored.
type MessageKind int

// The kinds of messages.
const (
	// MessageLeaseRequest asks a voter for a lease grant in an epoch.
	MessageLeaseRequest MessageKind = iota + 1
	// MessageLeaseGrant grants the lease, for the lease duration of the configuration, starting at RequestedAt.
	MessageLeaseGrant
	// MessagePrepare asks an acceptor to promise that it accepts nothing under a lower ballot (phase 1a).
	MessagePrepare
	// MessagePromise makes that promise and carries the configuration accepted before, if any (phase 1b).
	MessagePromise
	// MessageAccept asks an acceptor to accept a configuration under a ballot (phase 2a).
	MessageAccept
	// MessageAccepted confirms that the configuration was accepted (phase 2b).
	MessageAccepted
	// MessageCommitted carries the configuration chosen for an epoch.
	MessageCommitted
)

// Message is a message between the Agreements of two members.
type Message struct {
	Kind           MessageKind           `cbor:"1,keyasint"`
	From           ID                    `cbor:"2,keyasint"`
	Epoch          uint64                `cbor:"3,keyasint"`           // epoch of the sender's configuration
	RequestedAt    timeunit.Milliseconds `cbor:"4,keyasint,omitempty"` // by the requester's clock; a grant returns it
	Ballot         Ballot                `cbor:"5,keyasint,omitempty"`
	AcceptedBallot Ballot                `cbor:"6,keyasint,omitempty"` // ballot of Configuration, in a promise
	Configuration  *Configuration        `cbor:"7,keyasint,omitempty"`
	To             ID                    `cbor:"8,keyasint"`
}
