package server

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// fakeSignal is a shutdown signal that the test delivers.
type fakeSignal struct{ isDelivered bool }

func (f *fakeSignal) IsDelivered() bool { return f.isDelivered }

// On a busy machine the goroutines that pass a delivered shutdown signal on may get a core 0.1 s after the event loop.
// The batches in between must not run requests of after the grace period, which counts from before the delivery.
func TestBatchesHeedADeliveredSignalBeforeItsGoroutinesRun(t *testing.T) {
	server, _ := newServerWithRun(t)
	router := connectRouter(server)
	server.config.ShutdownTimeout = 3 * second
	signal := &fakeSignal{}
	server.WatchShutdownSignal(signal)
	elapsed := time.Duration(0)
	server.clock = clock{startedAt: server.now, readClocks: func() (time.Time, time.Duration) {
		return time.Unix(1000, 0).Add(elapsed), elapsed
	}}
	server.beginBatch()
	require.NoError(t, server.endBatch(t.Context()))
	require.Equal(t, phaseReady, server.phase)
	notDeliveredAt := server.now

	const delay = 60 * time.Millisecond
	signal.isDelivered = true
	elapsed += delay
	server.beginBatch()
	require.Equal(t, phaseDraining, server.phase)
	require.LessOrEqual(t, server.noticeSentAt, notDeliveredAt)
	require.Equal(t, 3*second-timeunit.TicksOf(delay), server.killAt-server.now)
	late := strings.Replace(wholeRequest, firstID, intendedID, 1)
	feed(t, router, strings.Replace(late, "HTTP_ONCE_KEYk", "HTTP_ONCE_KEYl", 1))
	require.NoError(t, server.endBatch(t.Context()))
	require.NotContains(t, takeOutput(&server.interpreter.outputBuffer), runCommand)
	require.Nil(t, server.requests.byID[intendedID], "it is rejected")
}

// The age of a signal is limited by when it was not delivered yet, as seen by the event loop or the pause monitor.
func TestSignalWatchLimitsTheAgeOfTheSignal(t *testing.T) {
	signal := &fakeSignal{}
	watch := signalWatch{}
	require.False(t, watch.check(100), "there is no signal to look for")
	watch.signal = signal
	require.Zero(t, watch.maxAge(200), "not checked yet")
	require.False(t, watch.check(300))
	require.Zero(t, watch.maxAge(400), "not delivered yet")
	signal.isDelivered = true
	require.True(t, watch.check(500))
	require.EqualValues(t, 200, watch.maxAge(600))
}
