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
func goldenMember(number int, now timeunit.Milliseconds) *Peers {
	id := membership.ID{Name: fmt.Sprintf("n%04d", number), Life: 0x1122334455667700 + uint64(number)}
	p := &Peers{terms: Terms{Members: membership.DefaultTerms(id)}, inbox: make(chan func(), 16)}
	p.terms.Members.Zone = "zone-a"
	p.secret = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{byte(number)}, ed25519.SeedSize))
	p.keys, p.words, p.joined = map[membership.ID]ed25519.PublicKey{}, map[membership.ID]sealed{}, map[membership.ID]bool{}
	p.view = membership.NewView(p.terms.Members, now)
	p.accord = membership.NewAccord(p.view)
	return p
}

// takeUp does on the test's goroutine what the worker would do.
func (p *Peers) takeUp() {
	for len(p.inbox) > 0 {
		(<-p.inbox)()
	}
}

func goldenWord(of *Peers, seq uint64) membership.Word {
	return membership.Word{ID: of.Me(), Seq: seq, Address: "10.0.0.1:7946", Zone: "zone-a", Version: "1.2", Settings: 0xdeadbeef, State: membership.Serving,
		Pool: 12.5, Load: 7, Free: 5.25, IndexMs: 3.5, SleptMs: 900, LateMs: 4, Epoch: 3, Misses: []string{"n0007", "n0008"},
		Keeper: 1 << 63, Group: 77, Used: []membership.Used{{Tenant: "gold", Time: 1234.5}, {Tenant: "rest", Time: 1}}}
}

// again decodes a message's content, encodes it anew and puts it behind the seal it came with.
func again(t *testing.T, message []byte, content any) []byte {
	t.Helper()
	var s sealed
	require.NoError(t, understood.Unmarshal(message[1:], &s))
	require.NoError(t, understood.Unmarshal(s.Text, content))
	text, err := cbor.Marshal(reflect.ValueOf(content).Elem().Interface())
	require.NoError(t, err)
	s.Text = text
	return encode(message[0], s)
}

// Every message among members has the recorded bytes, and is the same when it is decoded and encoded again.
func TestGoldenMessages(t *testing.T) {
	p := goldenMember(1, 1)
	me, other := p.Me(), goldenMember(2, 1).Me()
	var out bytes.Buffer
	add := func(name string, kind byte, content, empty any) {
		_, message := p.seal(kind, content)
		require.Equal(t, message, again(t, message, empty), name)
		fmt.Fprintf(&out, "%s %x\n", name, message)
	}
	add("word full", wordMessage, goldenWord(p, 9), &membership.Word{})
	for state := membership.Joining; state <= membership.Leaving; state++ {
		add(fmt.Sprint("word state ", int(state)), wordMessage, membership.Word{ID: me, Seq: 1, State: state}, &membership.Word{})
	}
	first := membership.Ballot{Round: 2, By: other}
	fleet := &membership.Fleet{Epoch: 4, Voters: []membership.Voter{{ID: me, Address: "10.0.0.1:7946"}, {ID: other}}, Count: 2, Lease: 1500, Born: 1}
	for _, kind := range []membership.Kind{membership.Ask, membership.Support, membership.Prepare, membership.Promise, membership.Accept, membership.Accepted, membership.Chosen} {
		add(fmt.Sprint("note short ", int(kind)), noteMessage, membership.Note{Kind: kind, From: me, To: other, Epoch: 3}, &membership.Note{})
		add(fmt.Sprint("note full ", int(kind)), noteMessage, membership.Note{Kind: kind, From: me, To: other, Epoch: 3, Asked: 12345,
			Ballot: membership.Ballot{Round: 5, By: me}, Before: first, Fleet: fleet}, &membership.Note{})
	}
	for kind := FirstMail; kind < FirstMail+3; kind++ {
		add(fmt.Sprint("letter ", kind), kind, letter{From: me, To: other, Text: []byte("what it says")}, &letter{})
	}
	for _, zone := range []string{"zone-a", ""} {
		p.terms.Members.Zone = zone
		meta, c := (*delegate)(p).NodeMeta(512), card{}
		require.NoError(t, understood.Unmarshal(meta, &c))
		text, err := cbor.Marshal(c)
		require.NoError(t, err)
		require.Equal(t, meta, text)
		fmt.Fprintf(&out, "metadata %x\n", meta)
	}
	fmt.Fprintf(&out, "node name %s\n", nodeName(me))
	back, ok := idOf(nodeName(me))
	require.True(t, ok)
	require.Equal(t, me, back)
	golden.Check(t, "messages.txt", out.Bytes())
}

// goldenCrowd is a member that has heard the words of three others, and its fleet.
func goldenCrowd(t *testing.T) *Peers {
	t.Helper()
	p := goldenMember(1, 1)
	p.words[p.Me()], _ = p.seal(wordMessage, p.view.Say(goldenWord(p, 1)))
	for i, age := range []int64{0, 700, 40} {
		q := goldenMember(2+i, 1)
		p.joined[q.Me()] = true
		s, _ := q.seal(wordMessage, goldenWord(q, uint64(3+i)))
		s.AgeMs = age
		_, news := p.hear(encode(wordMessage, s))
		require.True(t, news)
	}
	fleet := &membership.Fleet{Epoch: 1, Voters: []membership.Voter{{ID: p.Me(), Address: "10.0.0.1:7946"}}, Count: 4, Lease: 1500, Born: 1}
	p.accord.Take(membership.Note{Kind: membership.Chosen, From: goldenMember(2, 1).Me(), To: p.Me(), Epoch: 1, Fleet: fleet})
	p.view.At(2001, 2000)
	return p
}

// What a full exchange hands over has the recorded bytes; who took it all up hands over the same.
func TestGoldenFullExchange(t *testing.T) {
	p := goldenCrowd(t)
	p.share()
	state := (*delegate)(p).LocalState(true)
	heard := goldenMember(9, 2001)
	for number := 1; number <= 4; number++ {
		heard.joined[goldenMember(number, 1).Me()] = true
	}
	(*delegate)(heard).MergeRemoteState(state, true)
	heard.takeUp()
	heard.share()
	require.Len(t, heard.words, 4)
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
		a := &air{rand: rand.New(rand.NewSource(1)), ports: map[string]*port{}}
		here, there := a.port(1), a.port(2)
		from := goldenMember(2, 1)
		me := goldenMember(1, 1).Me()
		came := make(chan string, 1)
		p, err := Start(Terms{Members: membership.DefaultTerms(me), Listen: here.at, Fleet: name, Keys: [][]byte{[]byte(key)}, Transport: here,
			Mail: map[byte]func(membership.ID, []byte){FirstMail: func(id membership.ID, text []byte) { came <- id.Name + " " + string(text) }}})
		require.NoError(t, err)
		p.do(func() { p.keys[from.Me()] = from.secret.Public().(ed25519.PublicKey) })
		_, message := from.seal(FirstMail, letter{From: from.Me(), To: me, Text: []byte("what it says")})
		label := []byte("\xf4\x04" + name)
		head := append(bytes.Clone(label), 1) // version of the sealing
		packet := gcm.Seal(append(bytes.Clone(head), nonce...), []byte(nonce), append([]byte{8}, message...), []byte(name))
		here.packets <- &memberlist.Packet{Buf: bytes.Clone(packet), From: &net4, Timestamp: time.Now()}
		require.Equal(t, "n0002 what it says", <-came)

		p.Post(from.Me(), there.at, FirstMail, []byte("an answer"))
		out := (<-there.packets).Buf
		require.True(t, bytes.HasPrefix(out, head))
		out = out[len(head):]
		plain, err := gcm.Open(nil, out[:len(nonce)], out[len(nonce):], []byte(name))
		require.NoError(t, err)
		_, message = p.seal(FirstMail, letter{From: me, To: from.Me(), Text: []byte("an answer")})
		require.Equal(t, append([]byte{8}, message...), plain)
		p.End()
		time.Sleep(time.Minute)
		golden.Check(t, "sealed-packet.txt", fmt.Appendf(nil, "%x\n", packet))
	})
}

// What operators are told of a view has the recorded JSON, and is the same when it is decoded and encoded again.
func TestGoldenStatus(t *testing.T) {
	p := goldenCrowd(t)
	p.view.Lost(goldenMember(4, 1).Me())
	p.view.Answered(goldenMember(2, 1).Me(), 3)
	p.view.Counts = membership.Counts{Insane: 11, Old: 12, Foreign: 13, Unknown: 14, Full: 15, FalseAlarms: 16, NameTaken: 17}
	p.Dropped.Store(5)
	p.Garbled.Store(6)
	p.Sent.Store(7)
	go func() { (<-p.inbox)() }() // in the worker's place
	r, err := p.Report()
	require.NoError(t, err)
	text, err := json.MarshalIndent(r, "", " ")
	require.NoError(t, err)
	var back Report
	require.NoError(t, json.Unmarshal(text, &back))
	twice, err := json.MarshalIndent(back, "", " ")
	require.NoError(t, err)
	require.Equal(t, string(text), string(twice))
	golden.Check(t, "status.json", text)
}
