package server

import (
	"net"
	"os/exec"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
	"thistlequay/internal/plugin/chain"
)

// newServerWithPlugin returns a server with one plug-in that has all permissions, and the plug-in's connection, which
// discards output.
func newServerWithPlugin(t *testing.T) (*Server, *pluginConnection) {
	t.Helper()
	server, _ := newServerWithRun(t)
	return server, addPlugin(t, server)
}

// addPlugin gives a server one plug-in that has all permissions, and returns the plug-in's connection, which discards
// output.
func addPlugin(t *testing.T, server *Server) *pluginConnection {
	t.Helper()
	allCategories := slices.Repeat([]bool{true}, len(server.config.Settings.Categories))
	policy := chain.Policy{
		Name:                 "p",
		Hooks:                [3]bool{true, true, true},
		Categories:           allCategories,
		MayReject:            true,
		TargetCategories:     allCategories,
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
	pluginChain := chain.New([]chain.Policy{policy}, nil, isNew, server.random, server.now)
	serverEnd, pluginEnd := net.Pipe()
	t.Cleanup(func() { _ = pluginEnd.Close() })
	process := &plugin.Process{Conn: serverEnd, Command: &exec.Cmd{}}
	connection := &pluginConnection{plugins: &server.plugins, config: &Plugins{}, chain: pluginChain, process: process}
	connection.outputBuffer = outputBuffer{server: server, maxUnread: maxUnreadPerLink, conn: discardConn{}}
	server.plugins.config = connection.config
	server.plugins.current = connection
	server.plugins.chain = pluginChain
	return connection
}

// categorySettings define a category for each way in which a request may be repeated.
const categorySettings = `{"Categories":[
{"Effect":"repeatable","HardLimit":8000,"Name":"read","OnTime":4000,"Worth":1},
{"Effect":"repeatable","HardLimit":8000,"Name":"other","OnTime":4000,"Worth":1},
{"Effect":"by_key","HardLimit":8000,"Name":"keyed","OnTime":4000,"Window":5000,"Worth":1},
{"Effect":"once","HardLimit":8000,"Name":"once","OnTime":4000,"Worth":1}],"FamilyInfo":{"CallShare":9,"CallsOver":5000,
"Cores":2,"Downstream":"common","MemoryKb":80000,"Meters":["core_use","on_cores"],"RunFactor":8,"Halt":"drop"},
"Servers":1,"Rules":{"TipMultiple":8}}`

// Guards against a verdict that ends the server: a request that a plug-in moves into another category, whatever that
// category says of repeats, runs in its own category, may still be repeated as that category allows, and is answered.
func TestRequestMovedIntoAnyCategoryIsServed(t *testing.T) {
	for _, target := range []string{"read", "other", "keyed", "once"} {
		t.Run(target, func(t *testing.T) {
			server := newIdleServer(t, categorySettings)
			connection := addPlugin(t, server)
			router := connectRouter(server)
			params := paramsWith("SCRIPT_NAME", "/rpc/read", "HTTP_ONCE_KEY", "")
			feed(t, router, requestRecords(1, params, "x"))
			verdict := abi.Verdict{Actions: abi.ActionCategorize, Category: target}
			deliverVerdict(t, server, connection, verdict)
			require.Zero(t, connection.chain.Plugins[0].Faults)
			run := `{"type":"APPLY","job":"` + firstID + `","kind":"read","data":"eA=="}`
			require.Contains(t, takeOutput(&server.interpreter.outputBuffer), run)
			require.Empty(t, server.requests.entries)

			notify(t, server, `{"type":"AWAIT","n":1,"job":"%s","data":"cQ=="}`, firstID)
			dispatchBatch(server)
			openCallConnection(server).closed() // the call may have had its effect, and is made again
			passTime(server, second)
			require.NotNil(t, server.requests.byID[firstID].call, "the call is not made again")
			require.NoError(t, openCallConnection(server).receive([]byte(firstID+" HIT 2\r\nok\r\n")))
			notify(t, server, `{"type":"VALUE","n":2,"job":"%s","state":"OK","took":5,"data":"eA=="}`, firstID)
			deliverVerdict(t, server, connection, abi.Verdict{})
			require.Contains(t, string(router.output), "Status: 200 OK")
			require.Zero(t, server.requests.count())
		})
	}
}

// deliverVerdict passes a verdict on the last call to the server.
func deliverVerdict(t *testing.T, server *Server, connection *pluginConnection, verdict abi.Verdict) {
	t.Helper()
	payload := verdict.Append([]byte{byte(plugin.CallSucceeded), 100, 0, 0, 0})
	frame := plugin.AppendFrame(nil, plugin.FrameVerdict, 0, server.plugins.lastCallID, payload)
	require.NoError(t, connection.receive(frame))
	dispatchBatch(server)
}

// The calls of a plug-in before and after a run, and the effects of its verdicts, match the golden file byte for byte.
func TestGoldenPlugins(t *testing.T) {
	var recorded transcript
	encodeEnd := func(outcome plugin.CallOutcome, verdict abi.Verdict) []byte {
		return verdict.Append([]byte{byte(outcome), 100, 0, 0, 0})
	}
	verdictOf := func(verdict abi.Verdict) []byte { return encodeEnd(plugin.CallSucceeded, verdict) }
	noop := verdictOf(abi.Verdict{})
	request := requestRecords(1, paramsWith(withRequestID("a1", "HTTP_ONCE_KEY", "l")...), "body")
	for _, test := range []struct {
		name   string
		read   []byte // verdict on the request; nil if the call times out
		result []byte // verdict on the result; nil if the call times out
	}{
		{"nothing said", noop, noop},
		{"no verdict at all", []byte{byte(plugin.CallSucceeded), 1, 0, 0, 0}, noop},
		{"declined", verdictOf(abi.Verdict{Actions: abi.ActionReject, Status: 403}), noop},
		{"declined as busy", verdictOf(abi.Verdict{Actions: abi.ActionReject, Status: 503}), noop},
		{"declined with a status that is none", verdictOf(abi.Verdict{Actions: abi.ActionReject, Status: 200}), noop},
		{"tagged", verdictOf(abi.Verdict{Actions: abi.ActionTag, Tag: "vip"}), noop},
		{"another category", verdictOf(abi.Verdict{Actions: abi.ActionCategorize, Category: "a"}), noop},
		{"an unknown category", verdictOf(abi.Verdict{Actions: abi.ActionCategorize, Category: "b"}), noop},
		{"cut", encodeEnd(plugin.CallTimedOut, abi.Verdict{}), encodeEnd(plugin.CallTrapped, abi.Verdict{})},
		{"unreadable", encodeEnd(plugin.CallMalformed, abi.Verdict{}), encodeEnd(plugin.CallNotStarted, abi.Verdict{})},
		{"bytes that are none", []byte{byte(plugin.CallSucceeded), 1, 0, 0, 0, 9}, []byte{1}},
		{"another result", noop, verdictOf(abi.Verdict{Actions: abi.ActionReplace, Body: []byte("y")})},
		{"a longer result", noop, verdictOf(abi.Verdict{Actions: abi.ActionReplace, Body: []byte("longer")})},
		{"silent", nil, nil},
	} {
		server, connection := newServerWithPlugin(t)
		router := connectRouter(server)
		deliverVerdict := func(hook string, payload []byte) {
			recorded.addOutput(hook+": asked", &connection.outputBuffer)
			if payload == nil {
				passTime(server, 200)
			} else {
				frame := plugin.AppendFrame(nil, plugin.FrameVerdict, 0, server.plugins.lastCallID, payload)
				require.NoError(t, feedInPieces(string(frame), 7, connection.receive))
			}
			dispatchBatch(server)
			recorded.addResponses(hook+": ", server, router)
		}
		recorded.add("plug-in", test.name)
		feed(t, router, request)
		dispatchBatch(server)
		deliverVerdict("read", test.read)
		notify(t, server, `{"type":"VALUE","n":1,"job":"00000000000000a1","state":"OK","data":"eHh4"}`)
		dispatchBatch(server)
		deliverVerdict("result", test.result)
		recorded.addValues("books", connection.pendingCalls, connection.requests, server.plugins.lateVerdicts,
			server.requests.count(), connection.chain.Plugins[0].Faults)
	}
	server, connection := newServerWithPlugin(t)
	feed(t, connectRouter(server), request)
	store := func(key, value string) {
		payload := append([]byte{byte(len(key))}, key+value...)
		require.NoError(t, connection.receive(plugin.AppendFrame(nil, plugin.FrameState, 0, 0, payload)))
	}
	store("k", "v")
	store("l", "w")
	store("l", "")
	counters := plugin.AppendFrame(nil, plugin.FrameCounters, 0, 0, []byte(`{"seen":3}`))
	require.NoError(t, connection.receive(counters))
	recorded.addValues("kept", server.plugins.snapshot(), server.plugins.stateBytes, server.plugins.counters)
	unknownPluginLog := plugin.AppendFrame(nil, plugin.FrameLog, 1, 0, nil)
	recorded.addValues("place beyond", connection.receive(unknownPluginLog) != nil)
	connection.closed()
	dispatchBatch(server)
	recorded.addOutput("process died: interpreter", &server.interpreter.outputBuffer)
	recorded.check(t, "plugins.txt")
}
