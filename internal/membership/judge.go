package membership

// This file owns what is concluded from answers that come and do not come: who is suspected, who has failed, and by what
// evidence one kind of trouble is told from another. It must never hold a member for failed on this server's word alone,
// nor on any word while this server itself was standing still.

import (
	"slices"

	"thistlequay/timeunit"
)

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

// updateEffectiveSize has the size of the fleet follow those that serve, damped: one that comes or goes counts so once it has stood so for
// a while, one that flaps as it did before it began to. Where this server is not with the whole, the size never falls under
// what was agreed on: those it cannot see still use their parts.
func (v *View) updateEffectiveSize(standing QuorumStatus) {
	n := 0
	for _, m := range v.members {
		serves := m.State == StateServing || m.State == StateWarmingUp || m == v.self || m.State == StateSuspected && m.counted
		if serves != m.counted && v.now-m.Since >= v.config.StabilityWindow && !v.isFlapping(m) {
			m.counted = serves
		}
		if m.counted {
			n++
		}
	}
	least := 1
	if standing != Majority {
		least = max(v.configuredSize, int(v.effectiveSize))
	}
	v.effectiveSize = float64(max(1, least, n))
}

// isFlapping says that a member has changed too often of late for its changes to mean anything.
func (v *View) isFlapping(m *Member) bool {
	if len(m.transitions) < v.config.FlapThreshold || v.now-m.transitions[0] > v.config.FlapWindow+v.config.FlapHold {
		return false
	}
	last := m.transitions[len(m.transitions)-1]
	return last-m.transitions[0] <= v.config.FlapWindow && v.now-last < v.config.FlapHold
}

// EffectiveSize is how many servers are to be reckoned with: at least one.
func (v *View) EffectiveSize() int { return int(v.effectiveSize) }
