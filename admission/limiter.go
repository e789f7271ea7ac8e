package admission

import "thistlequay/timeunit"

// Constants of Algorithm 1. The paper's default of t_e is 0.25. With that default the limit drifts up here: a limiter
// at its limit has nearly equal numbers of starts and answers, so almost every experiment raises it (docs/design.md).
const (
	efficiencyThreshold     = 0.75  // t_e: smallest fraction of the added starts that must be answered
	dropThreshold           = 1.0   // t_d: drops per start above which the limit is lowered, as in the paper
	aggressiveness          = 0.001 // alpha: step of the limit per router, as in the paper
	initialRoundTrip        = 1000  // RTT in ticks before the first measurement: 100 ms (docs/design.md)
	roundTripsPerExperiment = 4     // length of an experiment; the first round trip is not counted
	roundTripSmoothing      = smoothingFactor / 2
)

// limiter is the concurrency limiter: the paper's credit pool, whose size is found by experiment (section 3.3,
// Algorithm 1). It limits the requests in flight, including those that wait for a downstream call.
//
// The paper's symbols correspond to
//
//	C_avail           limit
//	s                 step: alpha times n_c, the number of connections (here routers), and at least 1
//	in_cur, in_last   started of the current and of the previous experiment
//	out_cur, out_last answered of the same experiments
//	drop_cur          dropped of the current experiment: aborted requests, and those that timed out in the queue
//	RTT               roundTrip
//
// It differs from Algorithm 1 in four points. An experiment without starts, or in which the limit delayed no start,
// does not change the limit. Counts are compared as rates, since the next experiment is shorter when response times
// fall. An equal rate of starts is treated as a decrease by zero, so the limit shrinks unless the rate of answers fell.
// The limit never falls below its floor, the number of cores.
type limiter struct {
	limit     float64
	floor     float64
	step      float64
	roundTrip float64 // running mean of the time from arrival to answer, in ticks
	inFlight  int     // requests that were started and whose runs have not ended

	current          experiment
	previous         experiment     // counts per tick
	countingStartsAt timeunit.Ticks // when counting starts, one round trip into the experiment; 0 once it has started
	endsAt           timeunit.Ticks
	wasFull          bool // the limit delayed a start in the current experiment
}

// experiment holds the counts of one of the paper's micro-experiments or, once it is over, the counts per tick.
type experiment struct {
	started  float64
	answered float64 // within the soft deadline, and not cancelled
	dropped  float64
}

func newLimiter(cores, routers float64) limiter {
	return limiter{
		limit:     cores,
		floor:     cores,
		step:      max(1, aggressiveness*routers),
		roundTrip: initialRoundTrip,
	}
}

// adjustLimit ends the current experiment once its time is over and changes the limit by one step.
func (l *limiter) adjustLimit(now timeunit.Ticks) {
	if l.countingStartsAt > 0 && now >= l.countingStartsAt {
		// The effect of a new limit on throughput is delayed by one round trip, which is therefore not counted.
		l.current = experiment{}
		l.countingStartsAt = 0
	}
	if now < l.endsAt {
		return
	}
	interval := (roundTripsPerExperiment - 1) * l.roundTrip
	rates := experiment{l.current.started / interval, l.current.answered / interval, l.current.dropped / interval}
	if l.wasFull && rates.started > 0 {
		if l.shouldLowerLimit(rates) {
			l.limit = max(l.floor, l.limit-l.step)
		} else {
			l.limit += l.step
		}
	}
	l.previous = rates
	l.current = experiment{}
	l.wasFull = false
	l.countingStartsAt = now + timeunit.Ticks(l.roundTrip)
	l.endsAt = now + timeunit.Ticks(roundTripsPerExperiment*l.roundTrip)
}

// shouldLowerLimit is the marginal test of Algorithm 1, lines 15 to 31. It reports whether there were too many drops,
// or too small a fraction of the added starts was answered. If the starts decreased, the limit is lowered if the
// answers decreased by at most efficiencyThreshold times as much: then the smaller number of starts cost little
// throughput.
func (l *limiter) shouldLowerLimit(rates experiment) bool {
	addedStarts := rates.started - l.previous.started
	addedAnswers := rates.answered - l.previous.answered
	if addedStarts <= 0 {
		addedStarts = -addedStarts
		addedAnswers = -addedAnswers
	}
	return rates.dropped > dropThreshold*rates.started || addedAnswers <= efficiencyThreshold*addedStarts
}

// countStart counts a request that starts to run.
func (l *limiter) countStart() {
	l.inFlight++
	l.current.started++
}

// measureRoundTrip updates the mean with the time from the arrival of a request to its answer.
func (l *limiter) measureRoundTrip(elapsed timeunit.Ticks) {
	updateMean(&l.roundTrip, float64(elapsed), roundTripSmoothing)
}
