package gossip

import (
	"bytes"
	"crypto/ed25519"
	"math/rand"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/membership"
)

// recordingTransport keeps what reached one member, to be played to it again.
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
		case p := <-from:
			t.lock.Lock()
			t.recorded = append(t.recorded, bytes.Clone(p.Buf))
			t.lock.Unlock()
			t.packets <- p
		case <-done:
			return
		}
	}
}

// A member with the key that lies about others, messages cut short and of 64 KiB, and three minutes of messages (an hour where
// MEASURE=full) that come again: nothing of it is taken, all of it is counted.
func TestMeasuredHostilePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &virtualNetwork{random: rand.New(rand.NewSource(1)), transports: map[string]*virtualTransport{}}
		all := startNodes(t, a, 4)
		q := a.newTransport(5)
		taped, done := &recordingTransport{Transport: q, packets: make(chan *memberlist.Packet, 4096)}, make(chan struct{})
		go taped.run(q.PacketCh(), done)
		terms := membership.DefaultConfig(membership.ID{Name: "n0004", Incarnation: 5})
		terms.InitialSize, terms.Founders = 5, []string{"n0000", "n0001", "n0002"}
		heard, err := Start(Config{Membership: terms, ListenAddress: q.address, SeedAddresses: []string{"10.0.0.1:7946"}, ClusterName: "test",
			Keys: [][]byte{[]byte("0123456789abcdef")}, Transport: taped})
		require.NoError(t, err)
		heard.SetLocalState(LocalState{State: membership.StateServing})
		all = append(all, heard)
		require.Positive(t, waitUntil(time.Minute, func() bool { return allAgree(all, 5, membership.Majority) }))
		look := func(at func(v *membership.View)) {
			require.NoError(t, heard.Inspect(func(v *membership.View, _ *membership.Agreement) { at(v) }))
		}
		var before membership.Counts
		look(func(v *membership.View) { before = v.Counts })
		victim, liar := all[1].config.Membership.Self, all[3]
		// Lies: another's leave, a support and a fleet under another's name, all sealed by the liar.
		taken, lies := 0, 0
		lie := func(kind byte, v any, key ed25519.PrivateKey) {
			own := liar.privateKey
			if key != nil {
				liar.privateKey = key
			}
			_, message := liar.sign(kind, v)
			liar.privateKey = own
			lies++
			require.NoError(t, liar.memberlist.SendToAddress(memberlist.Address{Addr: q.address, Name: nodeName(terms.Self)}, message))
		}
		_, other, err := ed25519.GenerateKey(nil)
		require.NoError(t, err)
		me := terms.Self
		lie(kindStateUpdate, membership.StateUpdate{ID: victim, Sequence: 1 << 40, State: membership.StateDraining}, nil)
		lie(kindStateUpdate, membership.StateUpdate{ID: victim, Sequence: 1 << 40, State: membership.StateDraining}, other)
		lie(kindPaxos, membership.Message{Kind: membership.MessageLeaseGrant, From: victim, To: me, Epoch: 1, RequestedAt: 1 << 50}, nil)
		lie(kindPaxos, membership.Message{Kind: membership.MessageCommitted, From: victim, To: me, Epoch: 1 << 40, Configuration: &membership.Configuration{Epoch: 1 << 40, MemberCount: 1,
			LeaseDuration: 60000, Voters: []membership.Voter{{ID: liar.config.Membership.Self}}}}, nil)
		lie(kindPaxos, membership.Message{Kind: membership.MessagePrepare, From: membership.ID{Name: "ghost", Incarnation: 9}, To: me, Epoch: 1, Ballot: membership.Ballot{Round: 1 << 40}}, nil)
		time.Sleep(2 * time.Second)
		look(func(v *membership.View) {
			if v.Member(victim).State != membership.StateServing {
				taken++
			}
			require.Equal(t, lies-1, v.Counts.Forged-before.Forged)          // under another's name
			require.Positive(t, v.Counts.UnknownSender-before.UnknownSender) // and of nobody
		})
		// Cut short, 64 KiB, noise, and of a kind that only a later version knows.
		_, good := all[2].sign(kindStateUpdate, membership.StateUpdate{ID: all[2].config.Membership.Self, Sequence: 1 << 30, State: membership.StateDraining})
		garbled := heard.Malformed.Load()
		for _, message := range [][]byte{good[:len(good)/2], {}, {kindStateUpdate}, make([]byte, 64<<10), slices.Repeat([]byte{0x9f}, 600)} {
			(*delegate)(heard).NotifyMsg(message)
		}
		(*delegate)(heard).NotifyMsg([]byte{200, 1, 2, 3})
		(*delegate)(heard).MergeRemoteState(append([]byte{255, 255}, good...), false)
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, heard.Malformed.Load()-garbled, int64(3))
		// A while goes by, then all that came comes again.
		while := 3 * time.Minute
		if os.Getenv("MEASURE") == "full" {
			while = time.Hour
		}
		time.Sleep(while)
		taped.lock.Lock()
		again := slices.Clone(taped.recorded)
		taped.lock.Unlock()
		for i, message := range again {
			taped.packets <- &memberlist.Packet{Buf: message, From: &spoofedAddress, Timestamp: time.Now()}
			if i%500 == 0 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(20 * time.Second)
		if !allAgree(all, 5, membership.Majority) {
			taken++
		}
		old := 0
		look(func(v *membership.View) { old = v.Counts.Stale })
		t.Logf("measured hostile-peers lies=%d forged_taken=%d replayed=%d old=%d garbled=%d", lies, taken, len(again), old, heard.Malformed.Load())
		require.Zero(t, taken)
		for _, p := range all {
			p.Close()
		}
		close(done)
		time.Sleep(time.Minute)
	})
}

// A death that is forged at the library's own level, under the fleet's key, is refuted by the one it is about: nobody is held
// for failed for good, and the fleet stays agreed.
func TestAForgedDeathIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &virtualNetwork{random: rand.New(rand.NewSource(2)), transports: map[string]*virtualTransport{}, withoutKeys: true}
		all := startNodes(t, a, 5)
		require.Positive(t, waitUntil(time.Minute, func() bool { return allAgree(all, 5, membership.Majority) }))
		victim, told := all[4], all[1]
		var text []byte
		require.NoError(t, codec.NewEncoderBytes(&text, &codec.MsgpackHandle{}).Encode(map[string]any{"Incarnation": 1 << 20, "Node": nodeName(victim.LocalID()), "From": nodeName(all[3].LocalID())}))
		// Without keys a packet is what stands here; with them whoever has one could seal it.
		a.transports[told.config.ListenAddress].packets <- &memberlist.Packet{Buf: append([]byte("\xf4\x04test\x05"), text...), From: &spoofedAddress, Timestamp: time.Now()}
		failed := waitUntil(5*time.Second, func() bool {
			held := false
			_ = told.Inspect(func(v *membership.View, _ *membership.Agreement) {
				held = v.Member(victim.LocalID()).State >= membership.StateFailed
			})
			return held
		})
		require.GreaterOrEqual(t, failed, time.Duration(0), "the forged word did not come")
		require.Positive(t, waitUntil(20*time.Second, func() bool { return allAgree(all, 5, membership.Majority) }))
		for _, p := range all {
			p.Close()
		}
		time.Sleep(time.Minute)
	})
}

// FuzzOpen: no bytes are taken apart into what cannot be meant, none stop the program.
func FuzzOpen(f *testing.F) {
	_, secret, _ := ed25519.GenerateKey(nil)
	p := &Node{privateKey: secret}
	_, word := p.sign(kindStateUpdate, membership.StateUpdate{ID: membership.ID{Name: "n", Incarnation: 1}, Sequence: 3, ConcurrencyLimit: 4, Unreachable: []string{"a"}})
	_, note := p.sign(kindPaxos, membership.Message{Kind: membership.MessageLeaseRequest, From: membership.ID{Name: "n", Incarnation: 1}})
	f.Add(word)
	f.Add(note)
	f.Fuzz(func(t *testing.T, message []byte) {
		kind, s, w, _, err := parseMessage(message)
		if err != nil || kind != kindStateUpdate {
			return
		}
		require.Len(t, s.PublicKey, ed25519.PublicKeySize)
		v := membership.NewView(membership.DefaultConfig(membership.ID{Name: "me", Incarnation: 1}), 0)
		if v.ApplyUpdate(w) {
			m := v.Member(w.ID)
			require.True(t, m.ConcurrencyLimit >= 0 && m.Load >= 0 && m.AvailableCapacity >= 0 && m.IndexLatencyMs >= 0)
		}
	})
}

var spoofedAddress = net.UDPAddr{IP: net.IPv4(10, 0, 0, 9), Port: 7946}

// Who has waited in vain for the worker has back what it would have written.
func TestALookInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startNodes(t, &virtualNetwork{random: rand.New(rand.NewSource(1)), transports: map[string]*virtualTransport{}}, 1)[0]
		p.enqueue(func() { time.Sleep(3 * time.Second) })
		synctest.Wait()
		looked := 0
		look := func(*membership.View, *membership.Agreement) { looked++ }
		require.Error(t, p.Inspect(look))
		time.Sleep(5 * time.Second)
		require.Zero(t, looked)
		require.NoError(t, p.Inspect(look))
		require.Equal(t, 1, looked)
		p.Close()
	})
}
