package gossip

import (
	"bytes"
	"crypto/ed25519"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/membership"
	"thistlequay/internal/schedule"
	"thistlequay/internal/virtualtime"
)

// spoofedAddress is the source address of the packets that tests inject.
var spoofedAddress = net.UDPAddr{IP: net.IPv4(10, 0, 0, 9), Port: 7946}

// recordingTransport records the packets that reach one member, so that a test can replay them.
type recordingTransport struct {
	memberlist.Transport
	lock     sync.Mutex
	recorded [][]byte
	packets  chan *memberlist.Packet
}

func (t *recordingTransport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// run records packets and delivers them to the member until done is closed.
func (t *recordingTransport) run(incoming <-chan *memberlist.Packet, done <-chan struct{}) {
	for {
		select {
		case packet := <-incoming:
			t.lock.Lock()
			t.recorded = append(t.recorded, bytes.Clone(packet.Buf))
			t.lock.Unlock()
			t.packets <- packet
		case <-done:
			return
		}
	}
}

// replay delivers all recorded packets to the member again and returns their number.
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

// hostileCluster is a cluster of five nodes in which one, the forger, sends forged messages to another, the target.
type hostileCluster struct {
	nodes         []*Node
	target        *Node
	targetAddress string
	recording     *recordingTransport // of the packets that reached the target
	forger        *Node
	forgedCount   int // number of messages that the forger sent
}

// startHostileCluster starts the cluster and waits until all nodes are in the majority. The recording ends when done is
// closed.
func startHostileCluster(t *testing.T, done <-chan struct{}) *hostileCluster {
	t.Helper()
	network := newVirtualNetwork(1)
	cluster := &hostileCluster{nodes: startNodes(t, network, 4)}
	transport := network.newTransport(5)
	cluster.recording = &recordingTransport{Transport: transport, packets: make(chan *memberlist.Packet, 4096)}
	go cluster.recording.run(transport.PacketCh(), done)
	config := testConfig(4, 5, cluster.recording, transport.address)
	config.SeedAddresses = config.SeedAddresses[:1]
	var err error
	cluster.target, err = Start(config)
	require.NoError(t, err)
	cluster.target.SetLocalState(LocalState{State: membership.StateServing})
	cluster.targetAddress = transport.address
	cluster.nodes = append(cluster.nodes, cluster.target)
	cluster.forger = cluster.nodes[3]
	require.Positive(t, waitUntil(time.Minute, func() bool { return allInMajority(cluster.nodes, 5) }))
	return cluster
}

// sendForged sends the target a message from the forger that is signed with key.
func (c *hostileCluster) sendForged(t *testing.T, key ed25519.PrivateKey, kind byte, content any) {
	t.Helper()
	ownKey := c.forger.privateKey
	c.forger.privateKey = key
	_, message := c.forger.sign(kind, content)
	c.forger.privateKey = ownKey
	c.forgedCount++
	to := memberlist.Address{Addr: c.targetAddress, Name: nodeName(c.target.LocalID())}
	require.NoError(t, c.forger.memberlist.SendToAddress(to, message))
}

// sendForgeries sends the target forged messages in the name of victim: state updates that it is draining, a lease
// grant and a configuration. The last message is in the name of a member that does not exist.
func (c *hostileCluster) sendForgeries(t *testing.T, victim membership.ID) {
	t.Helper()
	ownKey := c.forger.privateKey
	_, otherKey, err := ed25519.GenerateKey(nil)
	require.NoError(t, err)
	to := c.target.LocalID()
	draining := membership.StateUpdate{ID: victim, Sequence: 1 << 40, State: membership.StateDraining}
	c.sendForged(t, ownKey, kindStateUpdate, draining)
	c.sendForged(t, otherKey, kindStateUpdate, draining)
	c.sendForged(t, ownKey, kindPaxos, membership.Message{
		Kind:        membership.MessageLeaseGrant,
		From:        victim,
		To:          to,
		Epoch:       1,
		RequestedAt: 1 << 50,
	})
	c.sendForged(t, ownKey, kindPaxos, membership.Message{
		Kind:  membership.MessageCommitted,
		From:  victim,
		To:    to,
		Epoch: 1 << 40,
		Configuration: &membership.Configuration{
			Epoch:         1 << 40,
			MemberCount:   1,
			LeaseDuration: 60000,
			Voters:        []membership.Voter{{ID: c.forger.LocalID()}},
		},
	})
	c.sendForged(t, ownKey, kindPaxos, membership.Message{
		Kind:   membership.MessagePrepare,
		From:   membership.ID{Name: "ghost", Incarnation: 9},
		To:     to,
		Epoch:  1,
		Ballot: membership.Ballot{Round: 1 << 40},
	})
}

// sendMalformed passes malformed messages to the target: truncated and empty messages, one of 64 KiB, one of
// meaningless bytes, one of a kind that only a later version knows, and a truncated full exchange.
func (c *hostileCluster) sendMalformed() {
	member := c.nodes[2]
	update := membership.StateUpdate{ID: member.LocalID(), Sequence: 1 << 30, State: membership.StateDraining}
	_, valid := member.sign(kindStateUpdate, update)
	callbacks := delegate{c.target}
	for _, message := range [][]byte{
		valid[:len(valid)/2],
		{},
		{kindStateUpdate},
		make([]byte, 64<<10),
		slices.Repeat([]byte{0x9f}, 600),
		{200, 1, 2, 3}, // a kind of a later version
	} {
		callbacks.NotifyMsg(message)
	}
	callbacks.MergeRemoteState(append([]byte{255, 255}, valid...), false)
}

// TestMeasuredRejectionOfHostileMessages checks that the target rejects and counts what a hostile member with the
// cluster's key sends. The member forges messages, sends malformed ones, and replays three minutes of packets (an hour
// if MEASURE=full). None of them may be accepted.
func TestMeasuredRejectionOfHostileMessages(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		done := make(chan struct{})
		cluster := startHostileCluster(t, done)
		var countsBefore membership.Counts
		inspectView(t, cluster.target, func(view *membership.View) { countsBefore = view.Counts })
		victim := cluster.nodes[1].LocalID()
		accepted := 0
		cluster.sendForgeries(t, victim)
		time.Sleep(2 * time.Second)
		inspectView(t, cluster.target, func(view *membership.View) {
			if view.Member(victim).State != membership.StateServing {
				accepted++
			}
			require.Equal(t, cluster.forgedCount-1, view.Counts.Forged-countsBefore.Forged,
				"forged in a known member's name")
			require.Positive(t, view.Counts.UnknownSender-countsBefore.UnknownSender,
				"forged in an unknown member's name")
		})

		malformedBefore := cluster.target.Malformed.Load()
		cluster.sendMalformed()
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, cluster.target.Malformed.Load()-malformedBefore, int64(3))

		time.Sleep(schedule.Scale(3*time.Minute, time.Hour))
		replayed := cluster.recording.replay()
		time.Sleep(20 * time.Second)
		if !allInMajority(cluster.nodes, 5) {
			accepted++
		}
		stale := 0
		inspectView(t, cluster.target, func(view *membership.View) { stale = view.Counts.Stale })
		t.Logf("measured hostile-peers forged=%d forged_taken=%d replayed=%d stale=%d malformed=%d",
			cluster.forgedCount, accepted, replayed, stale, cluster.target.Malformed.Load())
		require.Zero(t, accepted)
		closeNodes(cluster.nodes)
		close(done)
	})
}

// TestMemberRefutesForgedDeath checks that a member refutes a message that was forged in memberlist's own protocol,
// under the cluster's key, and declares the member dead. No node may consider the member failed permanently, and all
// nodes must be in the majority again.
func TestMemberRefutesForgedDeath(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		network := newVirtualNetwork(2)
		network.isUnencrypted = true
		nodes := startNodes(t, network, 5)
		require.Positive(t, waitUntil(time.Minute, func() bool { return allInMajority(nodes, 5) }))
		victim := nodes[4]
		target := nodes[1]
		var deadMessage []byte
		require.NoError(t, codec.NewEncoderBytes(&deadMessage, &codec.MsgpackHandle{}).Encode(map[string]any{
			"Incarnation": 1 << 20,
			"Node":        nodeName(victim.LocalID()),
			"From":        nodeName(nodes[3].LocalID()),
		}))
		// Without keys, this is the complete packet. With keys, any member that has one could encrypt it.
		packet := append([]byte("\xf4\x04"+testCluster+"\x05"), deadMessage...)
		network.transports[target.config.ListenAddress].packets <- &memberlist.Packet{
			Buf:       packet,
			From:      &spoofedAddress,
			Timestamp: time.Now(),
		}
		detectionTime := waitUntil(5*time.Second, func() bool {
			hasFailed := false
			err := target.Inspect(func(view *membership.View, _ *membership.Agreement) {
				hasFailed = view.Member(victim.LocalID()).State >= membership.StateFailed
			})
			return err == nil && hasFailed
		})
		require.GreaterOrEqual(t, detectionTime, time.Duration(0), "the forged message had no effect on the target")
		require.Positive(t, waitUntil(20*time.Second, func() bool { return allInMajority(nodes, 5) }))
		closeNodes(nodes)
	})
}

// FuzzParseMessage checks that parseMessage can parse any bytes, and that no state update gives a member a negative
// metric.
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
