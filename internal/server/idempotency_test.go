package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

const succeeded = "Status: 200 OK\r\n\r\nx"

// endRun has the interpreter tell the end of a run.
func endRun(t *testing.T, s *Server, id string) {
	t.Helper()
	s.interpreter.lastNotice = 0
	notify(t, s, `{"type":"VALUE","n":1,"job":"%s","state":"OK","took":5,"data":"eA=="}`, id)
}

// A repeat is matched by when it was received, however late that is read, and an entry goes in its time with its
// result: no sweep, no growth.
func TestRepeatIsMatchedByWhenItWasReceived(t *testing.T) {
	s, router := newRunningServer(t)
	endRun(t, s, firstID)
	require.Contains(t, string(router.output), succeeded)
	const repeat = "00000000000000ab"
	require.Contains(t, submitAttempt(t, s, router, repeat, "1004999", 10_060_000), succeeded,
		"received within the window, read after it")
	require.Empty(t, submitAttempt(t, s, router, repeat, "1005100", 10_060_000), "received after it: another run")
	require.Len(t, s.requests.entries, 1)
	require.True(t, s.requests.byID[repeat].runStarted)
}

// A window counts from Received-At, also where that router's clock was ahead, and a repeat whose router's is counts as
// received when it was read. Both clocks are ahead by almost one second here.
func TestDeduplicationWindowAllowsForRouterClocksAhead(t *testing.T) {
	s, router := newRunningServer(t) // received at 1,000,000 ms, for 5,000
	endRun(t, s, firstID)
	require.Contains(t, submitAttempt(t, s, router, "00000000000000a1", "1005900", 10_049_900), "200 OK",
		"ahead by 910 ms, read within the window")
	require.Empty(t, submitAttempt(t, s, router, "00000000000000a2", "1006950", 10_060_000),
		"read after the window: it runs, and is ahead by 950 ms")
	endRun(t, s, "00000000000000a2")
	require.Contains(t, submitAttempt(t, s, router, "00000000000000a3", "1011900", 10_119_000), "200 OK",
		"within 5,000 ms of 1006950")
	require.Empty(t, submitAttempt(t, s, router, "00000000000000a4", "1011970", 10_119_700), "and after")
}

// A run may last longer than its window and all that is kept after it: a repeat that waits for it waits on.
func TestRepeatWaitsForRunBeyondItsWindow(t *testing.T) {
	s, router := newRunningServer(t)
	s.routers.maxConnections = 100
	for seconds := timeunit.Ticks(1); seconds <= 30; seconds++ {
		router = connectRouter(s)
		now := 10_000_000 + seconds*second
		submitAttempt(t, s, router, fmt.Sprintf("%016x", 0xb0+seconds), fmt.Sprint(now.Milliseconds()), now)
		for len(s.deadlines) > 0 && s.deadlines[0].deadline <= s.now {
			s.now = max(s.now, s.deadlines[0].deadline)
			s.resumeAfterStandstill()
		}
		s.requests.settle()
		require.Empty(t, router.output, "%d s", seconds)
	}
	require.Len(t, s.requests.entries, 1)
	endRun(t, s, firstID)
	s.requests.settle()
	require.Contains(t, string(router.output), succeeded)
	s.admission.Dispatch()
	require.Empty(t, s.requests.entries, "it was kept for the run alone")
}
