package gossip

import (
	"bytes"
	"crypto/ed25519"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/membership"
	"thistlequay/internal/schedule"
)

var spoofedAddress = net.UDPAddr{IP: net.IPv4(10, 0, 0, 9), Port: 7946}

// recordingTransport keeps the packets that reached one member, to be replayed to it.
type recordingTransport struct {
	memberlist.Transport
	lock     sync.Mutex
	recorded [][]byte
	packets  chan *memberlist.Packet
}

func (t *recordingTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

func (t *recordingTransport) run(from <-chan *memberlist.Packet, done <-chan struct{}) {
	for {
		select {
		case packet := <-from:
			t.lock.Lock()
			t.recorded = append(t.recorded, bytes.Clone(packet.Buf))
			t.lock.Unlock()
			t.packets <- packet
		case <-done:
			return
		}
	}
}

// replay gives all that was recorded to the member again and returns how many packets that were.
func (t *recordingTransport) replay() int {
	t.lock.Lock()
	packets := slices.Clone(t.recorded)
	t.lock.Unlock()
	for i, packet := range packets {
		t.packets <- &memberlist.Packet{Buf: packet, From: &spoofedAddress, Timestamp: time.Now()}
		if i%500 == 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return len(packets)
}

// hostileCluster is a cluster of five in which one member lies to another.
type hostileCluster struct {
	nodes         []*Node
	target        *Node // that is lied to, and whose packets are recorded
	targetAddress string
	recording     *recordingTransport
	liar          *Node
	lies          int
}

func startHostileCluster(t *testing.T, done <-chan struct{}) *hostileCluster {
	t.Helper()
	network := newVirtualNetwork(1)
	c := &hostileCluster{nodes: startNodes(t, network, 4)}
	transport := network.newTransport(5)
	c.recording = &recordingTransport{Transport: transport, packets: make(chan *memberlist.Packet, 4096)}
	go c.recording.run(transport.PacketCh(), done)
	config := testConfig(4, 5, c.recording, transport.address)
	config.SeedAddresses = config.SeedAddresses[:1]
	var err error
	c.target, err = Start(config)
	require.NoError(t, err)
	c.target.SetLocalState(LocalState{State: membership.StateServing})
	c.targetAddress = transport.address
	c.nodes = append(c.nodes, c.target)
	c.liar = c.nodes[3]
	require.Positive(t, waitUntil(time.Minute, func() bool { return allInMajority(c.nodes, 5) }))
	return c
}

// lie sends the target a message signed by the liar, with another key than its own if one is given.
func (c *hostileCluster) lie(t *testing.T, kind byte, content any, key ed25519.PrivateKey) {
	t.Helper()
	own := c.liar.privateKey
	if key != nil {
		c.liar.privateKey = key
	}
	_, message := c.liar.sign(kind, content)
	c.liar.privateKey = own
	c.lies++
	to := memberlist.Address{Addr: c.targetAddress, Name: nodeName(c.target.LocalID())}
	require.NoError(t, c.liar.memberlist.SendToAddress(to, message))
}

// lieAbout sends lies about a victim: that it leaves, and a lease grant and a configuration in its name. The last lie
// is in the name of a member that nobody knows.
func (c *hostileCluster) lieAbout(t *testing.T, victim membership.ID) {
	t.Helper()
	_, otherKey, err := ed25519.GenerateKey(nil)
	require.NoError(t, err)
	to := c.target.LocalID()
	leaves := membership.StateUpdate{ID: victim, Sequence: 1 << 40, State: membership.StateDraining}
	c.lie(t, kindStateUpdate, leaves, nil)
	c.lie(t, kindStateUpdate, leaves, otherKey)
	c.lie(t, kindPaxos, membership.Message{
		Kind:        membership.MessageLeaseGrant,
		From:        victim,
		To:          to,
		Epoch:       1,
		RequestedAt: 1 << 50,
	}, nil)
	c.lie(t, kindPaxos, membership.Message{
		Kind:  membership.MessageCommitted,
		From:  victim,
		To:    to,
		Epoch: 1 << 40,
		Configuration: &membership.Configuration{
			Epoch:         1 << 40,
			MemberCount:   1,
			LeaseDuration: 60000,
			Voters:        []membership.Voter{{ID: c.liar.LocalID()}},
		},
	}, nil)
	c.lie(t, kindPaxos, membership.Message{
		Kind:   membership.MessagePrepare,
		From:   membership.ID{Name: "ghost", Incarnation: 9},
		To:     to,
		Epoch:  1,
		Ballot: membership.Ballot{Round: 1 << 40},
	}, nil)
}

// sendMalformed hands the target messages that are cut short, of 64 KiB, of noise, and of a kind that only a later
// version knows.
func (c *hostileCluster) sendMalformed() {
	honest := c.nodes[2]
	update := membership.StateUpdate{ID: honest.LocalID(), Sequence: 1 << 30, State: membership.StateDraining}
	_, sound := honest.sign(kindStateUpdate, update)
	noise := slices.Repeat([]byte{0x9f}, 600)
	events := delegate{c.target}
	for _, message := range [][]byte{sound[:len(sound)/2], {}, {kindStateUpdate}, make([]byte, 64<<10), noise} {
		events.NotifyMsg(message)
	}
	events.NotifyMsg([]byte{200, 1, 2, 3})
	events.MergeRemoteState(append([]byte{255, 255}, sound...), false)
}

// A member with the cluster's key lies about others, sends malformed messages, and replays three minutes of packets (an
// hour if MEASURE=full): nothing of it is accepted, all of it is counted.
func TestMeasuredRejectionOfHostileMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		done := make(chan struct{})
		c := startHostileCluster(t, done)
		var before membership.Counts
		inspectView(t, c.target, func(view *membership.View) { before = view.Counts })
		victim := c.nodes[1].LocalID()
		accepted := 0
		c.lieAbout(t, victim)
		time.Sleep(2 * time.Second)
		inspectView(t, c.target, func(view *membership.View) {
			if view.Member(victim).State != membership.StateServing {
				accepted++
			}
			require.Equal(t, c.lies-1, view.Counts.Forged-before.Forged)        // in another's name
			require.Positive(t, view.Counts.UnknownSender-before.UnknownSender) // and in nobody's
		})

		malformed := c.target.Malformed.Load()
		c.sendMalformed()
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, c.target.Malformed.Load()-malformed, int64(3))

		time.Sleep(schedule.Scale(3*time.Minute, time.Hour))
		replayed := c.recording.replay()
		time.Sleep(20 * time.Second)
		if !allInMajority(c.nodes, 5) {
			accepted++
		}
		stale := 0
		inspectView(t, c.target, func(view *membership.View) { stale = view.Counts.Stale })
		t.Logf("measured hostile-peers lies=%d forged_taken=%d replayed=%d old=%d garbled=%d",
			c.lies, accepted, replayed, stale, c.target.Malformed.Load())
		require.Zero(t, accepted)
		for _, node := range c.nodes {
			node.Close()
		}
		close(done)
		time.Sleep(time.Minute)
	})
}

// A death that is forged in memberlist's own protocol, under the cluster's key, is refuted by the member it is about:
// nobody is held to have failed for good, and the cluster stays agreed.
func TestMemberRefutesForgedDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newVirtualNetwork(2)
		network.withoutKeys = true
		nodes := startNodes(t, network, 5)
		require.Positive(t, waitUntil(time.Minute, func() bool { return allInMajority(nodes, 5) }))
		victim, target := nodes[4], nodes[1]
		var dead []byte
		require.NoError(t, codec.NewEncoderBytes(&dead, &codec.MsgpackHandle{}).Encode(map[string]any{
			"Incarnation": 1 << 20,
			"Node":        nodeName(victim.LocalID()),
			"From":        nodeName(nodes[3].LocalID()),
		}))
		// Without keys a packet is what stands here; with keys whoever has one could encrypt it.
		packet := append([]byte("\xf4\x04"+testCluster+"\x05"), dead...)
		network.transports[target.config.ListenAddress].packets <- &memberlist.Packet{
			Buf:       packet,
			From:      &spoofedAddress,
			Timestamp: time.Now(),
		}
		failed := waitUntil(5*time.Second, func() bool {
			hasFailed := false
			err := target.Inspect(func(view *membership.View, _ *membership.Agreement) {
				hasFailed = view.Member(victim.LocalID()).State >= membership.StateFailed
			})
			return err == nil && hasFailed
		})
		require.GreaterOrEqual(t, failed, time.Duration(0), "the forged death did not come")
		require.Positive(t, waitUntil(20*time.Second, func() bool { return allInMajority(nodes, 5) }))
		closeNodes(nodes)
	})
}

// No bytes are decoded into what cannot be meant, and none stop the program.
func FuzzParseMessage(f *testing.F) {
	_, privateKey, err := ed25519.GenerateKey(nil)
	require.NoError(f, err)
	node := &Node{privateKey: privateKey}
	id := membership.ID{Name: "n", Incarnation: 1}
	_, update := node.sign(kindStateUpdate, membership.StateUpdate{
		ID:               id,
		Sequence:         3,
		ConcurrencyLimit: 4,
		Unreachable:      []string{"a"},
	})
	_, paxos := node.sign(kindPaxos, membership.Message{Kind: membership.MessageLeaseRequest, From: id})
	f.Add(update)
	f.Add(paxos)
	f.Fuzz(func(t *testing.T, message []byte) {
		parsed, err := parseMessage(message)
		if err != nil || parsed.kind != kindStateUpdate {
			return
		}
		require.Len(t, parsed.signed.PublicKey, ed25519.PublicKeySize)
		view := membership.NewView(membership.DefaultConfig(membership.ID{Name: "me", Incarnation: 1}), 0)
		if view.ApplyUpdate(parsed.update) {
			member := view.Member(parsed.update.ID)
			require.GreaterOrEqual(t, member.ConcurrencyLimit, 0.0)
			require.GreaterOrEqual(t, member.Load, 0.0)
			require.GreaterOrEqual(t, member.AvailableCapacity, 0.0)
			require.GreaterOrEqual(t, member.IndexLatencyMs, 0.0)
		}
	})
}
