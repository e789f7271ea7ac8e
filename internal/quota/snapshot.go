package quota

import "thistlequay/timeunit"

// Snapshot returns the state after all applied commands.
func (s *LimitSet) Snapshot() Snapshot {
	snapshot := Snapshot{Opened: s.opened, Revision: s.revision}
	for _, allocator := range s.allocators {
		snapshot.Limits = append(snapshot.Limits, allocator.snapshot())
	}
	return snapshot
}

// snapshot returns the replicated state of the allocator.
func (a *Allocator) snapshot() LimitSnapshot {
	snapshot := LimitSnapshot{LastVersion: a.lastVersion, TargetTotal: a.targetTotal, EffectiveTotal: a.effectiveTotal}
	for _, server := range a.serverNames() {
		lease := a.leases[server]
		for _, earlier := range lease.previous {
			change := Change{Server: server, LeaseVersion: earlier.version, Amount: earlier.amount}
			snapshot.Leases = append(snapshot.Leases, change)
		}
		if lease.version > 0 {
			change := Change{Server: server, LeaseVersion: lease.version, Amount: lease.amount}
			snapshot.Leases = append(snapshot.Leases, change)
		}
	}
	return snapshot
}

// Restore replaces the state with a snapshot. A limit that is not in the snapshot is reset to its initial state.
func (s *LimitSet) Restore(snapshot Snapshot, now timeunit.Milliseconds) {
	s.opened = snapshot.Opened
	s.revision = snapshot.Revision
	for i, allocator := range s.allocators {
		*allocator = *NewAllocator(allocator.Config(), allocator.logID)
		if i < len(snapshot.Limits) {
			allocator.restore(snapshot.Limits[i], now)
		}
	}
	if s.isLeader {
		s.SetLeader(true, now)
	}
}

// restore loads a snapshot into a new allocator.
func (a *Allocator) restore(snapshot LimitSnapshot, now timeunit.Milliseconds) {
	a.lastVersion = snapshot.LastVersion
	a.targetTotal = snapshot.TargetTotal
	a.effectiveTotal = snapshot.EffectiveTotal
	for _, change := range snapshot.Leases {
		a.Apply(change, now)
	}
	a.effectiveTotal = max(a.effectiveTotal, snapshot.EffectiveTotal)
}
