package membership

import (
	"slices"

	"thistlequay/timeunit"
)

// The failure detector: who is suspected, who has failed, and which fault the evidence points to. It never holds a
// member for failed on the word of this server alone, nor on anything heard while this server itself stood still.

// loopLagThreshold is the lag of its event loop, in milliseconds, from which on a member is shown as overloaded.
const loopLagThreshold = 500

// roundTripWeight is the inverse weight of a new sample in Member.RoundTrip.
const roundTripWeight = 4

// DialResult is what came of a connection attempt to a member that does not answer.
type DialResult int

// The results of a connection attempt.
const (
	DialRefused  DialResult = iota // nobody listens there
	DialAccepted                   // the connection was accepted
	DialTimedOut                   // there was no answer at all
)

// ProbeSucceeded reports that a member answered this server's own probe after roundTrip. This clears a suspicion, but
// not a failure: the answer may have been on its way since before it, so a failed member comes back only by refuting.
func (v *View) ProbeSucceeded(id ID, roundTrip timeunit.Milliseconds) {
	m := v.members[id]
	if m == nil || m.terminated {
		return
	}
	if m.RoundTrip == 0 {
		m.RoundTrip = roundTrip
	}
	m.RoundTrip += (roundTrip - m.RoundTrip) / roundTripWeight
	m.LastReply = v.now
	if m.Cause == CauseUnreachableFromHere || m.Cause == CauseUnreachableFromSome {
		m.Cause = CauseNone
	}
	if m.State == StateSuspected {
		v.refuted(m)
	}
}

// RecordProbeFailure reports that a member did not answer this server's own probe and its retries. Alone that proves
// nothing against the member; its cause then tells what the updates of the others say about reaching it.
func (v *View) RecordProbeFailure(id ID) {
	m := v.members[id]
	if m == nil || m == v.self || !m.isAlive() || m.Cause == CauseNameConflict || v.recentlyPaused() {
		return
	}
	others, cannotReach := v.countReachability(m)
	switch {
	case m.State == StateDraining:
	case cannotReach == 0 && others > 0:
		m.Cause = CauseUnreachableFromHere
	case cannotReach > 0 && cannotReach < others:
		m.Cause = CauseUnreachableFromSome
	default:
		m.Cause = CauseUnreachable
	}
}

// countReachability returns how many other members are alive, and how many of those report that they cannot reach m.
func (v *View) countReachability(m *Member) (others, cannotReach int) {
	for _, other := range v.members {
		if other == v.self || other == m || !other.isAlive() {
			continue
		}
		others++
		if slices.Contains(other.Unreachable, m.Name) {
			cannotReach++
		}
	}
	return others, cannotReach
}

// RecordSuspicion records that this server, and at least one other if there are others, got no answer from a member. It
// has until RecordFailure to refute.
func (v *View) RecordSuspicion(id ID) {
	m := v.members[id]
	if m == nil || m == v.self || !m.isAlive() || m.Cause == CauseNameConflict {
		return
	}
	if m.State == StateDraining || v.recentlyPaused() {
		return
	}
	v.transition(m, StateSuspected, m.Cause)
	v.resolveName(m.Name)
}

// RecordFailure reports that a member did not refute in time. One that was draining has left.
func (v *View) RecordFailure(id ID) {
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

// Refuted reports that a member refuted its suspicion or failure. Whether that was a false positive its own update
// tells: a process that stood still reports its pause.
func (v *View) Refuted(id ID) {
	if m := v.members[id]; m != nil && !m.terminated {
		v.refuted(m)
	}
}

func (v *View) refuted(m *Member) {
	if m.State != StateSuspected && m.State != StateFailed {
		return
	}
	wasPaused := m.Cause == CauseStopped || m.Cause == CausePaused
	if m.State == StateFailed && !wasPaused && m.Cause != CauseCrashed && !v.recentlyPaused() {
		v.Counts.FalsePositives++
	}
	cause := m.causeWhileAlive()
	if wasPaused {
		cause = CausePaused
	}
	v.transition(m, m.StateUpdate.State, cause)
	v.resolveName(m.Name)
}

// causeWhileAlive returns what a member that answers shows of itself.
func (m *Member) causeWhileAlive() Cause {
	switch {
	case m.Cause == CauseUnreachableFromHere || m.Cause == CauseUnreachableFromSome:
		return m.Cause
	case m.LoopLagMs >= loopLagThreshold:
		return CauseLoopLag
	}
	return CauseNone
}

// DialFinished reports what came of a connection attempt to a member that does not answer. It tells a crashed process
// from a stopped one, and both from a network that carries nothing.
func (v *View) DialFinished(id ID, result DialResult) {
	m := v.members[id]
	if m == nil || m.State != StateSuspected && m.State != StateFailed {
		return
	}
	switch result {
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

// RecordLeave reports that a member announced that it leaves now.
func (v *View) RecordLeave(id ID) {
	m := v.members[id]
	if m == nil || m == v.self || m.terminated {
		return
	}
	m.terminated = true
	v.transition(m, StateLeft, CauseLeft)
	v.resolveName(m.Name)
}
