package membership

import (
	"slices"

	"thistlequay/timeunit"
)

// The failure detector determines which members are suspected, which have failed, and which fault the evidence points
// to. It never considers a member failed on this server's evidence alone, nor on evidence gathered while this server
// itself was paused.

// loopLagThresholdMs is the event loop lag, in milliseconds, at which a member is shown as overloaded (CauseLoopLag).
const loopLagThresholdMs = 500

// roundTripInverseWeight is the inverse of the weight of a new sample in Member.RoundTrip.
const roundTripInverseWeight = 4

// DialResult is the outcome of a connection attempt to a member that does not answer probes.
type DialResult int

// The outcomes of a connection attempt.
const (
	DialRefused  DialResult = iota // no process listens at the address
	DialAccepted                   // the connection was accepted
	DialTimedOut                   // there was no response
)

// ProbeSucceeded reports that a member answered this server's own probe after roundTrip. The answer clears a suspicion
// but not a failure: it may have been sent before the failure, so a failed member recovers only by refuting.
func (v *View) ProbeSucceeded(id ID, roundTrip timeunit.Milliseconds) {
	member := v.members[id]
	if member == nil || member.isTerminated {
		return
	}
	if member.RoundTrip == 0 {
		member.RoundTrip = roundTrip
	}
	member.RoundTrip += (roundTrip - member.RoundTrip) / roundTripInverseWeight
	member.LastReply = v.now
	if member.Cause == CauseUnreachableFromHere || member.Cause == CauseUnreachableFromSome {
		member.Cause = CauseNone
	}
	if member.State == StateSuspected {
		v.applyRefutation(member)
	}
}

// RecordProbeFailure reports that a member did not answer this server's own probe and its retries. That alone is no
// proof of a failure, so only the cause changes: it reflects what the updates of other members say about reaching this
// one.
func (v *View) RecordProbeFailure(id ID) {
	member := v.members[id]
	if member == nil || member == v.self || !member.isAlive() || member.Cause == CauseNameConflict ||
		v.recentlyPaused() {
		return
	}
	otherCount, unreachableCount := v.countReachability(member)
	switch {
	case member.State == StateDraining:
	case unreachableCount == 0 && otherCount > 0:
		member.Cause = CauseUnreachableFromHere
	case unreachableCount > 0 && unreachableCount < otherCount:
		member.Cause = CauseUnreachableFromSome
	default:
		member.Cause = CauseUnreachable
	}
}

// countReachability returns the number of other members that are alive, and how many of those report that they cannot
// reach member.
func (v *View) countReachability(member *Member) (otherCount, unreachableCount int) {
	for _, other := range v.members {
		if other == v.self || other == member || !other.isAlive() {
			continue
		}
		otherCount++
		if slices.Contains(other.Unreachable, member.Name) {
			unreachableCount++
		}
	}
	return otherCount, unreachableCount
}

// RecordSuspicion reports that this server and, if there are other members, at least one of them got no answer from a
// member. The member can refute the suspicion until RecordFailure is called.
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

// RecordFailure reports that a member did not refute the suspicion in time. A member that was draining counts as left.
func (v *View) RecordFailure(id ID) {
	member := v.members[id]
	switch {
	case member == nil || member == v.self || member.State == StateLeft && member.Cause != CauseNameConflict:
		return
	case member.StateUpdate.State == StateDraining:
		member.isTerminated = true
		v.transition(member, StateLeft, CauseLeft)
	default:
		v.transition(member, StateFailed, member.Cause)
	}
	v.resolveName(member.Name)
}

// Refuted reports that a member refuted its suspicion or failure. The member's own update shows whether that was a
// false positive: a process that was paused reports its pause.
func (v *View) Refuted(id ID) {
	if member := v.members[id]; member != nil && !member.isTerminated {
		v.applyRefutation(member)
	}
}

func (v *View) applyRefutation(member *Member) {
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

// causeWhileAlive returns the cause to record for a member that answers.
func (m *Member) causeWhileAlive() Cause {
	switch {
	case m.Cause == CauseUnreachableFromHere || m.Cause == CauseUnreachableFromSome:
		return m.Cause
	case m.LoopLagMs >= loopLagThresholdMs:
		return CauseLoopLag
	}
	return CauseNone
}

// DialFinished reports the outcome of a connection attempt to a member that does not answer probes. The outcome
// distinguishes a crashed process from a stopped one, and both from a network that delivers nothing.
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

// RecordLeave reports that a member announced that it is leaving now.
func (v *View) RecordLeave(id ID) {
	member := v.members[id]
	if member == nil || member == v.self || member.isTerminated {
		return
	}
	member.isTerminated = true
	v.transition(member, StateLeft, CauseLeft)
	v.resolveName(member.Name)
}
