package membership

import (
	"cmp"

	"thistlequay/timeunit"
)

// Ballot orders the proposals for the configuration that follows one epoch, as in Paxos. The zero value is lower than
// every ballot of a proposal.
type Ballot struct {
	Round    uint64 `cbor:"1,keyasint"`
	Proposer ID     `cbor:"2,keyasint"`
}

func (b Ballot) compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, other.Round), b.Proposer.Compare(other.Proposer))
}

// MessageKind says what a Message is. The numbers go over the wire; kinds that are not known are passed over.
type MessageKind int

// The kinds of messages.
const (
	// MessageLeaseRequest asks a voter for a lease grant in an epoch.
	MessageLeaseRequest MessageKind = iota + 1
	// MessageLeaseGrant grants it, for the lease duration of the configuration from RequestedAt on.
	MessageLeaseGrant
	// MessagePrepare asks an elector to promise that it accepts nothing under a lower ballot (phase 1a).
	MessagePrepare
	// MessagePromise promises it and carries what was accepted before, if anything (phase 1b).
	MessagePromise
	// MessageAccept asks an elector to accept a configuration under a ballot (phase 2a).
	MessageAccept
	// MessageAccepted says that it was accepted (phase 2b).
	MessageAccepted
	// MessageCommitted carries the configuration that was chosen for an epoch.
	MessageCommitted
)

// Message is what the agreements of two members send each other.
type Message struct {
	Kind           MessageKind           `cbor:"1,keyasint"`
	From           ID                    `cbor:"2,keyasint"`
	Epoch          uint64                `cbor:"3,keyasint"`           // of the configuration that the sender acts on
	RequestedAt    timeunit.Milliseconds `cbor:"4,keyasint,omitempty"` // by the requester's clock; a grant returns it
	Ballot         Ballot                `cbor:"5,keyasint,omitempty"`
	AcceptedBallot Ballot                `cbor:"6,keyasint,omitempty"` // of Configuration, in a promise
	Configuration  *Configuration        `cbor:"7,keyasint,omitempty"`
	To             ID                    `cbor:"8,keyasint"`
}
