package server

import (
	"encoding/json"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// commandLossWindow: commands sent so short a time before a link broke may have been lost with it; twice what the
// protocol says.
const commandLossWindow = second / 10

// linkState is how far the link to the interpreter is.
type linkState int

const (
	linkDown      linkState = iota // there is none
	linkReplaying                  // it stands, and what the interpreter replays has not all been taken
	linkReady                      // commands may go out
)

// interpreterClient is the link to the interpreter: commands out, notices in, the gauges. It must never begin a run
// twice, pass a body or a result on changed, or send a command after a broken link before what the interpreter replays
// has been taken. Commands are in interpretercommands.go, notices in interpreternotices.go.
type interpreterClient struct {
	outputBuffer
	state       linkState
	readySince  timeunit.Ticks
	link        *outgoingConnection // the one that stands
	dialing     *outgoingConnection // a dial under way; it may be beside a link that stands
	redialTimer timer
	backoff     backoff
	linkCount   int // links that stood, for the log

	lastNotice   uint64 // the number of the last notice that was taken
	replayFence  string // the tag of the question whose answer ends what is replayed; empty for none
	partialLine  []byte
	categoryJSON [][]byte // the categories' names
	errorCount   int      // errors that the interpreter reported

	gauges        admission.Gauges
	gaugesAt      timeunit.Ticks // when they were true
	gaugesAskedAt timeunit.Ticks // zero while no question is out
	gaugeAges     lagHistogram   // of the gauges that admission was given
	lastTag       uint64         // of the questions
	roundTrip     float64        // in ticks, smoothed
	wakeupPending bool           // admission's wakeup waits for gauges
	gaugeTimer    timer          // but no longer than this
}

func (c *interpreterClient) init(server *Server) {
	c.outputBuffer = outputBuffer{server: server, maxUnread: maxUnreadPerLink}
	c.redialTimer.fire = c.dial
	c.gaugeTimer.fire = c.deliverGauges
	c.categoryJSON = make([][]byte, len(server.config.Settings.Categories))
	for name, category := range server.config.Settings.CategoryIndex {
		encoded, err := json.Marshal(name)
		server.checkInvariant(err == nil, "a category's name is no JSON") // a string always is
		c.categoryJSON[category] = encoded
	}
}

// dial begins a dial; one that is under way is dropped.
func (c *interpreterClient) dial() {
	if c.server.phase >= phaseStopped {
		return
	}
	c.server.stopTimer(&c.redialTimer)
	c.dialing.drop()
	c.dialing = c.server.dial(c.server.config.Interpreter, dialTimeout, c, func() {
		c.dialing = nil
		c.scheduleRedial()
	})
}

func (c *interpreterClient) scheduleRedial() {
	c.server.setTimer(&c.redialTimer, c.server.now+c.server.jitter(c.backoff.next()))
}

// reconnect is called when the interpreter's address has changed. The old link is used until the new one stands.
func (c *interpreterClient) reconnect() { c.dial() }

// opened asks the interpreter to replay the notices that were missed.
func (c *interpreterClient) opened(conn gnet.Conn) {
	if c.conn != nil {
		c.link.drop()
		c.linkLost()
	}
	c.state = linkReplaying
	c.link = c.dialing
	c.dialing = nil
	c.conn = conn
	c.partialLine = c.partialLine[:0]
	c.gaugesAskedAt = 0
	c.linkCount++
	c.output = append(c.buffer(), `{"type":"CONNECT","n":`...)
	c.output = strconv.AppendUint(c.output, c.lastNotice, 10)
	c.output = append(c.output, "}\n"...)
}

// closed dials again, at once where the link stood for a while.
func (c *interpreterClient) closed() {
	stood := c.state == linkReady && c.server.now-c.readySince >= minRedialDelay
	c.linkLost()
	switch {
	case c.dialing != nil: // one is being dialed already
	case stood:
		c.backoff = backoff{}
		c.dial()
	default:
		c.scheduleRedial()
	}
}

// linkLost has runs go on without a link. The last commands on it may have been lost with it, so they are given again
// once what the interpreter replays has been taken.
func (c *interpreterClient) linkLost() {
	if c.state == linkReady {
		c.server.log.Event("interpreter_lost").Uint64("last_notice", c.lastNotice).
			Int("requests", c.server.requests.count()).Send()
	}
	c.conn = nil
	c.state = linkDown
	if c.output != nil {
		c.output = c.output[:0] // nothing meant for this link goes out on the next
	}
	for _, affected := range c.server.requests.byID {
		c.repeatLostCommands(affected)
	}
}

// repeatLostCommands marks the commands for a request that are to be given again. That begins no second run: an APPLY
// does nothing where its request runs, and starts nothing where that is over. A request that is not idempotent, and
// whose command went out long before, is left to its deadline.
func (c *interpreterClient) repeatLostCommands(affected *request) {
	if affected.runSent && !affected.runConfirmed {
		category := &c.server.config.Settings.Categories[affected.category]
		isIdempotent := category.Idempotency == admission.Idempotent
		affected.runPending = isIdempotent || c.mayBeLost(affected.runSentAt)
		affected.runInDoubt = !affected.runPending
	}
	if affected.lastReply != nil && c.mayBeLost(affected.lastReplyAt) {
		affected.pendingReply = affected.lastReply
	}
	affected.stopPending = affected.stopPending || affected.stopSent
}

func (c *interpreterClient) mayBeLost(sentAt timeunit.Ticks) bool {
	return c.server.now-sentAt < commandLossWindow
}

// close ends the link for good: everything is answered, and no other is dialed.
func (c *interpreterClient) close() {
	c.dialing.drop()
	c.link.drop()
	c.conn = nil
	c.state = linkDown
	c.server.stopTimer(&c.redialTimer)
}

// becomeReady lets commands go out, first those that waited for a link.
func (c *interpreterClient) becomeReady() {
	c.state = linkReady
	c.replayFence = ""
	c.readySince = c.server.now
	for _, waiting := range c.server.requests.byID {
		c.sendPending(waiting)
	}
}

// sendPending gives the commands for a request that waited for a link.
func (c *interpreterClient) sendPending(waiting *request) {
	switch {
	case waiting.runDone:
	case waiting.runPending && waiting.router == nil && !waiting.runSent: // nobody waits for it, and it never left
		waiting.endUnstartedRun()
	case waiting.runPending && !waiting.runConfirmed:
		c.run(waiting)
	case waiting.pendingReply != nil && waiting.router != nil:
		c.resolve(waiting, waiting.pendingReply)
	}
	if waiting.stopPending {
		c.stop(waiting)
	}
}
