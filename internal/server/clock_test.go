package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// The system's clock is set, an hour back or ahead: the server's own time goes on evenly, and what a router says by the
// new clock is understood by it.
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
	s, _ := newRunningServer(t)
	router := connectRouter(s)
	s.clock.systemOffset = 3_600_000 // six minutes: routers' times are by so much ahead of the server's now
	const id = "00000000000000c1"
	require.Empty(t, submitAttempt(t, s, router, id, "1364000", 10_050_000), "a new one, in time")
	require.NotNil(t, s.requests.byID[id])
	require.Equal(t, timeunit.Ticks(10_040_000), s.requests.byID[id].receivedAt)
}

// After a standstill neither timers nor admission act before the sockets have been read once more.
func TestSocketsAreReadBeforeTimersFireAfterStandstill(t *testing.T) {
	s, _ := newRunningServer(t)
	s.loop = idleLoop{}
	fired := 0
	s.setTimer(&timer{fire: func() { fired++ }}, s.now+1)
	s.now += standstillThreshold + 2
	s.fireTimers()
	require.True(t, s.awaitingSockets())
	require.Zero(t, fired)
	s.resumeAfterStandstill()
	require.False(t, s.awaitingSockets())
	require.Equal(t, 1, fired)
}
