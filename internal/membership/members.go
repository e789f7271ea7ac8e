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
	Name string `cbor:"1,keyasint"`
	Life uint64 `cbor:"2,keyasint"`
}

// Compare orders lives by name, then by life.
func (a ID) Compare(b ID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Life, b.Life))
}

// State is how a member stands: the first four it says of itself, the others are concluded here.
type State int

const (
	Joining   State = iota // its process runs, it cannot serve yet
	Cold                   // serves, with a part of its speed
	Serving                // serves
	Leaving                // has had the notice to leave: it takes nothing new
	Suspected              // did not answer of late; it may refute
	Failed                 // did not refute in its time
	Gone                   // its life is over: it left, or another life has its name
)

// Cause is the evidence for what is wrong with a member.
type Cause int

const (
	None        Cause = iota
	Crashed           // its address refuses connections: no process is there
	Stopped           // its address takes connections and its process says nothing
	Unreachable       // nothing comes back from its address, to anybody that was heard of
	FromMeAlone       // others reach it
	FromPart          // some others do not reach it either
	Late              // it answers, later than the others, and says itself that its loop is late
	OnPurpose         // it said that it would leave
	Replaced          // a later life has its name
	NameTaken         // an earlier life that still speaks has its name
	IsAsleep          // it was stopped and has come back
)

// Names of states and causes as operators read them.
var (
	StateNames = []string{"joining", "cold", "serving", "leaving", "suspected", "failed", "gone"}
	CauseNames = []string{"", "crashed", "stopped", "unreachable", "unreachable from here alone", "unreachable from a part",
		"late", "left", "replaced", "name taken", "was stopped"}
)

func (s State) String() string { return StateNames[s] }
func (c Cause) String() string { return CauseNames[c] }

// Word is what a member says of itself. Fields that a version does not know are passed over; absent ones mean nothing.
type Word struct {
	ID
	Seq      uint64   `cbor:"3,keyasint"`           // of the words of one life
	Address  string   `cbor:"4,keyasint"`           // where it talks to peers
	Zone     string   `cbor:"5,keyasint,omitempty"` // of the installation
	Version  string   `cbor:"6,keyasint,omitempty"` // of the program
	Settings uint32   `cbor:"7,keyasint,omitempty"` // digest of what it serves by
	State    State    `cbor:"8,keyasint"`           // up to Leaving
	Pool     float64  `cbor:"9,keyasint,omitempty"`
	Load     float64  `cbor:"10,keyasint,omitempty"` // work items in hand
	Free     float64  `cbor:"11,keyasint,omitempty"` // work items it could begin now
	IndexMs  float64  `cbor:"12,keyasint,omitempty"` // what calls took of late
	SleptMs  int64    `cbor:"13,keyasint,omitempty"` // how long it stood still, when it last did
	LateMs   int64    `cbor:"14,keyasint,omitempty"` // how late its loop is
	Epoch    uint64   `cbor:"15,keyasint,omitempty"` // of the agreed fleet that it goes by
	Misses   []string `cbor:"16,keyasint,omitempty"` // names that it cannot reach itself, at most MostMisses
	AgeMs    int64    `cbor:"17,keyasint,omitempty"` // how old the word was when it was passed on
	Keeper   uint64   `cbor:"18,keyasint,omitempty"` // its number as a keeper of what is agreed on, 0 for none
	Group    uint64   `cbor:"19,keyasint,omitempty"` // of which log
	Used     []Used   `cbor:"20,keyasint,omitempty"` // what tenants were given, from the start; at most MostUsed
}

// Used is the core time that a named tenant was given in one life of a server, in tenths of a millisecond.
type Used struct {
	Tenant string  `cbor:"1,keyasint"`
	Time   float64 `cbor:"2,keyasint"`
}

// MostUsed bounds the tenants in a word: those that were given most of late.
const MostUsed = 12

// MostMisses bounds the names in a word.
const MostMisses = 8

const (
	mostName   = 64
	mostFigure = 1e9
	mostTime   = 1e13 // tenths of a millisecond: thirty years of a core
)

// Sane says whether a word can be meant, and takes figures that cannot out of it.
func (w *Word) Sane() bool {
	if w.Name == "" || len(w.Name) > mostName || len(w.Zone) > mostName || len(w.Version) > mostName || w.Life == 0 ||
		w.State < Joining || w.State > Leaving || w.AgeMs < 0 {
		return false
	}
	for _, f := range []*float64{&w.Pool, &w.Load, &w.Free, &w.IndexMs} {
		if math.IsNaN(*f) || *f < 0 || *f > mostFigure {
			*f = 0
		}
	}
	w.SleptMs, w.LateMs = max(0, w.SleptMs), max(0, w.LateMs)
	w.Misses = w.Misses[:min(len(w.Misses), MostMisses)]
	w.Used = slices.DeleteFunc(w.Used[:min(len(w.Used), MostUsed)], func(u Used) bool {
		return u.Tenant == "" || len(u.Tenant) > mostName || !(u.Time >= 0 && u.Time < mostTime)
	})
	return true
}

// Member is one life as this server sees it.
type Member struct {
	Word
	State   State // concluded; its own word's is in Word
	Cause   Cause
	Since   timeunit.Milliseconds // it stands so
	First   timeunit.Milliseconds // when it was first heard of
	Heard   timeunit.Milliseconds // when its newest word was said, by this server's clock
	Direct  timeunit.Milliseconds // when it last answered this server itself
	Trip    timeunit.Milliseconds // how long such an answer took, of late
	changes []timeunit.Milliseconds
	over    bool                  // for good: no later word brings it back
	counted bool                  // it counts in the size of the fleet
	swings  timeunit.Milliseconds // until when a change of it moves nothing
}

// Age is how old what it says of itself is.
func (m *Member) Age(now timeunit.Milliseconds) timeunit.Milliseconds { return max(0, now-m.Heard) }

// Terms are what a view goes by. All are spans in milliseconds but where another unit is named.
type Terms struct {
	Me        ID
	Zone      string
	Founders  []string              // names of which all must agree before there is a first fleet
	Size      int                   // servers the installation is meant to have at first: more than half make a fleet
	Lease     timeunit.Milliseconds // how long a voter's support holds
	Drift     float64               // how much faster one clock may run than another, as a part
	Settle    timeunit.Milliseconds // how long a view must stand before a fleet is agreed on it
	Most      int                   // members that are kept; the rest are passed over
	Keep      timeunit.Milliseconds // what is gone is shown for so long
	Voters    int                   // of a fleet, at most
	SwingMost int                   // changes within SwingIn from which on a member flaps
	SwingIn   timeunit.Milliseconds
	SwingFor  timeunit.Milliseconds // how long it counts as it did, from its last change
}

// DefaultTerms are those of a fleet in one place: reasons in docs/membership/design.md.
func DefaultTerms(me ID) Terms {
	return Terms{Me: me, Size: 1, Lease: 1500, Drift: 0.1, Settle: 2 * timeunit.MillisecondsPerSecond, Most: 4096, Keep: 60 * timeunit.MillisecondsPerSecond, Voters: 7,
		SwingMost: 3, SwingIn: 30 * timeunit.MillisecondsPerSecond, SwingFor: 10 * timeunit.MillisecondsPerSecond}
}

// View is what one server holds of the others. It is for one goroutine at a time.
type View struct {
	terms   Terms
	now     timeunit.Milliseconds
	me      *Member
	all     map[ID]*Member
	named   map[string][]*Member // lives of a name in their order
	holders map[string]ID
	slept   timeunit.Milliseconds // when this server last woke from standing still
	size    float64
	agreed  int // members of the fleet that was last agreed on
	Counts  Counts
	events  []Event
}

// Counts are what was turned away, from the start.
type Counts struct {
	Insane      int `json:"Insane"`
	Old         int `json:"Old"`
	Foreign     int `json:"Foreign"`
	Unknown     int `json:"Unknown"`
	Full        int `json:"Full"`
	FalseAlarms int `json:"FalseAlarms"`
	NameTaken   int `json:"NameTaken"`
}

// Event is one change of state, for the log.
type Event struct {
	ID    ID
	From  State
	To    State
	Cause Cause
}

// NewView opens a view in which only the server itself is.
func NewView(t Terms, now timeunit.Milliseconds) *View {
	v := &View{terms: t, now: now, all: map[ID]*Member{}, named: map[string][]*Member{}, holders: map[string]ID{}, slept: -forever}
	v.me = &Member{Word: Word{ID: t.Me, Zone: t.Zone}, First: now, Heard: now, Since: now}
	v.add(v.me)
	v.holders[t.Me.Name] = t.Me
	v.size = float64(max(1, t.Size))
	return v
}

const forever timeunit.Milliseconds = 1 << 60

// At moves the time on. A gap shows that this server stood still: until it has heard the others again it distrusts its
// own eyes first.
func (v *View) At(now timeunit.Milliseconds, every timeunit.Milliseconds) (slept timeunit.Milliseconds) {
	if gap := now - v.now; gap > stillMost*every {
		slept = gap
		v.slept = now
		v.me.SleptMs = int64(gap)
	}
	v.now = max(v.now, now)
	return slept
}

const stillMost = 4 // intervals between two looks at the clock that show a standstill

// Say is the server's own word as it goes out, with the next number.
func (v *View) Say(w Word) Word {
	w.ID, w.Zone, w.SleptMs, w.AgeMs = v.terms.Me, v.terms.Zone, v.me.SleptMs, 0
	if v.now-v.slept > v.terms.Keep {
		w.SleptMs = 0
	}
	w.Misses = v.misses()
	w.Seq = v.me.Seq + 1
	if !w.Sane() {
		return v.me.Word
	}
	v.me.Word, v.me.Heard, v.me.Direct = w, v.now, v.now
	v.to(v.me, w.State, None)
	return w
}

// misses are the names that this server itself cannot reach though it holds them to be there or suspects them.
func (v *View) misses() (names []string) {
	for _, m := range v.Members() {
		if m != v.me && (m.Cause == FromMeAlone || m.State == Suspected) && len(names) < MostMisses {
			names = append(names, m.Name)
		}
	}
	return names
}

// Hear takes a member's word, from itself or passed on. It says whether it was news.
func (v *View) Hear(w Word) bool {
	if !w.Sane() {
		v.Counts.Insane++
		return false
	}
	if w.ID == v.terms.Me {
		return false // only the server itself says how it is
	}
	m := v.all[w.ID]
	if m == nil {
		if len(v.all) >= v.terms.Most && !v.forget() {
			v.Counts.Full++
			return false
		}
		m = &Member{Word: w, First: v.now, Heard: v.now - timeunit.Milliseconds(w.AgeMs), Since: v.now, Direct: -forever, State: w.State}
		v.add(m)
		v.events = append(v.events, Event{w.ID, Gone, w.State, None})
		v.name(w.Name)
		return true
	}
	if w.Seq <= m.Seq {
		v.Counts.Old++
		return false
	}
	asleep := w.SleptMs > 0 && w.SleptMs != m.SleptMs
	m.Word, m.Heard = w, max(m.Heard, v.now-timeunit.Milliseconds(w.AgeMs))
	switch {
	case m.over || m.Cause == NameTaken: // what is over does not come back; what has no name waits for it
	case m.State == Failed || m.State == Suspected: // told below: only an answer or the library's word brings it back
		if asleep {
			m.Cause = IsAsleep
		}
	case w.State == Leaving:
		v.to(m, Leaving, OnPurpose)
	default:
		v.to(m, w.State, v.manner(m))
	}
	v.name(w.Name)
	return true
}

// manner is what a member that answers shows of itself.
func (v *View) manner(m *Member) Cause {
	switch {
	case m.Cause == FromMeAlone || m.Cause == FromPart:
		return m.Cause
	case m.LateMs >= lateFrom:
		return Late
	}
	return None
}

const lateFrom = 500 // ms that a loop is late from which on a member is held to be overloaded

// Members are all lives that are kept, in the order of their names.
func (v *View) Members() []*Member {
	list := make([]*Member, 0, len(v.all))
	for _, m := range v.all {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *Member) int { return a.Compare(b.ID) })
	return list
}

// Member is one life; nil where it is not known.
func (v *View) Member(id ID) *Member { return v.all[id] }

// Me is the server itself.
func (v *View) Me() *Member { return v.me }

// Now is the moment that was told last.
func (v *View) Now() timeunit.Milliseconds { return v.now }

// Events gives what has changed since it was last asked.
func (v *View) Events() []Event {
	e := v.events
	v.events = nil
	return e
}

// Holder is the life that has a name.
func (v *View) Holder(name string) (ID, bool) {
	id, is := v.holders[name]
	return id, is
}

// name settles who has a name, the same way at all who know the same: the earliest life that is there and whose address
// none has that came after it, so that a second process started by mistake takes nothing from the first.
func (v *View) name(name string) {
	var lives []*Member
	for _, m := range v.named[name] {
		if !m.over {
			lives = append(lives, m)
		}
	}
	var holder *Member
	for _, m := range lives {
		if slices.ContainsFunc(lives, func(l *Member) bool { return v.after(l, m) }) {
			m.over = true
			v.to(m, Gone, Replaced)
		} else if holder == nil || !holder.there() && m.there() {
			holder = m
		}
	}
	if holder == nil {
		return
	}
	v.holders[name] = holder.ID
	for _, m := range lives {
		switch {
		case m.over || m == holder && m.Cause != NameTaken:
		case m == holder:
			v.to(m, m.Word.State, None)
		case m.there() && m.Cause != NameTaken:
			v.Counts.NameTaken++
			v.to(m, Gone, NameTaken)
		}
	}
}

// after says that a life came after another on the same address: two processes never listen on one, so the other is over. The
// numbers of lives don't tell it, as a machine's clock may have been set back; when they were first heard of does, where that
// was not at nearly the same time.
func (v *View) after(l, m *Member) bool {
	return l.Address == m.Address && l.Address != "" && l.First-m.First > v.terms.Settle
}

// there says whether a life speaks: it has not been suspected since, or only its name is another's.
func (m *Member) there() bool { return m.State < Suspected || m.Cause == NameTaken }

// forget makes room: what has been gone or failed the longest goes first. It says whether there was any.
func (v *View) forget() bool {
	var oldest *Member
	for _, m := range v.Members() {
		if m != v.me && m.State >= Failed && (oldest == nil || m.Since < oldest.Since) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	v.drop(oldest)
	return true
}

func (v *View) add(m *Member) {
	v.all[m.ID] = m
	lives := append(v.named[m.Name], m)
	slices.SortFunc(lives, func(a, b *Member) int { return cmp.Compare(a.Life, b.Life) })
	v.named[m.Name] = lives
}

func (v *View) drop(m *Member) {
	delete(v.all, m.ID)
	lives := slices.DeleteFunc(v.named[m.Name], func(o *Member) bool { return o == m })
	if v.named[m.Name] = lives; len(lives) == 0 {
		delete(v.named, m.Name)
	}
	if v.holders[m.Name] == m.ID {
		delete(v.holders, m.Name)
	}
}

// to moves a member to a state.
func (v *View) to(m *Member, s State, why Cause) {
	if m.State == s {
		m.Cause = why
		return
	}
	v.events = append(v.events, Event{m.ID, m.State, s, why})
	m.State, m.Cause, m.Since = s, why, v.now
	m.changes = append(m.changes, v.now)
	if n := len(m.changes); n > v.terms.SwingMost {
		m.changes = m.changes[n-v.terms.SwingMost:]
	}
}
