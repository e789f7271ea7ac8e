package service

import (
	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/consensus"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/quota"
	"thistlequay/internal/strictcbor"
)

// Kinds of the envelopes that the services of a cluster exchange. Their values are part of the wire format and must not
// change.
const (
	kindRaftMessage   = gossip.FirstEnvelopeKind     // a raftMessage between two coordinators
	kindLeaseRequest  = gossip.FirstEnvelopeKind + 1 // a leaseRequest to a coordinator
	kindLeaseResponse = gossip.FirstEnvelopeKind + 2 // a leaseResponse to the server that sent the request
)

// raftMessage carries a message between two voters of the coordinators' log.
type raftMessage struct {
	LogID   uint64 `cbor:"1,keyasint"`
	From    uint64 `cbor:"2,keyasint"` // voter ID of the sender
	Payload []byte `cbor:"3,keyasint"` // encoded by package consensus
}

// leaseRequest carries a server's quota request. RequestID is always 0; it remains because the wire format contains it.
type leaseRequest struct {
	RequestID uint64        `cbor:"1,keyasint"`
	Request   quota.Request `cbor:"2,keyasint"`
}

// leaseResponse carries the leases that a server is granted, or else the coordinator to ask instead.
type leaseResponse struct {
	Response quota.Response `cbor:"2,keyasint"`
	Granted  bool           `cbor:"3,keyasint"`           // whether Response is valid
	Leader   *membership.ID `cbor:"4,keyasint,omitempty"` // nil if the leader is unknown
}

// messageDecoder decodes messages. No valid message exceeds its bounds.
var messageDecoder = strictcbor.NewDecoder(strictcbor.Bounds{MaxArrayElements: 1024, MaxMapPairs: 4096})

// Handlers returns the handlers of the service's envelopes, by kind, for gossip.Config. They pass the envelopes to the
// service's goroutine and do not block.
func (s *Service) Handlers() map[byte]func(from membership.ID, payload []byte) {
	enqueueHandler := func(handle func(membership.ID, []byte)) func(membership.ID, []byte) {
		return func(from membership.ID, payload []byte) { s.enqueue(func() { handle(from, payload) }) }
	}
	return map[byte]func(membership.ID, []byte){
		kindRaftMessage:   enqueueHandler(s.handleRaftMessage),
		kindLeaseRequest:  enqueueHandler(s.handleRequest),
		kindLeaseResponse: enqueueHandler(s.handleResponse),
	}
}

// handleRaftMessage passes a message to the coordinator. It drops a message whose sender is not known as the voter that
// the message names. A voter that is not in the view yet is also dropped, which is safe because Raft repeats messages.
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

// sendRaftMessage sends a message to the voter that it is addressed to, if that voter is alive.
func (s *Service) sendRaftMessage(message consensus.Message) {
	member, isKnown := s.membersByVoter[message.To]
	if !isKnown {
		return
	}
	identity := s.coordinator.Identity()
	payload, err := cbor.Marshal(raftMessage{LogID: identity.LogID, From: identity.VoterID, Payload: message.Data})
	if err == nil {
		s.gossip.Send(member.ID, member.Address, kindRaftMessage, payload)
	}
}
