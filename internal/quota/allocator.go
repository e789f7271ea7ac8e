package quota

import (
	"maps"
	"slices"

	"thistlequay/timeunit"
)

const (
	// maxServers is the maximum number of servers that an allocator tracks per limit. The settings allow no cluster to
	// have more slots.
	maxServers = 4096

	// maxPreviousLeases is the maximum number of previous leases tracked per server. When a server reaches it, its
	// lease is not changed until the server has confirmed a later version.
	maxPreviousLeases = 4
)

// Allocator is one coordinator's replica of the state of one limit: the lease of each server and the total in force.
//
// Apply keeps all replicas in the same state. Only the leader knows expiry times and demand. A new leader assumes that
// every lease was renewed at the moment of its election, which is safe because leases that the previous leader renewed
// earlier also expire earlier.
type Allocator struct {
	config LimitConfig
	logID  uint64
	leases map[string]*lease // by server

	// targetTotal is the most recently set total. effectiveTotal is the total in force. It follows a lower targetTotal
	// only as far as outstanding leases allow.
	targetTotal    Amount
	effectiveTotal Amount

	lastVersion uint64 // highest version assigned to any lease
	isLeader    bool
	now         timeunit.Milliseconds

	// pending holds the leased amount of each server for which this leader has proposed a change that is not applied
	// yet.
	pending map[string]Amount

	// requestedTotal is a total that is still to be proposed, or zero if there is none. totalChangePending is set while
	// a change of the total has been proposed but not applied.
	requestedTotal     Amount
	totalChangePending bool
}

// NewAllocator returns the state of a limit at the beginning of a log, with nothing leased.
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

// Config returns the configuration of the limit with the total in force.
func (a *Allocator) Config() LimitConfig {
	config := a.config
	config.Total = a.effectiveTotal
	return config
}

// TargetTotal returns the most recently set total.
func (a *Allocator) TargetTotal() Amount { return a.targetTotal }

// EffectiveTotal returns the total in force. After a reduction, it exceeds TargetTotal until enough earlier leases have
// ended.
func (a *Allocator) EffectiveTotal() Amount { return a.effectiveTotal }

// SetLeader makes this coordinator the leader or a follower. The leader proposes changes and answers requests. A new
// leader does not know when its predecessor last renewed the leases, so it assumes that each one expires one maximum
// lease span from now.
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

// Apply applies a committed change. All coordinators must call it with the same changes in the same order.
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

// applyTotal sets the total. The total is never below the sum of the guaranteed minimums, as those are used without a
// lease.
func (a *Allocator) applyTotal(total Amount) {
	a.targetTotal = max(total, a.config.guaranteedTotal())
	a.totalChangePending = false
	a.updateEffectiveTotal()
}

// applyExpiry ends all leases of a server. The leader keeps the entry of a server that still sends requests, including
// its demand.
func (a *Allocator) applyExpiry(change Change) {
	lease := a.completeProposal(change)
	lease.amount = 0
	lease.previous = nil
	lease.version = 0
	if !a.isLeader || a.now-lease.lastRequestAt > a.config.maxLeaseSpan() {
		delete(a.leases, change.Server)
	}
	a.updateEffectiveTotal()
}

// applyLease sets the lease of a server. The previous amount stays outstanding until the server confirms a later
// version.
func (a *Allocator) applyLease(change Change) {
	lease := a.completeProposal(change)
	if lease.amount > 0 {
		lease.previous = append(lease.previous, previousLease{version: lease.version, amount: lease.amount})
	}
	lease.version = change.LeaseVersion
	lease.amount = change.Amount
	lease.expiresAt = a.now + a.config.maxLeaseSpan()
}

// completeProposal removes the pending proposal for the server of a committed change and returns that server's lease,
// adding it if needed.
func (a *Allocator) completeProposal(change Change) *lease {
	delete(a.pending, change.Server)
	a.lastVersion = max(a.lastVersion, change.LeaseVersion)
	l := a.leases[change.Server]
	if l == nil {
		l = &lease{}
		a.leases[change.Server] = l
	}
	return l
}

// updateEffectiveTotal moves the total in force towards the target: up at once, down only as far as outstanding and
// proposed leases allow.
func (a *Allocator) updateEffectiveTotal() {
	inUse := a.config.guaranteedTotal() + a.reservedAmount()
	a.effectiveTotal = max(a.targetTotal, min(a.effectiveTotal, inUse))
}

// Outstanding returns the maximum amount that all servers together may be using beyond their guaranteed minimums.
func (a *Allocator) Outstanding() (sum Amount) {
	for _, lease := range a.leases {
		sum += lease.outstanding()
	}
	return sum
}

// reservedAmount returns the sum over all servers of the larger of the outstanding and the proposed amount. Capacity
// for a proposed lease thus stays reserved when a previous lease that covered as much ends.
func (a *Allocator) reservedAmount() Amount {
	sum := a.Outstanding()
	for server, amount := range a.pending {
		sum += amount
		if lease := a.leases[server]; lease != nil {
			sum -= min(amount, lease.outstanding())
		}
	}
	return sum
}

// RequestTotal asks the leader to change the total. A later call of NextChanges proposes the change.
func (a *Allocator) RequestTotal(total Amount) { a.requestedTotal = total }

// renewLease records the demand of a server and, on the leader, renews its current lease. The renewed lease is valid
// from the time of the request. NextChanges changes the leased amount, and a later response carries the change. granted
// is false if this coordinator is not the leader, the request is invalid, or the server has no lease yet.
func (a *Allocator) renewLease(
	request LimitRequest, now timeunit.Milliseconds,
) (response LimitResponse, granted bool) {
	a.now = max(a.now, now)
	if !a.isLeader || !request.isValid() {
		return response, false
	}
	lease := a.findOrAddLease(request.Server)
	if lease == nil {
		return response, false
	}
	lease.recordRequest(request, a.effectiveTotal, a.now)
	if request.LogID == a.logID {
		lease.confirmHeld(request.HeldVersion)
	}
	a.updateEffectiveTotal()
	if lease.version == 0 || a.isPending(request.Server) || lease.expiresAt <= a.now {
		return response, false // no lease yet, or it has expired and is being reclaimed
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

// isValid reports whether the fields of the request are consistent.
func (r *LimitRequest) isValid() bool {
	return r.Server != "" && r.Desired >= 0 && r.Required >= 0 && r.Required <= r.Desired
}

// findOrAddLease returns the lease of a server and starts to track a server that is not known yet. It returns nil if
// too many servers are tracked.
func (a *Allocator) findOrAddLease(server string) *lease {
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

// isPending reports whether a change of the server's lease has been proposed but not applied.
func (a *Allocator) isPending(server string) bool {
	_, isPending := a.pending[server]
	return isPending
}

// serverNames returns the names of all tracked servers in sorted order, so that decisions do not depend on map
// iteration order.
func (a *Allocator) serverNames() []string { return slices.Sorted(maps.Keys(a.leases)) }
