package quota

import (
	"math"

	"thistlequay/timeunit"
)

// requiredDecayDivisor is the divisor that sets how fast the required amount decays: it falls by at most a third per
// request, so that leases do not oscillate with each burst.
const requiredDecayDivisor = 3

// demandMeter measures a server's usage of a limit between two requests and estimates the demand to report in the next
// request.
type demandMeter struct {
	inUse       Amount
	waiting     Amount // for capacity
	peakInUse   Amount // since the last request
	wasRejected bool   // an acquisition or a token was rejected since the last request

	usageIntegral int64 // integral of inUse plus waiting over the time since the last request
	updatedAt     timeunit.Milliseconds
	periodStart   timeunit.Milliseconds

	smoothedRequired Amount
}

// accumulate adds the usage up to now to the integral. It must be called before inUse or waiting changes.
func (m *demandMeter) accumulate(now timeunit.Milliseconds) {
	if now > m.updatedAt {
		m.usageIntegral += int64(m.inUse+m.waiting) * int64(now-m.updatedAt)
		m.updatedAt = now
	}
}

// setInUse sets the amount in use and updates its peak. accumulate must be called first, so that the previous amount
// counts up to now.
func (m *demandMeter) setInUse(inUse Amount) {
	m.inUse = inUse
	m.peakInUse = max(m.peakInUse, inUse)
}

// demandMean is the mean usage of a limit over one measurement period.
type demandMean struct {
	units      float64 // the mean in units
	required   Amount  // the mean as an amount
	maxDesired Amount  // upper bound: twice the usage, as a server cannot know how much more it could use
}

func (m *demandMeter) mean(now timeunit.Milliseconds) demandMean {
	units := float64(m.usageIntegral) / float64(max(1, now-m.periodStart)) / float64(Unit)
	maxDesired := 2 * max(m.peakInUse, Unit)
	return demandMean{units: units, required: min(maxDesired, Amount(units*float64(Unit))), maxDesired: maxDesired}
}

// estimate returns the required amount, which the server is certain to use, and the desired amount. Both include the
// guaranteed minimum. The desired amount exceeds the mean by its square root to cover random bursts. If an acquisition
// or a token was rejected in the period, the desired amount is the largest demand that may be reported.
func (m *demandMeter) estimate(mean demandMean) (required, desired Amount) {
	required = mean.required
	desired = required + Amount(math.Sqrt(mean.units)*float64(Unit))
	if m.wasRejected {
		required = max(required, m.peakInUse+Unit)
		desired = mean.maxDesired
	}
	m.smoothedRequired = max(required, m.smoothedRequired-m.smoothedRequired/requiredDecayDivisor)
	return m.smoothedRequired, max(m.smoothedRequired, desired)
}

// startPeriod starts the measurement period for the next request.
func (m *demandMeter) startPeriod(now timeunit.Milliseconds) {
	m.usageIntegral = 0
	m.periodStart = now
	m.peakInUse = m.inUse
	m.wasRejected = false
}
