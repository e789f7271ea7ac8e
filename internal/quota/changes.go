package quota

import "thistlequay/timeunit"

// NextChanges returns the changes that the leader should propose next: first a new total by itself, else the leases
// that have expired, and then the leases that differ from what their servers should have. Never more is leased than
// is left by what is applied and what is proposed. It is to be called several times in the duration of a lease.
func (a *Allocator) NextChanges(now timeunit.Milliseconds) []Change {
	a.now = max(a.now, now)
	if !a.isLeader || a.totalChangePending {
		return nil
	}
	if a.requestedTotal > 0 {
		return a.changeTotal()
	}
	changes := a.reclaimExpired()
	return append(changes, a.adjustLeases()...)
}

// changeTotal proposes another total, once nothing else is proposed: a lease that was decided by the last total must
// not be committed after the change.
func (a *Allocator) changeTotal() []Change {
	if len(a.pending) > 0 {
		return nil
	}
	change := Change{Total: a.requestedTotal}
	a.requestedTotal = 0
	a.totalChangePending = true
	return []Change{change}
}

// reclaimExpired takes back the leases that have expired, and forgets servers that have none and no longer ask.
func (a *Allocator) reclaimExpired() (changes []Change) {
	for _, server := range a.servers() {
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
	room := min(a.targetTotal, a.effectiveTotal) - a.config.guaranteedTotal() - a.reserved()
	for _, server := range a.servers() {
		lease := a.leases[server]
		if a.isPending(server) || len(lease.previous) >= maxPreviousLeases {
			continue
		}
		amount := a.nextAmount(lease, targets[server], room)
		if amount == lease.amount {
			continue
		}
		if amount > lease.amount {
			room -= max(0, amount-lease.outstanding())
		}
		changes = append(changes, a.propose(Change{Server: server, Amount: amount}))
	}
	return changes
}

// nextAmount is what a lease should allow next, given its target and the room for more. It is the present amount
// where the lease should stay as it is.
func (a *Allocator) nextAmount(lease *lease, target, room Amount) Amount {
	switch {
	case target > lease.amount:
		return a.raisedAmount(lease, target, room)
	case target < lease.amount && !a.keepsSurplus(lease, target):
		return target
	}
	return lease.amount
}

// keepsSurplus reports whether a lease above its target stays, since the difference is small and nothing else calls
// for it.
func (a *Allocator) keepsSurplus(lease *lease, target Amount) bool {
	isSmall := float64(lease.amount-target) < a.config.Hysteresis*float64(lease.amount)
	return isSmall && target > 0 && a.effectiveTotal == a.targetTotal
}

// raisedAmount is what a lease may be raised to.
func (a *Allocator) raisedAmount(lease *lease, target, room Amount) Amount {
	if lease.version > 0 && float64(target-lease.amount) < a.config.Hysteresis*float64(lease.amount) {
		return lease.amount
	}
	// Negative room: an earlier amount that counts here may be another server's by now, as the last leader knew.
	if room < 0 {
		return lease.amount
	}
	additional := target - lease.outstanding()
	if additional > room {
		target = a.config.roundDown(target - (additional - room))
	}
	return max(lease.amount, target)
}

// propose gives a change the next version and remembers it until it is applied or the proposal has failed.
func (a *Allocator) propose(change Change) Change {
	a.lastVersion++
	change.LeaseVersion = a.lastVersion
	a.pending[change.Server] = change.Amount
	return change
}

// proposalFailed takes back what NextChanges noted of a change that was never put to the other coordinators.
func (a *Allocator) proposalFailed(change Change) {
	if change.Server == "" {
		a.requestedTotal = change.Total
		a.totalChangePending = false
		return
	}
	delete(a.pending, change.Server)
}
