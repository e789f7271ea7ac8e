package quota

import "thistlequay/timeunit"

// burstDivisor sets the capacity of a token bucket: the bucket holds the tokens of 1/burstDivisor of a second.
const burstDivisor = 10

// tokenBucket limits units per second. It holds unused tokens of up to a tenth of a second, but at least one unit.
type tokenBucket struct {
	tokens     int64 // in thousandths of an Amount
	refilledAt timeunit.Milliseconds
	taken      Amount // since the last call of meanRate
}

// take refills the bucket at the given rate, takes one unit if available, and reports whether it did.
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

// meanRate returns the mean number of units taken per second over the given interval and resets the count.
func (b *tokenBucket) meanRate(interval timeunit.Milliseconds) demandMean {
	rate := b.taken * Amount(timeunit.MillisecondsPerSecond) / Amount(interval)
	b.taken = 0
	return demandMean{units: float64(rate) / float64(Unit), required: rate, maxDesired: 2 * max(rate, Unit)}
}
