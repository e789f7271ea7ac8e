package server

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
)

// transcript builds a golden file with one labeled line for each piece of input or output. The labels, including the
// names of test cases, are part of the recorded files and must not change.
type transcript struct{ text strings.Builder }

func (s *transcript) add(label, data string) { fmt.Fprintf(&s.text, "%s: %q\n", label, data) }

// addOutput adds the pending output of a connection and clears it.
func (s *transcript) addOutput(label string, buffer *outputBuffer) { s.add(label, takeOutput(buffer)) }

// addResponses adds the pending output to a router and to the interpreter.
func (s *transcript) addResponses(labelPrefix string, server *Server, router *routerConnection) {
	s.addOutput(labelPrefix+"router", &router.outputBuffer)
	s.addOutput(labelPrefix+"interpreter", &server.interpreter.outputBuffer)
}

// addValues adds values separated by spaces.
func (s *transcript) addValues(label string, values ...any) {
	s.add(label, strings.TrimSuffix(fmt.Sprintln(values...), "\n"))
}

func (s *transcript) check(t *testing.T, name string) {
	t.Helper()
	golden.Check(t, name, []byte(s.text.String()))
}

// paramsWith returns requestParams with some parameters replaced or added. changes alternates names and values.
func paramsWith(changes ...string) [][2]string {
	params := slices.Clone(requestParams)
	for change := range slices.Chunk(changes, 2) {
		changed := [2]string{change[0], change[1]}
		i := slices.IndexFunc(params, func(param [2]string) bool { return param[0] == changed[0] })
		if i >= 0 {
			params[i] = changed
		} else {
			params = append(params, changed)
		}
	}
	return params
}

// withRequestID returns changes for paramsWith that set a request ID with the given last two digits, followed by the
// other changes.
func withRequestID(lastDigits string, changes ...string) []string {
	return append([]string{"HTTP_REQUEST_ID", "00000000000000" + lastDigits}, changes...)
}

var tooLongKey = strings.Repeat("k", maxKeyBytes+1)

var requestCases = []struct {
	name    string
	changes []string
	body    string
}{
	{"accepted", withRequestID("a1", "HTTP_ONCE_KEY", "l"), "x"},
	{"no time left", withRequestID("a2", "HTTP_ONCE_KEY", "m", "HTTP_BUDGET_MS", "0"), "x"},
	{"repeat of the key", withRequestID("a3"), "x"},
	{"key with another body", withRequestID("a4"), "y"},
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
	{"received before all time", withRequestID("a5", "HTTP_RECEIVED_AT", "-1"), "x"},
	{"received at no number", withRequestID("a5", "HTTP_RECEIVED_AT", "x"), "x"},
	{"received in the future", withRequestID("a5", "HTTP_RECEIVED_AT", "1001001"), "x"},
	{"budget beyond", withRequestID("a5", "HTTP_BUDGET_MS", "16000"), "x"},
	{"budget below zero", withRequestID("a5", "HTTP_BUDGET_MS", "-0.1"), "x"},
	{"no sender", withRequestID("a5", "HTTP_SENT_BY", ""), "x"},
	{"sender beyond", withRequestID("a5", "HTTP_SENT_BY", "9007199254740992"), "x"},
	{"footprint of zero", withRequestID("a5", "HTTP_FOOTPRINT_KB", "0"), "x"},
	{"footprint beyond", withRequestID("a5", "HTTP_FOOTPRINT_KB", "2000"), "x"},
	{"rank beyond", withRequestID("a5", "HTTP_PRIORITY_RANK", "1"), "x"},
	{"account", withRequestID("a5", "HTTP_ACCOUNT", strings.Repeat("a", 100)), "x"},
	{"no key", withRequestID("a6", "HTTP_ONCE_KEY", ""), "x"},
	{"key beyond", withRequestID("a7", "HTTP_ONCE_KEY", tooLongKey), "x"},
	{"two faults", []string{"REQUEST_METHOD", "GET", "HTTP_REQUEST_ID", "1", "HTTP_SENT_BY", ""}, "x"},
}

// The server's output for valid and invalid requests, from the first request until the drain has ended, matches the
// golden file byte for byte.
func TestGoldenRequests(t *testing.T) {
	var recorded transcript
	server, first := newRunningServer(t)
	first.conn = discardConn{}
	server.routers.maxConnections = 1000
	exchange := func(name string, keepConnection byte, params [][2]string, body string) {
		router := connectRouter(server)
		records := requestRecords(keepConnection, params, body)
		closes := router.parser.Feed([]byte(records), router) != nil
		dispatchBatch(server)
		recorded.addValues(name, closes, router.closeAfterWrite, takeOutput(&router.outputBuffer))
	}
	healthCheck := paramsWith("SCRIPT_NAME", "/health")
	recorded.addOutput("first run", &server.interpreter.outputBuffer)
	for _, test := range requestCases {
		exchange(test.name, 1, paramsWith(test.changes...), test.body)
	}
	exchange("a field twice", 1, append(paramsWith(), [2]string{"HTTP_SENT_BY", "2"}), "x")
	exchange("not kept", 0, healthCheck, "")
	recorded.addOutput("runs", &server.interpreter.outputBuffer)
	aborted := connectRouter(server)
	feed(t, aborted, requestRecords(1, paramsWith(withRequestID("b1", "HTTP_ONCE_KEY", "n")...), "x"))
	require.NoError(t, aborted.parser.Feed([]byte{1, 2, 0, 1, 0, 0, 0, 0}, aborted))
	dispatchBatch(server)
	recorded.addOutput("aborted", &aborted.outputBuffer)
	incomplete := connectRouter(server)
	require.NoError(t, incomplete.parser.Feed([]byte(requestRecords(1, paramsWith(), "x"))[:40], incomplete))
	passTime(server, firstRequestTimeout)
	recorded.addValues("half a request", incomplete.closeAfterWrite, takeOutput(&incomplete.outputBuffer))
	server.routers.setLoadReport(0.25)
	exchange("with the free value", 1, healthCheck, "")
	server.directory.opened(discardConn{})
	takeOutput(&server.directory.outputBuffer)
	server.beginShutdown()
	recorded.addOutput("directory", &server.directory.outputBuffer)
	exchange("leaving: health", 1, healthCheck, "")
	lateParams := paramsWith(withRequestID("c1", "HTTP_ONCE_KEY", "o", "HTTP_RECEIVED_AT", "1001500")...)
	exchange("leaving: request", 1, lateParams, "x")
	for range 70 {
		passTime(server, second/10)
	}
	recorded.addOutput("at its deadline", &first.outputBuffer)
	recorded.addOutput("to the interpreter", &server.interpreter.outputBuffer)
	startingServer := New(server.config, server.log)
	startingServer.now = 10_000_000
	startingServer.loop = idleLoop{}
	router := connectRouter(startingServer)
	feed(t, router, wholeRequest)
	recorded.addOutput("starting", &router.outputBuffer)
	recorded.check(t, "requests.txt")
}

// The effects of each notice of the interpreter match the golden file byte for byte: whether the notice closes the
// link, and the output to the router, the interpreter and the index.
func TestGoldenNotices(t *testing.T) {
	var recorded transcript
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
		server, router := newServerWithRun(t)
		closes := server.interpreter.receive([]byte(strings.ReplaceAll(lines, "JOB", firstID)+"\n")) != nil
		dispatchBatch(server)
		recorded.add("notice", lines[:min(len(lines), 200)])
		recorded.addValues("closes", closes, server.interpreter.lastNotice, server.requests.count(),
			server.index.inFlight)
		recorded.addResponses("", server, router)
		if first := server.requests.byID[firstID]; first != nil && first.call != nil {
			recorded.addOutput("index", &openCallConnection(server).outputBuffer)
		}
	}
	recorded.check(t, "notices.txt")
}

// The effects of each reply of the index match the golden file byte for byte.
func TestGoldenReplies(t *testing.T) {
	var recorded transcript
	for _, text := range []string{
		"JOB HIT 2\r\nok\r\n", "JOB HIT 0\r\n\r\n", "JOB SHED\r\n", "JOB BROKEN\r\n", "JOB SLOW\r\n", "JOB NOBODY\r\n",
		"JOB HIT\r\n", "JOB SHED 2\r\nok\r\n", "JOB OTHER\r\n", "JOB\r\n", "1 SHED\r\n",
		"JOB HIT x\r\n", "JOB HIT 65537\r\n",
		"JOB HIT 2\r\nokxx", "JOB HIT 2\r\nok", "00000000000000ff SHED\r\n", "00000000000000ff SHED\r\nJOB SLOW\r\n",
		"JOB SLOW\r\nJOB SLOW\r\n", strings.Repeat("x", 129), strings.Repeat("x", 128), "\r\n",
	} {
		server, router, connection := newServerWithCall(t)
		router.conn = discardConn{}
		server.interpreter.output = nil
		recorded.addOutput("call", &connection.outputBuffer)
		closes := connection.receive([]byte(strings.ReplaceAll(text, "JOB", firstID))) != nil
		if closes {
			connection.closed()
		}
		dispatchBatch(server)
		recorded.add("reply", text)
		recorded.addValues("closes", closes, server.index.inFlight, len(server.index.idle), server.index.connections)
		recorded.addResponses("", server, router)
	}
	server, _, connection := newServerWithCall(t)
	takeOutput(&connection.outputBuffer)
	server.interpreter.output = nil
	passTime(server, 100_000)
	toInterpreter := takeOutput(&server.interpreter.outputBuffer)
	recorded.addValues("given up", connection.call == nil, server.index.inFlight, toInterpreter)
	recorded.check(t, "replies.txt")
}

// The output after a reconnection to the interpreter matches the golden file byte for byte.
func TestGoldenReconnect(t *testing.T) {
	var recorded transcript
	server, router := newServerWithRun(t)
	interpreter := &server.interpreter
	for i := range 2 {
		interpreter.conn = discardConn{}
		interpreter.closed()
		interpreter.opened(discardConn{})
		recorded.addOutput("connect", &interpreter.outputBuffer)
		notify(t, server, `{"type":"BANNER","state":"WARM","took":1}`)
		recorded.addOutput("fence", &interpreter.outputBuffer)
		notify(t, server, `{"type":"TOPS","ref":"%s","gauges":[1,2]}`, interpreter.replayEndTag)
		recorded.addOutput("ready", &interpreter.outputBuffer)
		if i == 0 {
			notify(t, server, `{"type":"AWAIT","n":1,"job":"%s","data":"cQ=="}`, firstID)
			dispatchBatch(server)
			connection := openCallConnection(server)
			recorded.addOutput("call", &connection.outputBuffer)
			require.NoError(t, connection.receive([]byte(firstID+" HIT 2\r\nok\r\n")))
			recorded.addOutput("resolve", &interpreter.outputBuffer)
		}
	}
	notify(t, server, `{"type":"VALUE","n":2,"job":"%s","state":"OK","took":5,"data":"eA=="}`, firstID)
	dispatchBatch(server)
	recorded.addOutput("router", &router.outputBuffer)
	recorded.check(t, "reconnect.txt")
}

// The reports to the directory and the effects of its answers match the golden file byte for byte.
func TestGoldenDirectory(t *testing.T) {
	var recorded transcript
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 404 No\r\ncontent-length:0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
		"FTP/1.1 200 OK\r\n\r\n", "HTTP/1.1\r\n\r\n", strings.Repeat("x", maxResponseBytes+1),
		strings.Repeat("x", maxResponseBytes), "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		server, _ := newServerWithRun(t)
		directory := &server.directory
		server.config.Directory = "directory:1"
		server.routers.admissionHealthy = len(text)%2 == 0
		directory.opened(discardConn{})
		recorded.addOutput("report", &directory.outputBuffer)
		closes := directory.receive([]byte(text)) != nil
		recorded.add("answer", text[:min(len(text), 100)])
		isAwaiting := directory.state == directoryAwaitingResponse
		nextReportIn := int64(directory.reportTimer.deadline - server.now)
		recorded.addValues("closes", closes, isAwaiting, nextReportIn, len(directory.partial))
		passTime(server, reportInterval)
		nextReport := takeOutput(&directory.outputBuffer)
		recorded.addValues("next", directory.missedReports, directory.consecutiveMisses, nextReport)
	}
	recorded.check(t, "directory.txt")
}

// The histories of seeded random sequences match the golden file. A history consists of the output of each connection
// and the server's statistics after each batch.
func TestGoldenSequences(t *testing.T) {
	file := schedule.GoldenFile{Name: "sequences.txt", Seeds: 300, SeedsPerLine: 10}
	file.Check(t, func(t *testing.T, seed int64, history *golden.History) {
		random := rand.New(rand.NewSource(seed))
		data := make([]byte, 2*(20+random.Intn(80)))
		random.Read(data)
		history.Add("seed", seed)
		playSequenceObserved(t, data, true, history.Add)
	})
}
