package server

import (
	"bytes"
	"fmt"
	"regexp"
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

// sequence is a server to which a sequence of random events happens, and what is known of them.
type sequence struct {
	*testing.T
	server  *Server
	routers []*routerConnection
	observe func(values ...any) // is given all output, and figures after each batch

	streams    int // opened, over all routers
	requests   int // besides the first
	notices    int
	keys       map[string]byte           // of requests, by ID
	receivedAt map[string]timeunit.Ticks // by ID
	runs       map[string]bool           // that were begun, by ID
	lastRun    map[byte]timeunit.Ticks   // when the attempt that ran last was received, by key
	numbers    map[*outputBuffer]int     // of connections, in the order of their first output
}

// playSequence has a sequence of events happen that data chooses. In the end every request must have had its one
// answer, and no idempotency key more than one run.
func playSequence(t *testing.T, data []byte) { playObserved(t, data, false, func(...any) {}) }

// playObserved is playSequence, and all output is observed. Where it must be the same each time the interpreter's link
// breaks and comes back with one request in hand at most: several are gone through in no order.
func playObserved(t *testing.T, data []byte, isRepeatable bool, observe func(...any)) {
	server, first := newRunningServer(t)
	server.loop = idleLoop{}
	server.interpreter.conn = discardConn{}
	first.conn = discardConn{}
	p := &sequence{
		T:          t,
		server:     server,
		routers:    []*routerConnection{first, connectRouter(server)},
		observe:    observe,
		streams:    1,
		keys:       map[string]byte{firstID: 'k'},
		receivedAt: map[string]timeunit.Ticks{firstID: server.now},
		runs:       map[string]bool{},
		lastRun:    map[byte]timeunit.Ticks{},
		numbers:    map[*outputBuffer]int{},
	}
	p.endBatch() // the first run's command leaves before anything is heard of it
	for len(data) >= 2 {
		p.event(data[0]%10, data[1], isRepeatable)
		p.endBatch()
		p.pass(timeunit.Ticks(data[1]) * 4)
		data = data[2:]
	}
	for range 900 { // everything that is owed is due by then
		p.pass(100)
	}
	for _, router := range p.routers {
		require.Zero(t, router.parser.OpenRequests(), "requests without an answer")
	}
	require.Zero(t, server.brokenInvariants)
}

// event has one thing happen; which is its choice among the possible ones of the kind.
func (p *sequence) event(kind, choice byte, isRepeatable bool) {
	router := p.routers[choice%2]
	chosen := p.pick(choice)
	switch kind {
	case 0, 1, 2:
		p.sendRequest(router, choice)
	case 3:
		p.abort(chosen)
	case 4:
		p.endRun(chosen, runStates[choice%4])
	case 5:
		if chosen != nil && chosen.runSent && chosen.call == nil && p.hasLink() {
			p.notices++
			notify(p.T, p.server, `{"type":"AWAIT","n":%d,"job":"%s","data":"eA=="}`, p.notices, chosen.id)
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

// pick returns a request in hand, the same each time, or nil.
func (p *sequence) pick(choice byte) *request {
	for i := 0; i <= p.requests; i++ {
		number := (i + int(choice)) % (p.requests + 1)
		if picked := p.server.requests.byID[fmt.Sprintf("%016x", 0xaa+number)]; picked != nil {
			return picked
		}
	}
	return nil
}

func (p *sequence) hasLink() bool { return p.server.interpreter.conn != nil }

// sendRequest has a router send a request with one of three keys.
func (p *sequence) sendRequest(router *routerConnection, choice byte) {
	if router.conn == nil || router.parser.OpenRequests() == fastcgi.MaxOpenRequests || p.streams > 200 {
		return
	}
	p.requests++
	p.streams++
	id := fmt.Sprintf("%016x", 0xaa+p.requests)
	key := 'k' + choice%3
	p.keys[id] = key
	p.receivedAt[id] = p.server.now / 10 * 10
	records := bytes.ReplaceAll([]byte(wholeRequest), []byte(firstID), []byte(id))
	records = bytes.Replace(records, []byte("HTTP_ONCE_KEYk"), fmt.Appendf(nil, "HTTP_ONCE_KEY%c", key), 1)
	records = bytes.Replace(records, []byte("1000000"), fmt.Appendf(nil, "%07d", p.server.now/10), 1)
	for at := 0; at < len(records); at += 8 + int(records[at+5]) { // each record bears the stream's number
		records[at+2] = byte(p.streams >> 8)
		records[at+3] = byte(p.streams)
	}
	feed(p.T, router, string(records))
}

// abort has the router of a request stop waiting.
func (p *sequence) abort(aborted *request) {
	if aborted == nil || aborted.router == nil {
		return
	}
	stream := aborted.stream.ID
	feed(p.T, aborted.router, string([]byte{1, 2, byte(stream >> 8), byte(stream), 0, 0, 0, 0}))
}

// endRun has the interpreter tell the end of a run.
func (p *sequence) endRun(ended *request, state string) {
	if ended == nil || !ended.runSent || !p.hasLink() {
		return
	}
	p.notices++
	if state == "MOOT" && !ended.runConfirmed && !ended.runDone {
		delete(p.lastRun, p.keys[ended.id]) // it never ran
	}
	notify(p.T, p.server, `{"type":"VALUE","n":%d,"job":"%s","state":"%s","took":9,"data":"eA=="}`,
		p.notices, ended.id, state)
}

// indexEvent has the index answer the call of a request, or its connection open, or close.
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

// toggleLink breaks the interpreter's link, or has it come back.
func (p *sequence) toggleLink() {
	if p.hasLink() {
		p.server.interpreter.closed()
		return
	}
	p.server.interpreter.opened(discardConn{})
	notify(p.T, p.server, `{"type":"BANNER","state":"WARM","took":1}`)
}

// pass moves the time on, as after a standstill: the steps are long.
func (p *sequence) pass(span timeunit.Ticks) {
	p.server.now += span
	p.server.admission.Advance(p.server.now)
	p.server.resumeAfterStandstill()
	p.endBatch()
}

// endBatch dispatches until nothing more comes of it, and has all output leave.
func (p *sequence) endBatch() {
	s := p.server
	for range 3 {
		dispatchBatch(s)
		p.takeCommands()
	}
	for _, output := range s.pendingWrites {
		if output != &s.interpreter.outputBuffer {
			p.observeOutput(output)
			output.output = nil
		}
	}
	s.pendingWrites = nil
	s.buffers.inUse = 0
	stats := s.admission.Stats()
	p.observe(int64(s.now), s.requests.count(), s.index.inFlight, s.index.connections, len(s.requests.entries),
		stats.Queued, stats.Running, stats.WaitingAtCalls)
}

func (p *sequence) observeOutput(of *outputBuffer) {
	if len(of.output) == 0 {
		return
	}
	if _, known := p.numbers[of]; !known {
		p.numbers[of] = len(p.numbers)
	}
	p.observe(p.numbers[of], string(of.output))
}

// takeCommands is the interpreter: it begins runs and answers questions for the gauges, in that order. A command to run
// does nothing where its request runs, and starts nothing where that is over.
func (p *sequence) takeCommands() {
	p.observeOutput(&p.server.interpreter.outputBuffer)
	output := takeOutput(&p.server.interpreter.outputBuffer)
	for _, match := range runCommandPattern.FindAllStringSubmatch(output, -1) {
		p.beginRun(match[1])
	}
	if !p.hasLink() {
		return
	}
	var questions []string
	for _, line := range strings.Split(output, "\n") {
		if tag, isQuestion := strings.CutPrefix(line, `{"type":"TOP","ref":"`); isQuestion {
			questions = append(questions, strings.TrimSuffix(tag, `"}`))
		}
	}
	for i := len(questions) - 1; i >= 0; i-- { // the last first
		notify(p.T, p.server, `{"type":"TOPS","ref":"%s","gauges":[0.5,1]}`, questions[i])
	}
}

func (p *sequence) beginRun(id string) {
	if p.runs[id] {
		return
	}
	last, hasRun := p.lastRun[p.keys[id]]
	require.False(p, hasRun && p.receivedAt[id] < last+50_000, "a run begun twice")
	p.runs[id] = true
	p.lastRun[p.keys[id]] = p.receivedAt[id]
}

func FuzzSequences(f *testing.F) {
	f.Add([]byte("\x00\x00\x00\x02\x00\x04\x04\x00\x04\x01\x00\x00\x05\x00\x06\x00\"7000000")) // MOOT of a run heard of
	f.Add([]byte{0, 0, 0, 2, 0, 4, 4, 0, 4, 1, 0, 0, 5, 0, 6, 0, 6, 3, 6, 0, 8, 7, 0, 1})
	f.Add([]byte{0, 0, 0, 1, 7, 0, 0, 3, 7, 0, 4, 0, 3, 1, 8, 255, 8, 254, 0, 0, 4, 1})
	f.Fuzz(playSequence)
}
