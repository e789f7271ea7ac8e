package gossip

import (
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"thistlequay/internal/membership"
)

// Limits on how often, and how many, state updates are sent and passed on.
const (
	// A server publishes an update every minUpdateInterval or, if that is longer, every updateIntervalPerMember times
	// the number of members. The rate of updates that each member receives therefore does not grow with the cluster.
	minUpdateInterval       = time.Second
	updateIntervalPerMember = 33 * time.Millisecond
	// leaveRebroadcasts is how many more times the update that announces a leave is broadcast, once per tick.
	leaveRebroadcasts = 3
	// maxPushPullUpdates limits the number of updates in one full exchange.
	maxPushPullUpdates = 256
)

// LocalState is the state that the server publishes about itself.
type LocalState struct {
	State             membership.State
	ConcurrencyLimit  float64
	InFlight          float64       // requests running or queued
	AvailableCapacity float64       // requests that it could start now
	IndexLatencyMs    float64       // latency of recent calls to the index
	LoopLag           time.Duration // lag of the event loop
	Usage             []membership.TenantUsage
}

// CoordinatorIdentity identifies the server as a voter in the quota log, the log that the coordinators replicate.
// VoterID is 0 if the server is not a coordinator.
type CoordinatorIdentity struct {
	VoterID uint64
	LogID   uint64 // number of the quota log
}

// SetLocalState sets the state that the next update publishes. A change of State is published without delay.
func (n *Node) SetLocalState(state LocalState) {
	previous := n.localState.Swap(&state)
	if previous.State != state.State {
		n.requestPublish()
	}
}

// SetCoordinatorIdentity sets the coordinator identity that updates publish. A change is published without delay.
func (n *Node) SetCoordinatorIdentity(identity CoordinatorIdentity) {
	previous := n.coordinator.Swap(&identity)
	if *previous != identity {
		n.requestPublish()
	}
}

// requestPublish has the worker publish an update soon. Requests that the worker has not seen yet are merged into one.
func (n *Node) requestPublish() {
	select {
	case n.publishNow <- struct{}{}:
	default:
	}
}

// publish broadcasts this server's own update and sets when the next one is due.
func (n *Node) publish(now time.Time) {
	interval := max(minUpdateInterval, updateIntervalPerMember*time.Duration(n.memberCount()))
	n.nextPublishAt = now.Add(interval)
	state := n.localState.Load()
	coordinator := n.coordinator.Load()
	update := n.view.UpdateSelf(membership.StateUpdate{
		Address:           n.config.advertisedAddress(),
		Version:           n.config.Version,
		SettingsDigest:    n.config.SettingsDigest,
		State:             state.State,
		ConcurrencyLimit:  state.ConcurrencyLimit,
		Load:              state.InFlight,
		AvailableCapacity: state.AvailableCapacity,
		IndexLatencyMs:    state.IndexLatencyMs,
		LoopLagMs:         state.LoopLag.Milliseconds(),
		Epoch:             n.agreement.Configuration().Epoch,
		QuotaVoter:        coordinator.VoterID,
		QuotaLog:          coordinator.LogID,
		Usage:             state.Usage,
	})
	signed, message := n.sign(kindStateUpdate, update)
	n.signedUpdates[update.ID] = signed
	if len(message) <= maxPacketMessageBytes {
		n.broadcast(update, message)
	}
}

// broadcast queues an update to be passed on, as the message that contains it. An update that announces a leave is
// passed on a few more times: few updates or none follow it, so a member that missed it would consider the sender
// failed.
func (n *Node) broadcast(update membership.StateUpdate, message []byte) {
	enqueueBroadcast := func() {
		n.broadcasts.QueueBroadcast(&updateBroadcast{sender: update.ID, sequence: update.Sequence, message: message})
	}
	enqueueBroadcast()
	if update.State != membership.StateDraining {
		return
	}
	for i := range leaveRebroadcasts {
		time.AfterFunc(tickInterval*time.Duration(i+1), enqueueBroadcast)
	}
}

// buildPushPullState builds the updates that a full exchange sends, newest first. It omits members that have failed or
// left.
func (n *Node) buildPushPullState() {
	members := n.view.Members()
	slices.SortStableFunc(members, func(a, b *membership.Member) int { return int(b.LastUpdate - a.LastUpdate) })
	var messages [][]byte
	for _, member := range members {
		signed, isKnown := n.signedUpdates[member.ID]
		if !isKnown || len(messages) >= maxPushPullUpdates || member.State >= membership.StateFailed {
			continue
		}
		signed.AgeMs = int64(member.Age(n.view.Now()))
		messages = append(messages, encodeMessage(kindStateUpdate, signed))
	}
	n.pushPullState.Store(&messages)
}

// updateBroadcast is a state update in memberlist's broadcast queue. A newer update of the same member replaces it.
type updateBroadcast struct {
	sender   membership.ID
	sequence uint64
	message  []byte
}

// Invalidates implements memberlist.Broadcast.
func (b *updateBroadcast) Invalidates(other memberlist.Broadcast) bool {
	older, isUpdate := other.(*updateBroadcast)
	return isUpdate && older.sender == b.sender && older.sequence <= b.sequence
}

// Message implements memberlist.Broadcast.
func (b *updateBroadcast) Message() []byte { return b.message }

// Finished implements memberlist.Broadcast.
func (b *updateBroadcast) Finished() {}
