package quota

import (
	"maps"
	"slices"

	"thistlequay/timeunit"
)

const (
	// maxServers bounds the servers that one limit keeps a lease for. A cluster has at most as many slots (settings).
	maxServers = 4096

	// maxPreviousLeases bounds the earlier amounts that are remembered of a server. Its lease stays as it is until it
	// has confirmed one of the later versions.
	maxPreviousLeases = 4
)

// Allocator is one coordinator's copy of the state of one limit: who has which lease, and which total is in force.
//
// Apply brings all copies into the same state. Expiry times and demand are known to the leader alone; a new leader
// assumes that every lease has just been renewed, which is safe because a lease that was answered for earlier ends
// earlier.
type Allocator struct {
	config LimitConfig
	logID  uint64
	leases map[string]*lease // by server

	// targetTotal is the total that was set last. effectiveTotal is the one in force: a lower total takes effect only
	// as far as the leases that are outstanding allow.
	targetTotal    Amount
	effectiveTotal Amount

	lastVersion uint64 // of any lease
	isLeader    bool
	now         timeunit.Milliseconds

	// pending holds the amounts of leases that this leader has proposed and that are not applied yet.
	pending map[string]Amount

	// requestedTotal is a total to be proposed, zero for none. While totalChangePending is set, it has been proposed
	// and is not applied yet.
	requestedTotal     Amount
	totalChangePending bool
}

// NewAllocator returns the state of a limit at the beginning of a log, when nothing is leased.
func NewAllocator(config LimitConfig, logID uint64) *Allocator {
	return &Allocator{
		config:         config,
		logID:          logID,
		leases:         map[string]*lease{},
		targetTotal:    config.Total,
		effectiveTotal: config.Total,
		pending:        map[string]Amount{},
	}
}

// Config returns the configuration of the limit, with the total that is in force.
func (a *Allocator) Config() LimitConfig {
	config := a.config
	config.Total = a.effectiveTotal
	return config
}

// TargetTotal returns the total that was set last.
func (a *Allocator) TargetTotal() Amount { return a.targetTotal }

// EffectiveTotal returns the total in force: the one that was set last, or more until earlier leases have expired.
func (a *Allocator) EffectiveTotal() Amount { return a.effectiveTotal }

// SetLeader makes this coordinator the leader, which proposes changes and answers requests, or a follower. A new leader
// cannot know when the last one renewed the leases, so it counts each for its longest span from now.
func (a *Allocator) SetLeader(isLeader bool, now timeunit.Milliseconds) {
	a.isLeader = isLeader
	a.now = now
	a.requestedTotal = 0
	a.totalChangePending = false
	clear(a.pending)
	for _, lease := range a.leases {
		lease.expiresAt = now + a.config.maxLeaseSpan()
		lease.desired = lease.amount
		lease.required = lease.amount
		lease.lastRequestAt = now
	}
}

// Apply takes a committed change. All coordinators call it with the same changes in the same order.
func (a *Allocator) Apply(change Change, now timeunit.Milliseconds) {
	a.now = max(a.now, now)
	switch {
	case change.Server == "":
		a.applyTotal(change.Total)
	case change.Expired:
		a.applyExpiry(change)
	default:
		a.applyLease(change)
	}
}

// applyTotal sets the total, which can never be below the guaranteed minimums since those are used without a lease.
func (a *Allocator) applyTotal(total Amount) {
	a.targetTotal = max(total, a.config.guaranteedTotal())
	a.totalChangePending = false
	a.updateEffectiveTotal()
}

// applyExpiry ends the leases of a server. The leader remembers a server that still asks, for what it desires.
func (a *Allocator) applyExpiry(change Change) {
	lease := a.committed(change)
	lease.amount = 0
	lease.previous = nil
	lease.version = 0
	if !a.isLeader || a.now-lease.lastRequestAt > a.config.maxLeaseSpan() {
		delete(a.leases, change.Server)
	}
	a.updateEffectiveTotal()
}

// applyLease sets the lease of a server. What it had before counts until the server says that it keeps to a later
// version.
func (a *Allocator) applyLease(change Change) {
	lease := a.committed(change)
	if lease.amount > 0 {
		lease.previous = append(lease.previous, previousLease{version: lease.version, amount: lease.amount})
	}
	lease.version = change.LeaseVersion
	lease.amount = change.Amount
	lease.expiresAt = a.now + a.config.maxLeaseSpan()
}

// committed ends the proposal of a change and returns the lease that it is about.
func (a *Allocator) committed(change Change) *lease {
	delete(a.pending, change.Server)
	a.lastVersion = max(a.lastVersion, change.LeaseVersion)
	l := a.leases[change.Server]
	if l == nil {
		l = &lease{}
		a.leases[change.Server] = l
	}
	return l
}

// updateEffectiveTotal lets the total in force follow the target: a larger one at once, a smaller one as far as what is
// outstanding allows.
func (a *Allocator) updateEffectiveTotal() {
	inUse := a.config.guaranteedTotal() + a.reserved()
	a.effectiveTotal = max(a.targetTotal, min(a.effectiveTotal, inUse))
}

// Outstanding returns the sum of what all servers may be using beyond their guaranteed minimums.
func (a *Allocator) Outstanding() (sum Amount) {
	for _, lease := range a.leases {
		sum += lease.outstanding()
	}
	return sum
}

// reserved is what is outstanding together with all that is proposed. A lease that was proposed while an earlier one
// counted as much must still have its room when the earlier one is over.
func (a *Allocator) reserved() Amount {
	sum := a.Outstanding()
	for server, amount := range a.pending {
		sum += amount
		if lease := a.leases[server]; lease != nil {
			sum -= min(amount, lease.outstanding())
		}
	}
	return sum
}

// RequestTotal asks the leader for another total, proposed by a later NextChanges.
func (a *Allocator) RequestTotal(total Amount) { a.requestedTotal = total }

// renewLease records what a server asks for and, at the leader, renews the lease that it has now. The response
// holds from when it was requested. Changes of the amount come by NextChanges, and with a later response. granted is
// false where this is not the leader, the request is invalid, or there is no lease yet.
func (a *Allocator) renewLease(
	request LimitRequest, now timeunit.Milliseconds,
) (response LimitResponse, granted bool) {
	a.now = max(a.now, now)
	if !a.isLeader || !request.isValid() {
		return response, false
	}
	lease := a.requestingServer(request.Server)
	if lease == nil {
		return response, false
	}
	lease.recordRequest(request, a.effectiveTotal, a.now)
	if request.LogID == a.logID {
		lease.confirmHeld(request.HeldVersion)
	}
	a.updateEffectiveTotal()
	if lease.version == 0 || a.isPending(request.Server) || lease.expiresAt <= a.now {
		return response, false // no lease yet, or it is over and is being taken back
	}
	lease.expiresAt = max(lease.expiresAt, a.now+a.config.maxLeaseSpan())
	return LimitResponse{
		RequestedAt:   request.RequestedAt,
		LeaseVersion:  lease.version,
		Amount:        lease.amount,
		LeaseDuration: a.config.LeaseDuration,
		LogID:         a.logID,
	}, true
}

// isValid reports whether the request can be answered at all.
func (r *LimitRequest) isValid() bool {
	return r.Server != "" && r.Desired >= 0 && r.Required >= 0 && r.Required <= r.Desired
}

// requestingServer finds the lease of a server, or begins to remember the server. It returns nil when there are too
// many.
func (a *Allocator) requestingServer(server string) *lease {
	if lease := a.leases[server]; lease != nil {
		return lease
	}
	if len(a.leases) >= maxServers {
		return nil
	}
	l := &lease{}
	a.leases[server] = l
	return l
}

func (a *Allocator) isPending(server string) bool {
	_, isPending := a.pending[server]
	return isPending
}

// servers are the names of all servers that are known, sorted, so that decisions do not depend on the order of a map.
func (a *Allocator) servers() []string { return slices.Sorted(maps.Keys(a.leases)) }
