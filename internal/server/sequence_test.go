package server

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/fastcgi"
	"thistlequay/timeunit"
)

var (
	runCommandPattern = regexp.MustCompile(`APPLY","job":"(\w+)"`)
	runStates         = []string{"OK", "ERROR", "STOPPED", "MOOT"}
	indexReplies      = []string{"HIT 2\r\nok", "SHED", "BROKEN", "SLOW", "NOBODY"}
)

// sequence drives a server with a sequence of random events and tracks what was sent and run.
type sequence struct {
	*testing.T
	server  *Server
	routers []*routerConnection
	observe func(values ...any) // called with all output, and with statistics after each batch

	streamCount       int // number of FastCGI requests that the routers have opened
	requestCount      int // number of requests sent after the first
	noticeCount       int
	attempts          map[string]*attempt     // by request ID
	lastRun           map[byte]timeunit.Ticks // Received-At of the attempt that ran last, by idempotency key
	connectionNumbers map[*outputBuffer]int   // connection numbers, in the order of the first output
}

// attempt is a request that was sent to the server.
type attempt struct {
	key        byte
	receivedAt timeunit.Ticks
	hasRun     bool
}

// playSequence plays the sequence of events that data encodes, two bytes for each event. At the end, every request must
// have had exactly one response, and no idempotency key more than one run within its deduplication window.
func playSequence(t *testing.T, data []byte) { playSequenceObserved(t, data, false, func(...any) {}) }

// playSequenceObserved is like playSequence and passes all output to observe. If isRepeatable is set, the same data
// always produces the same output: the interpreter's link then breaks or is restored only while at most one request is
// open, because the server visits several in map order, which is random.
func playSequenceObserved(t *testing.T, data []byte, isRepeatable bool, observe func(...any)) {
	t.Helper()
	server, first := newRunningServer(t)
	server.interpreter.conn = discardConn{}
	first.conn = discardConn{}
	p := &sequence{
		T:                 t,
		server:            server,
		routers:           []*routerConnection{first, connectRouter(server)},
		observe:           observe,
		streamCount:       1,
		attempts:          map[string]*attempt{firstID: {key: 'k', receivedAt: server.now}},
		lastRun:           map[byte]timeunit.Ticks{},
		connectionNumbers: map[*outputBuffer]int{},
	}
	p.endBatch() // sends the command of the first run before any notice about it can arrive
	for len(data) >= 2 {
		p.playEvent(data[0]%10, data[1], isRepeatable)
		p.endBatch()
		p.passTime(timeunit.Ticks(data[1]) * 4)
		data = data[2:]
	}
	for range 900 { // 9 s, which exceeds the deadline of every request
		p.passTime(100)
	}
	for _, router := range p.routers {
		require.Zero(t, router.parser.OpenRequests(), "requests without a response")
	}
	require.Zero(t, server.brokenInvariants)
}

// playEvent plays one event of the given kind; choice selects its details.
func (p *sequence) playEvent(kind, choice byte, isRepeatable bool) {
	router := p.routers[choice%2]
	chosen := p.pickRequest(choice)
	switch kind {
	case 0, 1, 2:
		p.sendRequest(router, choice)
	case 3:
		p.abort(chosen)
	case 4:
		p.endRun(chosen, runStates[choice%4])
	case 5:
		if chosen != nil && chosen.runSent && chosen.call == nil && p.hasLink() {
			p.noticeCount++
			notify(p.T, p.server, `{"type":"AWAIT","n":%d,"job":"%s","data":"eA=="}`, p.noticeCount, chosen.id)
		}
	case 6:
		p.indexEvent(chosen, choice)
	case 7:
		if !isRepeatable || p.server.requests.count() <= 1 {
			p.toggleLink()
		}
	case 8:
		if choice > 250 && router.conn != nil {
			router.closed()
		} else if choice == 7 {
			p.server.admission.Drain(20_000)
		}
	}
}

// pickRequest returns the open request that choice selects, or nil if none is open. The selection is deterministic.
func (p *sequence) pickRequest(choice byte) *request {
	for i := 0; i <= p.requestCount; i++ {
		number := (i + int(choice)) % (p.requestCount + 1)
		if picked := p.server.requests.byID[fmt.Sprintf("%016x", 0xaa+number)]; picked != nil {
			return picked
		}
	}
	return nil
}

func (p *sequence) hasLink() bool { return p.server.interpreter.conn != nil }

// sendRequest sends a request from a router with one of three idempotency keys.
func (p *sequence) sendRequest(router *routerConnection, choice byte) {
	if router.conn == nil || router.parser.OpenRequests() == fastcgi.MaxOpenRequests || p.streamCount > 200 {
		return
	}
	p.requestCount++
	p.streamCount++
	id := fmt.Sprintf("%016x", 0xaa+p.requestCount)
	key := 'k' + choice%3
	p.attempts[id] = &attempt{key: key, receivedAt: p.server.now / 10 * 10}
	records := bytes.ReplaceAll([]byte(wholeRequest), []byte(firstID), []byte(id))
	records = bytes.Replace(records, []byte("HTTP_ONCE_KEYk"), fmt.Appendf(nil, "HTTP_ONCE_KEY%c", key), 1)
	records = bytes.Replace(records, []byte("1000000"), fmt.Appendf(nil, "%07d", p.server.now/10), 1)
	// Set the FastCGI request ID of each record.
	for offset := 0; offset < len(records); offset += 8 + int(records[offset+5]) {
		records[offset+2] = byte(p.streamCount >> 8)
		records[offset+3] = byte(p.streamCount)
	}
	feed(p.T, router, string(records))
}

// abort sends an abort of the request from its router.
func (p *sequence) abort(req *request) {
	if req == nil || req.router == nil {
		return
	}
	stream := req.stream.ID
	feed(p.T, req.router, string([]byte{1, 2, byte(stream >> 8), byte(stream), 0, 0, 0, 0}))
}

// endRun sends the interpreter's notice that a run has ended.
func (p *sequence) endRun(req *request, state string) {
	if req == nil || !req.runSent || !p.hasLink() {
		return
	}
	p.noticeCount++
	if state == "MOOT" && !req.runConfirmed && !req.runDone {
		delete(p.lastRun, p.attempts[req.id].key) // it never ran
	}
	notify(p.T, p.server, `{"type":"VALUE","n":%d,"job":"%s","state":"%s","took":9,"data":"eA=="}`,
		p.noticeCount, req.id, state)
}

// indexEvent sends the index's reply to a request's downstream call, or opens or closes the call's connection.
func (p *sequence) indexEvent(caller *request, choice byte) {
	if caller == nil || caller.call == nil || caller.call.connection == nil {
		return
	}
	connection := caller.call.connection
	switch {
	case connection.conn == nil:
		connection.opened(discardConn{})
	case choice > 200:
		connection.closed()
	default:
		if connection.receive([]byte(caller.id+" "+indexReplies[choice%5]+"\r\n")) != nil {
			connection.closed()
		}
	}
}

// toggleLink breaks the interpreter's link, or restores it.
func (p *sequence) toggleLink() {
	if p.hasLink() {
		p.server.interpreter.closed()
		return
	}
	p.server.interpreter.opened(discardConn{})
	notify(p.T, p.server, `{"type":"BANNER","state":"WARM","took":1}`)
}

// passTime advances the time in one step and ends the batch. Late timers fire as they do after a pause of the process.
func (p *sequence) passTime(span timeunit.Ticks) {
	advanceTime(p.server, span)
	p.endBatch()
}

// endBatch dispatches three times, after which a dispatch has no further effect, and then discards all output.
func (p *sequence) endBatch() {
	server := p.server
	for range 3 {
		dispatchBatch(server)
		p.takeCommands()
	}
	for _, output := range server.pendingWrites {
		if output != &server.interpreter.outputBuffer {
			p.observeOutput(output)
			output.output = nil
		}
	}
	server.pendingWrites = nil
	stats := server.admission.Stats()
	p.observe(int64(server.now), server.requests.count(), server.index.inFlight, server.index.connections,
		len(server.requests.entries), stats.Queued, stats.Running, stats.WaitingAtCalls)
}

func (p *sequence) observeOutput(buffer *outputBuffer) {
	if len(buffer.output) == 0 {
		return
	}
	if _, known := p.connectionNumbers[buffer]; !known {
		p.connectionNumbers[buffer] = len(p.connectionNumbers)
	}
	p.observe(p.connectionNumbers[buffer], string(buffer.output))
}

// takeCommands acts as the interpreter on the commands that the server has sent: it first starts runs and then answers
// queries for the gauges. A run command has no effect if the request is running or has run.
func (p *sequence) takeCommands() {
	p.observeOutput(&p.server.interpreter.outputBuffer)
	output := takeOutput(&p.server.interpreter.outputBuffer)
	for _, match := range runCommandPattern.FindAllStringSubmatch(output, -1) {
		p.startRun(match[1])
	}
	if !p.hasLink() {
		return
	}
	var queries []string
	for _, line := range strings.Split(output, "\n") {
		if tag, isQuery := strings.CutPrefix(line, `{"type":"TOP","ref":"`); isQuery {
			queries = append(queries, strings.TrimSuffix(tag, `"}`))
		}
	}
	for _, tag := range slices.Backward(queries) {
		notify(p.T, p.server, `{"type":"TOPS","ref":"%s","gauges":[0.5,1]}`, tag)
	}
}

func (p *sequence) startRun(id string) {
	run := p.attempts[id]
	if run.hasRun {
		return
	}
	lastReceivedAt, keyHasRun := p.lastRun[run.key]
	require.False(p, keyHasRun && run.receivedAt < lastReceivedAt+50_000, "a run started twice")
	run.hasRun = true
	p.lastRun[run.key] = run.receivedAt
}

func FuzzSequences(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x02\x00\x04\x04\x00\x04\x01\x00\x00\x05\x00\x06\x00\"7000000")) // MOOT, run confirmed
	f.Add([]byte{0, 0, 0, 2, 0, 4, 4, 0, 4, 1, 0, 0, 5, 0, 6, 0, 6, 3, 6, 0, 8, 7, 0, 1})
	f.Add([]byte{0, 0, 0, 1, 7, 0, 0, 3, 7, 0, 4, 0, 3, 1, 8, 255, 8, 254, 0, 0, 4, 1})
	f.Fuzz(playSequence)
}
