package service

import (
	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/consensus"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/quota"
	"thistlequay/internal/strictcbor"
)

// Kinds of envelopes between the services of a cluster. They are on the wire and must keep their values.
const (
	kindRaft     = gossip.FirstEnvelopeKind     // a raftMessage between two coordinators
	kindRequest  = gossip.FirstEnvelopeKind + 1 // a leaseRequest to a coordinator
	kindResponse = gossip.FirstEnvelopeKind + 2 // a leaseResponse to the server that asked
)

// raftMessage carries a message of the coordinators' log.
type raftMessage struct {
	LogID   uint64 `cbor:"1,keyasint"`
	From    uint64 `cbor:"2,keyasint"` // voter number of the sender
	Payload []byte `cbor:"3,keyasint"` // as the consensus package encodes it
}

// leaseRequest carries what a server requests. RequestID is always 0; the field stays for the bytes on the wire.
type leaseRequest struct {
	RequestID uint64        `cbor:"1,keyasint"`
	Request   quota.Request `cbor:"2,keyasint"`
}

// leaseResponse carries what a server is granted, or else which coordinator to ask.
type leaseResponse struct {
	Response quota.Response `cbor:"2,keyasint"`
	Granted  bool           `cbor:"3,keyasint"`           // Response counts
	Leader   *membership.ID `cbor:"4,keyasint,omitempty"` // nil if it is not known
}

// messageDecoder decodes messages, within bounds that no valid one exceeds.
var messageDecoder = strictcbor.NewDecoder(strictcbor.Bounds{MaxArrayElements: 1024, MaxMapPairs: 4096})

// Handlers returns the functions that take the service's envelopes, for gossip.Config. They hand over to the service's
// goroutine and do not block.
func (s *Service) Handlers() map[byte]func(from membership.ID, payload []byte) {
	onGoroutine := func(handle func(membership.ID, []byte)) func(membership.ID, []byte) {
		return func(from membership.ID, payload []byte) { s.enqueue(func() { handle(from, payload) }) }
	}
	return map[byte]func(membership.ID, []byte){
		kindRaft:     onGoroutine(s.handleRaftMessage),
		kindRequest:  onGoroutine(s.handleRequest),
		kindResponse: onGoroutine(s.handleResponse),
	}
}

// handleRaftMessage hands a message to the coordinator. It drops one whose sender is not the voter that it names, which
// also holds for a voter that is not in the view yet: the log repeats its messages.
func (s *Service) handleRaftMessage(from membership.ID, payload []byte) {
	var message raftMessage
	if messageDecoder.Unmarshal(payload, &message) != nil {
		return
	}
	member, isKnown := s.membersByVoter[message.From]
	if !isKnown || member.ID != from {
		return
	}
	s.coordinator.Step(message.From, message.LogID, message.Payload)
}

// sendRaftMessage sends a message of the log to the voter that it is for, if that is alive.
func (s *Service) sendRaftMessage(message consensus.Message) {
	member, isKnown := s.membersByVoter[message.To]
	if !isKnown {
		return
	}
	identity := s.coordinator.Identity()
	payload, err := cbor.Marshal(raftMessage{LogID: identity.LogID, From: identity.VoterID, Payload: message.Data})
	if err == nil {
		s.gossip.Send(member.ID, member.Address, kindRaft, payload)
	}
}
