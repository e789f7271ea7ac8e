package membership

import (
	"slices"
	"thistlequay/timeunit"
)

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

// DialResult is what came of a connection that was tried to the address of a member that does not answer.
type DialResult int

const (
	DialRefused  DialResult = iota // nobody listens there
	DialAccepted                   // taken, and nothing said
	DialTimedOut                   // no answer at all
)

// ProbeSucceeded: a member answered this server itself, after so long. One that is held for failed comes back only by refuting
// that: its last answers may still be on their way here.
func (v *View) ProbeSucceeded(id ID, trip timeunit.Milliseconds) {
	m := v.members[id]
	if m == nil || m.terminated {
		return
	}
	if m.RoundTrip == 0 {
		m.RoundTrip = trip
	}
	m.RoundTrip += (trip - m.RoundTrip) / 4
	m.LastReply = v.now
	if m.Cause == CauseUnreachableFromHere || m.Cause == CauseUnreachableFromSome {
		m.Cause = CauseNone
	}
	if m.State == StateSuspected {
		v.refuted(m)
	}
}

// ProbeFailed: a member did not answer this server itself, though it was asked a few times. Alone that proves nothing: whether
// others reach it is asked of their words.
func (v *View) ProbeFailed(id ID) {
	m := v.members[id]
	if m == nil || m == v.self || !m.isAlive() || m.Cause == CauseNameConflict || v.recentlyPaused() {
		return
	}
	others, blind := 0, 0
	for _, o := range v.members {
		if o != v.self && o != m && o.isAlive() {
			others++
			if slices.Contains(o.Unreachable, m.Name) {
				blind++
			}
		}
	}
	switch {
	case m.State == StateDraining:
	case blind == 0 && others > 0:
		m.Cause = CauseUnreachableFromHere
	case blind > 0 && blind < others:
		m.Cause = CauseUnreachableFromSome
	default:
		m.Cause = CauseUnreachable
	}
}

// Suspected: several members did not get an answer from one, which has some time left to refute.
func (v *View) Suspected(id ID) {
	if m := v.members[id]; m != nil && m != v.self && m.isAlive() && m.Cause != CauseNameConflict && m.State != StateDraining && !v.recentlyPaused() {
		v.transition(m, StateSuspected, m.Cause)
		v.resolveName(m.Name)
	}
}

// Failed: a member did not refute in its time. Where it has said that it would leave, it has left.
func (v *View) Failed(id ID) {
	m := v.members[id]
	switch {
	case m == nil || m == v.self || m.State == StateLeft && m.Cause != CauseNameConflict:
		return
	case m.StateUpdate.State == StateDraining:
		m.terminated = true
		v.transition(m, StateLeft, CauseLeft)
	default:
		v.transition(m, StateFailed, m.Cause)
	}
	v.resolveName(m.Name)
}

// Refuted: a member that was suspected or held for failed has refuted. Whether that was a false alarm its own word tells:
// a process that stood still says so.
func (v *View) Refuted(id ID) {
	if m := v.members[id]; m != nil && !m.terminated {
		v.refuted(m)
	}
}

func (v *View) refuted(m *Member) {
	if m.State != StateSuspected && m.State != StateFailed {
		return
	}
	if m.State == StateFailed && m.Cause != CauseStopped && m.Cause != CausePaused && m.Cause != CauseCrashed && !v.recentlyPaused() {
		v.Counts.FalsePositives++
	}
	why := v.causeWhileAlive(m)
	if m.Cause == CauseStopped || m.Cause == CausePaused {
		why = CausePaused
	}
	v.transition(m, m.StateUpdate.State, why)
	v.resolveName(m.Name)
}

// DialFinished: what came of a connection that was tried to a member that does not answer. It tells a crash from a stop and
// both from a network that carries nothing.
func (v *View) DialFinished(id ID, how DialResult) {
	m := v.members[id]
	if m == nil || m.State != StateSuspected && m.State != StateFailed {
		return
	}
	switch how {
	case DialRefused:
		m.Cause = CauseCrashed
	case DialAccepted:
		m.Cause = CauseStopped
	case DialTimedOut:
		if m.Cause != CauseUnreachableFromSome {
			m.Cause = CauseUnreachable
		}
	}
}

// Left: a member has said good-bye.
func (v *View) Left(id ID) {
	if m := v.members[id]; m != nil && m != v.self && !m.terminated {
		m.terminated = true
		v.transition(m, StateLeft, CauseLeft)
		v.resolveName(m.Name)
	}
}
