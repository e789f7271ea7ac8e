package gossip

import (
	"net"

	"github.com/hashicorp/memberlist"

	"thistlequay/internal/membership"
)

// maxStreams bounds the envelopes that are on their way on streams at once. More are dropped.
const maxStreams = 4

// Send sends an envelope of a kind to the member at an address, in a packet if it fits and otherwise on a stream. It
// does not wait, and nobody says whether the envelope arrives: what is too long or finds all streams taken is dropped.
func (n *Node) Send(to membership.ID, address string, kind byte, payload []byte) {
	_, message := n.sign(kind, envelope{From: n.LocalID(), To: to, Payload: payload})
	node, err := nodeAt(to, address)
	if err != nil || len(message) > maxEnvelope {
		n.Dropped.Add(1)
		return
	}
	if len(message) <= maxPacketMessage {
		n.sendPacket(to, address, message)
		return
	}
	select {
	case n.streamSlots <- struct{}{}:
		// Nobody waits for its end: memberlist gives up after streamTimeout.
		go func() {
			defer func() { <-n.streamSlots }()
			_ = n.memberlist.SendReliable(node, message) // lost like a packet: senders repeat what matters
		}()
	default:
		n.Dropped.Add(1)
	}
}

// SendRaw signs any payload as a message of any kind and sends it on a stream. It is for tests of how others take
// messages that a sound node never sends.
func (n *Node) SendRaw(to membership.ID, address string, kind byte, payload []byte) error {
	_, message := n.signPayload(kind, payload)
	node, err := nodeAt(to, address)
	if err != nil {
		return err
	}
	return n.memberlist.SendReliable(node, message)
}

// sendPaxosMessages sends what the agreement has to say. A message to a member without an address is lost; the
// agreement repeats what matters.
func (n *Node) sendPaxosMessages() {
	for _, paxos := range n.agreement.TakeMessages() {
		member := n.view.Member(paxos.To)
		if member == nil || member.Address == "" {
			continue
		}
		if _, message := n.sign(kindPaxos, paxos); len(message) <= maxPacketMessage {
			n.sendPacket(paxos.To, member.Address, message)
		}
	}
}

func (n *Node) sendPacket(to membership.ID, address string, message []byte) {
	destination := memberlist.Address{Addr: address, Name: nodeName(to)}
	_ = n.memberlist.SendToAddress(destination, message) // lost like a packet that the network drops
}

// nodeAt returns a member at an address as memberlist knows it.
func nodeAt(id membership.ID, address string) (*memberlist.Node, error) {
	host, port, err := splitAddress(address)
	if err != nil {
		return nil, err
	}
	return &memberlist.Node{Name: nodeName(id), Addr: net.ParseIP(host), Port: uint16(port)}, nil
}
