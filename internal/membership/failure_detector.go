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
	member := v.members[id]
	if member == nil || member.terminated {
		return
	}
	if member.RoundTrip == 0 {
		member.RoundTrip = roundTrip
	}
	member.RoundTrip += (roundTrip - member.RoundTrip) / roundTripWeight
	member.LastReply = v.now
	if member.Cause == CauseUnreachableFromHere || member.Cause == CauseUnreachableFromSome {
		member.Cause = CauseNone
	}
	if member.State == StateSuspected {
		v.refuted(member)
	}
}

// RecordProbeFailure reports that a member did not answer this server's own probe and its retries. Alone that proves
// nothing against the member; its cause then tells what the updates of the others say about reaching it.
func (v *View) RecordProbeFailure(id ID) {
	member := v.members[id]
	if member == nil || member == v.self || !member.isAlive() || member.Cause == CauseNameConflict ||
		v.recentlyPaused() {
		return
	}
	others, cannotReach := v.countReachability(member)
	switch {
	case member.State == StateDraining:
	case cannotReach == 0 && others > 0:
		member.Cause = CauseUnreachableFromHere
	case cannotReach > 0 && cannotReach < others:
		member.Cause = CauseUnreachableFromSome
	default:
		member.Cause = CauseUnreachable
	}
}

// countReachability returns how many other members are alive, and how many of those report that they cannot reach m.
func (v *View) countReachability(member *Member) (others, cannotReach int) {
	for _, other := range v.members {
		if other == v.self || other == member || !other.isAlive() {
			continue
		}
		others++
		if slices.Contains(other.Unreachable, member.Name) {
			cannotReach++
		}
	}
	return others, cannotReach
}

// RecordSuspicion records that this server, and at least one other if there are others, got no answer from a member. It
// has until RecordFailure to refute.
func (v *View) RecordSuspicion(id ID) {
	member := v.members[id]
	if member == nil || member == v.self || !member.isAlive() || member.Cause == CauseNameConflict {
		return
	}
	if member.State == StateDraining || v.recentlyPaused() {
		return
	}
	v.transition(member, StateSuspected, member.Cause)
	v.resolveName(member.Name)
}

// RecordFailure reports that a member did not refute in time. One that was draining has left.
func (v *View) RecordFailure(id ID) {
	member := v.members[id]
	switch {
	case member == nil || member == v.self || member.State == StateLeft && member.Cause != CauseNameConflict:
		return
	case member.StateUpdate.State == StateDraining:
		member.terminated = true
		v.transition(member, StateLeft, CauseLeft)
	default:
		v.transition(member, StateFailed, member.Cause)
	}
	v.resolveName(member.Name)
}

// Refuted reports that a member refuted its suspicion or failure. Whether that was a false positive its own update
// tells: a process that stood still reports its pause.
func (v *View) Refuted(id ID) {
	if member := v.members[id]; member != nil && !member.terminated {
		v.refuted(member)
	}
}

func (v *View) refuted(member *Member) {
	if member.State != StateSuspected && member.State != StateFailed {
		return
	}
	wasPaused := member.Cause == CauseStopped || member.Cause == CausePaused
	if member.State == StateFailed && !wasPaused && member.Cause != CauseCrashed && !v.recentlyPaused() {
		v.Counts.FalsePositives++
	}
	cause := member.causeWhileAlive()
	if wasPaused {
		cause = CausePaused
	}
	v.transition(member, member.StateUpdate.State, cause)
	v.resolveName(member.Name)
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
	member := v.members[id]
	if member == nil || member.State != StateSuspected && member.State != StateFailed {
		return
	}
	switch result {
	case DialRefused:
		member.Cause = CauseCrashed
	case DialAccepted:
		member.Cause = CauseStopped
	case DialTimedOut:
		if member.Cause != CauseUnreachableFromSome {
			member.Cause = CauseUnreachable
		}
	}
}

// RecordLeave reports that a member announced that it leaves now.
func (v *View) RecordLeave(id ID) {
	member := v.members[id]
	if member == nil || member == v.self || member.terminated {
		return
	}
	member.terminated = true
	v.transition(member, StateLeft, CauseLeft)
	v.resolveName(member.Name)
}
