package admission

import (
	"math"

	"thistlequay/timeunit"
)

// Constants of turns. The first two follow from what is asked of a fleet that shares a dependency which
// survives N calls: it may double, and all servers together must stay within N + 2 root N + 2. The others are
// ours.
const (
	maxFleetGrowth      = 2 // times the size announced that a fleet may grow to
	allowedDeviations   = 5 // standard deviations that calls of many servers, each in its own turns, stay within
	turnFractionStep    = 0.005
	minTurnFraction     = 0.01
	maxConfidence       = 8
	confidenceToRoundUp = 4
	confidenceGained    = 5 // by a call that succeeded, after what each call takes away
	confidenceLost      = 4 // by any call
)

// turns decides when this server may make the last call of a limit that is no whole number. No mean knows
// what other servers do at this moment, and all of them may begin, or come back, at once: if all rounded up
// together the dependency, cold or just recovered, would be called by too many. So each server rounds up in
// turns that its TurnOffset spreads: always, where few calls come of it if all do so, or while calls go well
// and quickly. It does harm where calls outlast a turn: they are abandoned.
type turns struct {
	offset      float64 // from 0 to 1, another on each server
	length      float64 // of a whole round while calls are quick, in ticks
	fleetSize   float64
	fraction    float64 // of a round that is this server's turn
	fractionFor float64 // downstream limit times fleet size that fraction was worked out for
	confidence  int     // confidenceToRoundUp or more after a success; four in a row outlast a failure
}

func newTurns(config *Config, shortest timeunit.Ticks) turns {
	return turns{
		offset:    config.TurnOffset,
		length:    max(1, float64(shortest)/2),
		fleetSize: float64(max(1, config.Servers)),
	}
}

// until is until when the call may be in flight; now or earlier means not at all. withEffects says that it
// must not be abandoned, so that it must fit twice.
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
		need /= 2 // an abandoned call can be made again
	}
	// Time in turns: the first of each round is this server's.
	at := math.Mod(float64(now)/length*t.fraction+t.offset, 1) / t.fraction
	left := (1-at)*length - float64(downstream.abandonedTime)
	if left > need {
		return now + timeunit.Ticks(left)
	}
	return now
}

// setFraction finds the largest fraction with which neither this fleet nor a grown one has too many calls in
// flight.
func (t *turns) setFraction(limit float64) {
	t.fraction = 1
	grown := t.fleetSize * maxFleetGrowth
	for t.fraction > minTurnFraction && (t.exceeds(limit, t.fleetSize) || t.exceeds(limit, grown)) {
		t.fraction -= turnFractionStep
	}
	t.fractionFor = limit * t.fleetSize
}

// exceeds says whether so many servers may have too many calls in flight, if each rounds up for this
// fraction.
func (t *turns) exceeds(limit, servers float64) bool {
	survives := limit / downstreamMargin * servers
	whole := math.Floor(limit)
	return servers*(whole+t.fraction)+allowedDeviations*math.Sqrt(servers*t.fraction*(1-t.fraction)) >
		survives+2*math.Sqrt(survives)+1
}

// gainConfidence books how a call ended.
func (t *turns) gainConfidence(succeeded bool) {
	t.confidence = max(0, t.confidence-confidenceLost)
	if succeeded {
		t.confidence = min(maxConfidence, t.confidence+confidenceGained)
	}
}
