package server

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/deployment"
	"thistlequay/timeunit"
)

// What the interpreter says never panics, and means the same however it is split.
func FuzzNotices(f *testing.F) {
	f.Add(`{"type":"VALUE","n":1,"job":"`+firstID+`","state":"OK","took":5,"data":"eA=="}`+"\n", 3)
	f.Add(`{"type":"AWAIT","n":2,"job":"`+firstID+`","data":"eA=="}`+"\n\n"+`{"type":"TOPS","ref":"1","gauges":[1,2]}`+"\n", 7)
	f.Add(`{"type":"ERROR","state":"APPLY","job":"`+firstID+`"}`+"\n"+`{"type":"TRACE","n":9}`+"\n", 1)
	f.Add(`{"type":"BANNER","state":"COLD","took":-1}`+"\n", 2)
	f.Fuzz(func(t *testing.T, text string, size int) {
		heard := func(size int) string {
			a, c := newRunningServer(t)
			err := feedInPieces(text, size, a.interpreter.receive)
			return fmt.Sprint(err, a.interpreter.lastNotice, a.interpreter.gauges, a.requests.count(), string(c.output))
		}
		require.Equal(t, heard(max(1, len(text))), heard(1+max(0, size)%61))
	})
}

// A wake brings the gauges as they are then, and comes without an answer where the link is slow.
func TestWakeupWaitsForGaugesWithinBound(t *testing.T) {
	a, _ := newRunningServer(t)
	pass := func(span timeunit.Ticks, answered bool) int {
		before := a.interpreter.gaugeAges.total
		for end := a.now + span; a.now < end; a.fireTimers() {
			a.now++
			a.admission.Advance(a.now)
			if answered && a.interpreter.wakeupPending {
				require.NoError(t, a.interpreter.receive([]byte(`{"type":"TOPS","ref":"1","gauges":[1,2]}`+"\n")))
			}
		}
		return a.interpreter.gaugeAges.total - before
	}
	a.requests.SetTimer(30)
	a.requests.SetTimer(10)
	require.Equal(t, 0, pass(10, true))
	require.True(t, a.interpreter.wakeupPending)
	require.Equal(t, 1, pass(30, true))
	require.Equal(t, 2.0, a.interpreter.gauges.RunnableRequests)
	require.False(t, a.interpreter.gauges.IsStale)
	a.requests.SetTimer(10)
	require.Equal(t, 0, pass(10+minGaugeWait-1, false))
	require.Equal(t, 1, pass(1, false))
	require.True(t, a.interpreter.gauges.IsStale)
}

// A link that stood and breaks is dialled again at once; one that does not stand waits ever longer.
func TestInterpreterLinkIsRedialedAtOnceIfItStood(t *testing.T) {
	a, _ := newRunningServer(t)
	a.loop = idleLoop{}
	l := &a.interpreter
	breaks := func(stood timeunit.Ticks) (dialled bool) {
		l.dialing, l.conn, l.state, l.readySince = nil, discardConn{}, linkReady, a.now-stood
		l.closed()
		return l.dialing != nil
	}
	require.True(t, breaks(minRedialDelay))
	waits := func(most timeunit.Ticks) { // by chance within the later half: many servers lose their links at once
		require.LessOrEqual(t, l.redialTimer.deadline, a.now+most)
		require.GreaterOrEqual(t, l.redialTimer.deadline, a.now+most/2)
	}
	require.False(t, breaks(minRedialDelay-1))
	waits(minRedialDelay)
	require.False(t, breaks(minRedialDelay-1))
	waits(2 * minRedialDelay)
	require.True(t, breaks(minRedialDelay))
}

// What the protocol of sockets has no word for is not decided by, whatever the settings say for the simulator's wire.
func TestSocketDeploymentDropsWhatProtocolCannotExpress(t *testing.T) {
	read := func(halt string) *deployment.Config {
		terms, err := deployment.Read([]byte(`{"Categories":[{"Effect":"repeatable","HardLimit":8000,"Name":"a","OnTime":4000,"Worth":1}],"Clients":{"MarksRetry":true},
"FamilyInfo":{"Cores":2,"Halt":"` + halt + `","Fresh":1000,"ClassSkipWorth":[0.5]}}`))
		require.NoError(t, err)
		return terms
	}
	paused, dropped := read("pause"), read("drop")
	d := socketDeployment(paused)
	require.False(t, d.RetriesMarked || d.CanStopRuns)
	require.Zero(t, d.ResultTTL)
	require.Zero(t, d.Categories[0].DegradedValue)
	require.Equal(t, 0.5, paused.Categories[0].DegradedValue) // the settings' own are not written
	require.True(t, socketDeployment(dropped).CanStopRuns)
}
