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
)

// transcript is a golden file of the bytes that go in and out, a line each.
type transcript struct{ text strings.Builder }

func (s *transcript) add(what string, data string) { fmt.Fprintf(&s.text, "%s: %q\n", what, data) }

// addValues adds values separated by spaces.
func (s *transcript) addValues(what string, values ...any) {
	s.add(what, strings.TrimSuffix(fmt.Sprintln(values...), "\n"))
}

func (s *transcript) check(t *testing.T, name string) { golden.Check(t, name, []byte(s.text.String())) }

// paramsWith returns the fields of the usual request with some of them replaced or added.
func paramsWith(changes ...string) [][2]string {
	fields := append([][2]string(nil), requestParams...)
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

var tooLongKey = strings.Repeat("k", maxKeyBytes+1)

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
	{"key beyond", []string{"HTTP_REQUEST_ID", "00000000000000a7", "HTTP_ONCE_KEY", tooLongKey}, "x"},
	{"two faults", []string{"REQUEST_METHOD", "GET", "HTTP_REQUEST_ID", "1", "HTTP_SENT_BY", ""}, "x"},
}

// What a router is answered, byte for byte, from the first request until after the notice to leave.
func TestGoldenRequests(t *testing.T) {
	var s transcript
	a, first := newRunningServer(t)
	a.loop, first.conn, a.routers.maxConnections = idleLoop{}, discardConn{}, 1000
	exchange := func(name string, keep byte, fields [][2]string, body string) {
		c := connectRouter(a)
		text := requestRecords(keep, fields, body)
		closes := c.parser.Feed([]byte(text), c) != nil
		dispatchBatch(a)
		s.addValues(name, closes, c.closeAfterWrite, takeOutput(&c.outputBuffer))
	}
	s.add("first run", takeOutput(&a.interpreter.outputBuffer))
	for _, one := range requestCases {
		exchange(one.name, 1, paramsWith(one.changes...), one.body)
	}
	exchange("a field twice", 1, append(paramsWith(), [2]string{"HTTP_SENT_BY", "2"}), "x")
	exchange("not kept", 0, paramsWith("SCRIPT_NAME", "/health"), "")
	s.add("runs", takeOutput(&a.interpreter.outputBuffer))
	aborted := connectRouter(a)
	feed(t, aborted, requestRecords(1, paramsWith("HTTP_REQUEST_ID", "00000000000000b1", "HTTP_ONCE_KEY", "n"), "x"))
	require.NoError(t, aborted.parser.Feed([]byte{1, 2, 0, 1, 0, 0, 0, 0}, aborted))
	dispatchBatch(a)
	s.add("aborted", takeOutput(&aborted.outputBuffer))
	half := connectRouter(a)
	require.NoError(t, half.parser.Feed([]byte(requestRecords(1, paramsWith(), "x"))[:40], half))
	passTime(a, firstRequestTimeout)
	s.addValues("half a request", half.closeAfterWrite, takeOutput(&half.outputBuffer))
	a.routers.setLoadReport(0.25)
	exchange("with the free value", 1, paramsWith("SCRIPT_NAME", "/health"), "")
	a.directory.opened(discardConn{})
	takeOutput(&a.directory.outputBuffer)
	a.beginShutdown()
	s.add("directory", takeOutput(&a.directory.outputBuffer))
	exchange("leaving: health", 1, paramsWith("SCRIPT_NAME", "/health"), "")
	late := paramsWith("HTTP_REQUEST_ID", "00000000000000c1", "HTTP_ONCE_KEY", "o", "HTTP_RECEIVED_AT", "1001500")
	exchange("leaving: request", 1, late, "x")
	for range 70 {
		passTime(a, second/10)
	}
	s.add("at its deadline", takeOutput(&first.outputBuffer))
	s.add("to the interpreter", takeOutput(&a.interpreter.outputBuffer))
	fresh := New(a.config, a.log)
	fresh.now, fresh.loop = 10_000_000, idleLoop{}
	c := connectRouter(fresh)
	feed(t, c, wholeRequest)
	s.add("starting", takeOutput(&c.outputBuffer))
	s.check(t, "requests.txt")
}

// What each of the interpreter's notices does, byte for byte: whether it closes the link, what goes to the router, to
// the interpreter and to the index.
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
		`{"type":"AWAIT","n":1,"job":"JOB","data":"cQ=="}` + "\n" +
			`{"type":"VALUE","n":2,"job":"JOB","state":"OK","data":"eQ=="}`,
		`{"type":"AWAIT","n":3,"job":"JOB","data":"cQ=="}` + "\n" +
			`{"type":"VALUE","n":3,"job":"JOB","state":"OK","data":"eQ=="}`,
		`{"type":"AWAIT","n":1,"job":"JOB"}` + "\n" + `{"type":"VALUE","n":2,"job":"JOB","state":"MOOT"}`,
		`{"type":"TOPS","ref":"1","gauges":[1,2]}`,
		`{"type":"TOPS","ref":"1","gauges":["a"]}`,
		`{"type":"ERROR","state":"APPLY","job":"JOB"}`,
		`{"type":"ERROR","state":"BREAK","job":"JOB"}`,
		`{"type":"TRACE","n":9}`,
		`{"type":"BANNER","state":"COLD","took":3}`,
		`{"type":"OTHER"}`, `[]`, ` `, strings.Repeat("x", maxLineBytes+1),
	} {
		a, c := newServerWithRun(t)
		closes := a.interpreter.receive([]byte(strings.ReplaceAll(lines, "JOB", firstID)+"\n")) != nil
		dispatchBatch(a)
		s.add("notice", lines[:min(len(lines), 200)])
		s.addValues("closes", closes, a.interpreter.lastNotice, a.requests.count(), a.index.inFlight)
		s.add("router", takeOutput(&c.outputBuffer))
		s.add("interpreter", takeOutput(&a.interpreter.outputBuffer))
		if it := a.requests.byID[firstID]; it != nil && it.call != nil {
			l := it.call.connection
			l.opened(discardConn{})
			s.add("index", takeOutput(&l.outputBuffer))
		}
	}
	s.check(t, "notices.txt")
}

// What each of the index's replies does, byte for byte.
func TestGoldenReplies(t *testing.T) {
	var s transcript
	for _, text := range []string{
		"JOB HIT 2\r\nok\r\n", "JOB HIT 0\r\n\r\n", "JOB SHED\r\n", "JOB BROKEN\r\n", "JOB SLOW\r\n", "JOB NOBODY\r\n",
		"JOB HIT\r\n", "JOB SHED 2\r\nok\r\n", "JOB OTHER\r\n", "JOB\r\n", "1 SHED\r\n",
		"JOB HIT x\r\n", "JOB HIT 65537\r\n",
		"JOB HIT 2\r\nokxx", "JOB HIT 2\r\nok", "00000000000000ff SHED\r\n", "00000000000000ff SHED\r\nJOB SLOW\r\n",
		"JOB SLOW\r\nJOB SLOW\r\n", strings.Repeat("x", 129), strings.Repeat("x", 128), "\r\n",
	} {
		a, c, l := newServerWithCall(t)
		c.conn = discardConn{}
		a.interpreter.output = nil
		s.add("call", takeOutput(&l.outputBuffer))
		closes := l.receive([]byte(strings.ReplaceAll(text, "JOB", firstID))) != nil
		if closes {
			l.closed()
		}
		dispatchBatch(a)
		s.add("reply", text)
		s.addValues("closes", closes, a.index.inFlight, len(a.index.idle), a.index.connections)
		s.add("router", takeOutput(&c.outputBuffer))
		s.add("interpreter", takeOutput(&a.interpreter.outputBuffer))
	}
	a, _, l := newServerWithCall(t)
	takeOutput(&l.outputBuffer)
	a.interpreter.output = nil
	passTime(a, 100_000)
	s.addValues("given up", l.call == nil, a.index.inFlight, takeOutput(&a.interpreter.outputBuffer))
	s.check(t, "replies.txt")
}

// A link to the interpreter that breaks and comes back, byte for byte.
func TestGoldenReconnect(t *testing.T) {
	var s transcript
	a, c := newServerWithRun(t)
	for i := range 2 {
		a.interpreter.conn = discardConn{}
		a.interpreter.closed()
		a.interpreter.opened(discardConn{})
		s.add("connect", takeOutput(&a.interpreter.outputBuffer))
		notify(t, a, `{"type":"BANNER","state":"WARM","took":1}`)
		s.add("fence", takeOutput(&a.interpreter.outputBuffer))
		notify(t, a, `{"type":"TOPS","ref":"%s","gauges":[1,2]}`, a.interpreter.replayFence)
		s.add("ready", takeOutput(&a.interpreter.outputBuffer))
		if i == 0 {
			notify(t, a, `{"type":"AWAIT","n":1,"job":"%s","data":"cQ=="}`, firstID)
			dispatchBatch(a)
			l := a.requests.byID[firstID].call.connection
			l.opened(discardConn{})
			s.add("call", takeOutput(&l.outputBuffer))
			require.NoError(t, l.receive([]byte(firstID+" HIT 2\r\nok\r\n")))
			s.add("resolve", takeOutput(&a.interpreter.outputBuffer))
		}
	}
	notify(t, a, `{"type":"VALUE","n":2,"job":"%s","state":"OK","took":5,"data":"eA=="}`, firstID)
	dispatchBatch(a)
	s.add("router", takeOutput(&c.outputBuffer))
	s.check(t, "reconnect.txt")
}

// The reports to the directory and what its answers do, byte for byte.
func TestGoldenDirectory(t *testing.T) {
	var s transcript
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 404 No\r\ncontent-length:0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
		"FTP/1.1 200 OK\r\n\r\n", "HTTP/1.1\r\n\r\n", strings.Repeat("x", maxAnswerBytes+1),
		strings.Repeat("x", maxAnswerBytes), "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		a, _ := newServerWithRun(t)
		d := &a.directory
		a.config.Directory = "directory:1"
		a.routers.admissionHealthy = len(text)%2 == 0
		d.opened(discardConn{})
		s.add("report", takeOutput(&d.outputBuffer))
		closes := d.receive([]byte(text)) != nil
		s.add("answer", text[:min(len(text), 100)])
		isAwaiting := d.state == directoryAwaitingAnswer
		s.addValues("closes", closes, isAwaiting, int64(d.reportTimer.deadline-a.now), len(d.partial))
		passTime(a, reportInterval)
		s.addValues("next", d.missedReports, d.consecutiveMisses, takeOutput(&d.outputBuffer))
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

// newServerWithPlugin makes a server whose requests are shown to one plug-in that may do everything, on a connection
// that nothing leaves.
func newServerWithPlugin(t *testing.T) (*Server, *pluginConnection) {
	a, _ := newServerWithRun(t)
	policy := chain.Policy{
		Name:                 "p",
		Hooks:                [3]bool{true, true, true},
		Categories:           []bool{true},
		MayReject:            true,
		TargetCategories:     []bool{true},
		MayTag:               true,
		MayRewrite:           true,
		CallTimeout:          100,
		MaxTimeFraction:      0.5,
		CoreFraction:         1,
		TickInterval:         10 * second,
		MaxConsecutiveFaults: 3,
		MaxFaultRate:         1,
		MinQuarantine:        1000,
		MaxQuarantine:        10_000,
	}
	isNew := func(string) bool { return false }
	pluginChain := chain.New([]chain.Policy{policy}, nil, isNew, a.random, a.now)
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _ = theirs.Close() })
	process := &plugin.Process{Conn: ours, Command: &exec.Cmd{}}
	h := &pluginConnection{part: &a.plugins, config: &Plugins{}, chain: pluginChain, process: process}
	h.outputBuffer = outputBuffer{server: a, maxUnread: maxUnreadPerLink, conn: discardConn{}}
	a.plugins.config, a.plugins.live, a.plugins.chain = h.config, h, pluginChain
	return a, h
}

// What a process of plug-ins is asked and what its verdicts do, byte for byte, before a run and after.
func TestGoldenPlugins(t *testing.T) {
	var s transcript
	verdict := func(outcome plugin.CallOutcome, v abi.Verdict) []byte {
		return v.Append([]byte{byte(outcome), 100, 0, 0, 0})
	}
	says := func(v abi.Verdict) []byte { return verdict(plugin.CallSucceeded, v) }
	nothing := says(abi.Verdict{})
	for _, one := range []struct {
		name         string
		read, result []byte
	}{
		{"nothing said", nothing, nothing},
		{"no verdict at all", []byte{byte(plugin.CallSucceeded), 1, 0, 0, 0}, nothing},
		{"declined", says(abi.Verdict{Actions: abi.ActionReject, Status: 403}), nothing},
		{"declined as busy", says(abi.Verdict{Actions: abi.ActionReject, Status: 503}), nothing},
		{"declined with a status that is none", says(abi.Verdict{Actions: abi.ActionReject, Status: 200}), nothing},
		{"tagged", says(abi.Verdict{Actions: abi.ActionTag, Tag: "vip"}), nothing},
		{"another category", says(abi.Verdict{Actions: abi.ActionCategorize, Category: "a"}), nothing},
		{"an unknown category", says(abi.Verdict{Actions: abi.ActionCategorize, Category: "b"}), nothing},
		{"cut", verdict(plugin.CallTimedOut, abi.Verdict{}), verdict(plugin.CallTrapped, abi.Verdict{})},
		{"unreadable", verdict(plugin.CallMalformed, abi.Verdict{}), verdict(plugin.CallNotStarted, abi.Verdict{})},
		{"bytes that are none", []byte{byte(plugin.CallSucceeded), 1, 0, 0, 0, 9}, []byte{1}},
		{"another result", nothing, says(abi.Verdict{Actions: abi.ActionReplace, Body: []byte("y")})},
		{"a longer result", nothing, says(abi.Verdict{Actions: abi.ActionReplace, Body: []byte("longer")})},
		{"silent", nil, nil},
	} {
		a, h := newServerWithPlugin(t)
		c := connectRouter(a)
		say := func(point string, payload []byte) {
			s.add(point+": asked", takeOutput(&h.outputBuffer))
			if payload == nil {
				passTime(a, 200)
			} else {
				frame := plugin.AppendFrame(nil, plugin.FrameVerdict, 0, a.plugins.lastCall, payload)
				require.NoError(t, feedInPieces(string(frame), 7, h.receive))
			}
			dispatchBatch(a)
			s.add(point+": router", takeOutput(&c.outputBuffer))
			s.add(point+": interpreter", takeOutput(&a.interpreter.outputBuffer))
		}
		s.add("plug-in", one.name)
		text := requestRecords(1, paramsWith("HTTP_REQUEST_ID", "00000000000000a1", "HTTP_ONCE_KEY", "l"), "body")
		feed(t, c, text)
		dispatchBatch(a)
		say("read", one.read)
		notify(t, a, `{"type":"VALUE","n":1,"job":"00000000000000a1","state":"OK","data":"eHh4"}`)
		dispatchBatch(a)
		say("result", one.result)
		s.addValues("books", h.pendingCalls, h.requests, a.plugins.lateVerdicts, a.requests.count(),
			h.chain.Plugins[0].Faults)
	}
	a, h := newServerWithPlugin(t)
	c := connectRouter(a)
	feed(t, c, requestRecords(1, paramsWith("HTTP_REQUEST_ID", "00000000000000a1", "HTTP_ONCE_KEY", "l"), "body"))
	keep := func(key, value string) {
		payload := append([]byte{byte(len(key))}, key+value...)
		require.NoError(t, h.receive(plugin.AppendFrame(nil, plugin.FrameState, 0, 0, payload)))
	}
	keep("k", "v")
	keep("l", "w")
	keep("l", "")
	require.NoError(t, h.receive(plugin.AppendFrame(nil, plugin.FrameCounters, 0, 0, []byte(`{"seen":3}`))))
	s.addValues("kept", a.plugins.snapshot(), a.plugins.stateBytes, a.plugins.counters)
	s.addValues("place beyond", h.receive(plugin.AppendFrame(nil, plugin.FrameLog, 1, 0, nil)) != nil)
	h.closed()
	dispatchBatch(a)
	s.add("process died: interpreter", takeOutput(&a.interpreter.outputBuffer))
	s.check(t, "plugins.txt")
}
