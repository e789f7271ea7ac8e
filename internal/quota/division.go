package quota

import (
	"cmp"
	"slices"
)

// targetAmounts divides what can be leased by max-min fairness (progressive filling) among the servers that ask:
// first by what they require, then what is left of it by what they desire.
func (a *Allocator) targetAmounts() map[string]Amount {
	targets := make(map[string]Amount, len(a.leases))
	available := max(0, a.targetTotal-a.config.guaranteedTotal())
	available = a.divide(available, a.requiredAmount, targets)
	a.divide(available, a.desiredAmount, targets)
	return targets
}

// divide raises the targets towards a demand as far as the available amount goes, and returns what is left. The servers
// that lack least come first, so that what they do not take goes to the others.
func (a *Allocator) divide(available Amount, demand func(*lease) Amount, targets map[string]Amount) Amount {
	missing := func(server string) Amount { return max(0, demand(a.leases[server])-targets[server]) }
	servers := a.servers()
	slices.SortStableFunc(servers, func(one, other string) int { return cmp.Compare(missing(one), missing(other)) })
	for i, server := range servers {
		equalPart := available / Amount(len(servers)-i)
		part := a.config.roundDown(min(missing(server), equalPart))
		targets[server] += part
		available -= part
	}
	return available
}

// desiredAmount is what a server asks for, and at least the initial amount: it cannot know what it could use before
// it has some.
func (a *Allocator) desiredAmount(lease *lease) Amount {
	return a.config.roundUp(max(lease.desired, a.config.InitialAmount))
}

// requiredAmount is what a server would surely use, and at least the initial amount. A server that has had a lease and
// requires nothing gets nothing here; one without a lease cannot know yet.
func (a *Allocator) requiredAmount(lease *lease) Amount {
	if lease.required == 0 && lease.version > 0 {
		return 0
	}
	return a.config.roundUp(max(lease.required, a.config.InitialAmount))
}
