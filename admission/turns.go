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
	offset           float64 // from 0 to 1, different on each server
	roundLength      float64 // length of a round while calls are quick, in ticks
	fleetSize        float64
	turnFraction     float64 // fraction of a round that is this server's turn
	computedForLimit float64 // downstream limit times fleet size for which turnFraction was computed
	confidence       int     // one success reaches confidenceToRoundUp; four in a row outlast a failure
}

func newTurns(config *Config, shortestSoftDeadline timeunit.Ticks) turns {
	return turns{
		offset:      config.TurnOffset,
		roundLength: max(1, float64(shortestSoftDeadline)/2),
		fleetSize:   float64(max(1, config.Servers)),
	}
}

// allowedUntil returns the time until which the call may be in flight; now or earlier means that no call may be made.
// hasSideEffects states that the call must not be abandoned, so that it needs twice as much time.
func (t *turns) allowedUntil(now timeunit.Ticks, downstream *downstream, hasSideEffects bool) timeunit.Ticks {
	if t.computedForLimit != downstream.limit*t.fleetSize {
		t.computeTurnFraction(downstream.limit)
	}
	turnLength := max(t.roundLength*t.turnFraction, 2*float64(downstream.abandonedTime))
	requiredTime := slowCallFactor * downstream.recentTime
	if t.turnFraction == 1 || t.confidence >= confidenceToRoundUp && requiredTime <= t.roundLength*t.turnFraction {
		return noDeadline
	}
	for turnLength < requiredTime {
		turnLength *= 2
	}
	if !hasSideEffects {
		requiredTime /= 2 // an abandoned call without side effects can be made again
	}
	// Count time in turns: the first turn of each round is this server's.
	position := math.Mod(float64(now)/turnLength*t.turnFraction+t.offset, 1) / t.turnFraction
	remaining := (1-position)*turnLength - float64(downstream.abandonedTime)
	if remaining > requiredTime {
		return now + timeunit.Ticks(remaining)
	}
	return now
}

// computeTurnFraction computes the largest fraction with which neither this fleet nor one grown by maxFleetGrowth has
// too many calls in flight.
func (t *turns) computeTurnFraction(limit float64) {
	t.turnFraction = 1
	grownFleetSize := t.fleetSize * maxFleetGrowth
	for t.turnFraction > minTurnFraction &&
		(t.mayExceedLimit(limit, t.fleetSize) || t.mayExceedLimit(limit, grownFleetSize)) {
		t.turnFraction -= turnFractionStep
	}
	t.computedForLimit = limit * t.fleetSize
}

// mayExceedLimit reports whether this number of servers may have too many calls in flight if each rounds up for the
// current fraction of the time.
func (t *turns) mayExceedLimit(limit, servers float64) bool {
	sustainableCalls := limit / downstreamMargin * servers
	wholeCalls := math.Floor(limit)
	return servers*(wholeCalls+t.turnFraction)+allowedDeviations*math.Sqrt(servers*t.turnFraction*(1-t.turnFraction)) >
		sustainableCalls+2*math.Sqrt(sustainableCalls)+1
}

// updateConfidence updates the confidence when a call ends.
func (t *turns) updateConfidence(succeeded bool) {
	t.confidence = max(0, t.confidence-confidenceLost)
	if succeeded {
		t.confidence = min(maxConfidence, t.confidence+confidenceGained)
	}
}
