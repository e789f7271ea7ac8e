package membership

// EffectiveSize returns how many servers this server reckons with when it works out its part of anything shared: at
// least one.
func (v *View) EffectiveSize() int { return v.effectiveSize }

// updateEffectiveSize has the effective size follow the members that serve, damped: a member that comes or goes
// counts so after StabilityWindow, and a flapping one counts as it did before it began to flap. Without the majority
// the size never falls below what was agreed on: members that this server cannot see still use their parts.
func (v *View) updateEffectiveSize(status QuorumStatus) {
	count := 0
	for _, member := range v.members {
		serves := v.serves(member)
		if serves != member.counted && v.now-member.Since >= v.config.StabilityWindow && !member.isFlapping(v.now,
			&v.config) {
			member.counted = serves
		}
		if member.counted {
			count++
		}
	}
	minimum := 1
	if status != Majority {
		minimum = max(v.configuredSize, v.effectiveSize)
	}
	v.effectiveSize = max(1, minimum, count)
}

// serves says whether a member takes part in the work; a suspected one goes on as it was.
func (v *View) serves(member *Member) bool {
	switch member.State {
	case StateServing, StateWarmingUp:
		return true
	case StateSuspected:
		return member.counted || member == v.self
	}
	return member == v.self
}
