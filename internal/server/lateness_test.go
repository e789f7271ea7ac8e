package server

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPeakLatenessFadesAfterTwoIntervals(t *testing.T) {
	var lateness peakLateness
	start := 1000 * second
	require.Zero(t, lateness.peak(start))
	lateness.add(start, 300)
	lateness.add(start+1, 20)
	require.EqualValues(t, 300, lateness.peak(start+2))
	require.EqualValues(t, 300, lateness.peak(start+latenessInterval))
	lateness.add(start+latenessInterval, 40)
	require.EqualValues(t, 40, lateness.peak(start+2*latenessInterval))
	require.Zero(t, lateness.peak(start+5*latenessInterval))
}

// The shutdown notice may have been sent earlier than it was handled, by as much as timers are late.
func TestNoticeMayHaveBeenSentBeforeWhatTheTimersShow(t *testing.T) {
	server := &Server{config: Config{ShutdownTimeout: 4 * second}, now: 1000 * second}
	require.Zero(t, server.measuredNoticeDelay())
	server.peakLateness.add(server.now, 30)
	require.EqualValues(t, 30, server.measuredNoticeDelay())
	server.setTimer(&timer{}, server.now-second/2) // overdue but not fired: the process has just resumed
	require.Equal(t, second/2, server.measuredNoticeDelay())
	server.now += 10 * second
	require.Equal(t, second, server.measuredNoticeDelay(), "at most a quarter of the shutdown timeout")
}
