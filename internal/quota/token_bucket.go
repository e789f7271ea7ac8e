package quota

import "thistlequay/timeunit"

// burstDivisor is the part of a second whose unused units a token bucket keeps.
const burstDivisor = 10

// tokenBucket limits units per second. Unused units are kept for a tenth of a second, and one unit at least.
type tokenBucket struct {
	tokens     int64 // in thousandths of an Amount
	refilledAt timeunit.Milliseconds
	taken      Amount // since the last request
}

// take refills the bucket at a rate, then takes one unit and reports whether there was one.
func (b *tokenBucket) take(rate Amount, now timeunit.Milliseconds) bool {
	const unit = int64(Unit) * int64(timeunit.MillisecondsPerSecond)
	refill := int64(rate) * int64(max(0, now-b.refilledAt))
	capacity := max(unit, int64(rate)*int64(timeunit.MillisecondsPerSecond)/burstDivisor)
	b.tokens = min(b.tokens+refill, capacity)
	b.refilledAt = now
	if b.tokens < unit {
		return false
	}
	b.tokens -= unit
	b.taken += Unit
	return true
}

// meanRate gives what was taken per second since the last request, and begins to count anew.
func (b *tokenBucket) meanRate(interval timeunit.Milliseconds) demandMean {
	perSecond := b.taken * Amount(timeunit.MillisecondsPerSecond) / Amount(interval)
	b.taken = 0
	return demandMean{units: float64(perSecond) / float64(Unit), required: perSecond, most: 2 * max(perSecond, Unit)}
}
