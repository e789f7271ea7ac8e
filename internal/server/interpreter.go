// This file owns the link to the interpreter: commands out, notices in, the gauges. It must never begin a run
// twice, pass a body or a result on changed, or send anything after a broken link before what is replayed has
// been taken.
package server

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"slices"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/admission"
	"thistlequay/internal/deployment"
	"thistlequay/timeunit"
)

const (
	maxLineBytes        = 256 << 10
	minGaugeWait        = timeunit.Ticks(10) // gauges are waited for so long at least
	gaugeWaitRoundTrips = 4                  // and else so many round trips
	commandLossWindow   = second / 10        // commands sent so short before a link broke may be lost: twice what is told
)

type interpreterClient struct {
	outputBuffer
	link          *outgoingConnection // the one that stands
	dialing       *outgoingConnection // a dial under way
	readySince    timeunit.Ticks      // that commands could go out
	ready         bool                // commands may go out: the interpreter is up and what it replays has been taken
	lastNotice    uint64
	partialLine   []byte
	categoryJSON  [][]byte // names of categories as JSON
	redialTimer   timer
	backoff       backoff
	gauges        admission.Gauges
	gaugesAt      timeunit.Ticks // when they were
	gaugesAskedAt timeunit.Ticks // 0 while no question is out
	roundTrip     float64
	wakeupPending bool         // the module's wake waits for them
	gaugeTimer    timer        // but no longer than this
	gaugeAges     lagHistogram // of what it was given
	lastTag       uint64
	replayFence   string // the question whose answer ends what is replayed
	errorCount    int
	linkCount     int
}

func (l *interpreterClient) start(a *Server) {
	l.outputBuffer = outputBuffer{server: a, maxUnread: maxUnreadPerLink}
	l.redialTimer.fire, l.gaugeTimer.fire = l.dial, l.deliverGauges
	l.categoryJSON = make([][]byte, len(a.config.Settings.Categories))
	for name, i := range a.config.Settings.CategoryIndex {
		l.categoryJSON[i], _ = json.Marshal(name)
	}
}

func (l *interpreterClient) dial() {
	if l.server.phase >= phaseStopped {
		return
	}
	l.server.stopTimer(&l.redialTimer)
	l.dialing.drop()
	l.dialing = l.server.dial(l.server.config.Interpreter, dialTimeout, l, func() {
		l.dialing = nil
		l.server.setTimer(&l.redialTimer, l.server.now+l.server.jitter(l.backoff.next()))
	})
}

// reconnect: the interpreter is at another address now. The old link is used until the new one stands and replaces it.
func (l *interpreterClient) reconnect() { l.dial() }

func (l *interpreterClient) opened(c gnet.Conn) {
	if l.conn != nil {
		l.link.drop()
		l.linkLost()
	}
	l.link, l.dialing = l.dialing, nil
	l.conn, l.partialLine, l.gaugesAskedAt = c, l.partialLine[:0], 0
	l.linkCount++
	l.output = strconv.AppendUint(append(l.buffer(), `{"type":"CONNECT","n":`...), l.lastNotice, 10)
	l.output = append(l.output, "}\n"...)
}

func (l *interpreterClient) closed() {
	stood := l.ready && l.server.now-l.readySince >= minRedialDelay
	l.linkLost()
	switch {
	case l.dialing != nil: // one is being dialled already
	case stood:
		l.backoff = backoff{}
		l.dial()
	default:
		l.server.setTimer(&l.redialTimer, l.server.now+l.server.jitter(l.backoff.next()))
	}
}

// linkLost: runs go on without a link. The last commands on it may have been lost with it, so they are given again once
// what is replayed has been taken. That begins no second run: an APPLY does nothing where its request runs, and
// starts nothing where that is over. One with effects is left to its time where it went out long before.
func (l *interpreterClient) linkLost() {
	if l.ready {
		l.server.log.Event("interpreter_lost").Uint64("last_notice", l.lastNotice).Int("requests", l.server.requests.count()).Send()
	}
	l.conn, l.ready = nil, false
	if l.output != nil {
		l.output = l.output[:0] // nothing meant for this link goes out on the next
	}
	for _, it := range l.server.requests.byID {
		if it.runSent && !it.runConfirmed {
			it.runPending = l.server.config.Settings.Categories[it.category].Idempotency == admission.Idempotent || l.mayBeLost(it.runSentAt)
			it.runInDoubt = !it.runPending
		}
		if it.lastReply != nil && l.mayBeLost(it.lastReplyAt) {
			it.pendingReply = it.lastReply
		}
		it.stopPending = it.stopPending || it.stopSent
	}
}

// close ends the link for good: all is answered, and no other is dialled.
func (l *interpreterClient) close() {
	l.dialing.drop()
	l.link.drop()
	l.conn, l.ready = nil, false
	l.server.stopTimer(&l.redialTimer)
}

func (l *interpreterClient) mayBeLost(said timeunit.Ticks) bool {
	return l.server.now-said < commandLossWindow
}

// becomeReady: from now on commands go out, first those that waited for a link.
func (l *interpreterClient) becomeReady() {
	l.ready, l.replayFence, l.readySince = true, "", l.server.now
	for _, it := range l.server.requests.byID {
		switch {
		case it.runDone:
		case it.runPending && it.router == nil && !it.runSent: // nobody waits for it, and it never left
			it.neverBegun()
		case it.runPending && !it.runConfirmed:
			l.run(it)
		case it.pendingReply != nil && it.router != nil:
			l.resolve(it, it.pendingReply)
		}
		if it.stopPending {
			l.stop(it)
		}
	}
}

func (l *interpreterClient) beginCommand(name string, it *request) []byte {
	out := append(append(append(l.buffer(), `{"type":"`...), name...), `","job":"`...)
	return append(append(out, it.id...), '"')
}

func appendData(out, data []byte) []byte {
	out = append(out, `,"data":"`...)
	return append(base64.StdEncoding.AppendEncode(out, data), "\"}\n"...)
}

func (l *interpreterClient) run(it *request) {
	if it.runPending = !l.ready; l.ready {
		it.runSent, it.runSentAt = true, l.server.now
		out := append(append(l.beginCommand("APPLY", it), `,"kind":`...), l.categoryJSON[it.category]...)
		l.output = appendData(out, it.body)
	}
}

func (l *interpreterClient) stop(it *request) {
	if it.stopPending = !l.ready; l.ready && !it.runDone {
		it.stopSent = true
		l.output = append(l.beginCommand("BREAK", it), "}\n"...)
	}
}

// resolve passes the reply to a run's call on.
func (l *interpreterClient) resolve(it *request, reply []byte) {
	it.reservation.Resume(l.server.now)
	if it.pendingReply = nil; l.ready {
		it.lastReply, it.lastReplyAt = reply, l.server.now
		l.output = appendData(l.beginCommand("RESOLVE", it), reply)
	} else {
		it.pendingReply = reply
	}
}

// onWakeup: the module is due for the gauges. What else is due is decided in this batch; only the wake waits for them,
// and not for long where the link is slow.
func (l *interpreterClient) onWakeup() {
	if !l.ready {
		l.deliverGauges()
		return
	}
	l.wakeupPending = true
	l.server.setTimer(&l.gaugeTimer, l.server.now+max(minGaugeWait, timeunit.Ticks(gaugeWaitRoundTrips*l.roundTrip)))
	if l.gaugesAskedAt == 0 {
		l.gaugesAskedAt = l.server.now
		l.askGauges()
	}
}

func (l *interpreterClient) deliverGauges() {
	l.wakeupPending = false
	l.server.stopTimer(&l.gaugeTimer)
	l.gaugeAges.add(l.server.now - l.gaugesAt)
	l.gauges.IsStale = l.gaugesAt < l.server.now // the link is down, or the answer late
	l.server.admission.OnTimer(l.gauges)
}

func (l *interpreterClient) askGauges() (tag string) {
	l.lastTag++
	tag = strconv.FormatUint(l.lastTag, 10)
	l.output = append(append(append(l.buffer(), `{"type":"TOP","ref":"`...), tag...), "\"}\n"...)
	return tag
}

func (l *interpreterClient) receive(data []byte) error {
	for len(data) > 0 {
		line, rest, whole := bytes.Cut(data, []byte{'\n'})
		data = rest
		if len(l.partialLine)+len(line) > maxLineBytes {
			return errors.New("a line from the interpreter is beyond the bound")
		}
		if !whole || len(l.partialLine) > 0 {
			l.partialLine = append(l.partialLine, line...)
			line = l.partialLine
		}
		if !whole {
			return nil
		}
		err := l.handleNotice(line)
		l.partialLine = l.partialLine[:0]
		if err != nil {
			return err
		}
	}
	return nil
}

func (l *interpreterClient) handleNotice(line []byte) error {
	var n struct {
		Type   string          `json:"type"`
		N      uint64          `json:"n"`
		Job    string          `json:"job"`
		State  string          `json:"state"`
		Took   float64         `json:"took"`
		Data   []byte          `json:"data"`
		Ref    string          `json:"ref"`
		Gauges json.RawMessage `json:"gauges"`
	}
	if len(bytes.TrimSpace(line)) == 0 {
		return nil
	}
	if err := json.Unmarshal(line, &n); err != nil {
		return errors.New("a line from the interpreter is no notice")
	}
	if !(n.Took >= 0 && n.Took < 1e12) {
		return errors.New("a notice with a time that cannot be meant")
	}
	if n.N > 0 {
		if n.N <= l.lastNotice {
			return nil // replayed though it was read
		}
		l.lastNotice = n.N
	}
	it := l.server.requests.byID[n.Job]
	if it != nil && n.N > 0 {
		it.lastReply, it.pendingReply = nil, nil // what comes of the run after a reply tells that it was taken
	}
	switch n.Type {
	case "BANNER":
		l.onBanner(n.State, deployment.RoundUp(n.Took))
	case "VALUE":
		how, known := runOutcomes[n.State]
		if !known {
			return errors.New("a run's end that is none")
		}
		switch {
		case it == nil:
		case how == admission.NeverStarted:
			it.neverBegun()
		default:
			it.runConfirmed, it.runInDoubt = true, false
			it.runEnded(how, deployment.RoundUp(n.Took), n.Data)
		}
	case "AWAIT":
		if it != nil && it.runStarted && !it.runDone {
			it.runConfirmed, it.runInDoubt, it.callBody = true, false, n.Data
			it.reservation.Suspend(l.server.now)
			it.handle.NeedsCall()
		}
	case "TOPS":
		return l.onGauges(n.Ref, n.Gauges)
	case "ERROR":
		if countAndSample(&l.errorCount) {
			l.server.log.Event("interpreter_error").Str("command", n.State).Str("request_id", n.Job).Int("count", l.errorCount).Send()
		}
		if it != nil && it.runStarted && n.State == "APPLY" {
			it.neverBegun()
		}
	case "TRACE":
	default:
		return errors.New("a notice of no known type")
	}
	return nil
}

var runOutcomes = map[string]admission.Outcome{"OK": admission.Succeeded, "ERROR": admission.Failed,
	"STOPPED": admission.Aborted, "MOOT": admission.NeverStarted}

// socketDeployment is what the settings mean where the protocol of sockets has no word for it: later tries bear no mark, runs do not
// go on without a call, and the interpreter may read an answer after the order to stop, which pauses for good what is not over.
func socketDeployment(of *deployment.Config) admission.Config {
	d := of.Config
	d.RetriesMarked, d.CanStopRuns, d.ResultTTL = false, d.CanStopRuns && !of.PauseKeepsMemory, 0
	d.Categories = slices.Clone(d.Categories)
	for i, c := range d.Categories {
		d.Categories[i].DeduplicationWindow, d.Categories[i].DegradedValue = retention(c), 0
	}
	return d
}

// onBanner starts the module's server the first time, as cold or warm as the interpreter says it was.
func (l *interpreterClient) onBanner(state string, since timeunit.Ticks) {
	a := l.server
	if a.admission == nil {
		terms := socketDeployment(a.config.Settings)
		terms.StartsCold, terms.TurnOffset = state == "COLD", a.random.Float64()
		// Stamps and results lie in this process's memory, not in the interpreter's that the settings speak of.
		terms.EntryKB, terms.MaxEntries = 0, max(1, a.config.MemoryBytes/idempotencyMemoryDivisor/idempotencyEntryBytes-a.recovery.restoredEntries())
		terms.WarmStart = a.recovery.loadWarmStart()
		a.admission = admission.New(terms, &a.requests, a.now-since)
		a.admission.Advance(a.now)
		a.log.Event("interpreter_up").Str("name", a.config.Name).Str("state", state).Int64("since_ms", int64(since/10)).Send()
		a.notifyAdmissionOfDrain()
		a.advancePhase(phaseReady)
		l.becomeReady()
		return
	}
	a.log.Event("interpreter_reconnected").Str("name", a.config.Name).Int("interpreter_links", l.linkCount).Send()
	l.replayFence = l.askGauges()
}

func (l *interpreterClient) onGauges(ref string, row json.RawMessage) error {
	var values []float64
	if err := json.Unmarshal(row, &values); err != nil {
		return errors.New("gauges that are no numbers")
	}
	now := l.server.now
	l.gauges, l.gaugesAt = l.server.config.Settings.GaugesFromRow(values), now
	if l.gaugesAskedAt > 0 {
		l.roundTrip += (float64(now-l.gaugesAskedAt) - l.roundTrip) / 8
		l.gaugesAskedAt = 0
	}
	if l.wakeupPending {
		l.deliverGauges()
	}
	if l.replayFence != "" && ref == l.replayFence {
		l.becomeReady()
	}
	return nil
}
