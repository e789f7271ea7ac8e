package admission

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// window is what one experiment counts.
type window struct {
	started, answered, dropped float64
	full                       bool // the limit bound a start
}

// playExperiments has a limiter of 4 cores and step 2 run one experiment after the other and returns its limits.
func playExperiments(experiments ...window) (limits []float64) {
	l := newLimiter(4, 2000)
	l.limit = 10
	l.advance(0)
	now := timeunit.Ticks(0)
	for _, w := range experiments {
		l.current.started = 1e6 // of the first round trip: not counted
		now += initialRoundTrip
		l.advance(now)
		l.current = experiment{started: w.started, answered: w.answered, dropped: w.dropped}
		l.wasFull = w.full
		now += (roundTripsPerExperiment - 1) * initialRoundTrip
		l.advance(now)
		limits = append(limits, l.limit)
	}
	return limits
}

func TestLimiterGrowsWhileAddedStartsAreAnswered(t *testing.T) {
	require.Equal(t, []float64{12, 14}, playExperiments(window{100, 100, 0, true}, window{120, 116, 0, true}))
}

func TestLimiterShrinksWhenAddedStartsAreNotAnswered(t *testing.T) {
	require.Equal(t, []float64{12, 10}, playExperiments(window{100, 100, 0, true}, window{120, 114, 0, true}))
}

func TestLimiterGrowsAgainWhenThroughputFallsWithStarts(t *testing.T) {
	require.Equal(t, []float64{12, 14}, playExperiments(window{100, 100, 0, true}, window{80, 80, 0, true}))
}

func TestLimiterShrinksWhenThroughputHoldsWithFewerStarts(t *testing.T) {
	require.Equal(t, []float64{12, 10}, playExperiments(window{100, 100, 0, true}, window{80, 95, 0, true}))
}

func TestLimiterShrinksWhenMoreIsDroppedThanStarted(t *testing.T) {
	require.Equal(t, []float64{8}, playExperiments(window{100, 100, 101, true}))
}

func TestLimiterStaysWhereItBoundNoStart(t *testing.T) {
	require.Equal(t, []float64{10, 10}, playExperiments(window{100, 0, 0, false}, window{0, 0, 0, true}))
}

func TestLimiterStaysAtItsFloor(t *testing.T) {
	bad := window{100, 0, 0, true}
	require.Equal(t, []float64{8, 6, 4, 4}, playExperiments(bad, bad, bad, bad))
}
