package membership

// NameOwner returns the incarnation that owns a name. It returns false if no incarnation owns it.
func (v *View) NameOwner(name string) (ID, bool) {
	id, found := v.nameOwners[name]
	return id, found
}

// resolveName determines which incarnation owns a name: the earliest one that is alive and has not been superseded. All
// servers with the same information come to the same result. A second process that is started under the name by mistake
// therefore does not take it over.
func (v *View) resolveName(name string) {
	var candidates []*Member
	for _, member := range v.byName[name] {
		if !member.isTerminated {
			candidates = append(candidates, member)
		}
	}
	owner := v.chooseOwner(candidates)
	if owner == nil {
		return
	}
	v.nameOwners[name] = owner.ID
	for _, member := range candidates {
		switch {
		case member.isTerminated:
		case member == owner && member.Cause == CauseNameConflict: // the previous owner has ended
			v.transition(member, member.StateUpdate.State, CauseNone)
		case member == owner:
		case member.isAlive() && member.Cause != CauseNameConflict:
			v.Counts.NameConflicts++
			v.transition(member, StateLeft, CauseNameConflict)
		}
	}
}

// chooseOwner terminates the candidates that another candidate supersedes. It returns the first of the rest that is
// alive or, if none is alive, the first of the rest.
func (v *View) chooseOwner(candidates []*Member) (owner *Member) {
	for _, member := range candidates {
		switch {
		case v.isSuperseded(member, candidates):
			member.isTerminated = true
			v.transition(member, StateLeft, CauseReplaced)
		case owner == nil, !owner.isAlive() && member.isAlive():
			owner = member
		}
	}
	return owner
}

func (v *View) isSuperseded(member *Member, candidates []*Member) bool {
	for _, other := range candidates {
		if v.supersedes(other, member) {
			return true
		}
	}
	return false
}

// supersedes reports whether later started after earlier on the same address. Two processes never listen on one
// address, so the earlier one has ended. Incarnation numbers do not give the order, because a machine's clock may have
// been set back. The times at which the two were first seen do, unless they are nearly the same.
func (v *View) supersedes(later, earlier *Member) bool {
	return later.Address == earlier.Address && later.Address != "" &&
		later.FirstSeen-earlier.FirstSeen > v.config.StabilityWindow
}
