package membership

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
