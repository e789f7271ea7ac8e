package server

import (
	"encoding/json"
	"strconv"
	"thistlequay/admission"
	"thistlequay/timeunit"

	"github.com/panjf2000/gnet/v2"
)

const (
	maxLineBytes      = 256 << 10
	commandLossWindow = second / 10 // commands sent so short before a link broke may be lost: twice what is told
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
