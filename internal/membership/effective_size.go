package membership

// EffectiveSize returns the number of servers, at least 1, by which this server computes its share of anything that the
// cluster shares.
func (v *View) EffectiveSize() int { return v.effectiveSize }

// updateEffectiveSize makes the effective size follow the number of serving members. Changes are damped: a member that
// joins or leaves changes the count only after StabilityWindow, and a flapping member counts as it did before it began
// to flap. Outside the majority the size does not shrink and is at least the configured size, because members that this
// server cannot see still use their shares.
func (v *View) updateEffectiveSize(status QuorumStatus) {
	count := 0
	for _, member := range v.members {
		isServing := v.isServing(member)
		if isServing != member.isCounted && v.now-member.Since >= v.config.StabilityWindow && !member.isFlapping(v.now,
			&v.config) {
			member.isCounted = isServing
		}
		if member.isCounted {
			count++
		}
	}
	minimum := 1
	if status != Majority {
		minimum = max(v.configuredSize, v.effectiveSize)
	}
	v.effectiveSize = max(1, minimum, count)
}

// isServing reports whether a member takes part in the work. A suspected member keeps the status it had.
func (v *View) isServing(member *Member) bool {
	switch member.State {
	case StateServing, StateWarmingUp:
		return true
	case StateSuspected:
		return member.isCounted || member == v.self
	}
	return member == v.self
}
