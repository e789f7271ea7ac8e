package membership

import "cmp"

// ID identifies one incarnation of a server, which is one start of its process. By the process's own clock, the
// incarnation with the greater number started later; View.NameOwner tells which incarnation owns the name.
type ID struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Compare orders IDs by name, then by incarnation.
func (a ID) Compare(b ID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// State is the state of a member. A member reports the states up to StateDraining about itself; View concludes the
// later ones. The order is significant: every state below StateSuspected counts as alive. The values are part of the
// wire format.
type State int

// The states of a member.
const (
	StateJoining   State = iota // its process is running but cannot serve yet
	StateWarmingUp              // it serves at reduced speed (slow start)
	StateServing                // it serves
	StateDraining               // it was told to shut down and accepts no new requests
	StateSuspected              // several probes failed; it can still refute
	StateFailed                 // it did not refute in time
	StateLeft                   // it left, a later incarnation replaced it, or another one owns its name
)

// Cause is the evidence for a member's state.
type Cause int

// The causes and the evidence for each.
const (
	CauseNone                Cause = iota
	CauseCrashed                   // its address refuses connections: no process listens there
	CauseStopped                   // its address accepts connections but its process does not answer
	CauseUnreachable               // no known server gets an answer from its address
	CauseUnreachableFromHere       // other servers reach it, but this one does not
	CauseUnreachableFromSome       // some other servers cannot reach it either
	CauseLoopLag                   // it answers, but reports that its event loop lags
	CauseLeft                      // it announced that it would leave
	CauseReplaced                  // a later incarnation runs on its address
	CauseNameConflict              // an earlier incarnation that is still alive owns its name
	CausePaused                    // its process was paused and has resumed
)

// StateNames and CauseNames are the names shown to operators in the log and on the status page, indexed by State and
// Cause.
var (
	StateNames = []string{"joining", "cold", "serving", "leaving", "suspected", "failed", "gone"}
	CauseNames = []string{"", "crashed", "stopped", "unreachable", "unreachable from here alone",
		"unreachable from a part", "late", "left", "replaced", "name taken", "was stopped"}
)

// String returns the name shown to operators.
func (s State) String() string { return StateNames[s] }

// String returns the name shown to operators. It is empty for CauseNone.
func (c Cause) String() string { return CauseNames[c] }
