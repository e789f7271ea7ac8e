package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// The system clock is set an hour back or ahead: the server's own time goes on evenly.
func TestClockGoesOnEvenlyWhenSystemClockIsSet(t *testing.T) {
	clock := newClock()
	elapsed := time.Duration(0)
	system := time.UnixMicro(int64(clock.startedAt) * 100)
	clock.readSystem = func() (time.Time, time.Duration) { return system.Add(elapsed), elapsed }
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

// Times from routers are by the system clock as it is set now; the server converts them to its own time.
func TestReceivedAtIsConvertedAfterSystemClockIsSet(t *testing.T) {
	server, _ := newRunningServer(t)
	router := connectRouter(server)
	server.clock.systemOffset = 3_600_000 // six minutes: routers' times are so much ahead of the server's now
	const id = "00000000000000c1"
	require.Empty(t, submitAttempt(t, server, router, id, "1364000", 10_050_000), "a new request, in time")
	require.NotNil(t, server.requests.byID[id])
	require.Equal(t, timeunit.Ticks(10_040_000), server.requests.byID[id].receivedAt)
}

// After a standstill neither timers nor admission act before the sockets have been read again.
func TestSocketsAreReadBeforeTimersFireAfterStandstill(t *testing.T) {
	server, _ := newRunningServer(t)
	fired := 0
	server.setTimer(&timer{fire: func() { fired++ }}, server.now+1)
	server.now += standstillThreshold + 2
	server.fireTimers()
	require.True(t, server.awaitingSockets())
	require.Zero(t, fired)
	server.resumeAfterStandstill()
	require.False(t, server.awaitingSockets())
	require.Equal(t, 1, fired)
}
