package chain

import (
	"math/rand"
	"slices"

	"thistlequay/timeunit"
)

// State is the state of a circuit breaker.
type State int

// The states. In the words of the circuit breaker pattern they are closed, open and half-open.
const (
	StateActive      State = iota // called about every request that it sees
	StateQuarantined              // not called
	StateProbation                // called about one request at a time, until enough calls in a row succeed
)

// When a circuit breaker opens and closes.
const (
	// trialsToRecover is the number of successful calls in a row that end the probation.
	trialsToRecover = 3

	// quarantinesToReset is the time without quarantine, in lengths of the last one, after which the next is as short
	// as the first.
	quarantinesToReset = 10

	// faultRateSmoothing is the weight of the newest call in the fault rate, a running mean.
	faultRateSmoothing = 1.0 / 16

	// minSampledCalls is the number of calls before the fault rate counts.
	minSampledCalls = 32

	// quarantineJitter is the part of its length by which a quarantine is prolonged at most, by chance.
	quarantineJitter = 0.2

	// maxTenantBreakers bounds the tenants for which faults are counted apart. The oldest record gives way.
	maxTenantBreakers = 64

	// tenantsToBlamePlugin is the number of tenants for which the plug-in is blocked at which the fault is taken to be
	// the plug-in's own.
	tenantsToBlamePlugin = 4
)

// CircuitBreaker watches one plug-in: it bounds its use of the core, counts its faults and quarantines it. A
// quarantine ends by time alone, and no request cuts it short.
type CircuitBreaker struct {
	State  State
	Calls  int
	Faults [faultCount]int // how often each fault occurred

	random *rand.Rand

	consecutiveFaults int
	successfulTrials  int // in a row
	faultRate         float64
	sampledCalls      int // that faultRate rests on, up to minSampledCalls

	quarantineLength timeunit.Ticks // of the last quarantine, without jitter
	quarantineEnd    timeunit.Ticks
	activeSince      timeunit.Ticks
	trialInFlight    bool

	coreBudget   float64 // core time in ticks that may be used at once; below 0 after a long call
	coreBudgetAt timeunit.Ticks

	tenants []tenantBreaker // oldest first
}

// tenantBreaker counts the faults at one tenant's requests.
type tenantBreaker struct {
	tenant            string
	consecutiveFaults int
	quarantineLength  timeunit.Ticks
	quarantineEnd     timeunit.Ticks
}

func newCircuitBreaker(random *rand.Rand, now timeunit.Ticks) *CircuitBreaker {
	return &CircuitBreaker{
		random:       random,
		activeSince:  now,
		coreBudget:   float64(timeunit.TicksPerSecond),
		coreBudgetAt: now,
	}
}

// QuarantineEnd is the end of the last quarantine.
func (b *CircuitBreaker) QuarantineEnd() timeunit.Ticks { return b.quarantineEnd }

// refillCoreBudget lets the core budget grow with time, up to a second's worth.
func (b *CircuitBreaker) refillCoreBudget(now timeunit.Ticks, policy *Policy) {
	refilled := b.coreBudget + float64(now-b.coreBudgetAt)*policy.CoreFraction
	b.coreBudget = min(refilled, float64(timeunit.TicksPerSecond)*policy.CoreFraction)
	b.coreBudgetAt = now
}

// allow reports whether the plug-in may be called now about a request of a tenant, and counts the call if so.
func (b *CircuitBreaker) allow(tenant string, now timeunit.Ticks, policy *Policy) bool {
	b.refillCoreBudget(now, policy)
	if b.coreBudget <= 0 {
		return false
	}
	if b.State == StateQuarantined && now >= b.quarantineEnd {
		b.State = StateProbation
		b.successfulTrials = 0
	}
	if b.State == StateQuarantined || b.State == StateProbation && b.trialInFlight {
		return false
	}
	if breaker := b.tenantBreaker(tenant); breaker != nil && breaker.consecutiveFaults >= policy.MaxConsecutiveFaults {
		if now < breaker.quarantineEnd {
			return false
		}
		breaker.quarantineEnd = now + breaker.quarantineLength // this call is the one trial for the tenant
	}
	b.trialInFlight = b.State == StateProbation
	b.Calls++
	return true
}

// tenantBreaker returns the record of a tenant, or nil. It is valid until the next change of the records.
func (b *CircuitBreaker) tenantBreaker(tenant string) *tenantBreaker {
	for i := range b.tenants {
		if b.tenants[i].tenant == tenant {
			return &b.tenants[i]
		}
	}
	return nil
}

// endCall charges the time that a call took, and reports whether the call was a trial.
func (b *CircuitBreaker) endCall(took, now timeunit.Ticks, policy *Policy) (wasTrial bool) {
	b.refillCoreBudget(now, policy)
	b.coreBudget -= float64(took)
	wasTrial = b.State == StateProbation && b.trialInFlight
	b.trialInFlight = false
	return wasTrial
}

// recordSuccess takes a call that ended with a verdict that counts.
func (b *CircuitBreaker) recordSuccess(tenant string, took, now timeunit.Ticks, policy *Policy) {
	wasTrial := b.endCall(took, now, policy)
	b.consecutiveFaults = 0
	b.sampledCalls = min(b.sampledCalls+1, minSampledCalls)
	b.faultRate -= b.faultRate * faultRateSmoothing
	b.forgiveTenant(tenant)
	if !wasTrial {
		return
	}
	b.successfulTrials++
	if b.successfulTrials >= trialsToRecover {
		b.State = StateActive
		b.activeSince = now
		b.faultRate = 0
		b.sampledCalls = 0
	}
}

// recordFault takes a call that ended in a fault, and reports whether the plug-in is quarantined because of it. A
// plug-in that could not be called is not to blame. The death of the process is never put down to a tenant.
func (b *CircuitBreaker) recordFault(
	tenant string, fault Fault, took, now timeunit.Ticks, policy *Policy,
) (quarantined bool) {
	wasTrial := b.endCall(took, now, policy)
	if fault == FaultUnavailable {
		return false
	}
	b.Faults[fault]++
	if policy.FaultsByTenant && fault != FaultProcessDied && tenant != "" && !b.blameTenant(tenant, now, policy) {
		return false
	}
	b.consecutiveFaults++
	b.sampledCalls = min(b.sampledCalls+1, minSampledCalls)
	b.faultRate += (1 - b.faultRate) * faultRateSmoothing
	if !wasTrial && (b.State != StateActive || !b.exceedsLimits(policy)) {
		return false
	}
	b.quarantine(now, policy)
	return true
}

// exceedsLimits reports whether the faults of late call for a quarantine.
func (b *CircuitBreaker) exceedsLimits(policy *Policy) bool {
	return b.consecutiveFaults >= policy.MaxConsecutiveFaults ||
		b.sampledCalls >= minSampledCalls && b.faultRate > policy.MaxFaultRate
}

// quarantine begins a quarantine, twice as long as the last one. Its end is jittered, so that the plug-ins of a fleet
// do not come back together.
func (b *CircuitBreaker) quarantine(now timeunit.Ticks, policy *Policy) {
	if b.State == StateActive && now-b.activeSince > quarantinesToReset*max(b.quarantineLength, policy.MinQuarantine) {
		b.quarantineLength = 0
	}
	b.quarantineLength = policy.nextQuarantine(b.quarantineLength)
	jitter := timeunit.Ticks(b.random.Float64() * quarantineJitter * float64(b.quarantineLength))
	b.quarantineEnd = now + b.quarantineLength + jitter
	b.State = StateQuarantined
	b.consecutiveFaults = 0
	b.successfulTrials = 0
}

// nextQuarantine is the length of the quarantine after one of the given length, 0 if there was none.
func (p *Policy) nextQuarantine(last timeunit.Ticks) timeunit.Ticks {
	return min(max(p.MinQuarantine, 2*last), p.MaxQuarantine)
}

// blameTenant counts a fault for the tenant whose request it was, and reports whether it is the plug-in's own fault
// because the plug-in is blocked for many tenants.
func (b *CircuitBreaker) blameTenant(tenant string, now timeunit.Ticks, policy *Policy) (isPluginsOwn bool) {
	breaker := b.tenantBreaker(tenant)
	if breaker == nil {
		if len(b.tenants) >= maxTenantBreakers {
			b.tenants = slices.Delete(b.tenants, 0, 1)
		}
		b.tenants = append(b.tenants, tenantBreaker{tenant: tenant})
		breaker = &b.tenants[len(b.tenants)-1]
	}
	breaker.consecutiveFaults++
	if breaker.consecutiveFaults >= policy.MaxConsecutiveFaults {
		breaker.quarantineLength = policy.nextQuarantine(breaker.quarantineLength)
		breaker.quarantineEnd = now + breaker.quarantineLength
	}
	blocked := 0
	for i := range b.tenants {
		if b.tenants[i].consecutiveFaults >= policy.MaxConsecutiveFaults {
			blocked++
		}
	}
	return blocked >= tenantsToBlamePlugin
}

// forgiveTenant drops the record of a tenant.
func (b *CircuitBreaker) forgiveTenant(tenant string) {
	i := slices.IndexFunc(b.tenants, func(breaker tenantBreaker) bool { return breaker.tenant == tenant })
	if i >= 0 {
		b.tenants = slices.Delete(b.tenants, i, i+1)
	}
}
