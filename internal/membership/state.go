package membership

import "cmp"

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
