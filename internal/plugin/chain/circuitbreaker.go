package chain

import (
	"math/rand"
	"slices"

	"thistlequay/timeunit"
)

// State is the state of a circuit breaker.
type State int

// The states. The circuit breaker pattern calls them closed, open and half-open.
const (
	StateActive      State = iota // the plug-in is called for every request to which it applies
	StateQuarantined              // the plug-in is not called
	StateProbation                // one trial call at a time, until trialsToRecover have succeeded
)

// Parameters that control when a circuit breaker opens and closes.
const (
	// trialsToRecover is the number of successful trial calls after which probation ends. A trial call with a fault
	// that counts against the plug-in starts a new quarantine, after which the count begins at 0. A fault that counts
	// only against a tenant does not reset it.
	trialsToRecover = 3

	// lengthResetFactor is a multiple of the last quarantine's length. After that much time without a quarantine, the
	// next one is again as short as the first.
	lengthResetFactor = 10

	// faultRateSmoothing is the weight of the latest call in the fault rate, an exponential moving average.
	faultRateSmoothing = 1.0 / 16

	// minSampledCalls is the number of calls after which the fault rate may lead to a quarantine.
	minSampledCalls = 32

	// quarantineJitter is the largest random extension of a quarantine, as a fraction of its length.
	quarantineJitter = 0.2

	// maxTenantBreakers is the largest number of tenants whose faults are counted separately. Beyond it, the oldest
	// record is dropped.
	maxTenantBreakers = 64

	// blockedTenantsThreshold is the number of tenants for which the plug-in is blocked that makes further faults count
	// against the plug-in itself.
	blockedTenantsThreshold = 4
)

// CircuitBreaker limits the core time of one plug-in, counts its faults, and quarantines it when they are too many or
// too frequent. A quarantine ends only when its time has passed; no request ends it early.
type CircuitBreaker struct {
	State  State
	Calls  int             // calls that were allowed
	Faults [faultCount]int // number of faults of each kind

	random *rand.Rand

	consecutiveFaults int
	successfulTrials  int // since the last quarantine; a fault that counts only against a tenant does not reset it
	faultRate         float64
	sampledCalls      int // number of calls in faultRate, up to minSampledCalls

	quarantineLength timeunit.Ticks // length of the last quarantine, without jitter
	quarantineEnd    timeunit.Ticks
	activeSince      timeunit.Ticks
	isTrialInFlight  bool

	coreBudget          float64        // core time in ticks that may be used now; negative after a long call
	coreBudgetUpdatedAt timeunit.Ticks // time of the last refill

	tenants []tenantBreaker // oldest first
}

// tenantBreaker counts the faults in calls for one tenant's requests, and blocks the plug-in for that tenant.
type tenantBreaker struct {
	tenant            string
	consecutiveFaults int
	quarantineLength  timeunit.Ticks
	quarantineEnd     timeunit.Ticks
}

func newCircuitBreaker(random *rand.Rand, now timeunit.Ticks) *CircuitBreaker {
	return &CircuitBreaker{
		random:              random,
		activeSince:         now,
		coreBudget:          float64(timeunit.TicksPerSecond),
		coreBudgetUpdatedAt: now,
	}
}

// QuarantineEnd returns the time at which the last quarantine ends or ended.
func (b *CircuitBreaker) QuarantineEnd() timeunit.Ticks { return b.quarantineEnd }

// refillCoreBudget adds the core time that the policy grants for the time since the last refill. The budget is capped
// at what one second grants.
func (b *CircuitBreaker) refillCoreBudget(now timeunit.Ticks, policy *Policy) {
	refilled := b.coreBudget + float64(now-b.coreBudgetUpdatedAt)*policy.CoreFraction
	b.coreBudget = min(refilled, float64(timeunit.TicksPerSecond)*policy.CoreFraction)
	b.coreBudgetUpdatedAt = now
}

// allow reports whether the plug-in may be called now for a request of a tenant. If so, it counts the call. It also
// moves a plug-in whose quarantine has ended to probation.
func (b *CircuitBreaker) allow(tenant string, now timeunit.Ticks, policy *Policy) bool {
	b.refillCoreBudget(now, policy)
	if b.coreBudget <= 0 {
		return false
	}
	if b.State == StateQuarantined && now >= b.quarantineEnd {
		b.State = StateProbation
		b.successfulTrials = 0
	}
	if b.State == StateQuarantined || b.State == StateProbation && b.isTrialInFlight {
		return false
	}
	if breaker := b.tenantBreaker(tenant); breaker != nil && breaker.consecutiveFaults >= policy.MaxConsecutiveFaults {
		if now < breaker.quarantineEnd {
			return false
		}
		breaker.quarantineEnd = now + breaker.quarantineLength // one trial call for the tenant; the next has to wait
	}
	b.isTrialInFlight = b.State == StateProbation
	b.Calls++
	return true
}

// tenantBreaker returns the record of a tenant, or nil if there is none. The pointer is valid until a record is added
// or removed.
func (b *CircuitBreaker) tenantBreaker(tenant string) *tenantBreaker {
	for i := range b.tenants {
		if b.tenants[i].tenant == tenant {
			return &b.tenants[i]
		}
	}
	return nil
}

// endCall deducts the duration of a call from the core budget, and reports whether the call was a trial call during
// probation.
func (b *CircuitBreaker) endCall(elapsed, now timeunit.Ticks, policy *Policy) (wasTrial bool) {
	b.refillCoreBudget(now, policy)
	b.coreBudget -= float64(elapsed)
	wasTrial = b.State == StateProbation && b.isTrialInFlight
	b.isTrialInFlight = false
	return wasTrial
}

// recordSuccess records a call that ended with an accepted verdict. Probation ends after trialsToRecover successful
// trial calls.
func (b *CircuitBreaker) recordSuccess(tenant string, elapsed, now timeunit.Ticks, policy *Policy) {
	wasTrial := b.endCall(elapsed, now, policy)
	b.consecutiveFaults = 0
	b.sampledCalls = min(b.sampledCalls+1, minSampledCalls)
	b.faultRate -= b.faultRate * faultRateSmoothing
	b.removeTenantBreaker(tenant)
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

// recordFault records a call that ended in a fault, and reports whether the plug-in is quarantined because of it.
// FaultUnavailable is not counted, because the plug-in was not called. FaultProcessDied is never attributed to a
// tenant. With Policy.FaultsByTenant, any other fault of a call for a tenant counts against that tenant. It counts
// against the plug-in too if the plug-in is then blocked for at least blockedTenantsThreshold tenants.
func (b *CircuitBreaker) recordFault(
	tenant string, fault Fault, elapsed, now timeunit.Ticks, policy *Policy,
) (isQuarantined bool) {
	wasTrial := b.endCall(elapsed, now, policy)
	if fault == FaultUnavailable {
		return false
	}
	b.Faults[fault]++
	if policy.FaultsByTenant && fault != FaultProcessDied && tenant != "" && !b.recordTenantFault(tenant, now, policy) {
		return false
	}
	b.consecutiveFaults++
	b.sampledCalls = min(b.sampledCalls+1, minSampledCalls)
	b.faultRate += (1 - b.faultRate) * faultRateSmoothing
	if !wasTrial && (b.State != StateActive || !b.exceedsFaultLimits(policy)) {
		return false
	}
	b.quarantine(now, policy)
	return true
}

// exceedsFaultLimits reports whether the consecutive faults or the fault rate require a quarantine.
func (b *CircuitBreaker) exceedsFaultLimits(policy *Policy) bool {
	return b.consecutiveFaults >= policy.MaxConsecutiveFaults ||
		b.sampledCalls >= minSampledCalls && b.faultRate > policy.MaxFaultRate
}

// quarantine begins a quarantine, twice as long as the last one within the policy's bounds. Its end is jittered, so
// that the plug-ins of a fleet do not resume at the same time.
func (b *CircuitBreaker) quarantine(now timeunit.Ticks, policy *Policy) {
	if b.State == StateActive && now-b.activeSince > lengthResetFactor*max(b.quarantineLength, policy.MinQuarantine) {
		b.quarantineLength = 0
	}
	b.quarantineLength = policy.nextQuarantineLength(b.quarantineLength)
	jitter := timeunit.Ticks(b.random.Float64() * quarantineJitter * float64(b.quarantineLength))
	b.quarantineEnd = now + b.quarantineLength + jitter
	b.State = StateQuarantined
	b.consecutiveFaults = 0
	b.successfulTrials = 0
}

// nextQuarantineLength returns the length of the quarantine that follows one of the given length, which is 0 if there
// was none.
func (p *Policy) nextQuarantineLength(lastLength timeunit.Ticks) timeunit.Ticks {
	return min(max(p.MinQuarantine, 2*lastLength), p.MaxQuarantine)
}

// recordTenantFault counts a fault against the tenant whose request caused it, and blocks the plug-in for that tenant
// after too many faults in a row. It reports whether the fault also counts against the plug-in itself, because the
// plug-in is blocked for many tenants.
func (b *CircuitBreaker) recordTenantFault(tenant string, now timeunit.Ticks, policy *Policy) (isPluginFault bool) {
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
		breaker.quarantineLength = policy.nextQuarantineLength(breaker.quarantineLength)
		breaker.quarantineEnd = now + breaker.quarantineLength
	}
	blockedTenants := 0
	for i := range b.tenants {
		if b.tenants[i].consecutiveFaults >= policy.MaxConsecutiveFaults {
			blockedTenants++
		}
	}
	return blockedTenants >= blockedTenantsThreshold
}

// removeTenantBreaker removes the record of a tenant, if there is one.
func (b *CircuitBreaker) removeTenantBreaker(tenant string) {
	i := slices.IndexFunc(b.tenants, func(breaker tenantBreaker) bool { return breaker.tenant == tenant })
	if i >= 0 {
		b.tenants = slices.Delete(b.tenants, i, i+1)
	}
}
