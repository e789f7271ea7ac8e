package membership

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// View is what one server knows and concludes about the members of its cluster. It is not safe for concurrent use.
type View struct {
	config     Config
	now        timeunit.Milliseconds
	self       *Member
	members    map[ID]*Member
	byName     map[string][]*Member // incarnations of each name, ordered by number
	nameOwners map[string]ID
	resumedAt  timeunit.Milliseconds // when this server last resumed after being paused

	effectiveSize  int
	configuredSize int // member count of the latest learned configuration

	// Counts are the rejected messages and false suspicions since the start. The host adds the messages it rejects
	// itself.
	Counts Counts
	events []Event
}

// Counts are the numbers of rejected messages and wrong conclusions since the start. The JSON keys are part of the
// status page.
type Counts struct {
	Invalid        int `json:"Insane"`      // updates that Validate rejected
	Stale          int `json:"Old"`         // updates that were not newer than the known one
	Forged         int `json:"Foreign"`     // messages whose seal is not that of the claimed sender
	UnknownSender  int `json:"Unknown"`     // messages from members that are not known
	NoCapacity     int `json:"Full"`        // updates of new members beyond Config.MaxMembers
	FalsePositives int `json:"FalseAlarms"` // members considered failed that were running all the time
	NameConflicts  int `json:"NameTaken"`   // incarnations whose name was owned by another one
}

// Event is one change of a member's state, for the log.
type Event struct {
	ID    ID
	From  State
	To    State
	Cause Cause
}

// NewView returns a View that contains only the server itself. now is the time by the host's clock, which must be
// monotonic.
func NewView(config Config, now timeunit.Milliseconds) *View {
	v := &View{
		config:        config,
		now:           now,
		members:       map[ID]*Member{},
		byName:        map[string][]*Member{},
		nameOwners:    map[string]ID{},
		resumedAt:     distantPast,
		effectiveSize: max(1, config.InitialSize),
	}
	v.self = &Member{
		StateUpdate:  StateUpdate{ID: config.Self, Zone: config.Zone},
		FirstSeen:    now,
		LastUpdate:   now,
		Since:        now,
		leavingSince: notLeaving,
	}
	v.add(v.self)
	v.nameOwners[config.Self.Name] = config.Self
	return v
}

// distantPast is the time of an event that has not happened. It is earlier than every clock reading.
const distantPast timeunit.Milliseconds = -1 << 60

// pauseThresholdIntervals is the number of intervals between two calls of Advance above which this process must have
// been paused.
const pauseThresholdIntervals = 4

// Advance moves the view's clock forward to now; interval is the usual time between two calls. If the gap since the
// last call shows that this process was paused, its length is returned, otherwise 0. For the next StabilityWindow the
// view then draws no conclusions against other members (recentlyPaused).
func (v *View) Advance(now, interval timeunit.Milliseconds) (paused timeunit.Milliseconds) {
	if gap := now - v.now; gap > pauseThresholdIntervals*interval {
		paused = gap
		v.resumedAt = now
		v.self.PausedMs = int64(gap)
	}
	v.now = max(v.now, now)
	return paused
}

// recentlyPaused reports whether this process was paused and has not yet had time to hear from the other members again.
func (v *View) recentlyPaused() bool { return v.now-v.resumedAt < v.config.StabilityWindow }

// UpdateSelf sets this server's state to update, to which it adds the fields that the view maintains and the next
// sequence number, and returns the update to publish. If the result is invalid, the state does not change and the
// previous update is returned.
func (v *View) UpdateSelf(update StateUpdate) StateUpdate {
	update.ID = v.config.Self
	update.Zone = v.config.Zone
	update.PausedMs = v.self.PausedMs
	if v.now-v.resumedAt > v.config.Retention {
		update.PausedMs = 0
	}
	update.AgeMs = 0
	update.Unreachable = v.unreachableNames()
	update.Sequence = v.self.Sequence + 1
	if update.Validate() != nil {
		return v.self.StateUpdate
	}
	update.sanitize()
	v.self.StateUpdate = update
	v.self.LastUpdate = v.now
	v.self.LastReply = v.now
	v.transition(v.self, update.State, CauseNone)
	return update
}

// unreachableNames returns the names of members that this server cannot reach although others may, at most
// MaxUnreachable.
func (v *View) unreachableNames() (names []string) {
	for _, member := range v.Members() {
		isUnreachable := member.Cause == CauseUnreachableFromHere || member.State == StateSuspected
		if member != v.self && isUnreachable && len(names) < MaxUnreachable {
			names = append(names, member.Name)
		}
	}
	return names
}

// ApplyUpdate applies a state update that came from the member itself or was passed on by another. It reports whether
// the update was new. If it was not, Counts records why, except for an update about this server itself.
func (v *View) ApplyUpdate(update StateUpdate) bool {
	if update.Validate() != nil {
		v.Counts.Invalid++
		return false
	}
	update.sanitize()
	if update.ID == v.config.Self {
		return false // only the server itself reports its state
	}
	member := v.members[update.ID]
	if member == nil {
		return v.addFromUpdate(&update)
	}
	if update.Sequence <= member.Sequence {
		v.Counts.Stale++
		return false
	}
	v.applyNewerUpdate(member, &update)
	return true
}

// addFromUpdate adds the member described by its first update. It returns false if there is no capacity for it.
func (v *View) addFromUpdate(update *StateUpdate) bool {
	if len(v.members) >= v.config.MaxMembers && !v.evictOldest() {
		v.Counts.NoCapacity++
		return false
	}
	member := &Member{
		StateUpdate:  *update,
		FirstSeen:    v.now,
		LastUpdate:   v.now - timeunit.Milliseconds(update.AgeMs),
		Since:        v.now,
		LastReply:    distantPast,
		State:        update.State,
		leavingSince: notLeaving,
	}
	if update.State == StateDraining {
		member.leavingSince = v.now
	}
	v.add(member)
	v.events = append(v.events, Event{update.ID, StateLeft, update.State, CauseNone})
	v.resolveName(update.Name)
	return true
}

// applyNewerUpdate replaces a member's update with a newer one and derives the member's state.
func (v *View) applyNewerUpdate(member *Member, update *StateUpdate) {
	hasNewPause := update.PausedMs > 0 && update.PausedMs != member.PausedMs
	member.StateUpdate = *update
	member.LastUpdate = max(member.LastUpdate, v.now-timeunit.Milliseconds(update.AgeMs))
	switch {
	case member.isTerminated || member.Cause == CauseNameConflict:
		// A terminated member does not come back, and a member in a name conflict waits until it owns the name.
	case member.State == StateFailed || member.State == StateSuspected:
		// The update may predate the suspicion: only a probe answer or a refutation clears it.
		if hasNewPause {
			member.Cause = CausePaused
		}
	case update.State == StateDraining:
		v.transition(member, StateDraining, CauseLeft)
	default:
		v.transition(member, update.State, member.causeWhileAlive())
	}
	v.resolveName(update.Name)
}

// Members returns all known incarnations, ordered by ID.
func (v *View) Members() []*Member {
	members := make([]*Member, 0, len(v.members))
	for _, member := range v.members {
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b *Member) int { return a.Compare(b.ID) })
	return members
}

// Member returns an incarnation, or nil if it is not known.
func (v *View) Member(id ID) *Member { return v.members[id] }

// Self returns the member for this server.
func (v *View) Self() *Member { return v.self }

// Now returns the latest time passed to Advance.
func (v *View) Now() timeunit.Milliseconds { return v.now }

// Events returns the state changes since the last call.
func (v *View) Events() []Event {
	events := v.events
	v.events = nil
	return events
}

// Alive returns the IDs of the members that are alive and own their names, including this server, in order.
func (v *View) Alive() (ids []ID) {
	for _, member := range v.Members() {
		if member.State < StateSuspected {
			ids = append(ids, member.ID)
		}
	}
	return ids
}

// AliveCount returns the number of members that Alive returns.
func (v *View) AliveCount() (count int) {
	for _, member := range v.members {
		if member.State < StateSuspected {
			count++
		}
	}
	return count
}

// Tick applies the changes that depend on time alone: it removes members that failed or left more than Retention ago
// and updates the effective size. Members in a name conflict and this server itself are not removed. The current time
// is that of the last call of Advance. The host calls Tick a few times per second.
func (v *View) Tick(status QuorumStatus) {
	for _, member := range v.members {
		hasEnded := member.State >= StateFailed && member.Cause != CauseNameConflict
		if member != v.self && hasEnded && v.now-member.Since > v.config.Retention {
			v.remove(member)
		}
	}
	v.updateEffectiveSize(status)
}

// evictOldest frees capacity for a new member by removing the one that failed or left first. It returns false if there
// is none.
func (v *View) evictOldest() bool {
	var oldest *Member
	for _, member := range v.Members() {
		if member != v.self && member.State >= StateFailed && (oldest == nil || member.Since < oldest.Since) {
			oldest = member
		}
	}
	if oldest == nil {
		return false
	}
	v.remove(oldest)
	return true
}

func (v *View) add(member *Member) {
	v.members[member.ID] = member
	incarnations := append(v.byName[member.Name], member)
	slices.SortFunc(incarnations, func(a, b *Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	v.byName[member.Name] = incarnations
}

func (v *View) remove(member *Member) {
	delete(v.members, member.ID)
	remaining := slices.DeleteFunc(v.byName[member.Name], func(other *Member) bool { return other == member })
	v.byName[member.Name] = remaining
	if len(remaining) == 0 {
		delete(v.byName, member.Name)
	}
	if v.nameOwners[member.Name] == member.ID {
		delete(v.nameOwners, member.Name)
	}
}

// transition sets a member's state and cause. A change of the state emits an event and counts towards flapping.
func (v *View) transition(member *Member, state State, cause Cause) {
	isLeaving := state == StateDraining || state == StateLeft && cause == CauseLeft
	if isLeaving {
		member.leavingSince = min(member.leavingSince, v.now)
	}
	if member.State == state {
		member.Cause = cause
		return
	}
	v.events = append(v.events, Event{member.ID, member.State, state, cause})
	member.State = state
	member.Cause = cause
	member.Since = v.now
	member.recordTransition(v.now, v.config.FlapThreshold)
}
