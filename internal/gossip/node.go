// Package gossip connects the app servers of a cluster: it finds the others, tells them how this server is, and hands
// what it hears to package membership, which draws the conclusions. It is built on hashicorp/memberlist, which carries
// messages, probes members and encrypts; of memberlist's own conclusions only that a member did not refute in time that
// it failed is used.
//
// A Node runs one worker goroutine, which alone touches the view of the cluster. Nothing here may block the event loop
// of the server, keep more than its bounds, or accept a message that was not sent under the cluster's name and keys and
// signed by the member it names.
package gossip

import (
	"crypto/ed25519"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"thistlequay/internal/membership"
	"thistlequay/timeunit"
)

const (
	tickInterval   = 200 * time.Millisecond // between two ticks of the view
	leaveTimeout   = 500 * time.Millisecond // for memberlist's own message that this server leaves
	inspectTimeout = time.Second
)

// ErrNoAnswer means that the worker is busy or has ended.
var ErrNoAnswer = errors.New("the gossip does not answer")

// Node is one server's part in the gossip. Its methods may be called from any goroutine.
type Node struct {
	config     Config
	memberlist *memberlist.Memberlist
	keyring    *memberlist.Keyring // nil in a cluster without encryption keys
	broadcasts *memberlist.TransmitLimitedQueue
	started    time.Time // of config.Now

	tasks       chan func()   // for the worker
	publishNow  chan struct{} // has the worker send an update without delay
	done        chan struct{} // closed by Close
	goroutines  sync.WaitGroup
	streamSlots chan struct{} // one for each envelope on its way on a stream

	localState  atomic.Pointer[LocalState]
	coordinator atomic.Pointer[CoordinatorIdentity]
	privateKey  ed25519.PrivateKey // of this incarnation: made at its start and never stored
	// pushPullState is what a full exchange of memberlist sends, made anew at each tick.
	pushPullState atomic.Pointer[[][]byte]

	// Below is the worker's alone.
	view          *membership.View
	agreement     *membership.Agreement
	publicKeys    map[membership.ID]ed25519.PublicKey
	signedUpdates map[membership.ID]signedMessage // the newest of each member, as it was signed
	joined        map[membership.ID]bool          // members that memberlist holds to be alive
	nextUpdate    time.Time                       // when this server's next update is due
	lastSize      int                             // as was reported last
	lastStatus    membership.QuorumStatus         // as was reported last

	// Dropped counts the messages and calls that found the worker's queue or the streams full, since the start.
	Dropped atomic.Int64
	// Malformed counts the messages that could not be decoded, since the start.
	Malformed atomic.Int64
	// SentBytes counts the bytes that were sent, since the start. It stays 0 over a Config.Transport.
	SentBytes atomic.Int64
}

// Start listens, begins to look for the cluster and returns the running node. It fails if an address cannot be listened
// on or a key has a wrong length.
func Start(config Config) (*Node, error) {
	n, err := newNode(config)
	if err != nil {
		return nil, err
	}
	list, err := n.memberlistConfig()
	if err != nil {
		return nil, err
	}
	n.broadcasts = &memberlist.TransmitLimitedQueue{
		NumNodes:       func() int { return max(1, n.memberCount()) },
		RetransmitMult: retransmitMultiplier,
	}
	n.memberlist, err = memberlist.Create(list)
	if err != nil {
		return nil, err
	}
	n.goroutines.Add(3)
	go n.run()
	go n.joinLoop()
	go n.pingLoop()
	return n, nil
}

// newNode returns a node without sockets and goroutines.
func newNode(config Config) (*Node, error) {
	if config.Now == nil {
		config.Now = time.Now
	}
	n := &Node{
		config:        config,
		started:       config.Now(),
		tasks:         make(chan func(), maxQueuedTasks),
		publishNow:    make(chan struct{}, 1),
		done:          make(chan struct{}),
		streamSlots:   make(chan struct{}, maxStreams),
		publicKeys:    map[membership.ID]ed25519.PublicKey{},
		signedUpdates: map[membership.ID]signedMessage{},
		joined:        map[membership.ID]bool{},
	}
	n.localState.Store(&LocalState{State: membership.StateJoining})
	n.coordinator.Store(&CoordinatorIdentity{})
	n.view = membership.NewView(config.Membership, n.Now())
	n.agreement = membership.NewAgreement(n.view)
	var err error
	_, n.privateKey, err = ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	if len(config.Keys) > 0 {
		n.keyring, err = memberlist.NewKeyring(config.Keys, config.Keys[0])
	}
	return n, err
}

// Close tells the others that this server leaves, stops the goroutines and waits for their end.
func (n *Node) Close() {
	n.leave(leaveTimeout)
	n.goroutines.Wait()
}

// CloseWithin is Close for a process that ends within timeout: it takes no longer, and goroutines that still wait for
// an answer of another server end with the process. Who misses the message finds the server gone by probes, and knows
// by its state that it drained.
func (n *Node) CloseWithin(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	n.leave(timeout)
	ended := make(chan struct{})
	go func() { // ends with the goroutines or with the process
		n.goroutines.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(time.Until(deadline)):
	}
}

// leave tells the others for up to timeout and closes the sockets.
func (n *Node) leave(timeout time.Duration) {
	timeout = min(leaveTimeout, max(timeout, time.Millisecond)) // memberlist would wait without end for 0
	_ = n.memberlist.Leave(timeout)                             // who misses it finds out by probes
	close(n.done)
	_ = n.memberlist.Shutdown() // it only fails to close what is closed
}

// LocalID returns the identity of this server.
func (n *Node) LocalID() membership.ID { return n.config.Membership.Self }

// Now returns the time by the clock of the view: milliseconds since the start, never 0.
func (n *Node) Now() timeunit.Milliseconds {
	return timeunit.Milliseconds(n.config.Now().Sub(n.started).Milliseconds()) + 1
}

// memberCount returns how many members memberlist knows. Memberlist itself asks before it is created.
func (n *Node) memberCount() int {
	if n.memberlist == nil {
		return 1
	}
	return n.memberlist.NumMembers()
}

// Inspect has the worker call a function with the view, which must not keep it. It waits for at most a second. After
// ErrNoAnswer the function was not called and will not be, so that what it writes to is the caller's again.
func (n *Node) Inspect(inspect func(*membership.View, *membership.Agreement)) error {
	inspected := make(chan struct{})
	taken := atomic.Bool{} // by the worker, which then calls, or by the end of the wait
	n.enqueue(func() {
		if taken.CompareAndSwap(false, true) {
			inspect(n.view, n.agreement)
			close(inspected)
		}
	})
	select {
	case <-inspected:
		return nil
	case <-n.done:
	case <-time.After(inspectTimeout):
	}
	if taken.CompareAndSwap(false, true) {
		return ErrNoAnswer
	}
	<-inspected // the worker is calling at this moment
	return nil
}

// enqueue has the worker run a task. If its queue is full, the task is dropped and counted: all messages are repeated.
func (n *Node) enqueue(task func()) {
	select {
	case n.tasks <- task:
	default:
		n.Dropped.Add(1)
	}
}

// run is the worker.
func (n *Node) run() {
	defer n.goroutines.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.done:
			return
		case task := <-n.tasks:
			n.advanceClock()
			task()
		case <-n.publishNow:
			n.advanceClock()
			n.publish(n.config.Now())
		case <-ticker.C:
			n.advanceClock()
			n.tick()
		}
		n.sendPaxosMessages()
		n.reportChanges()
	}
}

// tick does what is due by time alone.
func (n *Node) tick() {
	now := n.config.Now()
	if !now.Before(n.nextUpdate) {
		n.publish(now)
	}
	n.agreement.Tick()
	n.view.Tick(n.agreement.QuorumStatus())
	n.buildPushPullState()
	n.forgetDroppedMembers()
}

// advanceClock tells the view the time. The view takes a gap of several intervals for a pause of this server.
func (n *Node) advanceClock() {
	n.view.Advance(n.Now(), timeunit.MillisecondsOf(tickInterval))
}

// reportChanges tells what has changed in the view since it was called last.
func (n *Node) reportChanges() {
	for _, event := range n.view.Events() {
		n.reportMemberEvent(event)
	}
	size := n.view.EffectiveSize()
	status := n.agreement.QuorumStatus()
	if status != n.lastStatus && n.config.OnQuorumChange != nil {
		n.config.OnQuorumChange(status, size, n.agreement.Configuration().Epoch)
	}
	if (size != n.lastSize || status != n.lastStatus) && n.config.OnChange != nil {
		n.config.OnChange(size, status)
	}
	n.lastSize = size
	n.lastStatus = status
}

// reportMemberEvent reports a change of a member's state. If the member does not answer, it has its address diagnosed.
func (n *Node) reportMemberEvent(event membership.Event) {
	if n.config.OnMemberEvent != nil {
		n.config.OnMemberEvent("member", event.ID, event.From, event.To, event.Cause)
	}
	if event.To != membership.StateSuspected && event.To != membership.StateFailed {
		return
	}
	if member := n.view.Member(event.ID); member != nil {
		// Nobody waits for its end: it takes half a second, and there is one for a member at most.
		go n.diagnoseAddress(event.ID, member.Address)
	}
}

// forgetDroppedMembers forgets the keys and updates of members that the view has dropped.
func (n *Node) forgetDroppedMembers() {
	for id := range n.publicKeys {
		if n.view.Member(id) == nil {
			delete(n.publicKeys, id)
			delete(n.signedUpdates, id)
		}
	}
}
