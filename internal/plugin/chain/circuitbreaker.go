package chain

// This file owns how each plug-in does: its share of a core, its faults, quarantine and trials. It must never forget a
// quarantine for the sake of a new work item, nor keep a table that grows.

import (
	"math/rand"

	"thistlequay/timeunit"
)

// State is how a plug-in stands.
type State int

const (
	StateActive State = iota
	StateQuarantined
	StateProbation // it is asked about one work item at a time
)

// StateNames are words for logs.
var StateNames = [...]string{"live", "quarantined", "on trial"}

const (
	second               = timeunit.Ticks(10_000)
	trialsToRecover      = 3  // good ones in a row that end a quarantine
	quarantinesToReset   = 10 // quarantines' worth of good time after which the next wait is the first again
	faultRateSmoothing   = 1.0 / 16
	minSampledCalls      = 32 // calls before a rate says anything
	maxTenantBreakers    = 64 // tenants for whom it may be off alone
	tenantsToBlamePlugin = 4  // off for so many at once it is the plug-in's own matter
	quarantineJitter     = 0.2
)

// CircuitBreaker is the record of one plug-in.
type CircuitBreaker struct {
	State                               State
	Calls                               int
	Faults                              [len(FaultNames)]int
	random                              *rand.Rand
	consecutiveFaults, successfulTrials int
	faultRate                           float64 // share of calls that ended in a fault, of late
	sampledCalls                        int
	quarantineLength                    timeunit.Ticks // of the last quarantine
	quarantineEnd                       timeunit.Ticks // its end
	activeSince                         timeunit.Ticks // live
	trialInFlight                       bool           // a trial is out
	coreBudget                          float64
	coreBudgetAt                        timeunit.Ticks
	tenants                             []tenantBreaker // oldest first
}

// tenantBreaker is a tenant at whose work items it failed.
type tenantBreaker struct {
	tenant            string
	consecutiveFaults int
	quarantineLength  timeunit.Ticks
	quarantineEnd     timeunit.Ticks
}

// QuarantineEnd is the end of its last quarantine.
func (c *CircuitBreaker) QuarantineEnd() timeunit.Ticks { return c.quarantineEnd }

func newCircuitBreaker(chance *rand.Rand, now timeunit.Ticks) *CircuitBreaker {
	return &CircuitBreaker{random: chance, activeSince: now, coreBudget: float64(second), coreBudgetAt: now}
}

// refillCoreBudget lets its share of a core run up, no further than a second's worth.
func (c *CircuitBreaker) refillCoreBudget(now timeunit.Ticks, g *Policy) {
	c.coreBudget = min(c.coreBudget+float64(now-c.coreBudgetAt)*g.CoreFraction, float64(second)*g.CoreFraction)
	c.coreBudgetAt = now
}

// allow says whether the plug-in may be asked now.
func (c *CircuitBreaker) allow(tenant string, now timeunit.Ticks, g *Policy) bool {
	if c.refillCoreBudget(now, g); c.coreBudget <= 0 {
		return false
	}
	if c.State == StateQuarantined && now >= c.quarantineEnd {
		c.State, c.successfulTrials = StateProbation, 0
	}
	if c.State == StateQuarantined || c.State == StateProbation && c.trialInFlight {
		return false
	}
	if a := c.tenant(tenant); a != nil && a.consecutiveFaults >= g.MaxConsecutiveFaults {
		if now < a.quarantineEnd {
			return false
		}
		a.quarantineEnd = now + a.quarantineLength // one trial for this tenant
	}
	c.trialInFlight = c.State == StateProbation
	c.Calls++
	return true
}

func (c *CircuitBreaker) tenant(tenant string) *tenantBreaker {
	for i := range c.tenants {
		if c.tenants[i].tenant == tenant {
			return &c.tenants[i]
		}
	}
	return nil
}

// record books how a call went and says whether the plug-in went into quarantine by it.
func (c *CircuitBreaker) record(tenant string, f Fault, failed bool, took, now timeunit.Ticks, g *Policy) (quarantined bool) {
	c.refillCoreBudget(now, g)
	c.coreBudget -= float64(took)
	wasTrial := c.State == StateProbation && c.trialInFlight
	c.trialInFlight = false
	if failed && f == FaultUnavailable {
		return false
	}
	if !failed {
		c.consecutiveFaults = 0
		c.sampledCalls = min(c.sampledCalls+1, minSampledCalls)
		c.faultRate -= c.faultRate * faultRateSmoothing
		c.forgiveTenant(tenant)
		if wasTrial {
			if c.successfulTrials++; c.successfulTrials >= trialsToRecover {
				c.State, c.activeSince, c.faultRate, c.sampledCalls = StateActive, now, 0, 0
			}
		}
		return false
	}
	c.Faults[f]++
	if g.FaultsByTenant && f != FaultProcessDied && tenant != "" && !c.blameTenant(tenant, now, g) {
		return false
	}
	c.consecutiveFaults++
	c.sampledCalls = min(c.sampledCalls+1, minSampledCalls)
	c.faultRate += (1 - c.faultRate) * faultRateSmoothing
	if c.State == StateActive && (c.consecutiveFaults >= g.MaxConsecutiveFaults || c.sampledCalls >= minSampledCalls && c.faultRate > g.MaxFaultRate) || wasTrial {
		c.quarantine(now, g)
		return true
	}
	return false
}

// quarantine: ever longer, and not to the moment, so that a fleet's plug-ins don't come back together.
func (c *CircuitBreaker) quarantine(now timeunit.Ticks, g *Policy) {
	if c.State == StateActive && now-c.activeSince > quarantinesToReset*max(c.quarantineLength, g.MinQuarantine) {
		c.quarantineLength = 0
	}
	c.quarantineLength = min(max(g.MinQuarantine, 2*c.quarantineLength), g.MaxQuarantine)
	c.quarantineEnd = now + c.quarantineLength + timeunit.Ticks(c.random.Float64()*quarantineJitter*float64(c.quarantineLength))
	c.State, c.consecutiveFaults, c.successfulTrials = StateQuarantined, 0, 0
}

// blameTenant books a fault with the tenant whose work item it was, and says whether it is the plug-in's own matter.
func (c *CircuitBreaker) blameTenant(tenant string, now timeunit.Ticks, g *Policy) (own bool) {
	a := c.tenant(tenant)
	if a == nil {
		if len(c.tenants) >= maxTenantBreakers {
			c.tenants = append(c.tenants[:0], c.tenants[1:]...)
		}
		c.tenants = append(c.tenants, tenantBreaker{tenant: tenant})
		a = &c.tenants[len(c.tenants)-1]
	}
	if a.consecutiveFaults++; a.consecutiveFaults >= g.MaxConsecutiveFaults {
		a.quarantineLength = min(max(g.MinQuarantine, 2*a.quarantineLength), g.MaxQuarantine)
		a.quarantineEnd = now + a.quarantineLength
	}
	off := 0
	for _, other := range c.tenants {
		if other.consecutiveFaults >= g.MaxConsecutiveFaults {
			off++
		}
	}
	return off >= tenantsToBlamePlugin
}

func (c *CircuitBreaker) forgiveTenant(tenant string) {
	for i := range c.tenants {
		if c.tenants[i].tenant == tenant {
			c.tenants = append(c.tenants[:i], c.tenants[i+1:]...)
			return
		}
	}
}
