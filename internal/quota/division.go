package quota

import (
	"cmp"
	"slices"
)

// targetAmounts divides the leasable amount among the servers by max-min fairness (progressive filling). It first
// covers required amounts and then divides the rest by desired amounts.
func (a *Allocator) targetAmounts() map[string]Amount {
	targets := make(map[string]Amount, len(a.leases))
	available := max(0, a.targetTotal-a.config.guaranteedTotal())
	available = a.divide(available, a.requiredAmount, targets)
	a.divide(available, a.desiredAmount, targets)
	return targets
}

// divide raises the targets towards the given demand as far as the available amount allows and returns the remaining
// amount. It serves the servers with the smallest unmet demand first, so that what they do not need goes to the others.
func (a *Allocator) divide(available Amount, demand func(*lease) Amount, targets map[string]Amount) Amount {
	shortfall := func(server string) Amount { return max(0, demand(a.leases[server])-targets[server]) }
	servers := a.serverNames()
	slices.SortStableFunc(servers, func(one, other string) int { return cmp.Compare(shortfall(one), shortfall(other)) })
	for i, server := range servers {
		equalShare := available / Amount(len(servers)-i)
		increment := a.config.roundDown(min(shortfall(server), equalShare))
		targets[server] += increment
		available -= increment
	}
	return available
}

// desiredAmount returns the amount that a server desires, but at least the initial amount: a server cannot know its
// demand before it has some capacity.
func (a *Allocator) desiredAmount(lease *lease) Amount {
	return a.config.roundUp(max(lease.desired, a.config.InitialAmount))
}

// requiredAmount returns the amount that a server requires, but at least the initial amount, rounded up to the
// granularity. It is zero for a server that has a lease and requires nothing. A server without a lease, or whose lease
// has expired, requires at least the initial amount, as it cannot know its demand before it has some capacity.
func (a *Allocator) requiredAmount(lease *lease) Amount {
	if lease.required == 0 && lease.version > 0 {
		return 0
	}
	return a.config.roundUp(max(lease.required, a.config.InitialAmount))
}
