package membership

// NameOwner returns the incarnation that owns a name, and false when nobody does.
func (v *View) NameOwner(name string) (ID, bool) {
	id, found := v.nameOwners[name]
	return id, found
}

// resolveName settles which incarnation owns a name, in the same way on all servers that know the same: the earliest
// one that is alive and was not superseded. So a second process that was started under the name by mistake takes
// nothing from the first.
func (v *View) resolveName(name string) {
	var candidates []*Member
	for _, member := range v.byName[name] {
		if !member.terminated {
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
		case member.terminated:
		case member == owner && member.Cause == CauseNameConflict: // the owner before it is over
			v.transition(member, member.StateUpdate.State, CauseNone)
		case member == owner:
		case member.isAlive() && member.Cause != CauseNameConflict:
			v.Counts.NameConflicts++
			v.transition(member, StateLeft, CauseNameConflict)
		}
	}
}

// chooseOwner terminates the candidates that another one supersedes and returns the first of the rest that is alive;
// when none is, the first.
func (v *View) chooseOwner(candidates []*Member) (owner *Member) {
	for _, member := range candidates {
		switch {
		case v.isSuperseded(member, candidates):
			member.terminated = true
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

// supersedes says that one incarnation started after another on the same address. Two processes never listen on one
// address, so the earlier one is over. The incarnation numbers do not tell the order, since a machine's clock may
// have been set back; when the two were first heard of does, unless that was at nearly the same time.
func (v *View) supersedes(later, earlier *Member) bool {
	return later.Address == earlier.Address && later.Address != "" &&
		later.FirstSeen-earlier.FirstSeen > v.config.StabilityWindow
}
