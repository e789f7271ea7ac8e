package admission

import (
	"math"

	"thistlequay/timeunit"
)

// Constants of turns. The first two follow from the requirement for a fleet that shares a dependency which can sustain
// N calls: the fleet may double in size, and all servers together must not exceed N + 2 sqrt(N) + 2 calls.
const (
	maxFleetGrowth      = 2 // a fleet may grow to this multiple of its announced size
	allowedDeviations   = 5 // standard deviations within which the calls of many servers with independent turns stay
	turnFractionStep    = 0.005
	minTurnFraction     = 0.01
	maxConfidence       = 8
	confidenceToRoundUp = 4
	confidenceGained    = 5 // after a call that succeeded, in addition to confidenceLost
	confidenceLost      = 4 // after any call
)

// turns decides when this server may round its limit up and make one more call, if the limit is not an integer. The
// mean number of calls does not show what other servers do at this moment, and all servers may start or recover at
// once. If all of them rounded up together, a dependency that is cold or has just recovered would receive too many
// calls. So each server rounds up only in its turns, which TurnOffset distributes over time. A server always rounds up
// if few additional calls result when all servers do, or while calls are fast and succeed. The cost is that calls that
// last longer than a turn are abandoned.
type turns struct {
	offset      float64 // from 0 to 1, different on each server
	length      float64 // length of a round while calls are quick, in ticks
	fleetSize   float64
	fraction    float64 // fraction of a round that is this server's turn
	fractionFor float64 // downstream limit times fleet size for which fraction was computed
	confidence  int     // one success reaches confidenceToRoundUp; four in a row outlast a failure
}

func newTurns(config *Config, shortest timeunit.Ticks) turns {
	return turns{
		offset:    config.TurnOffset,
		length:    max(1, float64(shortest)/2),
		fleetSize: float64(max(1, config.Servers)),
	}
}

// until returns the time until which the call may be in flight; now or earlier means that no call may be made.
// withEffects states that the call must not be abandoned, so that it needs twice as much time.
func (t *turns) until(now timeunit.Ticks, downstream *downstream, withEffects bool) timeunit.Ticks {
	if t.fractionFor != downstream.limit*t.fleetSize {
		t.setFraction(downstream.limit)
	}
	length := max(t.length*t.fraction, 2*float64(downstream.abandonedTime))
	need := slowCallFactor * downstream.recentTime
	if t.fraction == 1 || t.confidence >= confidenceToRoundUp && need <= t.length*t.fraction {
		return noDeadline
	}
	for length < need {
		length *= 2
	}
	if !withEffects {
		need /= 2 // an abandoned call without side effects can be made again
	}
	// Count time in turns: the first turn of each round is this server's.
	at := math.Mod(float64(now)/length*t.fraction+t.offset, 1) / t.fraction
	left := (1-at)*length - float64(downstream.abandonedTime)
	if left > need {
		return now + timeunit.Ticks(left)
	}
	return now
}

// setFraction computes the largest fraction with which neither this fleet nor one grown by maxFleetGrowth has too many
// calls in flight.
func (t *turns) setFraction(limit float64) {
	t.fraction = 1
	grown := t.fleetSize * maxFleetGrowth
	for t.fraction > minTurnFraction && (t.exceeds(limit, t.fleetSize) || t.exceeds(limit, grown)) {
		t.fraction -= turnFractionStep
	}
	t.fractionFor = limit * t.fleetSize
}

// exceeds reports whether this number of servers may have too many calls in flight if each rounds up for the current
// fraction of the time.
func (t *turns) exceeds(limit, servers float64) bool {
	survives := limit / downstreamMargin * servers
	whole := math.Floor(limit)
	return servers*(whole+t.fraction)+allowedDeviations*math.Sqrt(servers*t.fraction*(1-t.fraction)) >
		survives+2*math.Sqrt(survives)+1
}

// gainConfidence updates the confidence when a call ends.
func (t *turns) gainConfidence(succeeded bool) {
	t.confidence = max(0, t.confidence-confidenceLost)
	if succeeded {
		t.confidence = min(maxConfidence, t.confidence+confidenceGained)
	}
}
