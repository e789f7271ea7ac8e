package membership

// This file owns what is concluded from answers that come and do not come: who is suspected, who has failed, and by what
// evidence one kind of trouble is told from another. It must never hold a member for failed on this server's word alone,
// nor on any word while this server itself was standing still.

import (
	"slices"

	"thistlequay/timeunit"
)

// Dial is what came of a connection that was tried to the address of a member that does not answer.
type Dial int

const (
	DialRefused Dial = iota // nobody listens there
	DialTaken               // taken, and nothing said
	DialNothing             // no answer at all
)

// Answered: a member answered this server itself, after so long. One that is held for failed comes back only by refuting
// that: its last answers may still be on their way here.
func (v *View) Answered(id ID, trip timeunit.Milliseconds) {
	m := v.all[id]
	if m == nil || m.over {
		return
	}
	if m.Trip == 0 {
		m.Trip = trip
	}
	m.Trip += (trip - m.Trip) / 4
	m.Direct = v.now
	if m.Cause == FromMeAlone || m.Cause == FromPart {
		m.Cause = None
	}
	if m.State == Suspected {
		v.back(m)
	}
}

// Missed: a member did not answer this server itself, though it was asked a few times. Alone that proves nothing: whether
// others reach it is asked of their words.
func (v *View) Missed(id ID) {
	m := v.all[id]
	if m == nil || m == v.me || !m.there() || m.Cause == NameTaken || v.drowsy() {
		return
	}
	others, blind := 0, 0
	for _, o := range v.all {
		if o != v.me && o != m && o.there() {
			others++
			if slices.Contains(o.Misses, m.Name) {
				blind++
			}
		}
	}
	switch {
	case m.State == Leaving:
	case blind == 0 && others > 0:
		m.Cause = FromMeAlone
	case blind > 0 && blind < others:
		m.Cause = FromPart
	default:
		m.Cause = Unreachable
	}
}

// Doubted: several members did not get an answer from one, which has some time left to refute.
func (v *View) Doubted(id ID) {
	if m := v.all[id]; m != nil && m != v.me && m.there() && m.Cause != NameTaken && m.State != Leaving && !v.drowsy() {
		v.to(m, Suspected, m.Cause)
		v.name(m.Name)
	}
}

// Lost: a member did not refute in its time. Where it has said that it would leave, it has left.
func (v *View) Lost(id ID) {
	m := v.all[id]
	switch {
	case m == nil || m == v.me || m.State == Gone && m.Cause != NameTaken:
		return
	case m.Word.State == Leaving:
		m.over = true
		v.to(m, Gone, OnPurpose)
	default:
		v.to(m, Failed, m.Cause)
	}
	v.name(m.Name)
}

// Back: a member that was suspected or held for failed has refuted. Whether that was a false alarm its own word tells:
// a process that stood still says so.
func (v *View) Back(id ID) {
	if m := v.all[id]; m != nil && !m.over {
		v.back(m)
	}
}

func (v *View) back(m *Member) {
	if m.State != Suspected && m.State != Failed {
		return
	}
	if m.State == Failed && m.Cause != Stopped && m.Cause != IsAsleep && m.Cause != Crashed && !v.drowsy() {
		v.Counts.FalseAlarms++
	}
	why := v.manner(m)
	if m.Cause == Stopped || m.Cause == IsAsleep {
		why = IsAsleep
	}
	v.to(m, m.Word.State, why)
	v.name(m.Name)
}

// Dialled: what came of a connection that was tried to a member that does not answer. It tells a crash from a stop and
// both from a network that carries nothing.
func (v *View) Dialled(id ID, how Dial) {
	m := v.all[id]
	if m == nil || m.State != Suspected && m.State != Failed {
		return
	}
	switch how {
	case DialRefused:
		m.Cause = Crashed
	case DialTaken:
		m.Cause = Stopped
	case DialNothing:
		if m.Cause != FromPart {
			m.Cause = Unreachable
		}
	}
}

// Left: a member has said good-bye.
func (v *View) Left(id ID) {
	if m := v.all[id]; m != nil && m != v.me && !m.over {
		m.over = true
		v.to(m, Gone, OnPurpose)
		v.name(m.Name)
	}
}

// drowsy says that this server stood still of late and has not heard the others since for long enough to judge them.
func (v *View) drowsy() bool { return v.now-v.slept < v.terms.Settle }

// Judge does what time alone does: what has been over for long is dropped, and the size of the fleet follows. It is to be
// called a few times a second.
func (v *View) Judge(standing Standing) {
	for _, m := range v.all {
		if m != v.me && m.State >= Failed && m.Cause != NameTaken && v.now-m.Since > v.terms.Keep {
			v.drop(m)
		}
	}
	v.count(standing)
}

// There are the members that are there and hold their names, the server itself included, in order.
func (v *View) There() (ids []ID) {
	for _, m := range v.Members() {
		if m.State < Suspected {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Present is how many those are.
func (v *View) Present() (n int) {
	for _, m := range v.all {
		if m.State < Suspected {
			n++
		}
	}
	return n
}

// count has the size of the fleet follow those that serve, damped: one that comes or goes counts so once it has stood so for
// a while, one that flaps as it did before it began to. Where this server is not with the whole, the size never falls under
// what was agreed on: those it cannot see still use their parts.
func (v *View) count(standing Standing) {
	n := 0
	for _, m := range v.all {
		serves := m.State == Serving || m.State == Cold || m == v.me || m.State == Suspected && m.counted
		if serves != m.counted && v.now-m.Since >= v.terms.Settle && !v.swinging(m) {
			m.counted = serves
		}
		if m.counted {
			n++
		}
	}
	least := 1
	if standing != Whole {
		least = max(v.agreed, int(v.size))
	}
	v.size = float64(max(1, least, n))
}

// swinging says that a member has changed too often of late for its changes to mean anything.
func (v *View) swinging(m *Member) bool {
	if len(m.changes) < v.terms.SwingMost || v.now-m.changes[0] > v.terms.SwingIn+v.terms.SwingFor {
		return false
	}
	last := m.changes[len(m.changes)-1]
	return last-m.changes[0] <= v.terms.SwingIn && v.now-last < v.terms.SwingFor
}

// Size is how many servers are to be reckoned with: at least one.
func (v *View) Size() int { return int(v.size) }
