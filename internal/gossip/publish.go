package gossip

import (
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"thistlequay/internal/membership"
)

// Limits on how often state updates are sent and passed on.
const (
	// A server sends an update every minUpdateInterval, or every updateIntervalPerMember times the number of members
	// if that is longer. So what each member receives does not grow with the cluster.
	minUpdateInterval       = time.Second
	updateIntervalPerMember = 33 * time.Millisecond
	// leaveRebroadcasts is how many more times the update is passed on by which a member leaves, one each tick.
	leaveRebroadcasts = 3
	// maxPushPullUpdates bounds the updates in one full exchange.
	maxPushPullUpdates = 256
)

// LocalState is what the server says of itself.
type LocalState struct {
	State             membership.State
	ConcurrencyLimit  float64
	InFlight          float64 // requests
	AvailableCapacity float64 // requests that it could begin now
	IndexLatencyMs    float64 // of recent calls
	LoopLag           time.Duration
	Usage             []membership.TenantUsage
}

// CoordinatorIdentity is the number under which the server votes in the log of the quotas, and that of the log. The
// first is 0 if the server is no coordinator.
type CoordinatorIdentity struct {
	VoterID uint64
	LogID   uint64
}

// SetLocalState has the next update say how this server is. A change of State is sent without delay.
func (n *Node) SetLocalState(state LocalState) {
	before := n.localState.Swap(&state)
	if before.State != state.State {
		n.requestPublish()
	}
}

// SetCoordinatorIdentity has updates say which coordinator this server is. A change is sent without delay.
func (n *Node) SetCoordinatorIdentity(identity CoordinatorIdentity) {
	before := n.coordinator.Swap(&identity)
	if *before != identity {
		n.requestPublish()
	}
}

// requestPublish has the worker publish soon. Requests that it has not seen yet become one.
func (n *Node) requestPublish() {
	select {
	case n.publishNow <- struct{}{}:
	default:
	}
}

// publish sends this server's own update and sets when the next one is due.
func (n *Node) publish(now time.Time) {
	interval := max(minUpdateInterval, updateIntervalPerMember*time.Duration(n.memberCount()))
	n.nextUpdate = now.Add(interval)
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
	if len(message) <= maxPacketMessage {
		n.broadcast(update, message)
	}
}

// broadcast passes an update on, with the message it came in. An update by which a member leaves is passed on a few
// more times: few updates or none follow it, and who missed it would hold the member to have failed.
func (n *Node) broadcast(update membership.StateUpdate, message []byte) {
	queue := func() {
		n.broadcasts.QueueBroadcast(&updateBroadcast{sender: update.ID, sequence: update.Sequence, message: message})
	}
	queue()
	if update.State != membership.StateDraining {
		return
	}
	for i := range leaveRebroadcasts {
		time.AfterFunc(tickInterval*time.Duration(i+1), queue)
	}
}

// buildPushPullState makes the updates that a full exchange sends, the newest first, without those of members that have
// failed or left.
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

// updateBroadcast is an update in memberlist's broadcast queue. A newer one of the same member takes its place.
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
