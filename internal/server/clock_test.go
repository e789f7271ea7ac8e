package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// The server's clock advances evenly when the system clock is set back or forward.
func TestClockGoesOnEvenlyWhenSystemClockIsSet(t *testing.T) {
	clock := newClock()
	elapsed := time.Duration(0)
	system := time.UnixMicro(int64(clock.startedAt) * 100)
	clock.readClocks = func() (time.Time, time.Duration) { return system.Add(elapsed), elapsed }
	before := clock.now()
	for _, change := range []time.Duration{-time.Hour, 2 * time.Hour, -time.Millisecond * 500} {
		elapsed += time.Second
		system = system.Add(change)
		now := clock.now()
		require.Equal(t, before+second, now, "set by %v", change)
		require.Equal(t, timeunit.Ticks(system.Add(elapsed).UnixMicro()/100), now+clock.systemOffset)
		before = now
	}
}

// Routers send times by the current system clock. After the system clock was set, the server must convert them to its
// own clock.
func TestReceivedAtIsConvertedAfterSystemClockIsSet(t *testing.T) {
	server, _ := newRunningServer(t)
	router := connectRouter(server)
	server.clock.systemOffset = 3_600_000 // six minutes by which the routers' clocks are now ahead of the server's
	const id = "00000000000000c1"
	require.Empty(t, submitAttempt(t, server, router, id, "1364000", 10_050_000), "a new request before its deadline")
	require.NotNil(t, server.requests.byID[id])
	require.Equal(t, timeunit.Ticks(10_040_000), server.requests.byID[id].receivedAt)
}

// After a pause of the process, neither timers nor admission act until the sockets have been read again.
func TestSocketsAreReadBeforeTimersFireAfterPause(t *testing.T) {
	server, _ := newRunningServer(t)
	fired := 0
	server.setTimer(&timer{fire: func() { fired++ }}, server.now+1)
	server.now += pauseThreshold + 2
	server.fireTimers()
	require.True(t, server.deferAfterPause())
	require.Zero(t, fired)
	server.resumeAfterPause()
	require.False(t, server.deferAfterPause())
	require.Equal(t, 1, fired)
}
