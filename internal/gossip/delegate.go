package gossip

import (
	"bytes"
	"crypto/ed25519"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"thistlequay/internal/membership"
	"thistlequay/timeunit"
)

// delegate implements the callbacks that memberlist calls on its own goroutines: memberlist.Delegate, EventDelegate,
// PingDelegate and AliveDelegate. Its methods must not block, and may access the state that belongs to the worker only
// from an enqueued task.
type delegate struct{ node *Node }

// NodeMeta returns the encoded metadata of this server, or nil if it is longer than limit bytes.
func (d delegate) NodeMeta(limit int) []byte {
	encoded, err := cbor.Marshal(nodeMetadata{
		PublicKey: d.node.privateKey.Public().(ed25519.PublicKey),
		Zone:      d.node.config.Membership.Zone,
	})
	if err != nil || len(encoded) > limit {
		return nil
	}
	return encoded
}

// NotifyMsg handles a message from another member. It copies the message because memberlist reuses the buffer.
func (d delegate) NotifyMsg(message []byte) { d.node.onMessage(bytes.Clone(message)) }

// GetBroadcasts returns the updates to pass on in the next packet.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.node.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState returns the state that a full exchange sends: a sequence of updates, each preceded by its length as a
// big-endian 16-bit integer.
func (d delegate) LocalState(bool) []byte {
	updates := d.node.pushPullState.Load()
	if updates == nil {
		return nil
	}
	var state []byte
	for _, update := range *updates {
		state = binary.BigEndian.AppendUint16(state, uint16(len(update)))
		state = append(state, update...)
	}
	return state
}

// MergeRemoteState handles the state that another member's LocalState returned. It stops at a truncated update and
// after maxPushPullUpdates updates.
func (d delegate) MergeRemoteState(state []byte, _ bool) {
	const lengthBytes = 2
	for count := 0; len(state) >= lengthBytes && count < maxPushPullUpdates; count++ {
		length := int(binary.BigEndian.Uint16(state))
		state = state[lengthBytes:]
		if length > len(state) {
			break
		}
		update := bytes.Clone(state[:length])
		state = state[length:]
		d.node.enqueue(func() { d.node.receive(update) })
	}
}

// NotifyAlive rejects a member whose name does not have the form that nodeName returns, because such a member does not
// run this program.
func (d delegate) NotifyAlive(peer *memberlist.Node) error {
	if _, ok := parseNodeName(peer.Name); !ok {
		return fmt.Errorf("member name %q is not of the form <server>.<incarnation>", peer.Name)
	}
	return nil
}

// NotifyJoin is called when memberlist considers a member alive, for the first time or again.
func (d delegate) NotifyJoin(peer *memberlist.Node) {
	id, _ := parseNodeName(peer.Name) // NotifyAlive rejects names that cannot be parsed
	var metadata nodeMetadata
	if strictDecoder.Unmarshal(peer.Meta, &metadata) != nil || len(metadata.PublicKey) != ed25519.PublicKeySize {
		metadata = nodeMetadata{} // from another version; the member's first update binds its key
	}
	address := peer.Address()
	d.node.enqueue(func() { d.node.memberJoined(id, address, metadata) })
}

// NotifyLeave is called when memberlist considers a member failed or left.
func (d delegate) NotifyLeave(peer *memberlist.Node) {
	id, _ := parseNodeName(peer.Name) // NotifyAlive rejects names that cannot be parsed
	hasLeft := peer.State == memberlist.StateLeft
	address := peer.Address()
	d.node.enqueue(func() { d.node.memberFailedOrLeft(id, address, hasLeft) })
}

// NotifyUpdate is called when a member's metadata changes, which never happens in this program.
func (d delegate) NotifyUpdate(*memberlist.Node) {}

// AckPayload returns nil, because the answer to a ping carries no data.
func (d delegate) AckPayload() []byte { return nil }

// NotifyPingComplete is called when a member has answered a probe of memberlist.
func (d delegate) NotifyPingComplete(peer *memberlist.Node, roundTrip time.Duration, _ []byte) {
	if id, ok := parseNodeName(peer.Name); ok {
		d.node.enqueue(func() { d.node.view.ProbeSucceeded(id, timeunit.MillisecondsOf(roundTrip)) })
	}
}

// memberJoined adds a member to the view. It must run on the worker. The member's first update provides the remaining
// fields.
func (n *Node) memberJoined(id membership.ID, address string, metadata nodeMetadata) {
	n.joined[id] = true
	n.failed.remove(id, address)
	if _, isKnown := n.publicKeys[id]; !isKnown && metadata.PublicKey != nil {
		n.publicKeys[id] = metadata.PublicKey
	}
	if n.view.Member(id) == nil {
		n.view.ApplyUpdate(membership.StateUpdate{ID: id, Zone: metadata.Zone, Address: address})
	}
	n.view.Refuted(id)
}

// memberFailedOrLeft reports to the view that a member has left or failed. It must run on the worker. A member that
// failed without having announced that it leaves is one to reconnect to.
func (n *Node) memberFailedOrLeft(id membership.ID, address string, hasLeft bool) {
	delete(n.joined, id)
	if hasLeft {
		n.view.RecordLeave(id)
		return
	}
	n.view.RecordFailure(id)
	if member := n.view.Member(id); member != nil && member.State == membership.StateFailed {
		n.failed.add(failedMember{id: id, address: address, failedAt: n.config.Now()})
	}
}
