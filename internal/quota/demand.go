package quota

import (
	"math"

	"thistlequay/timeunit"
)

// requiredDecay is the divisor of what the required amount falls by from one request to the next, so that leases do
// not swing with each burst.
const requiredDecay = 3

// demandMeter measures what a server uses of a limit between two requests, and estimates from that what it should ask
// for.
type demandMeter struct {
	inUse     Amount
	waiting   Amount // for room
	peakInUse Amount // since the last request
	ranShort  bool   // something was rejected since the last request

	usageIntegral int64 // of inUse and waiting over the time since the last request
	updatedAt     timeunit.Milliseconds
	periodStart   timeunit.Milliseconds

	smoothedRequired Amount
}

// accumulate adds what was in use and waiting until now. It must be called before either changes.
func (m *demandMeter) accumulate(now timeunit.Milliseconds) {
	if now > m.updatedAt {
		m.usageIntegral += int64(m.inUse+m.waiting) * int64(now-m.updatedAt)
		m.updatedAt = now
	}
}

func (m *demandMeter) setInUse(inUse Amount) {
	m.inUse = inUse
	m.peakInUse = max(m.peakInUse, inUse)
}

// demandMean is the mean of what was in use in a period, in units, and as the amount that is required by it.
type demandMean struct {
	units    float64
	required Amount
	most     Amount // that is asked for: how much more it could use the server cannot know, so it is twice what it used
}

func (m *demandMeter) mean(now timeunit.Milliseconds) demandMean {
	units := float64(m.usageIntegral) / float64(max(1, now-m.periodStart)) / float64(Unit)
	most := 2 * max(m.peakInUse, Unit)
	return demandMean{units: units, required: min(most, Amount(units*float64(Unit))), most: most}
}

// estimate gives what the server surely needs and what it would like to have, its guaranteed minimum included. Beyond
// the mean the root of it is desired, for the bursts that chance makes; after something was rejected all that may be
// asked for.
func (m *demandMeter) estimate(mean demandMean) (required, desired Amount) {
	required = mean.required
	desired = required + Amount(math.Sqrt(mean.units)*float64(Unit))
	if m.ranShort {
		required = max(required, m.peakInUse+Unit)
		desired = mean.most
	}
	m.smoothedRequired = max(required, m.smoothedRequired-m.smoothedRequired/requiredDecay)
	return m.smoothedRequired, max(m.smoothedRequired, desired)
}

// startPeriod begins the measurement for the next request.
func (m *demandMeter) startPeriod(now timeunit.Milliseconds) {
	m.usageIntegral = 0
	m.periodStart = now
	m.peakInUse = m.inUse
	m.ranShort = false
}
