package gossip

import (
	"net"

	"github.com/hashicorp/memberlist"

	"thistlequay/internal/membership"
)

// maxStreams limits the number of envelopes that are sent on streams at the same time. Further ones are dropped.
const maxStreams = 4

// Send sends an envelope to the member at an address, in a packet if it fits and otherwise on a stream. It does not
// block and does not report whether the envelope arrives. An envelope is dropped if it is too long, or if it needs a
// stream and all streams are in use.
func (n *Node) Send(to membership.ID, address string, kind byte, payload []byte) {
	_, message := n.sign(kind, envelope{From: n.LocalID(), To: to, Payload: payload})
	node, err := memberlistNode(to, address)
	if err != nil || len(message) > maxEnvelopeBytes {
		n.Dropped.Add(1)
		return
	}
	if len(message) <= maxPacketMessageBytes {
		n.sendPacket(to, address, message)
		return
	}
	select {
	case n.streamSlots <- struct{}{}:
		// Nothing waits for this goroutine: memberlist gives up after streamTimeout.
		go func() {
			defer func() { <-n.streamSlots }()
			_ = n.memberlist.SendReliable(node, message) // may be lost like a packet; senders repeat what matters
		}()
	default:
		n.Dropped.Add(1)
	}
}

// SendRaw signs an arbitrary payload as a message of any kind and sends it on a stream. Tests use it to check how other
// members handle messages that a correct node never sends.
func (n *Node) SendRaw(to membership.ID, address string, kind byte, payload []byte) error {
	_, message := n.signPayload(kind, payload)
	node, err := memberlistNode(to, address)
	if err != nil {
		return err
	}
	return n.memberlist.SendReliable(node, message)
}

// sendPaxosMessages sends the pending messages of the agreement. It drops a message to a member without an address; the
// agreement repeats what matters.
func (n *Node) sendPaxosMessages() {
	for _, paxosMessage := range n.agreement.TakeMessages() {
		member := n.view.Member(paxosMessage.To)
		if member == nil || member.Address == "" {
			continue
		}
		if _, message := n.sign(kindPaxos, paxosMessage); len(message) <= maxPacketMessageBytes {
			n.sendPacket(paxosMessage.To, member.Address, message)
		}
	}
}

// sendPacket sends a message in one packet to the member at an address.
func (n *Node) sendPacket(to membership.ID, address string, message []byte) {
	destination := memberlist.Address{Addr: address, Name: nodeName(to)}
	_ = n.memberlist.SendToAddress(destination, message) // an error is treated like a packet that the network drops
}

// memberlistNode returns the memberlist node for a member at an address.
func memberlistNode(id membership.ID, address string) (*memberlist.Node, error) {
	host, port, err := splitAddress(address)
	if err != nil {
		return nil, err
	}
	return &memberlist.Node{Name: nodeName(id), Addr: net.ParseIP(host), Port: uint16(port)}, nil
}
