package gossip

import (
	"errors"
	"time"

	"thistlequay/internal/membership"
)

// onMessage takes a message from memberlist, which must not change it afterwards. An update that is new and comes from
// its sender, not from a full exchange, is passed on.
func (n *Node) onMessage(message []byte) {
	if len(message) == 0 || len(message) > maxMessageBytes(message[0]) {
		n.Malformed.Add(1)
		return
	}
	n.enqueue(func() {
		update, isNews := n.receive(message)
		if isNews && update.AgeMs == 0 {
			n.broadcast(update, message)
		}
	})
}

// receive handles a message on the worker. If it is a state update, that is returned; isNews says that it was accepted.
func (n *Node) receive(message []byte) (update membership.StateUpdate, isNews bool) {
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

// handleStateUpdate applies an update to the view and reports whether it was accepted as news.
func (n *Node) handleStateUpdate(signed signedMessage, update membership.StateUpdate) bool {
	if update.ID == n.LocalID() {
		return false
	}
	member := n.view.Member(update.ID)
	if member == nil && !n.joined[update.ID] {
		return false // updates of dead members go round for a while: who is alive memberlist says first
	}
	if member != nil && update.Sequence <= member.Sequence && member.Sequence > 0 {
		n.view.Counts.Stale++ // most come on several ways: the cost of verifying those is spared
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

// handlePaxos hands a Paxos message to this server's agreement.
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

// handleEnvelope hands an envelope to the subsystem that it is for.
func (n *Node) handleEnvelope(kind byte, encoded []byte) {
	handle := n.config.Handlers[kind]
	if handle == nil {
		return // of a later version, or of a subsystem that is off here
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
	handle(content.From, content.Payload)
}

// countRejected counts a message that verify rejected. One of an unknown sender may be sound: the update that makes the
// sender known may still be on its way.
func (n *Node) countRejected(err error) {
	if errors.Is(err, errUnknownSender) {
		n.view.Counts.UnknownSender++
		return
	}
	n.view.Counts.Forged++
}
