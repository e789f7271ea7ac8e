package quota

import "thistlequay/timeunit"

// NextChanges returns the changes that the leader should propose next. A requested total is proposed on its own.
// Otherwise the result reclaims expired leases and then adjusts leases that differ from their targets. The sum of
// applied and proposed leases never exceeds the total. NextChanges must be called several times per lease duration.
func (a *Allocator) NextChanges(now timeunit.Milliseconds) []Change {
	a.now = max(a.now, now)
	if !a.isLeader || a.totalChangePending {
		return nil
	}
	if a.requestedTotal > 0 {
		return a.proposeTotal()
	}
	changes := a.reclaimExpired()
	return append(changes, a.adjustLeases()...)
}

// proposeTotal proposes the requested total once no other proposal is pending. A lease that was sized by the old total
// must not be committed after the new total.
func (a *Allocator) proposeTotal() []Change {
	if len(a.pending) > 0 {
		return nil
	}
	change := Change{Total: a.requestedTotal}
	a.requestedTotal = 0
	a.totalChangePending = true
	return []Change{change}
}

// reclaimExpired ends expired leases and stops tracking servers that have no lease and have stopped sending requests.
func (a *Allocator) reclaimExpired() (changes []Change) {
	for _, server := range a.serverNames() {
		lease := a.leases[server]
		switch {
		case a.isPending(server):
		case lease.expiresAt <= a.now && lease.outstanding() > 0:
			changes = append(changes, a.propose(Change{Server: server, Expired: true}))
		case lease.outstanding() == 0 && a.now-lease.lastRequestAt > a.config.maxLeaseSpan():
			delete(a.leases, server)
		}
	}
	return changes
}

// adjustLeases moves leases towards their target amounts.
func (a *Allocator) adjustLeases() (changes []Change) {
	targets := a.targetAmounts()
	available := min(a.targetTotal, a.effectiveTotal) - a.config.guaranteedTotal() - a.reservedAmount()
	for _, server := range a.serverNames() {
		lease := a.leases[server]
		if a.isPending(server) || len(lease.previous) >= maxPreviousLeases {
			continue
		}
		amount := a.nextAmount(lease, targets[server], available)
		if amount == lease.amount {
			continue
		}
		if amount > lease.amount {
			available -= max(0, amount-lease.outstanding())
		}
		changes = append(changes, a.propose(Change{Server: server, Amount: amount}))
	}
	return changes
}

// nextAmount returns the amount that a lease should have next, given its target and the amount available for raising
// leases. It returns the current amount if the lease should not change.
func (a *Allocator) nextAmount(lease *lease, target, available Amount) Amount {
	switch {
	case target > lease.amount:
		return a.raisedAmount(lease, target, available)
	case target < lease.amount && !a.keepsSurplus(lease, target):
		return target
	}
	return lease.amount
}

// keepsSurplus reports whether a lease above its target stays unchanged because the difference is within the
// hysteresis. A lease is always lowered if its target is zero or if a lower total is still taking effect.
func (a *Allocator) keepsSurplus(lease *lease, target Amount) bool {
	isWithinHysteresis := float64(lease.amount-target) < a.config.Hysteresis*float64(lease.amount)
	return isWithinHysteresis && target > 0 && a.effectiveTotal == a.targetTotal
}

// raisedAmount returns the amount to which a lease may be raised now, which is at least its current amount.
func (a *Allocator) raisedAmount(lease *lease, target, available Amount) Amount {
	if lease.version > 0 && float64(target-lease.amount) < a.config.Hysteresis*float64(lease.amount) {
		return lease.amount
	}
	// The available amount can be negative after a change of leader: the previous leader may have known that a server
	// no longer uses a previous lease and granted that amount to another server, while this leader still counts both.
	if available < 0 {
		return lease.amount
	}
	increase := target - lease.outstanding()
	if increase > available {
		target = a.config.roundDown(target - (increase - available))
	}
	return max(lease.amount, target)
}

// propose assigns the next lease version to a change and records the change as pending until it is applied or its
// proposal fails.
func (a *Allocator) propose(change Change) Change {
	a.lastVersion++
	change.LeaseVersion = a.lastVersion
	a.pending[change.Server] = change.Amount
	return change
}

// proposalFailed reverts what NextChanges recorded for a change that was never sent to the other coordinators.
func (a *Allocator) proposalFailed(change Change) {
	if change.Server == "" {
		a.requestedTotal = change.Total
		a.totalChangePending = false
		return
	}
	delete(a.pending, change.Server)
}
