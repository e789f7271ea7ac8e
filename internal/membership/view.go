// Package members concludes, from what a server hears of the others, who is there, who has failed and how, and what holds
// while they disagree or are cut off.
//
// This file owns the words that members say of themselves and the view made of them. It knows no socket, no clock and no
// goroutine: whoever embeds it tells what was heard and when. It must never let an older word override a newer one, nor
// take another's word for what only a member itself can say.
package membership

import (
	"cmp"
	"slices"
	"thistlequay/timeunit"
)

// View is what one server holds of the others. It is for one goroutine at a time.
type View struct {
	config         Config
	now            timeunit.Milliseconds
	self           *Member
	members        map[ID]*Member
	byName         map[string][]*Member // lives of a name in their order
	nameOwners     map[string]ID
	resumedAt      timeunit.Milliseconds // when this server last woke from standing still
	effectiveSize  float64
	configuredSize int // members of the fleet that was last agreed on
	Counts         Counts
	events         []Event
}

// Counts are what was turned away, from the start.
type Counts struct {
	Invalid        int `json:"Insane"`
	Stale          int `json:"Old"`
	Forged         int `json:"Foreign"`
	UnknownSender  int `json:"Unknown"`
	NoCapacity     int `json:"Full"`
	FalsePositives int `json:"FalseAlarms"`
	NameConflicts  int `json:"NameTaken"`
}

// Event is one change of state, for the log.
type Event struct {
	ID    ID
	From  State
	To    State
	Cause Cause
}

// NewView opens a view in which only the server itself is.
func NewView(t Config, now timeunit.Milliseconds) *View {
	v := &View{config: t, now: now, members: map[ID]*Member{}, byName: map[string][]*Member{}, nameOwners: map[string]ID{}, resumedAt: -forever}
	v.self = &Member{StateUpdate: StateUpdate{ID: t.Self, Zone: t.Zone}, FirstSeen: now, LastUpdate: now, Since: now}
	v.add(v.self)
	v.nameOwners[t.Self.Name] = t.Self
	v.effectiveSize = float64(max(1, t.InitialSize))
	return v
}

const forever timeunit.Milliseconds = 1 << 60

// Advance moves the time on. A gap shows that this server stood still: until it has heard the others again it distrusts its
// own eyes first.
func (v *View) Advance(now timeunit.Milliseconds, every timeunit.Milliseconds) (slept timeunit.Milliseconds) {
	if gap := now - v.now; gap > pauseThreshold*every {
		slept = gap
		v.resumedAt = now
		v.self.PausedMs = int64(gap)
	}
	v.now = max(v.now, now)
	return slept
}

const pauseThreshold = 4 // intervals between two looks at the clock that show a standstill

// UpdateSelf is the server's own word as it goes out, with the next number.
func (v *View) UpdateSelf(w StateUpdate) StateUpdate {
	w.ID, w.Zone, w.PausedMs, w.AgeMs = v.config.Self, v.config.Zone, v.self.PausedMs, 0
	if v.now-v.resumedAt > v.config.Retention {
		w.PausedMs = 0
	}
	w.Unreachable = v.unreachableNames()
	w.Sequence = v.self.Sequence + 1
	if !w.Sane() {
		return v.self.StateUpdate
	}
	v.self.StateUpdate, v.self.LastUpdate, v.self.LastReply = w, v.now, v.now
	v.transition(v.self, w.State, CauseNone)
	return w
}

// unreachableNames are the names that this server itself cannot reach though it holds them to be there or suspects them.
func (v *View) unreachableNames() (names []string) {
	for _, m := range v.Members() {
		if m != v.self && (m.Cause == CauseUnreachableFromHere || m.State == StateSuspected) && len(names) < MaxUnreachable {
			names = append(names, m.Name)
		}
	}
	return names
}

// ApplyUpdate takes a member's word, from itself or passed on. It says whether it was news.
func (v *View) ApplyUpdate(w StateUpdate) bool {
	if !w.Sane() {
		v.Counts.Invalid++
		return false
	}
	if w.ID == v.config.Self {
		return false // only the server itself says how it is
	}
	m := v.members[w.ID]
	if m == nil {
		if len(v.members) >= v.config.MaxMembers && !v.evictOldest() {
			v.Counts.NoCapacity++
			return false
		}
		m = &Member{StateUpdate: w, FirstSeen: v.now, LastUpdate: v.now - timeunit.Milliseconds(w.AgeMs), Since: v.now, LastReply: -forever, State: w.State}
		v.add(m)
		v.events = append(v.events, Event{w.ID, StateLeft, w.State, CauseNone})
		v.resolveName(w.Name)
		return true
	}
	if w.Sequence <= m.Sequence {
		v.Counts.Stale++
		return false
	}
	asleep := w.PausedMs > 0 && w.PausedMs != m.PausedMs
	m.StateUpdate, m.LastUpdate = w, max(m.LastUpdate, v.now-timeunit.Milliseconds(w.AgeMs))
	switch {
	case m.terminated || m.Cause == CauseNameConflict: // what is over does not come back; what has no name waits for it
	case m.State == StateFailed || m.State == StateSuspected: // told below: only an answer or the library's word brings it back
		if asleep {
			m.Cause = CausePaused
		}
	case w.State == StateDraining:
		v.transition(m, StateDraining, CauseLeft)
	default:
		v.transition(m, w.State, v.causeWhileAlive(m))
	}
	v.resolveName(w.Name)
	return true
}

// Members are all lives that are kept, in the order of their names.
func (v *View) Members() []*Member {
	list := make([]*Member, 0, len(v.members))
	for _, m := range v.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *Member) int { return a.Compare(b.ID) })
	return list
}

// Member is one life; nil where it is not known.
func (v *View) Member(id ID) *Member { return v.members[id] }

// Self is the server itself.
func (v *View) Self() *Member { return v.self }

// Now is the moment that was told last.
func (v *View) Now() timeunit.Milliseconds { return v.now }

// Events gives what has changed since it was last asked.
func (v *View) Events() []Event {
	e := v.events
	v.events = nil
	return e
}

// evictOldest makes room: what has been gone or failed the longest goes first. It says whether there was any.
func (v *View) evictOldest() bool {
	var oldest *Member
	for _, m := range v.Members() {
		if m != v.self && m.State >= StateFailed && (oldest == nil || m.Since < oldest.Since) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	v.remove(oldest)
	return true
}

func (v *View) add(m *Member) {
	v.members[m.ID] = m
	lives := append(v.byName[m.Name], m)
	slices.SortFunc(lives, func(a, b *Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	v.byName[m.Name] = lives
}

func (v *View) remove(m *Member) {
	delete(v.members, m.ID)
	lives := slices.DeleteFunc(v.byName[m.Name], func(o *Member) bool { return o == m })
	if v.byName[m.Name] = lives; len(lives) == 0 {
		delete(v.byName, m.Name)
	}
	if v.nameOwners[m.Name] == m.ID {
		delete(v.nameOwners, m.Name)
	}
}

// transition moves a member to a state.
func (v *View) transition(m *Member, s State, why Cause) {
	if m.State == s {
		m.Cause = why
		return
	}
	v.events = append(v.events, Event{m.ID, m.State, s, why})
	m.State, m.Cause, m.Since = s, why, v.now
	m.transitions = append(m.transitions, v.now)
	if n := len(m.transitions); n > v.config.FlapThreshold {
		m.transitions = m.transitions[n-v.config.FlapThreshold:]
	}
}

// recentlyPaused says that this server stood still of late and has not heard the others since for long enough to judge them.
func (v *View) recentlyPaused() bool { return v.now-v.resumedAt < v.config.StabilityWindow }

// Tick does what time alone does: what has been over for long is dropped, and the size of the fleet follows. It is to be
// called a few times a second.
func (v *View) Tick(standing QuorumStatus) {
	for _, m := range v.members {
		if m != v.self && m.State >= StateFailed && m.Cause != CauseNameConflict && v.now-m.Since > v.config.Retention {
			v.remove(m)
		}
	}
	v.updateEffectiveSize(standing)
}

// Alive are the members that are there and hold their names, the server itself included, in order.
func (v *View) Alive() (ids []ID) {
	for _, m := range v.Members() {
		if m.State < StateSuspected {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// AliveCount is how many those are.
func (v *View) AliveCount() (n int) {
	for _, m := range v.members {
		if m.State < StateSuspected {
			n++
		}
	}
	return n
}
