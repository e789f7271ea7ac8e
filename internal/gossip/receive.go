package gossip

import (
	"errors"
	"time"

	"thistlequay/internal/membership"
)

// onMessage handles a message from memberlist, which must not modify the message afterwards. A new update is passed on
// if its age is 0, which means that it came from its sender and not from a full exchange.
func (n *Node) onMessage(message []byte) {
	if len(message) == 0 || len(message) > maxMessageBytes(message[0]) {
		n.Malformed.Add(1)
		return
	}
	n.enqueue(func() {
		update, isNew := n.receive(message)
		if isNew && update.AgeMs == 0 {
			n.broadcast(update, message)
		}
	})
}

// receive handles a message. It must run on the worker. If the message is a state update, receive returns it, and
// isNew reports whether it was accepted as new.
func (n *Node) receive(message []byte) (update membership.StateUpdate, isNew bool) {
	parsed, err := parseMessage(message)
	if err != nil {
		n.Malformed.Add(1)
		return update, false
	}
	switch {
	case parsed.kind == kindStateUpdate:
		return parsed.update, n.handleStateUpdate(parsed.signed, parsed.update)
	case parsed.kind == kindPaxos:
		n.handlePaxos(parsed.signed, parsed.paxos)
	case parsed.kind >= FirstEnvelopeKind:
		n.handleEnvelope(parsed.kind, message[1:])
	}
	return update, false
}

// handleStateUpdate applies an update to the view and reports whether it was accepted as new.
func (n *Node) handleStateUpdate(signed signedMessage, update membership.StateUpdate) bool {
	if update.ID == n.LocalID() {
		return false
	}
	member := n.view.Member(update.ID)
	if member == nil && !n.joined[update.ID] {
		return false // memberlist must report a member alive first: updates of dead members circulate for a while
	}
	if member != nil && update.Sequence <= member.Sequence && member.Sequence > 0 {
		n.view.Counts.Stale++ // most updates arrive on several paths; this avoids verifying each copy
		return false
	}
	if n.verify(kindStateUpdate, signed, update.ID) != nil {
		n.view.Counts.Forged++
		return false
	}
	if !n.view.ApplyUpdate(update) {
		return false
	}
	n.publicKeys[update.ID] = signed.PublicKey
	n.signedUpdates[update.ID] = signed
	if n.config.OnUsage != nil && len(update.Usage) > 0 {
		n.config.OnUsage(update.ID, time.Duration(update.AgeMs)*time.Millisecond, update.Usage)
	}
	return true
}

// handlePaxos passes a Paxos message to this server's agreement.
func (n *Node) handlePaxos(signed signedMessage, message membership.Message) {
	if message.To != n.LocalID() {
		return
	}
	if err := n.verify(kindPaxos, signed, message.From); err != nil {
		n.countRejected(err)
		return
	}
	n.agreement.Step(message)
}

// handleEnvelope passes an envelope to the handler of its kind.
func (n *Node) handleEnvelope(kind byte, encoded []byte) {
	handler := n.config.Handlers[kind]
	if handler == nil {
		return // from a later version, or for a subsystem that is disabled here
	}
	var signed signedMessage
	var content envelope
	if strictDecoder.Unmarshal(encoded, &signed) != nil || strictDecoder.Unmarshal(signed.Payload, &content) != nil {
		n.Malformed.Add(1)
		return
	}
	if content.To != n.LocalID() {
		return
	}
	if err := n.verify(kind, signed, content.From); err != nil {
		n.countRejected(err)
		return
	}
	handler(content.From, content.Payload)
}

// countRejected counts a message that verify rejected. A message from an unknown sender is counted apart because it may
// be valid: the update that makes the sender known may still be on its way.
func (n *Node) countRejected(err error) {
	if errors.Is(err, errUnknownSender) {
		n.view.Counts.UnknownSender++
		return
	}
	n.view.Counts.Forged++
}
