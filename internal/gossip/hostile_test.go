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

// tape keeps what reached one member, to be played to it again.
type tape struct {
	memberlist.Transport
	lock sync.Mutex
	kept [][]byte
	in   chan *memberlist.Packet
}

func (t *tape) PacketCh() <-chan *memberlist.Packet { return t.in }

func (t *tape) run(from <-chan *memberlist.Packet, done <-chan struct{}) {
	for {
		select {
		case p := <-from:
			t.lock.Lock()
			t.kept = append(t.kept, bytes.Clone(p.Buf))
			t.lock.Unlock()
			t.in <- p
		case <-done:
			return
		}
	}
}

// A member with the key that lies about others, messages cut short and of 64 KiB, and three minutes of messages (an hour where
// MEASURE=full) that come again: nothing of it is taken, all of it is counted.
func TestMeasuredHostilePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &air{rand: rand.New(rand.NewSource(1)), ports: map[string]*port{}}
		all := crowd(t, a, 4)
		q := a.port(5)
		taped, done := &tape{Transport: q, in: make(chan *memberlist.Packet, 4096)}, make(chan struct{})
		go taped.run(q.PacketCh(), done)
		terms := membership.DefaultTerms(membership.ID{Name: "n0004", Life: 5})
		terms.Size, terms.Founders = 5, []string{"n0000", "n0001", "n0002"}
		heard, err := Start(Terms{Members: terms, Listen: q.at, First: []string{"10.0.0.1:7946"}, Fleet: "test",
			Keys: [][]byte{[]byte("0123456789abcdef")}, Transport: taped})
		require.NoError(t, err)
		heard.Say(Own{State: membership.Serving})
		all = append(all, heard)
		require.Positive(t, until(time.Minute, func() bool { return agree(all, 5, membership.Whole) }))
		look := func(at func(v *membership.View)) {
			require.NoError(t, heard.Look(func(v *membership.View, _ *membership.Accord) { at(v) }))
		}
		var before membership.Counts
		look(func(v *membership.View) { before = v.Counts })
		victim, liar := all[1].terms.Members.Me, all[3]
		// Lies: another's leave, a support and a fleet under another's name, all sealed by the liar.
		taken, lies := 0, 0
		lie := func(kind byte, v any, key ed25519.PrivateKey) {
			own := liar.secret
			if key != nil {
				liar.secret = key
			}
			_, message := liar.seal(kind, v)
			liar.secret = own
			lies++
			require.NoError(t, liar.list.SendToAddress(memberlist.Address{Addr: q.at, Name: nodeName(terms.Me)}, message))
		}
		_, other, err := ed25519.GenerateKey(nil)
		require.NoError(t, err)
		me := terms.Me
		lie(wordMessage, membership.Word{ID: victim, Seq: 1 << 40, State: membership.Leaving}, nil)
		lie(wordMessage, membership.Word{ID: victim, Seq: 1 << 40, State: membership.Leaving}, other)
		lie(noteMessage, membership.Note{Kind: membership.Support, From: victim, To: me, Epoch: 1, Asked: 1 << 50}, nil)
		lie(noteMessage, membership.Note{Kind: membership.Chosen, From: victim, To: me, Epoch: 1 << 40, Fleet: &membership.Fleet{Epoch: 1 << 40, Count: 1,
			Lease: 60000, Voters: []membership.Voter{{ID: liar.terms.Members.Me}}}}, nil)
		lie(noteMessage, membership.Note{Kind: membership.Prepare, From: membership.ID{Name: "ghost", Life: 9}, To: me, Epoch: 1, Ballot: membership.Ballot{Round: 1 << 40}}, nil)
		time.Sleep(2 * time.Second)
		look(func(v *membership.View) {
			if v.Member(victim).State != membership.Serving {
				taken++
			}
			require.Equal(t, lies-1, v.Counts.Foreign-before.Foreign) // under another's name
			require.Positive(t, v.Counts.Unknown-before.Unknown)      // and of nobody
		})
		// Cut short, 64 KiB, noise, and of a kind that only a later version knows.
		_, good := all[2].seal(wordMessage, membership.Word{ID: all[2].terms.Members.Me, Seq: 1 << 30, State: membership.Leaving})
		garbled := heard.Garbled.Load()
		for _, message := range [][]byte{good[:len(good)/2], {}, {wordMessage}, make([]byte, 64<<10), slices.Repeat([]byte{0x9f}, 600)} {
			(*delegate)(heard).NotifyMsg(message)
		}
		(*delegate)(heard).NotifyMsg([]byte{200, 1, 2, 3})
		(*delegate)(heard).MergeRemoteState(append([]byte{255, 255}, good...), false)
		time.Sleep(time.Second)
		require.GreaterOrEqual(t, heard.Garbled.Load()-garbled, int64(3))
		// A while goes by, then all that came comes again.
		while := 3 * time.Minute
		if os.Getenv("MEASURE") == "full" {
			while = time.Hour
		}
		time.Sleep(while)
		taped.lock.Lock()
		again := slices.Clone(taped.kept)
		taped.lock.Unlock()
		for i, message := range again {
			taped.in <- &memberlist.Packet{Buf: message, From: &net4, Timestamp: time.Now()}
			if i%500 == 0 {
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(20 * time.Second)
		if !agree(all, 5, membership.Whole) {
			taken++
		}
		old := 0
		look(func(v *membership.View) { old = v.Counts.Old })
		t.Logf("measured hostile-peers lies=%d forged_taken=%d replayed=%d old=%d garbled=%d", lies, taken, len(again), old, heard.Garbled.Load())
		require.Zero(t, taken)
		for _, p := range all {
			p.End()
		}
		close(done)
		time.Sleep(time.Minute)
	})
}

// A death that is forged at the library's own level, under the fleet's key, is refuted by the one it is about: nobody is held
// for failed for good, and the fleet stays agreed.
func TestAForgedDeathIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &air{rand: rand.New(rand.NewSource(2)), ports: map[string]*port{}, open: true}
		all := crowd(t, a, 5)
		require.Positive(t, until(time.Minute, func() bool { return agree(all, 5, membership.Whole) }))
		victim, told := all[4], all[1]
		var text []byte
		require.NoError(t, codec.NewEncoderBytes(&text, &codec.MsgpackHandle{}).Encode(map[string]any{"Incarnation": 1 << 20, "Node": nodeName(victim.Me()), "From": nodeName(all[3].Me())}))
		// Without keys a packet is what stands here; with them whoever has one could seal it.
		a.ports[told.terms.Listen].packets <- &memberlist.Packet{Buf: append([]byte("\xf4\x04test\x05"), text...), From: &net4, Timestamp: time.Now()}
		failed := until(5*time.Second, func() bool {
			held := false
			_ = told.Look(func(v *membership.View, _ *membership.Accord) {
				held = v.Member(victim.Me()).State >= membership.Failed
			})
			return held
		})
		require.GreaterOrEqual(t, failed, time.Duration(0), "the forged word did not come")
		require.Positive(t, until(20*time.Second, func() bool { return agree(all, 5, membership.Whole) }))
		for _, p := range all {
			p.End()
		}
		time.Sleep(time.Minute)
	})
}

// FuzzOpen: no bytes are taken apart into what cannot be meant, none stop the program.
func FuzzOpen(f *testing.F) {
	_, secret, _ := ed25519.GenerateKey(nil)
	p := &Peers{secret: secret}
	_, word := p.seal(wordMessage, membership.Word{ID: membership.ID{Name: "n", Life: 1}, Seq: 3, Pool: 4, Misses: []string{"a"}})
	_, note := p.seal(noteMessage, membership.Note{Kind: membership.Ask, From: membership.ID{Name: "n", Life: 1}})
	f.Add(word)
	f.Add(note)
	f.Fuzz(func(t *testing.T, message []byte) {
		kind, s, w, _, err := open(message)
		if err != nil || kind != wordMessage {
			return
		}
		require.Len(t, s.Key, ed25519.PublicKeySize)
		v := membership.NewView(membership.DefaultTerms(membership.ID{Name: "me", Life: 1}), 0)
		if v.Hear(w) {
			m := v.Member(w.ID)
			require.True(t, m.Pool >= 0 && m.Load >= 0 && m.Free >= 0 && m.IndexMs >= 0)
		}
	})
}

var net4 = net.UDPAddr{IP: net.IPv4(10, 0, 0, 9), Port: 7946}

// Who has waited in vain for the worker has back what it would have written.
func TestALookInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := crowd(t, &air{rand: rand.New(rand.NewSource(1)), ports: map[string]*port{}}, 1)[0]
		p.do(func() { time.Sleep(3 * time.Second) })
		synctest.Wait()
		looked := 0
		look := func(*membership.View, *membership.Accord) { looked++ }
		require.Error(t, p.Look(look))
		time.Sleep(5 * time.Second)
		require.Zero(t, looked)
		require.NoError(t, p.Look(look))
		require.Equal(t, 1, looked)
		p.End()
	})
}
