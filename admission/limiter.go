package admission

import "thistlequay/timeunit"

// Constants of Algorithm 1. The paper's default of t_e is 0.25. With it the limit drifts up here: starts and
// answers of a full limiter are nearly the same count, so almost every experiment says grow (docs/design.md).
const (
	efficiencyThreshold     = 0.75  // t_e: least share of added starts that must come out as answers
	dropThreshold           = 1.0   // t_d: drops for each start above which the limit shrinks, as in the paper
	aggressiveness          = 0.001 // alpha: step of the limit for each router, as in the paper
	initialRoundTrip        = 1000  // RTT in ticks before any was measured: 100 ms, from the design page
	roundTripsPerExperiment = 4     // length of an experiment, of which the first round trip is not counted
	roundTripSmoothing      = smoothing / 2
)

// limiter is the concurrency limiter: the paper's credit pool, whose size is found by experiment (section
// 3.3, Algorithm 1). It bounds the requests in flight, those at a downstream call included.
//
// The paper's symbols are
//
//	C_avail           limit
//	s                 step, which is alpha times n_c, the number of connections (here routers), and at least 1
//	in_cur, in_last   started of the current and of the previous experiment
//	out_cur, out_last answered of the same
//	drop_cur          dropped of the current one: aborted requests and those whose deadline passed in the queue
//	RTT               roundTrip
//
// It differs from Algorithm 1 in four points. An experiment in which the limit bound no start, or that had no
// start, moves nothing. Counts are compared as rates, since the next experiment is shorter when the response
// time falls. Equal starts count as a fall of nothing and shrink. And the limit never falls below its floor,
// the cores.
type limiter struct {
	limit     float64
	floor     float64
	step      float64
	roundTrip float64 // running mean time from arrival to answer, in ticks
	inFlight  int     // requests that were started and whose runs have not ended

	current   experiment
	previous  experiment     // as rates
	countFrom timeunit.Ticks // counts begin anew here, one round trip into the experiment; 0 once they have
	endsAt    timeunit.Ticks
	wasFull   bool // the limit bound a start in the current experiment
}

// experiment is what one of the paper's micro-experiments counted; once it is over, counts for each tick.
type experiment struct {
	started  float64
	answered float64 // within the soft deadline, by requests whose clients are not known to have gone
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

// adjustLimit ends the current experiment when its time is over and moves the limit by one step, up or down.
func (l *limiter) adjustLimit(now timeunit.Ticks) {
	if l.countFrom > 0 && now >= l.countFrom {
		// A new limit takes one round trip to show in throughput: that is not counted.
		l.current = experiment{}
		l.countFrom = 0
	}
	if now < l.endsAt {
		return
	}
	span := (roundTripsPerExperiment - 1) * l.roundTrip
	rates := experiment{l.current.started / span, l.current.answered / span, l.current.dropped / span}
	if l.wasFull && rates.started > 0 {
		if l.mustShrink(rates) {
			l.limit = max(l.floor, l.limit-l.step)
		} else {
			l.limit += l.step
		}
	}
	l.previous = rates
	l.current = experiment{}
	l.wasFull = false
	l.countFrom = now + timeunit.Ticks(l.roundTrip)
	l.endsAt = now + timeunit.Ticks(roundTripsPerExperiment*l.roundTrip)
}

// mustShrink is the marginal test of Algorithm 1, lines 15 to 31: too many drops, or too small a part of the
// added starts came out as answers. Where starts fell, the fall of the answers is compared with the fall of
// the starts.
func (l *limiter) mustShrink(rates experiment) bool {
	more := rates.started - l.previous.started
	gained := rates.answered - l.previous.answered
	if more <= 0 {
		more = -more
		gained = -gained
	}
	return rates.dropped > dropThreshold*rates.started || gained <= efficiencyThreshold*more
}

// start counts a request that begins to run.
func (l *limiter) start() {
	l.inFlight++
	l.current.started++
}

// measureRoundTrip takes the time from the arrival of a request to its answer into the mean.
func (l *limiter) measureRoundTrip(took timeunit.Ticks) {
	smooth(&l.roundTrip, float64(took), roundTripSmoothing)
}
