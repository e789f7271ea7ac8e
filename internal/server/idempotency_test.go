package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

const successResponse = "Status: 200 OK\r\n\r\nx"

// endRun makes the interpreter report a successful end of a run.
func endRun(t *testing.T, server *Server, id string) {
	t.Helper()
	server.interpreter.lastNotice = 0
	notify(t, server, `{"type":"VALUE","n":1,"job":"%s","state":"OK","took":5,"data":"eA=="}`, id)
}

// A retry is matched by the time at which it was received, however late it is read. An entry expires together with its
// result and without a periodic sweep, so the idempotency table does not grow.
func TestRepeatIsMatchedByWhenItWasReceived(t *testing.T) {
	server, router := newRunningServer(t)
	endRun(t, server, firstID)
	require.Contains(t, string(router.output), successResponse)
	const retryID = "00000000000000ab"
	require.Contains(t, submitAttempt(t, server, router, retryID, "1004999", 10_060_000), successResponse,
		"received within the window, read after it")
	require.Empty(t, submitAttempt(t, server, router, retryID, "1005100", 10_060_000), "received after it: another run")
	require.Len(t, server.requests.entries, 1)
	require.True(t, server.requests.byID[retryID].runStarted)
}

// A deduplication window starts at Received-At, even if that router's clock is ahead. A retry from a router whose clock
// is ahead counts as received when it was read. Both clocks are ahead by almost one second here.
func TestDeduplicationWindowAllowsForRouterClocksAhead(t *testing.T) {
	server, router := newRunningServer(t) // received at 1,000,000 ms, with a window of 5,000 ms
	endRun(t, server, firstID)
	require.Contains(t, submitAttempt(t, server, router, "00000000000000a1", "1005900", 10_049_900), "200 OK",
		"ahead by 910 ms, read within the window")
	require.Empty(t, submitAttempt(t, server, router, "00000000000000a2", "1006950", 10_060_000),
		"read after the window, with a clock that is ahead by 950 ms: another run")
	endRun(t, server, "00000000000000a2")
	require.Contains(t, submitAttempt(t, server, router, "00000000000000a3", "1011900", 10_119_000), "200 OK",
		"within 5,000 ms of 1006950")
	require.Empty(t, submitAttempt(t, server, router, "00000000000000a4", "1011970", 10_119_700), "after the window")
}

// A run may last longer than its deduplication window. Retries that wait for its result then keep waiting.
func TestRepeatWaitsForRunBeyondItsWindow(t *testing.T) {
	server, router := newRunningServer(t)
	server.routers.maxConnections = 100
	for seconds := timeunit.Ticks(1); seconds <= 30; seconds++ {
		router = connectRouter(server)
		now := 10_000_000 + seconds*second
		submitAttempt(t, server, router, fmt.Sprintf("%016x", 0xb0+seconds), fmt.Sprint(now.Milliseconds()), now)
		for len(server.deadlines) > 0 && server.deadlines[0].deadline <= server.now {
			server.now = max(server.now, server.deadlines[0].deadline)
			server.resumeAfterPause()
		}
		server.requests.processDeferredWork()
		require.Empty(t, router.output, "%d s", seconds)
	}
	require.Len(t, server.requests.entries, 1)
	endRun(t, server, firstID)
	server.requests.processDeferredWork()
	require.Contains(t, string(router.output), successResponse)
	server.admission.Dispatch()
	require.Empty(t, server.requests.entries, "the entry is removed when the run ends after the window")
}
