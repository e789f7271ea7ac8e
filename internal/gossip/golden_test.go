package gossip

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/membership"
	"thistlequay/timeunit"
)

// goldenMember makes a member without sockets whose identity, key and clock are the same in every run.
func goldenMember(number int, now timeunit.Milliseconds) *Node {
	id := membership.ID{Name: fmt.Sprintf("n%04d", number), Incarnation: 0x1122334455667700 + uint64(number)}
	p := &Node{config: Config{Membership: membership.DefaultConfig(id)}, tasks: make(chan func(), 16)}
	p.config.Membership.Zone = "zone-a"
	p.privateKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{byte(number)}, ed25519.SeedSize))
	p.publicKeys, p.signedUpdates, p.joined = map[membership.ID]ed25519.PublicKey{}, map[membership.ID]signedMessage{}, map[membership.ID]bool{}
	p.view = membership.NewView(p.config.Membership, now)
	p.agreement = membership.NewAgreement(p.view)
	return p
}

// takeUp does on the test's goroutine what the worker would do.
func (p *Node) takeUp() {
	for len(p.tasks) > 0 {
		(<-p.tasks)()
	}
}

func goldenWord(of *Node, seq uint64) membership.StateUpdate {
	return membership.StateUpdate{ID: of.LocalID(), Sequence: seq, Address: "10.0.0.1:7946", Zone: "zone-a", Version: "1.2", SettingsDigest: 0xdeadbeef, State: membership.StateServing,
		ConcurrencyLimit: 12.5, Load: 7, AvailableCapacity: 5.25, IndexLatencyMs: 3.5, PausedMs: 900, LoopLagMs: 4, Epoch: 3, Unreachable: []string{"n0007", "n0008"},
		QuotaVoter: 1 << 63, QuotaLog: 77, Usage: []membership.TenantUsage{{Tenant: "gold", CoreTime: 1234.5}, {Tenant: "rest", CoreTime: 1}}}
}

// again decodes a message's content, encodes it anew and puts it behind the seal it came with.
func again(t *testing.T, message []byte, content any) []byte {
	t.Helper()
	var s signedMessage
	require.NoError(t, strictDecoder.Unmarshal(message[1:], &s))
	require.NoError(t, strictDecoder.Unmarshal(s.Payload, content))
	text, err := cbor.Marshal(reflect.ValueOf(content).Elem().Interface())
	require.NoError(t, err)
	s.Payload = text
	return encodeMessage(message[0], s)
}

// Every message among members has the recorded bytes, and is the same when it is decoded and encoded again.
func TestGoldenMessages(t *testing.T) {
	p := goldenMember(1, 1)
	me, other := p.LocalID(), goldenMember(2, 1).LocalID()
	var out bytes.Buffer
	add := func(name string, kind byte, content, empty any) {
		_, message := p.sign(kind, content)
		require.Equal(t, message, again(t, message, empty), name)
		fmt.Fprintf(&out, "%s %x\n", name, message)
	}
	add("word full", kindStateUpdate, goldenWord(p, 9), &membership.StateUpdate{})
	for state := membership.StateJoining; state <= membership.StateDraining; state++ {
		add(fmt.Sprint("word state ", int(state)), kindStateUpdate, membership.StateUpdate{ID: me, Sequence: 1, State: state}, &membership.StateUpdate{})
	}
	first := membership.Ballot{Round: 2, Proposer: other}
	fleet := &membership.Configuration{Epoch: 4, Voters: []membership.Voter{{ID: me, Address: "10.0.0.1:7946"}, {ID: other}}, MemberCount: 2, LeaseDuration: 1500, GenesisEpoch: 1}
	for _, kind := range []membership.MessageKind{membership.MessageLeaseRequest, membership.MessageLeaseGrant, membership.MessagePrepare, membership.MessagePromise, membership.MessageAccept, membership.MessageAccepted, membership.MessageCommitted} {
		add(fmt.Sprint("note short ", int(kind)), kindPaxos, membership.Message{Kind: kind, From: me, To: other, Epoch: 3}, &membership.Message{})
		add(fmt.Sprint("note full ", int(kind)), kindPaxos, membership.Message{Kind: kind, From: me, To: other, Epoch: 3, RequestedAt: 12345,
			Ballot: membership.Ballot{Round: 5, Proposer: me}, AcceptedBallot: first, Configuration: fleet}, &membership.Message{})
	}
	for kind := FirstEnvelopeKind; kind < FirstEnvelopeKind+3; kind++ {
		add(fmt.Sprint("letter ", kind), kind, envelope{From: me, To: other, Payload: []byte("what it says")}, &envelope{})
	}
	for _, zone := range []string{"zone-a", ""} {
		p.config.Membership.Zone = zone
		meta, c := (*delegate)(p).NodeMeta(512), nodeMetadata{}
		require.NoError(t, strictDecoder.Unmarshal(meta, &c))
		text, err := cbor.Marshal(c)
		require.NoError(t, err)
		require.Equal(t, meta, text)
		fmt.Fprintf(&out, "metadata %x\n", meta)
	}
	fmt.Fprintf(&out, "node name %s\n", nodeName(me))
	back, ok := parseNodeName(nodeName(me))
	require.True(t, ok)
	require.Equal(t, me, back)
	golden.Check(t, "messages.txt", out.Bytes())
}

// goldenCrowd is a member that has heard the words of three others, and its fleet.
func goldenCrowd(t *testing.T) *Node {
	t.Helper()
	p := goldenMember(1, 1)
	p.signedUpdates[p.LocalID()], _ = p.sign(kindStateUpdate, p.view.UpdateSelf(goldenWord(p, 1)))
	for i, age := range []int64{0, 700, 40} {
		q := goldenMember(2+i, 1)
		p.joined[q.LocalID()] = true
		s, _ := q.sign(kindStateUpdate, goldenWord(q, uint64(3+i)))
		s.AgeMs = age
		_, news := p.receive(encodeMessage(kindStateUpdate, s))
		require.True(t, news)
	}
	fleet := &membership.Configuration{Epoch: 1, Voters: []membership.Voter{{ID: p.LocalID(), Address: "10.0.0.1:7946"}}, MemberCount: 4, LeaseDuration: 1500, GenesisEpoch: 1}
	p.agreement.Step(membership.Message{Kind: membership.MessageCommitted, From: goldenMember(2, 1).LocalID(), To: p.LocalID(), Epoch: 1, Configuration: fleet})
	p.view.Advance(2001, 2000)
	return p
}

// What a full exchange hands over has the recorded bytes; who took it all up hands over the same.
func TestGoldenFullExchange(t *testing.T) {
	p := goldenCrowd(t)
	p.buildPushPullState()
	state := (*delegate)(p).LocalState(true)
	heard := goldenMember(9, 2001)
	for number := 1; number <= 4; number++ {
		heard.joined[goldenMember(number, 1).LocalID()] = true
	}
	(*delegate)(heard).MergeRemoteState(state, true)
	heard.takeUp()
	heard.buildPushPullState()
	require.Len(t, heard.signedUpdates, 4)
	require.Equal(t, state, (*delegate)(heard).LocalState(true))
	golden.Check(t, "full-exchange.txt", fmt.Appendf(nil, "%x\n", state))
}

// A sealed packet with a fixed nonce is understood, and one that goes out is built the same way.
func TestGoldenSealedPacket(t *testing.T) {
	const name, key, nonce = "test", "0123456789abcdef", "golden nonce"
	block, err := aes.NewCipher([]byte(key))
	require.NoError(t, err)
	gcm, err := cipher.NewGCM(block)
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		a := &virtualNetwork{random: rand.New(rand.NewSource(1)), transports: map[string]*virtualTransport{}}
		here, there := a.newTransport(1), a.newTransport(2)
		from := goldenMember(2, 1)
		me := goldenMember(1, 1).LocalID()
		came := make(chan string, 1)
		p, err := Start(Config{Membership: membership.DefaultConfig(me), ListenAddress: here.address, ClusterName: name, Keys: [][]byte{[]byte(key)}, Transport: here,
			Handlers: map[byte]func(membership.ID, []byte){FirstEnvelopeKind: func(id membership.ID, text []byte) { came <- id.Name + " " + string(text) }}})
		require.NoError(t, err)
		p.enqueue(func() { p.publicKeys[from.LocalID()] = from.privateKey.Public().(ed25519.PublicKey) })
		_, message := from.sign(FirstEnvelopeKind, envelope{From: from.LocalID(), To: me, Payload: []byte("what it says")})
		label := []byte("\xf4\x04" + name)
		head := append(bytes.Clone(label), 1) // version of the sealing
		packet := gcm.Seal(append(bytes.Clone(head), nonce...), []byte(nonce), append([]byte{8}, message...), []byte(name))
		here.packets <- &memberlist.Packet{Buf: bytes.Clone(packet), From: &spoofedAddress, Timestamp: time.Now()}
		require.Equal(t, "n0002 what it says", <-came)

		p.Send(from.LocalID(), there.address, FirstEnvelopeKind, []byte("an answer"))
		out := (<-there.packets).Buf
		require.True(t, bytes.HasPrefix(out, head))
		out = out[len(head):]
		plain, err := gcm.Open(nil, out[:len(nonce)], out[len(nonce):], []byte(name))
		require.NoError(t, err)
		_, message = p.sign(FirstEnvelopeKind, envelope{From: me, To: from.LocalID(), Payload: []byte("an answer")})
		require.Equal(t, append([]byte{8}, message...), plain)
		p.Close()
		time.Sleep(time.Minute)
		golden.Check(t, "sealed-packet.txt", fmt.Appendf(nil, "%x\n", packet))
	})
}

// What operators are told of a view has the recorded JSON, and is the same when it is decoded and encoded again.
func TestGoldenStatus(t *testing.T) {
	p := goldenCrowd(t)
	p.view.Failed(goldenMember(4, 1).LocalID())
	p.view.ProbeSucceeded(goldenMember(2, 1).LocalID(), 3)
	p.view.Counts = membership.Counts{Invalid: 11, Stale: 12, Forged: 13, UnknownSender: 14, NoCapacity: 15, FalsePositives: 16, NameConflicts: 17}
	p.Dropped.Store(5)
	p.Malformed.Store(6)
	p.SentBytes.Store(7)
	go func() { (<-p.tasks)() }() // in the worker's place
	r, err := p.Status()
	require.NoError(t, err)
	text, err := json.MarshalIndent(r, "", " ")
	require.NoError(t, err)
	var back Status
	require.NoError(t, json.Unmarshal(text, &back))
	twice, err := json.MarshalIndent(back, "", " ")
	require.NoError(t, err)
	require.Equal(t, string(text), string(twice))
	golden.Check(t, "status.json", text)
}
