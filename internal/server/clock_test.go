package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// The system's clock is set, an hour back or ahead: the app's own time goes on evenly, and what a router says by the new
// clock is understood by it.
func TestClockGoesOnEvenlyWhenSystemClockIsSet(t *testing.T) {
	c := newClock()
	even, set := time.Duration(0), time.UnixMicro(int64(c.startedAt)*100)
	c.readSystem = func() (time.Time, time.Duration) { return set.Add(even), even }
	before := c.now()
	for _, by := range []time.Duration{-time.Hour, 2 * time.Hour, -time.Millisecond * 500} {
		even += time.Second
		set = set.Add(by)
		now := c.now()
		require.Equal(t, before+second, now, "set by %v", by)
		require.Equal(t, timeunit.Ticks(set.Add(even).UnixMicro()/100), now+c.systemOffset)
		before = now
	}
	a, _ := newRunningServer(t)
	r := connectRouter(a)
	a.clock.systemOffset = 3_600_000 // six minutes: routers' stamps are by so much ahead of the app's time by now
	require.Empty(t, submitAttempt(t, a, r, "00000000000000c1", "1364000", 10_050_000), "a new one, in time")
	require.NotNil(t, a.requests.byID["00000000000000c1"])
	require.Equal(t, timeunit.Ticks(10_040_000), a.requests.byID["00000000000000c1"].receivedAt)
}

// After a standstill neither alarms nor the module speak before the sockets have been read once more.
func TestSocketsAreReadBeforeTimersFireAfterStandstill(t *testing.T) {
	a, _ := newRunningServer(t)
	a.loop = idleLoop{}
	rang := 0
	a.setTimer(&timer{fire: func() { rang++ }}, a.now+1)
	a.now += standstillThreshold + 2
	a.fireTimers()
	require.True(t, a.awaitingSockets())
	require.Zero(t, rang)
	a.resumeAfterStandstill()
	require.False(t, a.awaitingSockets())
	require.Equal(t, 1, rang)
}
