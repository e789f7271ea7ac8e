package membership

import "cmp"

// ID names one incarnation of a server, which is one start of its process. By the process's own clock the incarnation
// with the greater number started later; View.NameOwner says which incarnation owns the name.
type ID struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Compare orders by name, then by incarnation.
func (a ID) Compare(b ID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// State is the state of a member. A member reports the states up to StateDraining of itself; the later ones are
// concluded by View. The order matters: every state below StateSuspected counts as alive. The numbers go over the
// wire.
type State int

// The states of a member.
const (
	StateJoining   State = iota // its process runs but cannot serve yet
	StateWarmingUp              // it serves at a part of its speed (slow start)
	StateServing                // it serves
	StateDraining               // it was notified to shut down and takes no new requests
	StateSuspected              // several probes failed; it still has time to refute
	StateFailed                 // it did not refute in time
	StateLeft                   // it left, a later incarnation replaced it, or another one owns its name
)

// Cause is the evidence behind a member's state.
type Cause int

// The causes, by the evidence for them.
const (
	CauseNone                Cause = iota
	CauseCrashed                   // its address refuses connections: no process listens there
	CauseStopped                   // its address accepts connections but its process does not answer
	CauseUnreachable               // no server that was heard of gets an answer from its address
	CauseUnreachableFromHere       // other servers reach it, this one does not
	CauseUnreachableFromSome       // some other servers do not reach it either
	CauseLoopLag                   // it answers, but reports that its event loop lags
	CauseLeft                      // it announced that it would leave
	CauseReplaced                  // a later incarnation runs on its address
	CauseNameConflict              // an earlier incarnation that is still alive owns its name
	CausePaused                    // its process was stopped and has resumed
)

// StateNames and CauseNames are the names that operators see in the log and in the status page, by number.
var (
	StateNames = []string{"joining", "cold", "serving", "leaving", "suspected", "failed", "gone"}
	CauseNames = []string{"", "crashed", "stopped", "unreachable", "unreachable from here alone",
		"unreachable from a part", "late", "left", "replaced", "name taken", "was stopped"}
)

// String returns the name that operators see.
func (s State) String() string { return StateNames[s] }

// String returns the name that operators see; it is empty for CauseNone.
func (c Cause) String() string { return CauseNames[c] }
