package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

func TestPauseMonitorMeasuresRecordedAndUnnoticedPauses(t *testing.T) {
	var monitor pauseMonitor
	now := 1000 * second
	require.Zero(t, monitor.longestPause(now), "before the first tick")
	tickAfter := func(delay timeunit.Ticks) {
		now += delay
		monitor.tick(now)
	}
	tickAfter(0)
	tickAfter(pauseMonitorInterval)
	require.Zero(t, monitor.longestPause(now))
	now += pauseMonitorInterval + 700
	require.EqualValues(t, 700, monitor.longestPause(now), "not noticed yet")
	require.EqualValues(t, 700, monitor.pauseJustEnded(now, 0), "not noticed yet")
	tickAfter(0)
	require.EqualValues(t, 700, monitor.longestPause(now))
	tickAfter(pauseMonitorInterval + 300) // a shorter pause hides the longer one only as the last one
	require.EqualValues(t, 700, monitor.longestPause(now))
	require.EqualValues(t, 300, monitor.pauseJustEnded(now, 0))
	now += pauseMonitorInterval
	require.Zero(t, monitor.pauseJustEnded(now, pauseMonitorInterval-1))
	monitor.nextTickAt.Store(int64(now + 10*second))
	require.Zero(t, monitor.longestPause(now+pauseMemory-1), "forgotten")
}
