package gossip

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/membership"
	"thistlequay/internal/virtualtime"
	"thistlequay/timeunit"
)

// goldenMember returns a node without sockets whose identity, key and clock are the same in every run.
func goldenMember(number int, now timeunit.Milliseconds) *Node {
	id := membership.ID{Name: fmt.Sprintf("n%04d", number), Incarnation: 0x1122334455667700 + uint64(number)}
	n := &Node{
		config:        Config{Membership: membership.DefaultConfig(id)},
		tasks:         make(chan func(), 16),
		privateKey:    ed25519.NewKeyFromSeed(bytes.Repeat([]byte{byte(number)}, ed25519.SeedSize)),
		publicKeys:    map[membership.ID]ed25519.PublicKey{},
		signedUpdates: map[membership.ID]signedMessage{},
		joined:        map[membership.ID]bool{},
	}
	n.config.Membership.Zone = "zone-a"
	n.view = membership.NewView(n.config.Membership, now)
	n.agreement = membership.NewAgreement(n.view)
	return n
}

// runTasks runs the queued tasks on the test's goroutine, in place of the worker.
func (n *Node) runTasks() {
	for len(n.tasks) > 0 {
		(<-n.tasks)()
	}
}

// goldenUpdate returns a state update of a node with every field set.
func goldenUpdate(node *Node, sequence uint64) membership.StateUpdate {
	return membership.StateUpdate{
		ID:                node.LocalID(),
		Sequence:          sequence,
		Address:           "10.0.0.1:7946",
		Zone:              "zone-a",
		Version:           "1.2",
		SettingsDigest:    0xdeadbeef,
		State:             membership.StateServing,
		ConcurrencyLimit:  12.5,
		Load:              7,
		AvailableCapacity: 5.25,
		IndexLatencyMs:    3.5,
		PausedMs:          900,
		LoopLagMs:         4,
		Epoch:             3,
		Unreachable:       []string{"n0007", "n0008"},
		QuotaVoter:        1 << 63,
		QuotaLog:          77,
		Usage:             []membership.TenantUsage{{Tenant: "gold", CoreTime: 1234.5}, {Tenant: "rest", CoreTime: 1}},
	}
}

// reencode decodes a message, decodes its content into target, and encodes both again with the same signature.
func reencode(t *testing.T, message []byte, target any) []byte {
	t.Helper()
	var signed signedMessage
	require.NoError(t, strictDecoder.Unmarshal(message[1:], &signed))
	require.NoError(t, strictDecoder.Unmarshal(signed.Payload, target))
	payload, err := cbor.Marshal(reflect.ValueOf(target).Elem().Interface())
	require.NoError(t, err)
	signed.Payload = payload
	return encodeMessage(message[0], signed)
}

// TestGoldenMessages checks that every message between members is encoded as the recorded bytes, and that decoding and
// encoding it again changes nothing.
func TestGoldenMessages(t *testing.T) {
	n := goldenMember(1, 1)
	self, other := n.LocalID(), goldenMember(2, 1).LocalID()
	var out bytes.Buffer
	addMessage := func(name string, kind byte, content, target any) {
		_, message := n.sign(kind, content)
		require.Equal(t, message, reencode(t, message, target), name)
		fmt.Fprintf(&out, "%s %x\n", name, message)
	}
	addMessage("word full", kindStateUpdate, goldenUpdate(n, 9), &membership.StateUpdate{})
	for state := membership.StateJoining; state <= membership.StateDraining; state++ {
		update := membership.StateUpdate{ID: self, Sequence: 1, State: state}
		addMessage(fmt.Sprint("word state ", int(state)), kindStateUpdate, update, &membership.StateUpdate{})
	}
	configuration := &membership.Configuration{
		Epoch:         4,
		Voters:        []membership.Voter{{ID: self, Address: "10.0.0.1:7946"}, {ID: other}},
		MemberCount:   2,
		LeaseDuration: 1500,
		GenesisEpoch:  1,
	}
	for _, kind := range []membership.MessageKind{
		membership.MessageLeaseRequest,
		membership.MessageLeaseGrant,
		membership.MessagePrepare,
		membership.MessagePromise,
		membership.MessageAccept,
		membership.MessageAccepted,
		membership.MessageCommitted,
	} {
		message := membership.Message{Kind: kind, From: self, To: other, Epoch: 3}
		addMessage(fmt.Sprint("note short ", int(kind)), kindPaxos, message, &membership.Message{})
		message.RequestedAt = 12345
		message.Ballot = membership.Ballot{Round: 5, Proposer: self}
		message.AcceptedBallot = membership.Ballot{Round: 2, Proposer: other}
		message.Configuration = configuration
		addMessage(fmt.Sprint("note full ", int(kind)), kindPaxos, message, &membership.Message{})
	}
	for kind := FirstEnvelopeKind; kind < FirstEnvelopeKind+3; kind++ {
		content := envelope{From: self, To: other, Payload: []byte("what it says")}
		addMessage(fmt.Sprint("letter ", kind), kind, content, &envelope{})
	}
	for _, zone := range []string{"zone-a", ""} {
		n.config.Membership.Zone = zone
		fmt.Fprintf(&out, "metadata %x\n", goldenMetadata(t, n))
	}
	fmt.Fprintf(&out, "node name %s\n", nodeName(self))
	parsed, ok := parseNodeName(nodeName(self))
	require.True(t, ok)
	require.Equal(t, self, parsed)
	golden.Check(t, "messages.txt", out.Bytes())
}

// goldenMetadata returns a node's encoded metadata, and checks that decoding and encoding it again changes nothing.
func goldenMetadata(t *testing.T, n *Node) []byte {
	t.Helper()
	encoded := delegate{n}.NodeMeta(512)
	var metadata nodeMetadata
	require.NoError(t, strictDecoder.Unmarshal(encoded, &metadata))
	reencoded, err := cbor.Marshal(metadata)
	require.NoError(t, err)
	require.Equal(t, encoded, reencoded)
	return encoded
}

// goldenCluster returns a node that has received the updates of three other members and a configuration.
func goldenCluster(t *testing.T) *Node {
	t.Helper()
	n := goldenMember(1, 1)
	n.signedUpdates[n.LocalID()], _ = n.sign(kindStateUpdate, n.view.UpdateSelf(goldenUpdate(n, 1)))
	for i, age := range []int64{0, 700, 40} {
		other := goldenMember(2+i, 1)
		n.joined[other.LocalID()] = true
		signed, _ := other.sign(kindStateUpdate, goldenUpdate(other, uint64(3+i)))
		signed.AgeMs = age
		_, isNew := n.receive(encodeMessage(kindStateUpdate, signed))
		require.True(t, isNew)
	}
	n.agreement.Step(membership.Message{
		Kind:  membership.MessageCommitted,
		From:  goldenMember(2, 1).LocalID(),
		To:    n.LocalID(),
		Epoch: 1,
		Configuration: &membership.Configuration{
			Epoch:         1,
			Voters:        []membership.Voter{{ID: n.LocalID(), Address: "10.0.0.1:7946"}},
			MemberCount:   4,
			LeaseDuration: 1500,
			GenesisEpoch:  1,
		},
	})
	n.view.Advance(2001, 2000)
	return n
}

// TestGoldenFullExchange checks that a full exchange sends the recorded bytes, and that a member that has received them
// sends the same bytes.
func TestGoldenFullExchange(t *testing.T) {
	n := goldenCluster(t)
	n.buildPushPullState()
	state := delegate{n}.LocalState(true)
	receiver := goldenMember(9, 2001)
	for number := 1; number <= 4; number++ {
		receiver.joined[goldenMember(number, 1).LocalID()] = true
	}
	delegate{receiver}.MergeRemoteState(state, true)
	receiver.runTasks()
	receiver.buildPushPullState()
	require.Len(t, receiver.signedUpdates, 4)
	require.Equal(t, state, delegate{receiver}.LocalState(true))
	golden.Check(t, "full-exchange.txt", fmt.Appendf(nil, "%x\n", state))
}

// TestGoldenSealedPacket checks that an encrypted packet with a fixed nonce is decrypted and handled, and that outgoing
// packets are built in the same way.
func TestGoldenSealedPacket(t *testing.T) {
	const nonce = "golden nonce"
	block, err := aes.NewCipher([]byte(testKey))
	require.NoError(t, err)
	gcm, err := cipher.NewGCM(block)
	require.NoError(t, err)
	header := []byte("\xf4\x04" + testCluster + "\x01") // cluster label and encryption version
	const userMessageType = 8
	virtualtime.Test(t, func(t *testing.T) {
		network := newVirtualNetwork(1)
		transport, peerTransport := network.newTransport(1), network.newTransport(2)
		sender := goldenMember(2, 1)
		self := goldenMember(1, 1).LocalID()
		received := make(chan string, 1)
		handler := func(from membership.ID, payload []byte) { received <- from.Name + " " + string(payload) }
		n, err := Start(Config{
			Membership:    membership.DefaultConfig(self),
			ListenAddress: transport.address,
			ClusterName:   testCluster,
			Keys:          [][]byte{[]byte(testKey)},
			Transport:     transport,
			Handlers:      map[byte]func(membership.ID, []byte){FirstEnvelopeKind: handler},
		})
		require.NoError(t, err)
		n.enqueue(func() { n.publicKeys[sender.LocalID()] = sender.privateKey.Public().(ed25519.PublicKey) })
		content := envelope{From: sender.LocalID(), To: self, Payload: []byte("what it says")}
		_, message := sender.sign(FirstEnvelopeKind, content)
		plaintext := append([]byte{userMessageType}, message...)
		packet := gcm.Seal(append(bytes.Clone(header), nonce...), []byte(nonce), plaintext, []byte(testCluster))
		transport.packets <- &memberlist.Packet{Buf: bytes.Clone(packet), From: &spoofedAddress, Timestamp: time.Now()}
		require.Equal(t, "n0002 what it says", <-received)

		n.Send(sender.LocalID(), peerTransport.address, FirstEnvelopeKind, []byte("an answer"))
		sent := (<-peerTransport.packets).Buf
		require.True(t, bytes.HasPrefix(sent, header))
		sent = sent[len(header):]
		plaintext, err = gcm.Open(nil, sent[:len(nonce)], sent[len(nonce):], []byte(testCluster))
		require.NoError(t, err)
		content = envelope{From: self, To: sender.LocalID(), Payload: []byte("an answer")}
		_, message = n.sign(FirstEnvelopeKind, content)
		require.Equal(t, append([]byte{userMessageType}, message...), plaintext)
		closeNodes([]*Node{n})
		golden.Check(t, "sealed-packet.txt", fmt.Appendf(nil, "%x\n", packet))
	})
}

// TestGoldenStatus checks that a Status is encoded as the recorded JSON, and that decoding and encoding it again
// changes nothing.
func TestGoldenStatus(t *testing.T) {
	n := goldenCluster(t)
	n.view.RecordFailure(goldenMember(4, 1).LocalID())
	n.view.ProbeSucceeded(goldenMember(2, 1).LocalID(), 3)
	n.view.Counts = membership.Counts{
		Invalid:        11,
		Stale:          12,
		Forged:         13,
		UnknownSender:  14,
		NoCapacity:     15,
		FalsePositives: 16,
		NameConflicts:  17,
	}
	n.Dropped.Store(5)
	n.Malformed.Store(6)
	n.SentBytes.Store(7)
	go func() { (<-n.tasks)() }() // in place of the worker
	status, err := n.Status()
	require.NoError(t, err)
	encoded, err := json.MarshalIndent(status, "", " ")
	require.NoError(t, err)
	var decoded Status
	require.NoError(t, json.Unmarshal(encoded, &decoded))
	reencoded, err := json.MarshalIndent(decoded, "", " ")
	require.NoError(t, err)
	require.Equal(t, string(encoded), string(reencoded))
	golden.Check(t, "status.json", encoded)
}
