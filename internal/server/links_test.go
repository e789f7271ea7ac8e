package server

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/deployment"
	"thistlequay/internal/logs"
	"thistlequay/timeunit"
)

const firstID = "00000000000000aa"

// newRunningServer makes an app server without an engine, with one work item that runs. Nothing leaves it.
func newRunningServer(t *testing.T) (*Server, *routerConnection) {
	terms, err := deployment.Read([]byte(`{"Categories":[{"Effect":"by_key","HardLimit":8000,"Name":"a","OnTime":4000,
"Window":5000,"Worth":1}],"FamilyInfo":{"CallShare":9,"CallsOver":5000,"Cores":2,"Downstream":"common","MemoryKb":80000,
"Meters":["core_use","on_cores"],"RunFactor":8,"Halt":"drop"},"Servers":1,"Rules":{"TipMultiple":8}}`))
	require.NoError(t, err)
	a := New(Config{Name: "n", MaxSockets: 64, MemoryBytes: 64 << 20, Settings: terms}, logs.New(io.Discard, logs.FormatText))
	a.now = 10_000_000
	require.NoError(t, a.interpreter.receive([]byte(`{"type":"BANNER","state":"WARM","took":1}`+"\n")))
	c := connectRouter(a)
	c.conn = nil
	require.NoError(t, c.parser.Feed([]byte(wholeRequest), c))
	a.admission.Dispatch()
	require.Contains(t, string(a.interpreter.output), `{"type":"APPLY","job":"`+firstID+`","kind":"a","data":"eA=="}`)
	return a, c
}

// connectRouter makes a router's connection that nothing leaves.
func connectRouter(a *Server) *routerConnection {
	c := a.routers.accept().(*routerConnection)
	c.opened(discardConn{})
	return c
}

// newServerWithCall makes one whose run stands at a call that is out on a connection.
func newServerWithCall(t *testing.T) (*Server, *routerConnection, *pooledConnection) {
	a, c := newRunningServer(t)
	a.loop = idleLoop{}
	a.requests.byID[firstID].handle.NeedsCall()
	a.admission.Dispatch()
	l := a.requests.byID[firstID].call.connection
	l.opened(discardConn{})
	return a, c, l
}

// requestFields are those of a whole request.
var requestFields = [][2]string{{"SCRIPT_NAME", "/rpc/a"}, {"HTTP_REQUEST_ID", firstID}, {"HTTP_RECEIVED_AT", "1000000"},
	{"HTTP_BUDGET_MS", "7000"}, {"HTTP_SENT_BY", "1"}, {"HTTP_FOOTPRINT_KB", "20"}, {"HTTP_ONCE_KEY", "k"},
	{"REQUEST_METHOD", "POST"}, {"HTTP_PRIORITY_RANK", "0.5"}}

// wholeRequest is one, in records as a router sends them.
var wholeRequest = requestRecords(1, requestFields, "x")

// requestRecords writes a request as a router sends it.
func requestRecords(keep byte, fields [][2]string, body string) string {
	record := func(kind byte, content string) string {
		return string([]byte{1, kind, 0, 1, byte(len(content) >> 8), byte(len(content)), 0, 0}) + content
	}
	params := ""
	for _, f := range fields {
		params += string([]byte{byte(len(f[0])), byte(len(f[1]))}) + f[0] + f[1]
	}
	stdin := ""
	if body != "" {
		stdin = record(5, body)
	}
	return record(1, "\x00\x01"+string([]byte{keep})+"\x00\x00\x00\x00\x00") + record(4, params) + record(4, "") + stdin + record(5, "")
}

func feedInPieces(data string, size int, traffic func([]byte) error) (err error) {
	for len(data) > 0 && err == nil {
		n := min(size, len(data))
		err = traffic([]byte(data[:n]))
		data = data[n:]
	}
	return err
}

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

// The same of what the index says.
func FuzzReplies(f *testing.F) {
	f.Add(firstID+" HIT 3\r\na\r\n\r\n", 1)
	f.Add(firstID+" SHED\r\n"+firstID+" SLOW\r\n", 4)
	f.Add(firstID+" HIT 99999999999\r\n", 5)
	f.Add(strings.Repeat("x", 200), 9)
	f.Fuzz(func(t *testing.T, text string, size int) {
		heard := func(size int) string {
			a, c, l := newServerWithCall(t)
			err := feedInPieces(text, size, l.receive)
			return fmt.Sprint(err, a.index.inFlight, string(c.output), string(a.interpreter.output))
		}
		require.Equal(t, heard(max(1, len(text))), heard(1+max(0, size)%61))
	})
}

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

// A connection that rested long may have been forgotten and carries no call, though the alarm that closes it is late.
func TestExpiredIdleConnectionCarriesNoCall(t *testing.T) {
	for rested, used := range map[timeunit.Ticks]bool{idleConnectionTimeout - 1: true, idleConnectionTimeout: false} {
		a, _, l := newServerWithCall(t)
		require.NoError(t, l.receive([]byte(firstID+" HIT 0\r\n\r\n")))
		a.now += rested
		c := &indexCall{request: &request{id: "another"}}
		a.index.assign(c)
		require.Equal(t, used, c.connection == l)
	}
}

// submitAttempt feeds one more try of the request at this moment and gives what is answered in the batch.
func submitAttempt(t *testing.T, a *Server, c *routerConnection, id, reached string, now timeunit.Ticks) string {
	a.now = max(a.now, now)
	a.admission.Advance(a.now)
	c.output = nil
	text := strings.Replace(strings.Replace(wholeRequest, firstID, id, 1), "1000000", reached, 1)
	require.NoError(t, c.parser.Feed([]byte(text), c))
	a.requests.settle()
	a.admission.Dispatch()
	return string(c.output)
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
