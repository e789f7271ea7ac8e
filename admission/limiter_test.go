package admission

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// experimentCounts holds the counts of one experiment.
type experimentCounts struct {
	started  float64
	answered float64
	dropped  float64
	wasFull  bool // the limit delayed a start
}

// runExperiments runs a limiter with 4 cores and step 2 through the experiments and returns the limit after each.
func runExperiments(experiments []experimentCounts) (limits []float64) {
	limiter := newLimiter(4, 2000)
	limiter.limit = 10
	limiter.adjustLimit(0)
	now := timeunit.Ticks(0)
	for _, counts := range experiments {
		limiter.current.started = 1e6 // counted in the first round trip, so ignored
		now += initialRoundTrip
		limiter.adjustLimit(now)
		limiter.current = experiment{started: counts.started, answered: counts.answered, dropped: counts.dropped}
		limiter.wasFull = counts.wasFull
		now += (roundTripsPerExperiment - 1) * initialRoundTrip
		limiter.adjustLimit(now)
		limits = append(limits, limiter.limit)
	}
	return limits
}

func TestLimiterFollowsThroughput(t *testing.T) {
	answered := experimentCounts{100, 100, 0, true}
	unanswered := experimentCounts{100, 0, 0, true}
	for _, test := range []struct {
		name        string
		experiments []experimentCounts
		limits      []float64
	}{
		{"grows while added starts are answered",
			[]experimentCounts{answered, {120, 116, 0, true}}, []float64{12, 14}},
		{"shrinks when added starts are not answered",
			[]experimentCounts{answered, {120, 114, 0, true}}, []float64{12, 10}},
		{"grows again when throughput falls with starts",
			[]experimentCounts{answered, {80, 80, 0, true}}, []float64{12, 14}},
		{"shrinks when throughput holds with fewer starts",
			[]experimentCounts{answered, {80, 95, 0, true}}, []float64{12, 10}},
		{"shrinks when more is dropped than started", []experimentCounts{{100, 100, 101, true}}, []float64{8}},
		{"does not change if it delayed no start",
			[]experimentCounts{{100, 0, 0, false}, {0, 0, 0, true}}, []float64{10, 10}},
		{"stops at its floor",
			[]experimentCounts{unanswered, unanswered, unanswered, unanswered}, []float64{8, 6, 4, 4}},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.limits, runExperiments(test.experiments))
		})
	}
}
