package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// A stamp is matched by the time its repeat reached the machine, however late that is read, and goes in its time
// with its result: no sweep, no growth.
func TestRepeatIsMatchedByWhenItWasReceived(t *testing.T) {
	a, c := newRunningServer(t)
	require.NoError(t, a.interpreter.receive([]byte(`{"type":"VALUE","n":1,"job":"`+firstID+`","state":"OK","took":5,"data":"eA=="}`+"\n")))
	require.Contains(t, string(c.output), "Status: 200 OK\r\n\r\nx")
	again := func(reached string, now timeunit.Ticks) string {
		return submitAttempt(t, a, c, "00000000000000ab", reached, now)
	}
	require.Contains(t, again("1004999", 10_060_000), "Status: 200 OK\r\n\r\nx") // read after the window, sent within
	require.Empty(t, again("1005100", 10_060_000))                               // sent after it: another run
	require.Len(t, a.requests.entries, 1)
	require.True(t, a.requests.byID["00000000000000ab"].runStarted)
}

// A window counts from Received-At, also where that router's clock was ahead, and a repeat counts as come when it was
// read where its router's is. Both are of one second here.
func TestDeduplicationWindowAllowsForRouterClocksAhead(t *testing.T) {
	a, c := newRunningServer(t) // it came at 1,000,000 ms, for 5,000
	hear := func(id string) {
		a.interpreter.lastNotice = 0
		require.NoError(t, a.interpreter.receive([]byte(`{"type":"VALUE","n":1,"job":"`+id+`","state":"OK","took":5,"data":"eA=="}`+"\n")))
	}
	hear(firstID)
	require.Contains(t, submitAttempt(t, a, c, "00000000000000a1", "1005900", 10_049_900), "200 OK", "ahead by 910 ms, read within the window")
	require.Empty(t, submitAttempt(t, a, c, "00000000000000a2", "1006950", 10_060_000), "read after the window: it runs, and is ahead by 950 ms")
	hear("00000000000000a2")
	require.Contains(t, submitAttempt(t, a, c, "00000000000000a3", "1011900", 10_119_000), "200 OK", "within 5,000 ms of 1006950")
	require.Empty(t, submitAttempt(t, a, c, "00000000000000a4", "1011970", 10_119_700), "and after")
}

// A run may last longer than its window and all that is kept after it: a repeat that waits for it waits on.
func TestRepeatWaitsForRunBeyondItsWindow(t *testing.T) {
	a, c := newRunningServer(t)
	a.routers.maxConnections = 100
	for s := timeunit.Ticks(1); s <= 30; s++ {
		c = connectRouter(a)
		at := 10_000_000 + s*10_000
		submitAttempt(t, a, c, fmt.Sprintf("%016x", 0xb0+s), fmt.Sprint(int64(at/10)), at)
		for len(a.deadlines) > 0 && a.deadlines[0].deadline <= a.now {
			a.now = max(a.now, a.deadlines[0].deadline)
			a.resumeAfterStandstill()
		}
		a.requests.settle()
		require.Empty(t, c.output, "%d s", s)
	}
	require.Len(t, a.requests.entries, 1)
	require.NoError(t, a.interpreter.receive([]byte(`{"type":"VALUE","n":1,"job":"`+firstID+`","state":"OK","took":5,"data":"eA=="}`+"\n")))
	a.requests.settle()
	require.Contains(t, string(c.output), "Status: 200 OK\r\n\r\nx")
	a.admission.Dispatch()
	require.Empty(t, a.requests.entries, "it was kept for the run alone")
}
