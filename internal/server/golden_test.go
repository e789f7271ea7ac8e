package server

import (
	"fmt"
	"math/rand"
	"net"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/timeunit"
)

// transcript is a golden file of the bytes that go in and out, a line each.
type transcript struct{ text strings.Builder }

func (s *transcript) add(what string, data string) { fmt.Fprintf(&s.text, "%s: %q\n", what, data) }

func (s *transcript) check(t *testing.T, name string) { golden.Check(t, name, []byte(s.text.String())) }

// takeOut returns what is to be written to a connection, and empties it.
func takeOut(w *outputBuffer) string {
	out := string(w.output)
	w.output = nil
	return out
}

// fieldsWith returns the fields of the usual request with some of them replaced or added.
func fieldsWith(changes ...string) [][2]string {
	fields := append([][2]string(nil), requestFields...)
next:
	for i := 0; i < len(changes); i += 2 {
		for j := range fields {
			if fields[j][0] == changes[i] {
				fields[j][1] = changes[i+1]
				continue next
			}
		}
		fields = append(fields, [2]string{changes[i], changes[i+1]})
	}
	return fields
}

// dispatchBatch ends a batch by hand.
func dispatchBatch(a *Server) {
	a.requests.settle()
	a.admission.Dispatch()
}

// passTime moves the time on and fires what is due.
func passTime(a *Server, span timeunit.Ticks) {
	a.now += span
	a.admission.Advance(a.now)
	a.resumeAfterStandstill()
	dispatchBatch(a)
}

var requestCases = []struct {
	name    string
	changes []string
	body    string
}{
	{"accepted", []string{"HTTP_REQUEST_ID", "00000000000000a1", "HTTP_ONCE_KEY", "l"}, "x"},
	{"no time left", []string{"HTTP_REQUEST_ID", "00000000000000a2", "HTTP_ONCE_KEY", "m", "HTTP_BUDGET_MS", "0"}, "x"},
	{"repeat of the key", []string{"HTTP_REQUEST_ID", "00000000000000a3"}, "x"},
	{"key with another body", []string{"HTTP_REQUEST_ID", "00000000000000a4"}, "y"},
	{"health", []string{"SCRIPT_NAME", "/health"}, ""},
	{"path", []string{"SCRIPT_NAME", "/x"}, "x"},
	{"category", []string{"SCRIPT_NAME", "/rpc/b"}, "x"},
	{"method", []string{"REQUEST_METHOD", "GET"}, "x"},
	{"long body", nil, strings.Repeat("x", maxBodyBytes+1)},
	{"overlong body", nil, strings.Repeat("x", 60_000)},
	{"length", []string{"CONTENT_LENGTH", "2"}, "x"},
	{"id is not hex", []string{"HTTP_REQUEST_ID", "zzzzzzzzzzzzzzzz"}, "x"},
	{"id is short", []string{"HTTP_REQUEST_ID", "1"}, "x"},
	{"id in hand", nil, "x"},
	{"received before all time", []string{"HTTP_REQUEST_ID", "00000000000000a5", "HTTP_RECEIVED_AT", "-1"}, "x"},
	{"received at no number", []string{"HTTP_REQUEST_ID", "00000000000000a5", "HTTP_RECEIVED_AT", "x"}, "x"},
	{"received in the future", []string{"HTTP_REQUEST_ID", "00000000000000a5", "HTTP_RECEIVED_AT", "1001001"}, "x"},
	{"budget beyond", []string{"HTTP_REQUEST_ID", "00000000000000a5", "HTTP_BUDGET_MS", "16000"}, "x"},
	{"budget below zero", []string{"HTTP_REQUEST_ID", "00000000000000a5", "HTTP_BUDGET_MS", "-0.1"}, "x"},
	{"no sender", []string{"HTTP_REQUEST_ID", "00000000000000a5", "HTTP_SENT_BY", ""}, "x"},
	{"sender beyond", []string{"HTTP_REQUEST_ID", "00000000000000a5", "HTTP_SENT_BY", "9007199254740992"}, "x"},
	{"footprint of zero", []string{"HTTP_REQUEST_ID", "00000000000000a5", "HTTP_FOOTPRINT_KB", "0"}, "x"},
	{"footprint beyond", []string{"HTTP_REQUEST_ID", "00000000000000a5", "HTTP_FOOTPRINT_KB", "2000"}, "x"},
	{"rank beyond", []string{"HTTP_REQUEST_ID", "00000000000000a5", "HTTP_PRIORITY_RANK", "1"}, "x"},
	{"account", []string{"HTTP_REQUEST_ID", "00000000000000a5", "HTTP_ACCOUNT", strings.Repeat("a", 100)}, "x"},
	{"no key", []string{"HTTP_REQUEST_ID", "00000000000000a6", "HTTP_ONCE_KEY", ""}, "x"},
	{"key beyond", []string{"HTTP_REQUEST_ID", "00000000000000a7", "HTTP_ONCE_KEY", strings.Repeat("k", maxKeyBytes+1)}, "x"},
	{"two faults", []string{"REQUEST_METHOD", "GET", "HTTP_REQUEST_ID", "1", "HTTP_SENT_BY", ""}, "x"},
}

// What a router is answered, byte for byte, from the first request until after the notice to leave.
func TestGoldenRequests(t *testing.T) {
	var s transcript
	a, first := newRunningServer(t)
	a.loop, first.conn, a.routers.maxConnections = idleLoop{}, discardConn{}, 1000
	feed := func(name string, keep byte, fields [][2]string, body string) {
		c := connectRouter(a)
		text := requestRecords(keep, fields, body)
		closes := c.parser.Feed([]byte(text), c) != nil
		dispatchBatch(a)
		s.add(name, fmt.Sprint(closes, " ", c.closeAfterWrite, " ", takeOut(&c.outputBuffer)))
	}
	s.add("first run", takeOut(&a.interpreter.outputBuffer))
	for _, one := range requestCases {
		feed(one.name, 1, fieldsWith(one.changes...), one.body)
	}
	feed("a field twice", 1, append(fieldsWith(), [2]string{"HTTP_SENT_BY", "2"}), "x")
	feed("not kept", 0, fieldsWith("SCRIPT_NAME", "/health"), "")
	s.add("runs", takeOut(&a.interpreter.outputBuffer))
	aborted := connectRouter(a)
	require.NoError(t, aborted.parser.Feed([]byte(requestRecords(1, fieldsWith("HTTP_REQUEST_ID", "00000000000000b1", "HTTP_ONCE_KEY", "n"), "x")), aborted))
	require.NoError(t, aborted.parser.Feed([]byte{1, 2, 0, 1, 0, 0, 0, 0}, aborted))
	dispatchBatch(a)
	s.add("aborted", takeOut(&aborted.outputBuffer))
	half := connectRouter(a)
	require.NoError(t, half.parser.Feed([]byte(requestRecords(1, fieldsWith(), "x"))[:40], half))
	passTime(a, firstRequestTimeout)
	s.add("half a request", fmt.Sprint(half.closeAfterWrite, " ", takeOut(&half.outputBuffer)))
	a.routers.setLoadReport(0.25)
	feed("with the free value", 1, fieldsWith("SCRIPT_NAME", "/health"), "")
	a.directory.opened(discardConn{})
	takeOut(&a.directory.outputBuffer)
	a.beginShutdown()
	s.add("directory", takeOut(&a.directory.outputBuffer))
	feed("leaving: health", 1, fieldsWith("SCRIPT_NAME", "/health"), "")
	feed("leaving: request", 1, fieldsWith("HTTP_REQUEST_ID", "00000000000000c1", "HTTP_ONCE_KEY", "o", "HTTP_RECEIVED_AT", "1001500"), "x")
	for range 70 {
		passTime(a, second/10)
	}
	s.add("at its deadline", takeOut(&first.outputBuffer))
	s.add("to the interpreter", takeOut(&a.interpreter.outputBuffer))
	fresh := New(a.config, a.log)
	fresh.now, fresh.loop = 10_000_000, idleLoop{}
	c := connectRouter(fresh)
	require.NoError(t, c.parser.Feed([]byte(wholeRequest), c))
	s.add("starting", takeOut(&c.outputBuffer))
	s.check(t, "requests.txt")
}

// What each of the interpreter's notices does, byte for byte: whether it closes the link, what goes to the router, to the
// interpreter and to the index.
func TestGoldenNotices(t *testing.T) {
	var s transcript
	for _, lines := range []string{
		`{"type":"VALUE","n":1,"job":"JOB","state":"OK","took":5,"data":"eA=="}`,
		`{"type":"VALUE","n":1,"job":"JOB","state":"ERROR","took":5}`,
		`{"type":"VALUE","n":1,"job":"JOB","state":"STOPPED","took":5}`,
		`{"type":"VALUE","n":1,"job":"JOB","state":"MOOT"}`,
		`{"type":"VALUE","n":1,"job":"JOB","state":"GONE"}`,
		`{"type":"VALUE","n":1,"job":"00000000000000ff","state":"OK","took":5,"data":"eA=="}`,
		`{"type":"VALUE","n":1,"job":"JOB","state":"OK","took":-1}`,
		`{"type":"VALUE","n":1,"job":"JOB","state":"OK","data":"!"}`,
		`{"type":"AWAIT","n":1,"job":"JOB","data":"cQ=="}`,
		`{"type":"AWAIT","n":1,"job":"JOB","data":"cQ=="}` + "\n" + `{"type":"VALUE","n":2,"job":"JOB","state":"OK","data":"eQ=="}`,
		`{"type":"AWAIT","n":3,"job":"JOB","data":"cQ=="}` + "\n" + `{"type":"VALUE","n":3,"job":"JOB","state":"OK","data":"eQ=="}`,
		`{"type":"AWAIT","n":1,"job":"JOB"}` + "\n" + `{"type":"VALUE","n":2,"job":"JOB","state":"MOOT"}`,
		`{"type":"TOPS","ref":"1","gauges":[1,2]}`,
		`{"type":"TOPS","ref":"1","gauges":["a"]}`,
		`{"type":"ERROR","state":"APPLY","job":"JOB"}`,
		`{"type":"ERROR","state":"BREAK","job":"JOB"}`,
		`{"type":"TRACE","n":9}`,
		`{"type":"BANNER","state":"COLD","took":3}`,
		`{"type":"OTHER"}`, `[]`, ` `, strings.Repeat("x", maxLineBytes+1),
	} {
		a, c, l := newServerWithRun(t)
		closes := a.interpreter.receive([]byte(strings.ReplaceAll(lines, "JOB", firstID)+"\n")) != nil
		dispatchBatch(a)
		s.add("notice", lines[:min(len(lines), 200)])
		s.add("closes", fmt.Sprint(closes, " ", a.interpreter.lastNotice, " ", a.requests.count(), " ", a.index.inFlight))
		s.add("router", takeOut(&c.outputBuffer))
		s.add("interpreter", takeOut(&a.interpreter.outputBuffer))
		if it := a.requests.byID[firstID]; it != nil && it.call != nil {
			l = it.call.connection
			l.opened(discardConn{})
			s.add("index", takeOut(&l.outputBuffer))
		}
	}
	s.check(t, "notices.txt")
}

// newServerWithRun is an app server with one request that runs, and its thread.
func newServerWithRun(t *testing.T) (*Server, *routerConnection, *pooledConnection) {
	a, c := newRunningServer(t)
	a.loop, c.conn = idleLoop{}, discardConn{}
	takeOut(&a.interpreter.outputBuffer)
	return a, c, nil
}

// What each of the index's replies does, byte for byte.
func TestGoldenReplies(t *testing.T) {
	var s transcript
	for _, text := range []string{
		"JOB HIT 2\r\nok\r\n", "JOB HIT 0\r\n\r\n", "JOB SHED\r\n", "JOB BROKEN\r\n", "JOB SLOW\r\n", "JOB NOBODY\r\n",
		"JOB HIT\r\n", "JOB SHED 2\r\nok\r\n", "JOB OTHER\r\n", "JOB\r\n", "1 SHED\r\n", "JOB HIT x\r\n", "JOB HIT 65537\r\n",
		"JOB HIT 2\r\nokxx", "JOB HIT 2\r\nok", "00000000000000ff SHED\r\n", "00000000000000ff SHED\r\nJOB SLOW\r\n",
		"JOB SLOW\r\nJOB SLOW\r\n", strings.Repeat("x", 129), strings.Repeat("x", 128), "\r\n",
	} {
		a, c, l := newServerWithCall(t)
		c.conn = discardConn{}
		a.interpreter.output = nil
		s.add("call", takeOut(&l.outputBuffer))
		closes := l.receive([]byte(strings.ReplaceAll(text, "JOB", firstID))) != nil
		if closes {
			l.closed()
		}
		dispatchBatch(a)
		s.add("reply", text)
		s.add("closes", fmt.Sprint(closes, " ", a.index.inFlight, " ", len(a.index.idle), " ", a.index.connections))
		s.add("router", takeOut(&c.outputBuffer))
		s.add("interpreter", takeOut(&a.interpreter.outputBuffer))
	}
	a, _, l := newServerWithCall(t)
	takeOut(&l.outputBuffer)
	a.interpreter.output = nil
	passTime(a, 100_000)
	s.add("given up", fmt.Sprint(l.call == nil, " ", a.index.inFlight, " ", takeOut(&a.interpreter.outputBuffer)))
	s.check(t, "replies.txt")
}

// A link to the interpreter that breaks and comes back, byte for byte.
func TestGoldenReconnect(t *testing.T) {
	var s transcript
	a, c, _ := newServerWithRun(t)
	for i := range 2 {
		a.interpreter.conn = discardConn{}
		a.interpreter.closed()
		a.interpreter.opened(discardConn{})
		s.add("connect", takeOut(&a.interpreter.outputBuffer))
		require.NoError(t, a.interpreter.receive([]byte(`{"type":"BANNER","state":"WARM","took":1}`+"\n")))
		s.add("fence", takeOut(&a.interpreter.outputBuffer))
		require.NoError(t, a.interpreter.receive([]byte(fmt.Sprintf(`{"type":"TOPS","ref":"%s","gauges":[1,2]}`+"\n", a.interpreter.replayFence))))
		s.add("ready", takeOut(&a.interpreter.outputBuffer))
		if i == 0 {
			require.NoError(t, a.interpreter.receive([]byte(`{"type":"AWAIT","n":1,"job":"`+firstID+`","data":"cQ=="}`+"\n")))
			dispatchBatch(a)
			l := a.requests.byID[firstID].call.connection
			l.opened(discardConn{})
			s.add("call", takeOut(&l.outputBuffer))
			require.NoError(t, l.receive([]byte(firstID+" HIT 2\r\nok\r\n")))
			s.add("resolve", takeOut(&a.interpreter.outputBuffer))
		}
	}
	require.NoError(t, a.interpreter.receive([]byte(`{"type":"VALUE","n":2,"job":"`+firstID+`","state":"OK","took":5,"data":"eA=="}`+"\n")))
	dispatchBatch(a)
	s.add("router", takeOut(&c.outputBuffer))
	s.check(t, "reconnect.txt")
}

// The reports to the directory and what its answers do, byte for byte.
func TestGoldenDirectory(t *testing.T) {
	var s transcript
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 404 No\r\ncontent-length:0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
		"FTP/1.1 200 OK\r\n\r\n", "HTTP/1.1\r\n\r\n", strings.Repeat("x", maxAnswerBytes+1), strings.Repeat("x", maxAnswerBytes), "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		a, _, _ := newServerWithRun(t)
		d := &a.directory
		a.config.Directory = "directory:1"
		a.routers.admissionHealthy = len(text)%2 == 0
		d.opened(discardConn{})
		s.add("report", takeOut(&d.outputBuffer))
		closes := d.receive([]byte(text)) != nil
		s.add("answer", text[:min(len(text), 100)])
		s.add("closes", fmt.Sprint(closes, " ", d.state == directoryAwaitingAnswer, " ", int64(d.reportTimer.deadline-a.now), " ", len(d.partial)))
		passTime(a, reportInterval)
		s.add("next", fmt.Sprint(d.missedReports, " ", d.consecutiveMisses, " ", takeOut(&d.outputBuffer)))
	}
	s.check(t, "directory.txt")
}

// The whole histories of seeded sequences: every byte that would leave, connection by connection, and the books.
func TestGoldenSequences(t *testing.T) {
	const seeds, group = 300, 10
	var lines strings.Builder
	for from := int64(0); from < seeds; from += group {
		h := golden.NewHistory()
		for seed := from; seed < from+group; seed++ {
			r := rand.New(rand.NewSource(seed))
			data := make([]byte, 2*(20+r.Intn(80)))
			r.Read(data)
			h.Add("seed", seed)
			playObserved(t, data, true, h.Add)
		}
		fmt.Fprintf(&lines, "seeds %d to %d: %s\n", from, from+group-1, h)
	}
	golden.Check(t, "sequences.txt", []byte(lines.String()))
}

// newServerWithPlugin is an app server whose requests are shown to one plug-in that may do everything, on a connection that
// nothing leaves.
func newServerWithPlugin(t *testing.T) (*Server, *pluginConnection) {
	a, _, _ := newServerWithRun(t)
	pluginChain := chain.New([]chain.Policy{{Name: "p", Hooks: [3]bool{true, true, true}, Categories: []bool{true}, MayReject: true,
		TargetCategories: []bool{true}, MayTag: true, MayRewrite: true, CallTimeout: 100, MaxTimeFraction: 0.5, CoreFraction: 1, TickInterval: 10 * second, MaxConsecutiveFaults: 3, MaxFaultRate: 1, MinQuarantine: 1000, MaxQuarantine: 10_000}},
		nil, func(string) bool { return false }, a.random, a.now)
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _ = theirs.Close() })
	h := &pluginConnection{part: &a.plugins, config: &Plugins{}, chain: pluginChain, process: &plugin.Process{Conn: ours, Command: &exec.Cmd{}}}
	h.outputBuffer = outputBuffer{server: a, maxUnread: maxUnreadPerLink, conn: discardConn{}}
	a.plugins.config, a.plugins.live, a.plugins.chain = h.config, h, pluginChain
	return a, h
}

// What a process of plug-ins is asked and what its verdicts do, byte for byte, before a run and after.
func TestGoldenPlugins(t *testing.T) {
	var s transcript
	verdict := func(how byte, v abi.Verdict) []byte {
		return v.Append([]byte{how, 100, 0, 0, 0})
	}
	nothing := verdict(plugin.CallSucceeded, abi.Verdict{})
	for _, one := range []struct {
		name         string
		read, result []byte
	}{
		{"nothing said", nothing, nothing},
		{"no verdict at all", []byte{plugin.CallSucceeded, 1, 0, 0, 0}, nothing},
		{"declined", verdict(plugin.CallSucceeded, abi.Verdict{Actions: abi.ActionReject, Status: 403}), nothing},
		{"declined as busy", verdict(plugin.CallSucceeded, abi.Verdict{Actions: abi.ActionReject, Status: 503}), nothing},
		{"declined with a status that is none", verdict(plugin.CallSucceeded, abi.Verdict{Actions: abi.ActionReject, Status: 200}), nothing},
		{"tagged", verdict(plugin.CallSucceeded, abi.Verdict{Actions: abi.ActionTag, Tag: "vip"}), nothing},
		{"another category", verdict(plugin.CallSucceeded, abi.Verdict{Actions: abi.ActionCategorize, Category: "a"}), nothing},
		{"an unknown category", verdict(plugin.CallSucceeded, abi.Verdict{Actions: abi.ActionCategorize, Category: "b"}), nothing},
		{"cut", verdict(plugin.CallTimedOut, abi.Verdict{}), verdict(plugin.CallTrapped, abi.Verdict{})},
		{"unreadable", verdict(plugin.CallMalformed, abi.Verdict{}), verdict(plugin.CallNotStarted, abi.Verdict{})},
		{"bytes that are none", []byte{plugin.CallSucceeded, 1, 0, 0, 0, 9}, []byte{1}},
		{"another result", nothing, verdict(plugin.CallSucceeded, abi.Verdict{Actions: abi.ActionReplace, Body: []byte("y")})},
		{"a longer result", nothing, verdict(plugin.CallSucceeded, abi.Verdict{Actions: abi.ActionReplace, Body: []byte("longer")})},
		{"silent", nil, nil},
	} {
		a, h := newServerWithPlugin(t)
		c := connectRouter(a)
		say := func(point string, payload []byte) {
			s.add(point+": asked", takeOut(&h.outputBuffer))
			if payload == nil {
				passTime(a, 200)
			} else {
				frame := plugin.AppendFrame(nil, plugin.FrameVerdict, 0, a.plugins.lastCall, payload)
				require.NoError(t, feedInPieces(string(frame), 7, h.receive))
			}
			dispatchBatch(a)
			s.add(point+": router", takeOut(&c.outputBuffer))
			s.add(point+": interpreter", takeOut(&a.interpreter.outputBuffer))
		}
		s.add("plug-in", one.name)
		text := requestRecords(1, fieldsWith("HTTP_REQUEST_ID", "00000000000000a1", "HTTP_ONCE_KEY", "l"), "body")
		require.NoError(t, c.parser.Feed([]byte(text), c))
		dispatchBatch(a)
		say("read", one.read)
		require.NoError(t, a.interpreter.receive([]byte(`{"type":"VALUE","n":1,"job":"00000000000000a1","state":"OK","data":"eHh4"}`+"\n")))
		dispatchBatch(a)
		say("result", one.result)
		s.add("books", fmt.Sprint(h.pendingCalls, " ", h.requests, " ", a.plugins.lateVerdicts, " ", a.requests.count(), " ", h.chain.Plugins[0].Faults))
	}
	a, h := newServerWithPlugin(t)
	c := connectRouter(a)
	require.NoError(t, c.parser.Feed([]byte(requestRecords(1, fieldsWith("HTTP_REQUEST_ID", "00000000000000a1", "HTTP_ONCE_KEY", "l"), "body")), c))
	keep := func(key, value string) {
		payload := append([]byte{byte(len(key))}, key+value...)
		require.NoError(t, h.receive(plugin.AppendFrame(nil, plugin.FrameState, 0, 0, payload)))
	}
	keep("k", "v")
	keep("l", "w")
	keep("l", "")
	require.NoError(t, h.receive(plugin.AppendFrame(nil, plugin.FrameCounters, 0, 0, []byte(`{"seen":3}`))))
	s.add("kept", fmt.Sprint(a.plugins.snapshot(), " ", a.plugins.stateBytes, " ", a.plugins.counters))
	s.add("place beyond", fmt.Sprint(h.receive(plugin.AppendFrame(nil, plugin.FrameLog, 1, 0, nil)) != nil))
	h.closed()
	dispatchBatch(a)
	s.add("process died: interpreter", takeOut(&a.interpreter.outputBuffer))
	s.check(t, "plugins.txt")
}
