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
	f.Add(`{"type":"AWAIT","n":2,"job":"`+firstID+`","data":"eA=="}`+"\n\n"+
		`{"type":"TOPS","ref":"1","gauges":[1,2]}`+"\n", 7)
	f.Add(`{"type":"ERROR","state":"APPLY","job":"`+firstID+`"}`+"\n"+`{"type":"TRACE","n":9}`+"\n", 1)
	f.Add(`{"type":"BANNER","state":"COLD","took":-1}`+"\n", 2)
	f.Fuzz(func(t *testing.T, text string, size int) {
		receive := func(size int) string {
			s, router := newRunningServer(t)
			err := feedInPieces(text, size, s.interpreter.receive)
			interpreter := &s.interpreter
			return fmt.Sprint(err, interpreter.lastNotice, interpreter.gauges, s.requests.count(),
				string(router.output))
		}
		require.Equal(t, receive(max(1, len(text))), receive(1+max(0, size)%61))
	})
}

// Admission's wakeup brings the gauges as they are then, and comes without an answer where the link is slow.
func TestWakeupWaitsForGaugesWithinBound(t *testing.T) {
	s, _ := newRunningServer(t)
	interpreter := &s.interpreter
	wakeupsWithin := func(span timeunit.Ticks, isAnswered bool) int {
		before := interpreter.gaugeAges.total
		for end := s.now + span; s.now < end; s.fireTimers() {
			s.now++
			s.admission.Advance(s.now)
			if isAnswered && interpreter.wakeupPending {
				notify(t, s, `{"type":"TOPS","ref":"1","gauges":[1,2]}`)
			}
		}
		return interpreter.gaugeAges.total - before
	}
	s.requests.SetTimer(30)
	s.requests.SetTimer(10)
	require.Equal(t, 0, wakeupsWithin(10, true))
	require.True(t, interpreter.wakeupPending)
	require.Equal(t, 1, wakeupsWithin(30, true))
	require.Equal(t, 2.0, interpreter.gauges.RunnableRequests)
	require.False(t, interpreter.gauges.IsStale)
	s.requests.SetTimer(10)
	require.Equal(t, 0, wakeupsWithin(10+minGaugeWait-1, false))
	require.Equal(t, 1, wakeupsWithin(1, false))
	require.True(t, interpreter.gauges.IsStale)
}

// A link that stood for a while is dialed again at once; one that did not, after a delay that grows.
func TestInterpreterLinkIsRedialedAtOnceIfItStood(t *testing.T) {
	s, _ := newRunningServer(t)
	s.loop = idleLoop{}
	interpreter := &s.interpreter
	isRedialed := func(stood timeunit.Ticks) bool {
		interpreter.dialing = nil
		interpreter.conn = discardConn{}
		interpreter.state = linkReady
		interpreter.readySince = s.now - stood
		interpreter.closed()
		return interpreter.dialing != nil
	}
	requireDelay := func(longest timeunit.Ticks) { // random in its later half: many servers lose their links at once
		t.Helper()
		require.LessOrEqual(t, interpreter.redialTimer.deadline, s.now+longest)
		require.GreaterOrEqual(t, interpreter.redialTimer.deadline, s.now+longest/2)
	}
	require.True(t, isRedialed(minRedialDelay))
	require.False(t, isRedialed(minRedialDelay-1))
	requireDelay(minRedialDelay)
	require.False(t, isRedialed(minRedialDelay-1))
	requireDelay(2 * minRedialDelay)
	require.True(t, isRedialed(minRedialDelay))
}

// What the protocol of sockets has no word for is not decided by, whatever the settings say for the simulator.
func TestSocketDeploymentDropsWhatProtocolCannotExpress(t *testing.T) {
	read := func(halt string) *deployment.Config {
		settings, err := deployment.Read([]byte(`{"Categories":[{"Effect":"repeatable","HardLimit":8000,"Name":"a",
"OnTime":4000,"Worth":1}],"Clients":{"MarksRetry":true},
"FamilyInfo":{"Cores":2,"Halt":"` + halt + `","Fresh":1000,"ClassSkipWorth":[0.5]}}`))
		require.NoError(t, err)
		return settings
	}
	paused := read("pause")
	dropped := read("drop")
	config := socketDeployment(paused)
	require.False(t, config.RetriesMarked || config.CanStopRuns)
	require.Zero(t, config.ResultTTL)
	require.Zero(t, config.Categories[0].DegradedValue)
	require.Equal(t, 0.5, paused.Categories[0].DegradedValue) // the settings' own are not written
	require.True(t, socketDeployment(dropped).CanStopRuns)
}
