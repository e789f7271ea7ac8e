package server

import (
	"fmt"
	"io"
	"testing"

	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"thistlequay/internal/deployment"
	"thistlequay/timeunit"
)

// No input from the interpreter makes the server panic, and its effect does not depend on how it is split into reads.
func FuzzNotices(f *testing.F) {
	f.Add(`{"type":"VALUE","n":1,"job":"`+firstID+`","state":"OK","took":5,"data":"eA=="}`+"\n", 3)
	f.Add(`{"type":"AWAIT","n":2,"job":"`+firstID+`","data":"eA=="}`+"\n\n"+
		`{"type":"TOPS","ref":"1","gauges":[1,2]}`+"\n", 7)
	f.Add(`{"type":"ERROR","state":"APPLY","job":"`+firstID+`"}`+"\n"+`{"type":"TRACE","n":9}`+"\n", 1)
	f.Add(`{"type":"BANNER","state":"COLD","took":-1}`+"\n", 2)
	f.Fuzz(func(t *testing.T, text string, size int) {
		receive := func(pieceSize int) string {
			server, router := newRunningServer(t)
			err := feedInPieces(text, pieceSize, server.interpreter.receive)
			interpreter := &server.interpreter
			return fmt.Sprint(err, interpreter.lastNotice, interpreter.gauges, server.requests.count(),
				string(router.output))
		}
		require.Equal(t, receive(max(1, len(text))), receive(1+max(0, size)%61))
	})
}

// replyToFirstCall passes the index's reply to the first request's call to the server.
func replyToFirstCall(t *testing.T, server *Server) {
	t.Helper()
	notify(t, server, `{"type":"AWAIT","n":1,"job":"%s","data":"cQ=="}`, firstID)
	dispatchBatch(server)
	require.NoError(t, openCallConnection(server).receive([]byte(firstID+" HIT 2\r\nok\r\n")))
}

// completeReplay makes a link that was opened ready, and returns the commands that the server then sends.
func completeReplay(t *testing.T, server *Server) string {
	t.Helper()
	notify(t, server, `{"type":"BANNER","state":"WARM","took":1}`)
	takeOutput(&server.interpreter.outputBuffer)
	notify(t, server, `{"type":"TOPS","ref":"%s","gauges":[1,2]}`, server.interpreter.replayEndTag)
	return takeOutput(&server.interpreter.outputBuffer)
}

const firstReply = `{"type":"RESOLVE","job":"` + firstID + `","data":"b2s="}` + "\n"

// Guards against a run that is given the reply to an earlier call: a reply that the interpreter may have received is
// not sent again on the next link, whether the link broke or the interpreter's address changed.
func TestReplyThatMayHaveArrivedIsNotSentAgain(t *testing.T) {
	for name, isBroken := range map[string]bool{"broken link": true, "new address": false} {
		t.Run(name, func(t *testing.T) {
			server, _ := newServerWithRun(t)
			interpreter := &server.interpreter
			interpreter.conn = discardConn{}
			replyToFirstCall(t, server)
			require.Equal(t, firstReply, string(interpreter.output))
			server.writeOutput()
			if isBroken {
				interpreter.closed()
			}
			interpreter.opened(discardConn{})
			require.Empty(t, completeReplay(t, server))
			require.True(t, server.requests.byID[firstID].isReplyUnconfirmed)
		})
	}
}

// A reply that was never written to the link that broke is sent on the next one, once.
func TestUnwrittenReplyIsSentOnNextLink(t *testing.T) {
	server, _ := newServerWithRun(t)
	interpreter := &server.interpreter
	interpreter.conn = discardConn{}
	replyToFirstCall(t, server)
	interpreter.closed() // in the batch in which the reply came
	interpreter.opened(discardConn{})
	require.Equal(t, firstReply, completeReplay(t, server))
	interpreter.closed()
	interpreter.opened(discardConn{})
	require.Empty(t, completeReplay(t, server))
}

// failingConn is a connection that is broken, so that the first write on it closes it, as gnet does.
type failingConn struct {
	discardConn
	closed func()
}

func (c failingConn) Write([]byte) (int, error) {
	c.closed()
	return 0, io.ErrClosedPipe
}

// floodedConn is a connection whose peer leaves more output unread than any limit allows.
type floodedConn struct{ discardConn }

func (floodedConn) OutboundBuffered() int { return maxUnreadPerLink + 1 }

// closingLoop is an event loop that closes connections synchronously, as gnet does.
type closingLoop struct {
	idleLoop
	closed func()
}

func (l closingLoop) Close(gnet.Conn) error {
	l.closed()
	return nil
}

// A reply counts as sent if the connection accepted it, even if the connection is closed while it is written.
func TestReplyInWriteThatEndsTheLink(t *testing.T) {
	server, _ := newServerWithRun(t)
	interpreter := &server.interpreter
	interpreter.conn = failingConn{closed: interpreter.closed}
	replyToFirstCall(t, server)
	server.writeOutput()
	require.Equal(t, linkDown, interpreter.state)
	interpreter.opened(discardConn{})
	require.Equal(t, firstReply, completeReplay(t, server))

	server, _ = newServerWithRun(t)
	interpreter = &server.interpreter
	interpreter.conn = floodedConn{}
	server.loop = closingLoop{closed: interpreter.closed}
	replyToFirstCall(t, server)
	server.writeOutput()
	require.Equal(t, linkDown, interpreter.state)
	interpreter.opened(discardConn{})
	require.Empty(t, completeReplay(t, server))
}

// Admission's timer is delivered with fresh gauges, or after a bounded wait with stale ones if the link is slow.
func TestWakeupWaitsForGaugesWithinBound(t *testing.T) {
	server, _ := newRunningServer(t)
	interpreter := &server.interpreter
	wakeupsWithin := func(span timeunit.Ticks, isAnswered bool) int {
		before := interpreter.gaugeAges.total
		for end := server.now + span; server.now < end; server.fireTimers() {
			server.now++
			server.admission.Advance(server.now)
			if isAnswered && interpreter.wakeupPending {
				notify(t, server, `{"type":"TOPS","ref":"1","gauges":[1,2]}`)
			}
		}
		return interpreter.gaugeAges.total - before
	}
	server.requests.SetTimer(30)
	server.requests.SetTimer(10)
	require.Equal(t, 0, wakeupsWithin(10, true))
	require.True(t, interpreter.wakeupPending)
	require.Equal(t, 1, wakeupsWithin(30, true))
	require.Equal(t, 2.0, interpreter.gauges.RunnableRequests)
	require.False(t, interpreter.gauges.IsStale)
	server.requests.SetTimer(10)
	require.Equal(t, 0, wakeupsWithin(10+minGaugeWait-1, false))
	require.Equal(t, 1, wakeupsWithin(1, false))
	require.True(t, interpreter.gauges.IsStale)
}

// A link that was up for at least minRedialDelay is redialed at once, any other link with exponential backoff.
func TestInterpreterLinkIsRedialedAtOnceIfItWasUp(t *testing.T) {
	server, _ := newRunningServer(t)
	interpreter := &server.interpreter
	isRedialed := func(upFor timeunit.Ticks) bool {
		interpreter.dialing = nil
		interpreter.conn = discardConn{}
		interpreter.state = linkReady
		interpreter.readySince = server.now - upFor
		interpreter.closed()
		return interpreter.dialing != nil
	}
	requireDelay := func(maxDelay timeunit.Ticks) { // jittered between maxDelay/2 and maxDelay
		t.Helper()
		require.LessOrEqual(t, interpreter.redialTimer.deadline, server.now+maxDelay)
		require.GreaterOrEqual(t, interpreter.redialTimer.deadline, server.now+maxDelay/2)
	}
	require.True(t, isRedialed(minRedialDelay))
	require.False(t, isRedialed(minRedialDelay-1))
	requireDelay(minRedialDelay)
	require.False(t, isRedialed(minRedialDelay-1))
	requireDelay(2 * minRedialDelay)
	require.True(t, isRedialed(minRedialDelay))
}

// Settings that the socket protocol cannot express have no effect on the server, although they have one in the
// simulator.
func TestSocketDeploymentDropsSettingsThatProtocolCannotExpress(t *testing.T) {
	readSettings := func(halt string) *deployment.Config {
		settings, err := deployment.Read([]byte(`{"Categories":[{"Effect":"repeatable","HardLimit":8000,"Name":"a",
"OnTime":4000,"Worth":1}],"Clients":{"MarksRetry":true},
"FamilyInfo":{"Cores":2,"Halt":"` + halt + `","Fresh":1000,"ClassSkipWorth":[0.5]}}`))
		require.NoError(t, err)
		return settings
	}
	pauseSettings := readSettings("pause")
	dropSettings := readSettings("drop")
	config := socketAdmissionConfig(pauseSettings)
	require.False(t, config.RetriesMarked || config.CanStopRuns)
	require.Zero(t, config.ResultTTL)
	require.Zero(t, config.Categories[0].DegradedValue)
	require.Equal(t, 0.5, pauseSettings.Categories[0].DegradedValue) // the original settings are unchanged
	require.True(t, socketAdmissionConfig(dropSettings).CanStopRuns)
}
