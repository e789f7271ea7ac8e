package membership

import "slices"

// NameOwner is the life that has a name.
func (v *View) NameOwner(name string) (ID, bool) {
	id, is := v.nameOwners[name]
	return id, is
}

// resolveName settles who has a name, the same way at all who know the same: the earliest life that is there and whose address
// none has that came after it, so that a second process started by mistake takes nothing from the first.
func (v *View) resolveName(name string) {
	var lives []*Member
	for _, m := range v.byName[name] {
		if !m.terminated {
			lives = append(lives, m)
		}
	}
	var holder *Member
	for _, m := range lives {
		if slices.ContainsFunc(lives, func(l *Member) bool { return v.supersedes(l, m) }) {
			m.terminated = true
			v.transition(m, StateLeft, CauseReplaced)
		} else if holder == nil || !holder.isAlive() && m.isAlive() {
			holder = m
		}
	}
	if holder == nil {
		return
	}
	v.nameOwners[name] = holder.ID
	for _, m := range lives {
		switch {
		case m.terminated || m == holder && m.Cause != CauseNameConflict:
		case m == holder:
			v.transition(m, m.StateUpdate.State, CauseNone)
		case m.isAlive() && m.Cause != CauseNameConflict:
			v.Counts.NameConflicts++
			v.transition(m, StateLeft, CauseNameConflict)
		}
	}
}

// supersedes says that a life came after another on the same address: two processes never listen on one, so the other is over. The
// numbers of lives don't tell it, as a machine's clock may have been set back; when they were first heard of does, where that
// was not at nearly the same time.
func (v *View) supersedes(l, m *Member) bool {
	return l.Address == m.Address && l.Address != "" && l.FirstSeen-m.FirstSeen > v.config.StabilityWindow
}
