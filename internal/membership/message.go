package membership

import (
	"cmp"
	"thistlequay/timeunit"
)

// Ballot orders proposals for what follows one fleet.
type Ballot struct {
	Round    uint64 `cbor:"1,keyasint"`
	Proposer ID     `cbor:"2,keyasint"`
}

func (a Ballot) compare(b Ballot) int {
	return cmp.Or(cmp.Compare(a.Round, b.Round), a.Proposer.Compare(b.Proposer))
}

// MessageKind is what a note says.
type MessageKind int

// The notes of members among each other.
const (
	MessageLeaseRequest MessageKind = iota + 1 // support me in this epoch
	MessageLeaseGrant                          // for as long as the fleet says, from when that was asked
	MessagePrepare                             // promise to take nothing of a lower ballot
	MessagePromise                             // with what was accepted before, if anything
	MessageAccept                              // this fleet under this ballot
	MessageAccepted                            // it is
	MessageCommitted                           // the fleet of an epoch
)

// Message is one message between two members.
type Message struct {
	Kind           MessageKind           `cbor:"1,keyasint"`
	From           ID                    `cbor:"2,keyasint"`
	Epoch          uint64                `cbor:"3,keyasint"`           // the fleet that the sender goes by
	RequestedAt    timeunit.Milliseconds `cbor:"4,keyasint,omitempty"` // by the asker's clock, given back as it came
	Ballot         Ballot                `cbor:"5,keyasint,omitempty"`
	AcceptedBallot Ballot                `cbor:"6,keyasint,omitempty"` // under which the fleet was accepted
	Configuration  *Configuration        `cbor:"7,keyasint,omitempty"`
	To             ID                    `cbor:"8,keyasint"`
}
