// Package peers has app servers talk to each other: it finds them, tells them how this one is, and hands what is heard to
// package members, which concludes. hashicorp/memberlist carries words, probes and keys; it concludes nothing here but who
// did not refute in time.
//
// This file owns the worker beside the loop that holds the view, and the seam to the library. It must never block the loop,
// keep more than its bounds, or take a word that was not said under the fleet's name and key.
package gossip

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"thistlequay/internal/membership"
	"thistlequay/timeunit"
)

const (
	tick        = 200 * time.Millisecond // between two looks at the view
	mostWaiting = 1024                   // of what was heard and not taken up yet
	mostMessage = 1200                   // bytes of one word or note
	mostMail    = 256 << 10              // of a letter; what does not go in a packet goes on a connection
	mostCarried = 4                      // of those at once
	wordLeast   = time.Second            // a word goes out so often
	wordEach    = 33 * time.Millisecond  // and less often with each member, so that what each hears stays flat
	leaveSends  = 3                      // more times that a last word is passed on
	wordSends   = 1                      // by how many a word is passed on, times the logarithm of the members
	pingEvery   = time.Second
	pingTries   = 3
	dialWithin  = 500 * time.Millisecond
	joinEvery   = time.Second // while nobody is found; ever later up to the next figure
	joinMost    = 10 * time.Second
	mostSync    = 256 // words handed over at a full exchange
	leaveWithin = 500 * time.Millisecond
)

// Terms are what the talk is begun with.
type Terms struct {
	Members   membership.Terms
	Listen    string   // address to talk on
	Advertise string   // where others reach it, if that is another
	First     []string // addresses to find others by
	Fleet     string   // its name: words of another are not understood
	Keys      [][]byte // the first is spoken under, all are understood
	Transport memberlist.Transport
	Version   string
	Settings  uint32
	Probe     time.Duration // between two probes of the library; 0 for its own figure
	Now       func() time.Time
	Changed   func(size int, standing membership.Standing) // called by the worker
	Log       func(event string, id membership.ID, from, to membership.State, why membership.Cause)
	Status    func(standing membership.Standing, members int, epoch uint64)
	Used      func(of membership.ID, age time.Duration, used []membership.Used) // a word was heard; called by the worker, must not block
	Mail      map[byte]func(from membership.ID, text []byte)                    // by kind, from FirstMail on; called by the worker, must not block
}

// Own is what the server says of itself.
type Own struct {
	State                   membership.State
	Pool, Load, Free, Index float64
	Late                    time.Duration
	Used                    []membership.Used
}

// Keeping is what the server says of itself as a keeper of what is agreed on.
type Keeping struct{ Keeper, Group uint64 }

// Peers is the talk of one server. Its methods may be called from anywhere.
type Peers struct {
	terms    Terms
	list     *memberlist.Memberlist
	keyring  *memberlist.Keyring // nil where the fleet talks without keys
	queue    *memberlist.TransmitLimitedQueue
	inbox    chan func()
	own      atomic.Pointer[Own]
	keeping  atomic.Pointer[Keeping]
	carried  chan struct{} // a place for each letter on its way by a connection
	kick     chan struct{}
	done     chan struct{}
	ended    sync.WaitGroup
	begun    time.Time
	view     *membership.View
	accord   *membership.Accord
	nextWord time.Time
	lastSize int
	lastWord membership.Standing
	secret   ed25519.PrivateKey // of this life
	keys     map[membership.ID]ed25519.PublicKey
	words    map[membership.ID]sealed // the newest of each life, as it was sealed
	joined   map[membership.ID]bool   // lives that the library holds to be there
	sync     atomic.Pointer[[][]byte] // words as they go out at a full exchange, made anew at each look
	Dropped  atomic.Int64             // messages that found the inbox full
	Garbled  atomic.Int64             // messages that were not understood
	Sent     atomic.Int64             // bytes
}

// Start begins to talk. An address that cannot be listened on or a key of a wrong length is an error.
func Start(t Terms) (*Peers, error) {
	if t.Now == nil {
		t.Now = time.Now
	}
	p := &Peers{terms: t, inbox: make(chan func(), mostWaiting), kick: make(chan struct{}, 1), done: make(chan struct{}), begun: t.Now()}
	p.own.Store(&Own{State: membership.Joining})
	p.keeping.Store(&Keeping{})
	p.carried = make(chan struct{}, mostCarried)
	p.joined = map[membership.ID]bool{}
	p.keys, p.words = map[membership.ID]ed25519.PublicKey{}, map[membership.ID]sealed{}
	_, secret, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	p.secret = secret
	p.view = membership.NewView(t.Members, p.now())
	p.accord = membership.NewAccord(p.view)
	config := memberlist.DefaultLANConfig()
	config.Name = nodeName(t.Members.Me)
	config.ProbeInterval, config.ProbeTimeout = 500*time.Millisecond, 250*time.Millisecond
	if t.Probe > 0 {
		config.ProbeInterval, config.ProbeTimeout = t.Probe, t.Probe/2
	}
	config.TCPTimeout = 2 * time.Second
	config.PushPullInterval = 15 * time.Second
	config.GossipToTheDeadTime = 10 * time.Second
	config.Label = t.Fleet
	config.RequireNodeNames = false
	config.HandoffQueueDepth = mostWaiting
	config.EnableCompression = false // words are small, and a bomb would be unpacked
	config.LogOutput, config.Logger = nil, log.New(io.Discard, "", 0)
	config.Delegate, config.Events, config.Ping, config.Alive = (*delegate)(p), (*delegate)(p), (*delegate)(p), (*delegate)(p)
	config.DelegateProtocolMin, config.DelegateProtocolMax, config.DelegateProtocolVersion = 1, 1, 1
	if len(t.Keys) > 0 {
		if p.keyring, err = memberlist.NewKeyring(t.Keys, t.Keys[0]); err != nil {
			return nil, err
		}
		config.Keyring = p.keyring
	}
	if config.BindAddr, config.BindPort, err = addressOf(t.Listen); err != nil {
		return nil, err
	}
	config.AdvertiseAddr, config.AdvertisePort = config.BindAddr, config.BindPort
	if t.Advertise != "" {
		if config.AdvertiseAddr, config.AdvertisePort, err = addressOf(t.Advertise); err != nil {
			return nil, err
		}
	}
	config.Transport = t.Transport
	if t.Transport == nil {
		if config.Transport, err = listen(config.BindAddr, config.BindPort, &p.Sent); err != nil {
			return nil, err
		}
	}
	p.queue = &memberlist.TransmitLimitedQueue{NumNodes: func() int { return max(1, p.members()) }, RetransmitMult: wordSends}
	if p.list, err = memberlist.Create(config); err != nil {
		return nil, err
	}
	p.ended.Add(3)
	go p.work()
	go p.join()
	go p.ping()
	return p, nil
}

func (p *Peers) members() int {
	if p.list == nil {
		return 1
	}
	return p.list.NumMembers()
}

func nodeName(id membership.ID) string { return fmt.Sprintf("%s.%016x", id.Name, id.Life) }

// idOf reads the name that a member has in the library.
func idOf(node string) (id membership.ID, ok bool) {
	i := strings.LastIndexByte(node, '.')
	if i <= 0 {
		return id, false
	}
	life, err := strconv.ParseUint(node[i+1:], 16, 64)
	return membership.ID{Name: node[:i], Life: life}, err == nil && life > 0
}

func addressOf(text string) (host string, port int, err error) {
	host, service, err := net.SplitHostPort(text)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(service)
	return host, port, err
}

// now is the clock of the view: milliseconds since the start, by the monotonic clock.
func (p *Peers) now() timeunit.Milliseconds {
	return timeunit.Milliseconds(p.terms.Now().Sub(p.begun).Milliseconds()) + 1
}

// do has the worker do something. What finds the inbox full is dropped and counted: all of it comes again.
func (p *Peers) do(what func()) {
	select {
	case p.inbox <- what:
	default:
		p.Dropped.Add(1)
	}
}

// Say tells the others how this server is, at the next word; a change of state at once.
func (p *Peers) Say(o Own) {
	before := p.own.Swap(&o)
	if before.State != o.State {
		select {
		case p.kick <- struct{}{}:
		default:
		}
	}
}

// Keep tells the others which keeper this server is.
func (p *Peers) Keep(k Keeping) {
	if before := p.keeping.Swap(&k); *before != k {
		select {
		case p.kick <- struct{}{}:
		default:
		}
	}
}

// Me is this life.
func (p *Peers) Me() membership.ID { return p.terms.Members.Me }

// Now is the clock of the view.
func (p *Peers) Now() timeunit.Milliseconds { return p.now() }

// Post sends a letter of a kind to one member at its address. Whether it comes nobody says; what finds no room is dropped.
func (p *Peers) Post(to membership.ID, address string, kind byte, text []byte) {
	_, message := p.seal(kind, letter{From: p.terms.Members.Me, To: to, Text: text})
	host, port, err := addressOf(address)
	switch {
	case err != nil || len(message) > mostMail:
		p.Dropped.Add(1)
	case len(message) <= mostMessage:
		_ = p.list.SendToAddress(memberlist.Address{Addr: address, Name: nodeName(to)}, message)
	default:
		select {
		case p.carried <- struct{}{}:
			go func() {
				defer func() { <-p.carried }()
				_ = p.list.SendReliable(&memberlist.Node{Name: nodeName(to), Addr: net.ParseIP(host), Port: uint16(port)}, message)
			}()
		default:
			p.Dropped.Add(1)
		}
	}
}

// Lie is for tests: it sends a message of any kind under this life's seal, whatever is in it.
func (p *Peers) Lie(to membership.ID, address string, kind byte, text []byte) error {
	_, message := p.sealText(kind, text)
	host, port, err := addressOf(address)
	if err != nil {
		return err
	}
	return p.list.SendReliable(&memberlist.Node{Name: nodeName(to), Addr: net.ParseIP(host), Port: uint16(port)}, message)
}

// Look has something read the view. It waits for the worker, at most for a second; after an error the worker has not
// looked and will not: what the caller has it write is the caller's again.
func (p *Peers) Look(at func(*membership.View, *membership.Accord)) error {
	looked, taken := make(chan struct{}), atomic.Bool{} // by the worker, or by the end of the wait
	p.do(func() {
		if taken.CompareAndSwap(false, true) {
			at(p.view, p.accord)
			close(looked)
		}
	})
	select {
	case <-looked:
		return nil
	case <-p.done:
	case <-time.After(time.Second):
	}
	if taken.CompareAndSwap(false, true) {
		return errors.New("the talk among peers does not answer")
	}
	<-looked // it is at it
	return nil
}

// Keys has it speak under the first of the keys and understand all of them.
func (p *Peers) Keys(keys [][]byte) error {
	return (*delegate)(p).ring(keys)
}

// End says good-bye and stops talking.
func (p *Peers) End() {
	_ = p.list.Leave(leaveWithin)
	close(p.done)
	_ = p.list.Shutdown()
	p.ended.Wait()
}

// work is the worker: it alone touches the view.
func (p *Peers) work() {
	defer p.ended.Done()
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			return
		case what := <-p.inbox:
			p.look()
			what()
		case <-p.kick:
			p.look()
			p.say(true)
		case <-t.C:
			p.look()
			p.say(false)
			p.accord.Tick()
			p.view.Judge(p.accord.Standing())
			p.share()
			p.tidy()
		}
		p.send()
		p.tell()
	}
}

func (p *Peers) look() { p.view.At(p.now(), timeunit.Milliseconds(tick/time.Millisecond)) }

// say sends the server's own word where it is due.
func (p *Peers) say(now bool) {
	if at := p.terms.Now(); now || !at.Before(p.nextWord) {
		p.nextWord = at.Add(max(wordLeast, wordEach*time.Duration(p.members())))
		own := *p.own.Load()
		w := p.view.Say(membership.Word{Address: (*delegate)(p).here(), Version: p.terms.Version, Settings: p.terms.Settings, State: own.State,
			Used: own.Used, Keeper: p.keeping.Load().Keeper, Group: p.keeping.Load().Group, Pool: own.Pool, Load: own.Load, Free: own.Free, IndexMs: own.Index, LateMs: own.Late.Milliseconds(), Epoch: p.accord.Fleet().Epoch})
		p.pass(w)
	}
}

// pass has the server's own word go round.
func (p *Peers) pass(w membership.Word) {
	s, text := p.seal(wordMessage, w)
	p.words[w.ID] = s
	if len(text) <= mostMessage {
		p.goRound(w, text)
	}
}

// goRound passes a word on. One that a member leaves by is passed on some times more: few words, or none, come after it, and who
// missed it would hold the member for failed.
func (p *Peers) goRound(w membership.Word, text []byte) {
	send := func() { p.queue.QueueBroadcast(&rumour{id: w.ID, seq: w.Seq, text: text}) }
	send()
	for n := range leaveSends {
		if w.State == membership.Leaving {
			time.AfterFunc(tick*time.Duration(n+1), send)
		}
	}
}

// share makes the words that a full exchange hands over: the newest first.
func (p *Peers) share() {
	list := p.view.Members()
	slices.SortStableFunc(list, func(a, b *membership.Member) int { return int(b.Heard - a.Heard) })
	var words [][]byte
	for _, m := range list {
		if s, is := p.words[m.ID]; is && len(words) < mostSync && m.State < membership.Failed {
			s.AgeMs = int64(m.Age(p.view.Now()))
			words = append(words, encode(wordMessage, s))
		}
	}
	p.sync.Store(&words)
}

// send sends the notes of the agreement, each to one member.
func (p *Peers) send() {
	for _, n := range p.accord.Out() {
		m := p.view.Member(n.To)
		if m == nil || m.Address == "" {
			continue
		}
		to := memberlist.Address{Addr: m.Address, Name: nodeName(n.To)}
		if _, text := p.seal(noteMessage, n); len(text) <= mostMessage {
			_ = p.list.SendToAddress(to, text)
		}
	}
}

// tell passes on what has changed.
func (p *Peers) tell() {
	for _, e := range p.view.Events() {
		if p.terms.Log != nil {
			p.terms.Log("member", e.ID, e.From, e.To, e.Cause)
		}
		if e.To == membership.Suspected || e.To == membership.Failed {
			if m := p.view.Member(e.ID); m != nil {
				go p.dial(e.ID, m.Address) // bounded by the members, each for half a second
			}
		}
	}
	size, standing := p.view.Size(), p.accord.Standing()
	if standing != p.lastWord && p.terms.Status != nil {
		p.terms.Status(standing, size, p.accord.Fleet().Epoch)
	}
	if (size != p.lastSize || standing != p.lastWord) && p.terms.Changed != nil {
		p.terms.Changed(size, standing)
	}
	p.lastSize, p.lastWord = size, standing
}

// dial finds out what is at the address of a member that does not answer.
func (p *Peers) dial(id membership.ID, at string) {
	how := membership.DialTaken
	c, err := net.DialTimeout("tcp", at, dialWithin)
	switch {
	case err == nil:
		c.Close()
	case isRefused(err):
		how = membership.DialRefused
	default:
		how = membership.DialNothing
	}
	p.do(func() { p.view.Dialled(id, how) })
}

// join looks for others until some are found, and again whenever nobody is left.
func (p *Peers) join() {
	defer p.ended.Done()
	wait := joinEvery
	for {
		if p.members() < 2 && len(p.terms.First) > 0 {
			if _, err := p.list.Join(p.terms.First); err != nil {
				wait = min(2*wait, joinMost)
			}
		} else {
			wait = joinEvery
		}
		select {
		case <-p.done:
			return
		case <-time.After(wait):
		}
	}
}
