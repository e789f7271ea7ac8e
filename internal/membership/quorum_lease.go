package membership

import (
	"slices"

	"thistlequay/timeunit"
)

// leaseRequestsPerDuration is the number of times that grants are requested within one lease duration. With 3, the loss
// of two consecutive messages does not lose the lease.
const leaseRequestsPerDuration = 3

// quorumLease holds the grants that allow this server to consider itself part of the majority. While a majority of the
// voters grants the lease, no other configuration is in force.
type quorumLease struct {
	grantedUntil  map[ID]timeunit.Milliseconds // expiry of each voter's grant, by this server's clock
	nextRequestAt timeunit.Milliseconds
}

func newQuorumLease() quorumLease {
	return quorumLease{grantedUntil: map[ID]timeunit.Milliseconds{}}
}

// reset discards the grants of the previous configuration. New ones are requested on the next tick.
func (l *quorumLease) reset() {
	clear(l.grantedUntil)
	l.nextRequestAt = 0
}

// heldUntil returns the time until which a majority of the voters grants the lease, or distantPast if too few have
// granted it.
func (l *quorumLease) heldUntil(configuration *Configuration) timeunit.Milliseconds {
	expiries := make([]timeunit.Milliseconds, 0, maxVoters)
	for _, voter := range configuration.Voters {
		if expiry, found := l.grantedUntil[voter.ID]; found {
			expiries = append(expiries, expiry)
		}
	}
	quorum := configuration.quorum()
	if len(expiries) < quorum {
		return distantPast
	}
	slices.Sort(expiries)
	return expiries[len(expiries)-quorum]
}

// requestLease requests a grant from every voter when the next request is due.
func (a *Agreement) requestLease() {
	now := a.view.now
	if now < a.lease.nextRequestAt {
		return
	}
	duration := a.configuration.LeaseDuration
	if duration == 0 {
		duration = a.config.LeaseDuration
	}
	a.lease.nextRequestAt = now + duration/leaseRequestsPerDuration
	for _, voter := range a.configuration.Voters {
		a.send(voter.ID, Message{Kind: MessageLeaseRequest, RequestedAt: now})
	}
}

// handleLeaseRequest grants a lease if this server is a voter, unless it has accepted the next configuration, is
// draining, or knows of a conflicting configuration of the same epoch.
func (a *Agreement) handleLeaseRequest(message Message) {
	if a.configuration.Epoch == 0 || !a.configuration.hasVoter(a.config.Self) || a.isConflicting {
		return
	}
	if a.acceptor.accepted != nil || a.view.self.StateUpdate.State == StateDraining {
		return
	}
	a.send(message.From, Message{Kind: MessageLeaseGrant, RequestedAt: message.RequestedAt})
}

// handleLeaseGrant records a grant. The grant runs from the time of the request by this server's own clock, and is
// shortened by the maximum clock drift. A request time in the future is forged, and the grant is ignored.
func (a *Agreement) handleLeaseGrant(message Message) {
	if !a.configuration.hasVoter(message.From) || message.RequestedAt > a.view.now {
		return
	}
	duration := timeunit.Milliseconds(float64(a.configuration.LeaseDuration) * (1 - a.config.MaxClockDrift))
	a.lease.grantedUntil[message.From] = max(a.lease.grantedUntil[message.From], message.RequestedAt+duration)
}

// QuorumStatus returns the current quorum status of this server. It is computed at each call, so that a server that was
// paused finds its lease expired before it acts.
func (a *Agreement) QuorumStatus() QuorumStatus {
	if a.view.now < a.MajorityUntil() && a.view.now >= a.inForceFrom {
		return Majority
	}
	for _, member := range a.view.members {
		if member != a.view.self && member.isAlive() {
			return Minority
		}
	}
	return Isolated
}

// MajorityUntil returns when this server stops belonging to the majority unless it receives further lease grants. The
// time is in the distant past if the server has no valid configuration, sees too few members or holds too few grants.
func (a *Agreement) MajorityUntil() timeunit.Milliseconds {
	if a.configuration.Epoch == 0 || a.isConflicting {
		return distantPast
	}
	if !a.isMajorityAlive() {
		return distantPast
	}
	return a.lease.heldUntil(&a.configuration)
}

// isMajorityAlive reports whether more than half of the members of the configuration are alive or, if some are
// leaving, whether more than half of the others are. Leaving members are removed from both counts: a member that
// announced its leave is not cut off, and counting it as missing would leave half of a cluster permanently without a
// majority. Safety does not depend on these counts; the leases of the voters ensure that no two majorities are in
// force.
func (a *Agreement) isMajorityAlive() bool {
	if 2*a.view.AliveCount() > a.configuration.MemberCount {
		return true
	}
	return 2*a.countStaying(a.view.Alive()) > a.configuration.MemberCount-a.countLeavers()
}
