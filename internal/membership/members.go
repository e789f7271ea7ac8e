// Package members concludes, from what a server hears of the others, who is there, who has failed and how, and what holds
// while they disagree or are cut off.
//
// This file owns the words that members say of themselves and the view made of them. It knows no socket, no clock and no
// goroutine: whoever embeds it tells what was heard and when. It must never let an older word override a newer one, nor
// take another's word for what only a member itself can say.
package membership

import (
	"cmp"
	"math"
	"slices"

	"thistlequay/timeunit"
)

// ID is one life of a named server: one start of its process. Of two lives of a name the greater began later by the
// process's own word; the name is held by the one that Holder says.
type ID struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Compare orders lives by name, then by life.
func (a ID) Compare(b ID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// State is how a member stands: the first four it says of itself, the others are concluded here.
type State int

const (
	StateJoining   State = iota // its process runs, it cannot serve yet
	StateWarmingUp              // serves, with a part of its speed
	StateServing                // serves
	StateDraining               // has had the notice to leave: it takes nothing new
	StateSuspected              // did not answer of late; it may refute
	StateFailed                 // did not refute in its time
	StateLeft                   // its life is over: it left, or another life has its name
)

// Cause is the evidence for what is wrong with a member.
type Cause int

const (
	CauseNone                Cause = iota
	CauseCrashed                   // its address refuses connections: no process is there
	CauseStopped                   // its address takes connections and its process says nothing
	CauseUnreachable               // nothing comes back from its address, to anybody that was heard of
	CauseUnreachableFromHere       // others reach it
	CauseUnreachableFromSome       // some others do not reach it either
	CauseLoopLag                   // it answers, later than the others, and says itself that its loop is late
	CauseLeft                      // it said that it would leave
	CauseReplaced                  // a later life has its name
	CauseNameConflict              // an earlier life that still speaks has its name
	CausePaused                    // it was stopped and has come back
)

// Names of states and causes as operators read them.
var (
	StateNames = []string{"joining", "cold", "serving", "leaving", "suspected", "failed", "gone"}
	CauseNames = []string{"", "crashed", "stopped", "unreachable", "unreachable from here alone", "unreachable from a part",
		"late", "left", "replaced", "name taken", "was stopped"}
)

func (s State) String() string { return StateNames[s] }
func (c Cause) String() string { return CauseNames[c] }

// StateUpdate is what a member says of itself. Fields that a version does not know are passed over; absent ones mean nothing.
type StateUpdate struct {
	ID
	Sequence          uint64        `cbor:"3,keyasint"`           // of the words of one life
	Address           string        `cbor:"4,keyasint"`           // where it talks to peers
	Zone              string        `cbor:"5,keyasint,omitempty"` // of the installation
	Version           string        `cbor:"6,keyasint,omitempty"` // of the program
	SettingsDigest    uint32        `cbor:"7,keyasint,omitempty"` // digest of what it serves by
	State             State         `cbor:"8,keyasint"`           // up to Leaving
	ConcurrencyLimit  float64       `cbor:"9,keyasint,omitempty"`
	Load              float64       `cbor:"10,keyasint,omitempty"` // work items in hand
	AvailableCapacity float64       `cbor:"11,keyasint,omitempty"` // work items it could begin now
	IndexLatencyMs    float64       `cbor:"12,keyasint,omitempty"` // what calls took of late
	PausedMs          int64         `cbor:"13,keyasint,omitempty"` // how long it stood still, when it last did
	LoopLagMs         int64         `cbor:"14,keyasint,omitempty"` // how late its loop is
	Epoch             uint64        `cbor:"15,keyasint,omitempty"` // of the agreed fleet that it goes by
	Unreachable       []string      `cbor:"16,keyasint,omitempty"` // names that it cannot reach itself, at most MostMisses
	AgeMs             int64         `cbor:"17,keyasint,omitempty"` // how old the word was when it was passed on
	QuotaVoter        uint64        `cbor:"18,keyasint,omitempty"` // its number as a keeper of what is agreed on, 0 for none
	QuotaLog          uint64        `cbor:"19,keyasint,omitempty"` // of which log
	Usage             []TenantUsage `cbor:"20,keyasint,omitempty"` // what tenants were given, from the start; at most MostUsed
}

// TenantUsage is the core time that a named tenant was given in one life of a server, in tenths of a millisecond.
type TenantUsage struct {
	Tenant   string  `cbor:"1,keyasint"`
	CoreTime float64 `cbor:"2,keyasint"`
}

// MaxUsageEntries bounds the tenants in a word: those that were given most of late.
const MaxUsageEntries = 12

// MaxUnreachable bounds the names in a word.
const MaxUnreachable = 8

const (
	maxNameLength = 64
	maxMetric     = 1e9
	maxCoreTime   = 1e13 // tenths of a millisecond: thirty years of a core
)

// Sane says whether a word can be meant, and takes figures that cannot out of it.
func (w *StateUpdate) Sane() bool {
	if w.Name == "" || len(w.Name) > maxNameLength || len(w.Zone) > maxNameLength || len(w.Version) > maxNameLength || w.Incarnation == 0 ||
		w.State < StateJoining || w.State > StateDraining || w.AgeMs < 0 {
		return false
	}
	for _, f := range []*float64{&w.ConcurrencyLimit, &w.Load, &w.AvailableCapacity, &w.IndexLatencyMs} {
		if math.IsNaN(*f) || *f < 0 || *f > maxMetric {
			*f = 0
		}
	}
	w.PausedMs, w.LoopLagMs = max(0, w.PausedMs), max(0, w.LoopLagMs)
	w.Unreachable = w.Unreachable[:min(len(w.Unreachable), MaxUnreachable)]
	w.Usage = slices.DeleteFunc(w.Usage[:min(len(w.Usage), MaxUsageEntries)], func(u TenantUsage) bool {
		return u.Tenant == "" || len(u.Tenant) > maxNameLength || !(u.CoreTime >= 0 && u.CoreTime < maxCoreTime)
	})
	return true
}

// Member is one life as this server sees it.
type Member struct {
	StateUpdate
	State       State // concluded; its own word's is in Word
	Cause       Cause
	Since       timeunit.Milliseconds // it stands so
	FirstSeen   timeunit.Milliseconds // when it was first heard of
	LastUpdate  timeunit.Milliseconds // when its newest word was said, by this server's clock
	LastReply   timeunit.Milliseconds // when it last answered this server itself
	RoundTrip   timeunit.Milliseconds // how long such an answer took, of late
	transitions []timeunit.Milliseconds
	terminated  bool                  // for good: no later word brings it back
	counted     bool                  // it counts in the size of the fleet
	swings      timeunit.Milliseconds // until when a change of it moves nothing
}

// Age is how old what it says of itself is.
func (m *Member) Age(now timeunit.Milliseconds) timeunit.Milliseconds {
	return max(0, now-m.LastUpdate)
}

// Config are what a view goes by. All are spans in milliseconds but where another unit is named.
type Config struct {
	Self            ID
	Zone            string
	Founders        []string              // names of which all must agree before there is a first fleet
	InitialSize     int                   // servers the installation is meant to have at first: more than half make a fleet
	LeaseDuration   timeunit.Milliseconds // how long a voter's support holds
	MaxClockDrift   float64               // how much faster one clock may run than another, as a part
	StabilityWindow timeunit.Milliseconds // how long a view must stand before a fleet is agreed on it
	MaxMembers      int                   // members that are kept; the rest are passed over
	Retention       timeunit.Milliseconds // what is gone is shown for so long
	MaxVoters       int                   // of a fleet, at most
	FlapThreshold   int                   // changes within SwingIn from which on a member flaps
	FlapWindow      timeunit.Milliseconds
	FlapHold        timeunit.Milliseconds // how long it counts as it did, from its last change
}

// DefaultConfig are those of a fleet in one place: reasons in docs/membership/design.md.
func DefaultConfig(me ID) Config {
	return Config{Self: me, InitialSize: 1, LeaseDuration: 1500, MaxClockDrift: 0.1, StabilityWindow: 2 * timeunit.MillisecondsPerSecond, MaxMembers: 4096, Retention: 60 * timeunit.MillisecondsPerSecond, MaxVoters: 7,
		FlapThreshold: 3, FlapWindow: 30 * timeunit.MillisecondsPerSecond, FlapHold: 10 * timeunit.MillisecondsPerSecond}
}

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

// causeWhileAlive is what a member that answers shows of itself.
func (v *View) causeWhileAlive(m *Member) Cause {
	switch {
	case m.Cause == CauseUnreachableFromHere || m.Cause == CauseUnreachableFromSome:
		return m.Cause
	case m.LoopLagMs >= loopLagThreshold:
		return CauseLoopLag
	}
	return CauseNone
}

const loopLagThreshold = 500 // ms that a loop is late from which on a member is held to be overloaded

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

// NameOwner is the life that has a name.
func (v *View) NameOwner(name string) (ID, bool) {
	id, is := v.nameOwners[name]
	return id, is
}

// resolveName settles who has a name, the same way at all who know the same: the earliest life that is there and whose address
// none has that came after it, so that a second process started by mistake takes nothing from the first.
func (v *View) resolveName(name string) {
	var lives []*Member
	for _, m := range v.byName[name] {
		if !m.terminated {
			lives = append(lives, m)
		}
	}
	var holder *Member
	for _, m := range lives {
		if slices.ContainsFunc(lives, func(l *Member) bool { return v.supersedes(l, m) }) {
			m.terminated = true
			v.transition(m, StateLeft, CauseReplaced)
		} else if holder == nil || !holder.isAlive() && m.isAlive() {
			holder = m
		}
	}
	if holder == nil {
		return
	}
	v.nameOwners[name] = holder.ID
	for _, m := range lives {
		switch {
		case m.terminated || m == holder && m.Cause != CauseNameConflict:
		case m == holder:
			v.transition(m, m.StateUpdate.State, CauseNone)
		case m.isAlive() && m.Cause != CauseNameConflict:
			v.Counts.NameConflicts++
			v.transition(m, StateLeft, CauseNameConflict)
		}
	}
}

// supersedes says that a life came after another on the same address: two processes never listen on one, so the other is over. The
// numbers of lives don't tell it, as a machine's clock may have been set back; when they were first heard of does, where that
// was not at nearly the same time.
func (v *View) supersedes(l, m *Member) bool {
	return l.Address == m.Address && l.Address != "" && l.FirstSeen-m.FirstSeen > v.config.StabilityWindow
}

// isAlive says whether a life speaks: it has not been suspected since, or only its name is another's.
func (m *Member) isAlive() bool { return m.State < StateSuspected || m.Cause == CauseNameConflict }

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
