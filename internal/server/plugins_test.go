package server

import (
	"net"
	"os/exec"
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
	pluginChain := chain.New([]chain.Policy{policy}, nil, isNew, server.random, server.now)
	serverEnd, pluginEnd := net.Pipe()
	t.Cleanup(func() { _ = pluginEnd.Close() })
	process := &plugin.Process{Conn: serverEnd, Command: &exec.Cmd{}}
	connection := &pluginConnection{plugins: &server.plugins, config: &Plugins{}, chain: pluginChain, process: process}
	connection.outputBuffer = outputBuffer{server: server, maxUnread: maxUnreadPerLink, conn: discardConn{}}
	server.plugins.config = connection.config
	server.plugins.current = connection
	server.plugins.chain = pluginChain
	return server, connection
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
