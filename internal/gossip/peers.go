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
	tickInterval            = 200 * time.Millisecond // between two looks at the view
	maxQueuedTasks          = 1024                   // of what was heard and not taken up yet
	maxPacketMessage        = 1200                   // bytes of one word or note
	maxEnvelope             = 256 << 10              // of a letter; what does not go in a packet goes on a connection
	maxStreams              = 4                      // of those at once
	minUpdateInterval       = time.Second            // a word goes out so often
	updateIntervalPerMember = 33 * time.Millisecond  // and less often with each member, so that what each hears stays flat
	leaveRebroadcasts       = 3                      // more times that a last word is passed on
	retransmitMultiplier    = 1                      // by how many a word is passed on, times the logarithm of the members
	pingInterval            = time.Second
	pingAttempts            = 3
	dialTimeout             = 500 * time.Millisecond
	minJoinInterval         = time.Second // while nobody is found; ever later up to the next figure
	maxJoinInterval         = 10 * time.Second
	maxPushPullUpdates      = 256 // words handed over at a full exchange
	leaveTimeout            = 500 * time.Millisecond
)

// Config are what the talk is begun with.
type Config struct {
	Membership       membership.Config
	ListenAddress    string   // address to talk on
	AdvertiseAddress string   // where others reach it, if that is another
	SeedAddresses    []string // addresses to find others by
	ClusterName      string   // its name: words of another are not understood
	Keys             [][]byte // the first is spoken under, all are understood
	Transport        memberlist.Transport
	Version          string
	SettingsDigest   uint32
	ProbeInterval    time.Duration // between two probes of the library; 0 for its own figure
	Now              func() time.Time
	OnChange         func(size int, standing membership.QuorumStatus) // called by the worker
	OnMemberEvent    func(event string, id membership.ID, from, to membership.State, why membership.Cause)
	OnQuorumChange   func(standing membership.QuorumStatus, members int, epoch uint64)
	OnUsage          func(of membership.ID, age time.Duration, used []membership.TenantUsage) // a word was heard; called by the worker, must not block
	Handlers         map[byte]func(from membership.ID, text []byte)                           // by kind, from FirstMail on; called by the worker, must not block
}

// LocalState is what the server says of itself.
type LocalState struct {
	State                                                         membership.State
	ConcurrencyLimit, InFlight, AvailableCapacity, IndexLatencyMs float64
	LoopLag                                                       time.Duration
	Usage                                                         []membership.TenantUsage
}

// CoordinatorIdentity is what the server says of itself as a keeper of what is agreed on.
type CoordinatorIdentity struct{ VoterID, LogID uint64 }

// Node is the talk of one server. Its methods may be called from anywhere.
type Node struct {
	config        Config
	memberlist    *memberlist.Memberlist
	keyring       *memberlist.Keyring // nil where the fleet talks without keys
	broadcasts    *memberlist.TransmitLimitedQueue
	tasks         chan func()
	localState    atomic.Pointer[LocalState]
	coordinator   atomic.Pointer[CoordinatorIdentity]
	streamSlots   chan struct{} // a place for each letter on its way by a connection
	publishNow    chan struct{}
	done          chan struct{}
	goroutines    sync.WaitGroup
	started       time.Time
	view          *membership.View
	agreement     *membership.Agreement
	nextUpdate    time.Time
	lastSize      int
	lastStatus    membership.QuorumStatus
	privateKey    ed25519.PrivateKey // of this life
	publicKeys    map[membership.ID]ed25519.PublicKey
	signedUpdates map[membership.ID]signedMessage // the newest of each life, as it was sealed
	joined        map[membership.ID]bool          // lives that the library holds to be there
	pushPullState atomic.Pointer[[][]byte]        // words as they go out at a full exchange, made anew at each look
	Dropped       atomic.Int64                    // messages that found the inbox full
	Malformed     atomic.Int64                    // messages that were not understood
	SentBytes     atomic.Int64                    // bytes
}

// Start begins to talk. An address that cannot be listened on or a key of a wrong length is an error.
func Start(t Config) (*Node, error) {
	if t.Now == nil {
		t.Now = time.Now
	}
	p := &Node{config: t, tasks: make(chan func(), maxQueuedTasks), publishNow: make(chan struct{}, 1), done: make(chan struct{}), started: t.Now()}
	p.localState.Store(&LocalState{State: membership.StateJoining})
	p.coordinator.Store(&CoordinatorIdentity{})
	p.streamSlots = make(chan struct{}, maxStreams)
	p.joined = map[membership.ID]bool{}
	p.publicKeys, p.signedUpdates = map[membership.ID]ed25519.PublicKey{}, map[membership.ID]signedMessage{}
	_, secret, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	p.privateKey = secret
	p.view = membership.NewView(t.Membership, p.now())
	p.agreement = membership.NewAgreement(p.view)
	config := memberlist.DefaultLANConfig()
	config.Name = nodeName(t.Membership.Self)
	config.ProbeInterval, config.ProbeTimeout = 500*time.Millisecond, 250*time.Millisecond
	if t.ProbeInterval > 0 {
		config.ProbeInterval, config.ProbeTimeout = t.ProbeInterval, t.ProbeInterval/2
	}
	config.TCPTimeout = 2 * time.Second
	config.PushPullInterval = 15 * time.Second
	config.GossipToTheDeadTime = 10 * time.Second
	config.Label = t.ClusterName
	config.RequireNodeNames = false
	config.HandoffQueueDepth = maxQueuedTasks
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
	if config.BindAddr, config.BindPort, err = splitAddress(t.ListenAddress); err != nil {
		return nil, err
	}
	config.AdvertiseAddr, config.AdvertisePort = config.BindAddr, config.BindPort
	if t.AdvertiseAddress != "" {
		if config.AdvertiseAddr, config.AdvertisePort, err = splitAddress(t.AdvertiseAddress); err != nil {
			return nil, err
		}
	}
	config.Transport = t.Transport
	if t.Transport == nil {
		if config.Transport, err = newTransport(config.BindAddr, config.BindPort, &p.SentBytes); err != nil {
			return nil, err
		}
	}
	p.broadcasts = &memberlist.TransmitLimitedQueue{NumNodes: func() int { return max(1, p.memberCount()) }, RetransmitMult: retransmitMultiplier}
	if p.memberlist, err = memberlist.Create(config); err != nil {
		return nil, err
	}
	p.goroutines.Add(3)
	go p.run()
	go p.joinLoop()
	go p.pingLoop()
	return p, nil
}

func (p *Node) memberCount() int {
	if p.memberlist == nil {
		return 1
	}
	return p.memberlist.NumMembers()
}

func nodeName(id membership.ID) string { return fmt.Sprintf("%s.%016x", id.Name, id.Incarnation) }

// parseNodeName reads the name that a member has in the library.
func parseNodeName(node string) (id membership.ID, ok bool) {
	i := strings.LastIndexByte(node, '.')
	if i <= 0 {
		return id, false
	}
	life, err := strconv.ParseUint(node[i+1:], 16, 64)
	return membership.ID{Name: node[:i], Incarnation: life}, err == nil && life > 0
}

func splitAddress(text string) (host string, port int, err error) {
	host, service, err := net.SplitHostPort(text)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(service)
	return host, port, err
}

// now is the clock of the view: milliseconds since the start, by the monotonic clock.
func (p *Node) now() timeunit.Milliseconds {
	return timeunit.Milliseconds(p.config.Now().Sub(p.started).Milliseconds()) + 1
}

// enqueue has the worker do something. What finds the inbox full is dropped and counted: all of it comes again.
func (p *Node) enqueue(what func()) {
	select {
	case p.tasks <- what:
	default:
		p.Dropped.Add(1)
	}
}

// SetLocalState tells the others how this server is, at the next word; a change of state at once.
func (p *Node) SetLocalState(o LocalState) {
	before := p.localState.Swap(&o)
	if before.State != o.State {
		select {
		case p.publishNow <- struct{}{}:
		default:
		}
	}
}

// SetCoordinatorIdentity tells the others which keeper this server is.
func (p *Node) SetCoordinatorIdentity(k CoordinatorIdentity) {
	if before := p.coordinator.Swap(&k); *before != k {
		select {
		case p.publishNow <- struct{}{}:
		default:
		}
	}
}

// LocalID is this life.
func (p *Node) LocalID() membership.ID { return p.config.Membership.Self }

// Now is the clock of the view.
func (p *Node) Now() timeunit.Milliseconds { return p.now() }

// Send sends a letter of a kind to one member at its address. Whether it comes nobody says; what finds no room is dropped.
func (p *Node) Send(to membership.ID, address string, kind byte, text []byte) {
	_, message := p.sign(kind, envelope{From: p.config.Membership.Self, To: to, Payload: text})
	host, port, err := splitAddress(address)
	switch {
	case err != nil || len(message) > maxEnvelope:
		p.Dropped.Add(1)
	case len(message) <= maxPacketMessage:
		_ = p.memberlist.SendToAddress(memberlist.Address{Addr: address, Name: nodeName(to)}, message)
	default:
		select {
		case p.streamSlots <- struct{}{}:
			go func() {
				defer func() { <-p.streamSlots }()
				_ = p.memberlist.SendReliable(&memberlist.Node{Name: nodeName(to), Addr: net.ParseIP(host), Port: uint16(port)}, message)
			}()
		default:
			p.Dropped.Add(1)
		}
	}
}

// SendRaw is for tests: it sends a message of any kind under this life's seal, whatever is in it.
func (p *Node) SendRaw(to membership.ID, address string, kind byte, text []byte) error {
	_, message := p.signPayload(kind, text)
	host, port, err := splitAddress(address)
	if err != nil {
		return err
	}
	return p.memberlist.SendReliable(&memberlist.Node{Name: nodeName(to), Addr: net.ParseIP(host), Port: uint16(port)}, message)
}

// Inspect has something read the view. It waits for the worker, at most for a second; after an error the worker has not
// looked and will not: what the caller has it write is the caller's again.
func (p *Node) Inspect(at func(*membership.View, *membership.Agreement)) error {
	looked, taken := make(chan struct{}), atomic.Bool{} // by the worker, or by the end of the wait
	p.enqueue(func() {
		if taken.CompareAndSwap(false, true) {
			at(p.view, p.agreement)
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

// RotateKeys has it speak under the first of the keys and understand all of them.
func (p *Node) RotateKeys(keys [][]byte) error {
	return (*delegate)(p).replaceKeys(keys)
}

// Close says good-bye and stops talking.
func (p *Node) Close() {
	_ = p.memberlist.Leave(leaveTimeout)
	close(p.done)
	_ = p.memberlist.Shutdown()
	p.goroutines.Wait()
}

// run is the worker: it alone touches the view.
func (p *Node) run() {
	defer p.goroutines.Done()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			return
		case what := <-p.tasks:
			p.advanceClock()
			what()
		case <-p.publishNow:
			p.advanceClock()
			p.publish(true)
		case <-t.C:
			p.advanceClock()
			p.publish(false)
			p.agreement.Tick()
			p.view.Tick(p.agreement.QuorumStatus())
			p.buildPushPullState()
			p.forgetDroppedMembers()
		}
		p.sendPaxosMessages()
		p.reportChanges()
	}
}

func (p *Node) advanceClock() {
	p.view.Advance(p.now(), timeunit.Milliseconds(tickInterval/time.Millisecond))
}

// publish sends the server's own word where it is due.
func (p *Node) publish(now bool) {
	if at := p.config.Now(); now || !at.Before(p.nextUpdate) {
		p.nextUpdate = at.Add(max(minUpdateInterval, updateIntervalPerMember*time.Duration(p.memberCount())))
		own := *p.localState.Load()
		w := p.view.UpdateSelf(membership.StateUpdate{Address: (*delegate)(p).advertisedAddress(), Version: p.config.Version, SettingsDigest: p.config.SettingsDigest, State: own.State,
			Usage: own.Usage, QuotaVoter: p.coordinator.Load().VoterID, QuotaLog: p.coordinator.Load().LogID, ConcurrencyLimit: own.ConcurrencyLimit, Load: own.InFlight, AvailableCapacity: own.AvailableCapacity, IndexLatencyMs: own.IndexLatencyMs, LoopLagMs: own.LoopLag.Milliseconds(), Epoch: p.agreement.Configuration().Epoch})
		p.broadcastOwnUpdate(w)
	}
}

// broadcastOwnUpdate has the server's own word go round.
func (p *Node) broadcastOwnUpdate(w membership.StateUpdate) {
	s, text := p.sign(kindStateUpdate, w)
	p.signedUpdates[w.ID] = s
	if len(text) <= maxPacketMessage {
		p.broadcast(w, text)
	}
}

// broadcast passes a word on. One that a member leaves by is passed on some times more: few words, or none, come after it, and who
// missed it would hold the member for failed.
func (p *Node) broadcast(w membership.StateUpdate, text []byte) {
	send := func() {
		p.broadcasts.QueueBroadcast(&updateBroadcast{sender: w.ID, sequence: w.Sequence, message: text})
	}
	send()
	for n := range leaveRebroadcasts {
		if w.State == membership.StateDraining {
			time.AfterFunc(tickInterval*time.Duration(n+1), send)
		}
	}
}

// buildPushPullState makes the words that a full exchange hands over: the newest first.
func (p *Node) buildPushPullState() {
	list := p.view.Members()
	slices.SortStableFunc(list, func(a, b *membership.Member) int { return int(b.LastUpdate - a.LastUpdate) })
	var words [][]byte
	for _, m := range list {
		if s, is := p.signedUpdates[m.ID]; is && len(words) < maxPushPullUpdates && m.State < membership.StateFailed {
			s.AgeMs = int64(m.Age(p.view.Now()))
			words = append(words, encodeMessage(kindStateUpdate, s))
		}
	}
	p.pushPullState.Store(&words)
}

// sendPaxosMessages sends the notes of the agreement, each to one member.
func (p *Node) sendPaxosMessages() {
	for _, n := range p.agreement.TakeMessages() {
		m := p.view.Member(n.To)
		if m == nil || m.Address == "" {
			continue
		}
		to := memberlist.Address{Addr: m.Address, Name: nodeName(n.To)}
		if _, text := p.sign(kindPaxos, n); len(text) <= maxPacketMessage {
			_ = p.memberlist.SendToAddress(to, text)
		}
	}
}

// reportChanges passes on what has changed.
func (p *Node) reportChanges() {
	for _, e := range p.view.Events() {
		if p.config.OnMemberEvent != nil {
			p.config.OnMemberEvent("member", e.ID, e.From, e.To, e.Cause)
		}
		if e.To == membership.StateSuspected || e.To == membership.StateFailed {
			if m := p.view.Member(e.ID); m != nil {
				go p.diagnoseAddress(e.ID, m.Address) // bounded by the members, each for half a second
			}
		}
	}
	size, standing := p.view.EffectiveSize(), p.agreement.QuorumStatus()
	if standing != p.lastStatus && p.config.OnQuorumChange != nil {
		p.config.OnQuorumChange(standing, size, p.agreement.Configuration().Epoch)
	}
	if (size != p.lastSize || standing != p.lastStatus) && p.config.OnChange != nil {
		p.config.OnChange(size, standing)
	}
	p.lastSize, p.lastStatus = size, standing
}

// diagnoseAddress finds out what is at the address of a member that does not answer.
func (p *Node) diagnoseAddress(id membership.ID, at string) {
	how := membership.DialAccepted
	c, err := net.DialTimeout("tcp", at, dialTimeout)
	switch {
	case err == nil:
		c.Close()
	case isRefused(err):
		how = membership.DialRefused
	default:
		how = membership.DialTimedOut
	}
	p.enqueue(func() { p.view.DialFinished(id, how) })
}

// joinLoop looks for others until some are found, and again whenever nobody is left.
func (p *Node) joinLoop() {
	defer p.goroutines.Done()
	wait := minJoinInterval
	for {
		if p.memberCount() < 2 && len(p.config.SeedAddresses) > 0 {
			if _, err := p.memberlist.Join(p.config.SeedAddresses); err != nil {
				wait = min(2*wait, maxJoinInterval)
			}
		} else {
			wait = minJoinInterval
		}
		select {
		case <-p.done:
			return
		case <-time.After(wait):
		}
	}
}
