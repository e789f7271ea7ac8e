// Package gossip connects the app servers of a cluster. It finds the other members, publishes the state of this server
// to them, and passes what it receives to package membership, which draws the conclusions. It is built on
// hashicorp/memberlist, which transports and encrypts messages and probes members. Of memberlist's own conclusions,
// only one is used: that a member did not refute its suspected failure in time.
//
// A Node runs one worker goroutine, which alone accesses the cluster view. The package must not block the event loop of
// the server or exceed its memory bounds. It must accept a message only if the message was sent under the cluster's
// name and keys and is signed by the member that it names.
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

// LeaveTime is the longest time that the announcement of a leave takes.
const LeaveTime = 500 * time.Millisecond

const (
	tickInterval   = 200 * time.Millisecond // between two ticks of the view
	inspectTimeout = time.Second            // how long Inspect waits for the worker
)

// ErrNoAnswer means that the worker is busy or has ended.
var ErrNoAnswer = errors.New("gossip worker does not respond")

// Node runs one server's part of the gossip. Its methods may be called from any goroutine.
type Node struct {
	config     Config
	memberlist *memberlist.Memberlist
	keyring    *memberlist.Keyring // nil in a cluster without encryption keys
	broadcasts *memberlist.TransmitLimitedQueue
	startedAt  time.Time // by config.Now

	tasks       chan func()   // to be run by the worker
	publishNow  chan struct{} // makes the worker publish an update without delay
	done        chan struct{} // closed by Close and CloseWithin
	goroutines  sync.WaitGroup
	streamSlots chan struct{} // holds one element for each envelope being sent on a stream

	leaveOnce      sync.Once
	leaveAnnounced chan struct{} // closed once AnnounceLeave has made its announcement or given up

	localState  atomic.Pointer[LocalState]
	coordinator atomic.Pointer[CoordinatorIdentity]
	privateKey  ed25519.PrivateKey // of this incarnation; generated at its start and never stored
	// pushPullState holds the encoded updates that a full exchange sends. It is rebuilt at each tick.
	pushPullState atomic.Pointer[[][]byte]

	// Only the worker accesses the fields from here to lastStatus.
	view          *membership.View
	agreement     *membership.Agreement
	publicKeys    map[membership.ID]ed25519.PublicKey
	signedUpdates map[membership.ID]signedMessage // the latest update of each member, as signed by it
	joined        map[membership.ID]bool          // members that memberlist considers alive
	failed        failedMembers                   // members to reconnect to
	nextPublishAt time.Time                       // when this server's next update is due
	lastSize      int                             // as last reported
	lastStatus    membership.QuorumStatus         // as last reported

	// ReconnectAttempts counts the attempts to reconnect to failed members and seeds, since the start.
	ReconnectAttempts atomic.Int64
	// Dropped counts the messages and tasks that were dropped since the start, because the worker's queue was full, all
	// streams were in use, or an envelope was too long or had an invalid address.
	Dropped atomic.Int64
	// Malformed counts the received messages that could not be decoded, since the start.
	Malformed atomic.Int64
	// SentBytes counts the bytes that were sent, since the start. It stays 0 if Config.Transport is set.
	SentBytes atomic.Int64
}

// Start opens the sockets, begins to look for the cluster and returns the running node. It fails if an address is
// invalid or cannot be listened on, or if a key has an invalid length.
func Start(config Config) (*Node, error) {
	n, err := newNode(config)
	if err != nil {
		return nil, err
	}
	listConfig, err := n.memberlistConfig()
	if err != nil {
		return nil, err
	}
	n.broadcasts = &memberlist.TransmitLimitedQueue{
		NumNodes:       n.retransmitMembers,
		RetransmitMult: retransmitMultiplier,
	}
	n.memberlist, err = memberlist.Create(listConfig)
	if err != nil {
		return nil, err
	}
	n.goroutines.Add(4)
	go n.run()
	go n.joinLoop()
	go n.reconnectLoop()
	go n.pingLoop()
	return n, nil
}

// newNode returns a node without sockets and goroutines.
func newNode(config Config) (*Node, error) {
	if config.Now == nil {
		config.Now = time.Now
	}
	n := &Node{
		config:      config,
		startedAt:   config.Now(),
		tasks:       make(chan func(), maxQueuedTasks),
		publishNow:  make(chan struct{}, 1),
		done:        make(chan struct{}),
		streamSlots: make(chan struct{}, maxStreams),

		leaveAnnounced: make(chan struct{}),

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

// AnnounceLeave starts to announce to the other members that this server leaves, and returns at once. The node goes on
// until it is closed. A server that shuts down calls it LeaveTime before it closes the node, so that the announcement
// does not delay the exit of the process: memberlist sends it with the next packets of gossip, which are up to
// LeaveTime apart.
func (n *Node) AnnounceLeave() {
	n.leaveOnce.Do(func() {
		go func() { // ends within LeaveTime
			defer close(n.leaveAnnounced)
			_ = n.memberlist.Leave(LeaveTime) // members that miss it detect the leave by probes
		}()
	})
}

// Close announces to the other members that this server leaves, stops the goroutines and waits until they have ended.
func (n *Node) Close() {
	n.AnnounceLeave()
	<-n.leaveAnnounced
	close(n.done)
	_ = n.memberlist.Shutdown() // an error only means that something was closed already
	n.goroutines.Wait()
}

// CloseWithin is like Close but returns within timeout, for a process that is about to exit. It waits only until the
// announcement is made and the sockets are closed: goroutines that wait for an answer of another server end with the
// process. A member that misses the announcement detects by probes that this server is gone, and knows from its last
// state update that it was draining.
func (n *Node) CloseWithin(timeout time.Duration) {
	n.AnnounceLeave()
	close(n.done)
	closed := make(chan struct{})
	go func() { // ends with the announcement or with the process
		defer close(closed)
		<-n.leaveAnnounced
		_ = n.memberlist.Shutdown() // an error only means that something was closed already
	}()
	select {
	case <-closed:
	case <-time.After(timeout):
	}
}

// LocalID returns the identity of this incarnation of the server.
func (n *Node) LocalID() membership.ID { return n.config.Membership.Self }

// Now returns the time on the clock of the view: the milliseconds since this Node was created, plus 1. It is never 0,
// because a time of 0 means that an event has not happened (Member.LastReply of this server, for example).
func (n *Node) Now() timeunit.Milliseconds {
	return timeunit.Milliseconds(n.config.Now().Sub(n.startedAt).Milliseconds()) + 1
}

// memberCount returns the number of members that memberlist knows, including this server. Memberlist already calls it
// while it is being created; the result is then 1.
func (n *Node) memberCount() int {
	if n.memberlist == nil {
		return 1
	}
	return n.memberlist.NumMembers()
}

// retransmitMembers returns the number of members of which memberlist takes the logarithm to determine to how many
// members each member passes an update on.
func (n *Node) retransmitMembers() int {
	if count := n.memberCount(); count >= smallClusterMembers {
		return count
	}
	return smallClusterRetransmitMembers
}

// Inspect has the worker call inspect with the cluster view and the agreement, and waits for at most a second. inspect
// must not retain its arguments. If the error is ErrNoAnswer, inspect was not called and never will be, so the caller
// may use what inspect would have written to.
func (n *Node) Inspect(inspect func(*membership.View, *membership.Agreement)) error {
	inspected := make(chan struct{})
	claimed := atomic.Bool{} // set by the worker before it calls inspect, or by the caller when it stops waiting
	n.enqueue(func() {
		if claimed.CompareAndSwap(false, true) {
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
	if claimed.CompareAndSwap(false, true) {
		return ErrNoAnswer
	}
	<-inspected // the worker has begun the call
	return nil
}

// enqueue has the worker run a task. If the worker's queue is full, the task is dropped and counted. That is safe
// because all messages are repeated.
func (n *Node) enqueue(task func()) {
	select {
	case n.tasks <- task:
	default:
		n.Dropped.Add(1)
	}
}

// run is the worker goroutine. It runs tasks, publishes updates and ticks until the node is closed.
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

// tick does the worker's periodic work: it publishes an update if one is due, ticks the agreement and the view, and
// refreshes the data that depend on them.
func (n *Node) tick() {
	now := n.config.Now()
	if !now.Before(n.nextPublishAt) {
		n.publish(now)
	}
	n.agreement.Tick()
	n.view.Tick(n.agreement.QuorumStatus())
	n.buildPushPullState()
	n.forgetDroppedMembers()
}

// advanceClock passes the current time to the view. The view interprets a gap of several intervals as a pause of this
// server.
func (n *Node) advanceClock() {
	n.view.Advance(n.Now(), timeunit.MillisecondsOf(tickInterval))
}

// reportChanges calls the functions of Config for everything that has changed in the view since the last call.
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

// reportMemberEvent reports a change of a member's state. If the member was suspected or has failed, it also starts a
// diagnosis of the member's address.
func (n *Node) reportMemberEvent(event membership.Event) {
	if n.config.OnMemberEvent != nil {
		n.config.OnMemberEvent("member", event.ID, event.From, event.To, event.Cause)
	}
	if event.To != membership.StateSuspected && event.To != membership.StateFailed {
		return
	}
	if member := n.view.Member(event.ID); member != nil {
		// Nothing waits for this goroutine: it ends within half a second (dialTimeout), and there is at most one for a
		// member.
		go n.diagnoseAddress(event.ID, member.Address)
	}
}

// forgetDroppedMembers deletes the keys and updates of members that the view no longer contains.
func (n *Node) forgetDroppedMembers() {
	for id := range n.publicKeys {
		if n.view.Member(id) == nil {
			delete(n.publicKeys, id)
			delete(n.signedUpdates, id)
		}
	}
}
