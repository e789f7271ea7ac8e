package server

import (
	"encoding/json"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// commandLossWindow is the time before the loss of a link within which sent commands may have been lost with it. It is
// twice the time that the protocol specifies.
const commandLossWindow = second / 10

// linkState is the state of the link to the interpreter.
type linkState int

const (
	linkDown      linkState = iota // there is no link
	linkReplaying                  // the link is up, and the interpreter is still replaying missed notices
	linkReady                      // commands may be sent
)

// interpreterClient sends commands to the interpreter and receives its notices and gauges over one link. It must never
// start a run twice, alter a body or a result, or send a command on a new link before it has handled all notices that
// the interpreter replays. Commands are in interpretercommands.go, notices in interpreternotices.go.
type interpreterClient struct {
	outputBuffer
	state       linkState
	readySince  timeunit.Ticks
	link        *outgoingConnection // the current link
	dialing     *outgoingConnection // the dial under way; the current link may still be up
	redialTimer timer
	backoff     backoff
	linkCount   int // links opened so far, for the log

	lastNotice   uint64 // the number of the last notice handled
	replayEndTag string // the tag of the gauges query whose response ends the replay; empty if none
	partialLine  []byte
	categoryJSON [][]byte // the JSON-encoded name of each category
	errorCount   int      // errors reported by the interpreter

	unwrittenReplies []*request // requests whose RESOLVE is in the output

	gauges            admission.Gauges
	gaugesReceivedAt  timeunit.Ticks // when the gauges were received
	gaugesRequestedAt timeunit.Ticks // when the pending query was sent; zero if none is pending
	gaugeAges         lagHistogram   // ages of the gauges given to admission
	lastQueryTag      uint64         // the tag of the last query
	smoothedRoundTrip float64        // smoothed round trip of a gauges query, in ticks
	wakeupPending     bool           // admission's timer has fired, and its delivery waits for gauges
	gaugeTimer        timer          // bounds that wait
}

func (c *interpreterClient) init(server *Server) {
	c.outputBuffer = outputBuffer{server: server, maxUnread: maxUnreadPerLink, onWritten: c.confirmWritten}
	c.redialTimer.fire = c.dial
	c.gaugeTimer.fire = c.deliverGauges
	c.categoryJSON = make([][]byte, len(server.config.Settings.Categories))
	for name, category := range server.config.Settings.CategoryIndex {
		encoded, err := json.Marshal(name)
		server.checkInvariant(err == nil, "a category's name cannot be encoded as JSON") // strings never fail
		c.categoryJSON[category] = encoded
	}
}

// dial starts a dial to the interpreter and drops a dial that is under way.
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

// scheduleRedial sets the timer of the next dial, with exponential backoff and jitter.
func (c *interpreterClient) scheduleRedial() {
	c.server.setTimer(&c.redialTimer, c.server.now+c.server.jitter(c.backoff.next()))
}

// reconnect is called when the interpreter's address has changed. The old link is used until the new one is up.
func (c *interpreterClient) reconnect() { c.dial() }

// opened replaces the current link, if any, and asks the interpreter to replay the notices after the last handled one.
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
	c.gaugesRequestedAt = 0
	c.linkCount++
	c.output = append(c.buffer(), `{"type":"CONNECT","n":`...)
	c.output = strconv.AppendUint(c.output, c.lastNotice, 10)
	c.output = append(c.output, "}\n"...)
}

// closed dials again: at once if the link was ready for at least minRedialDelay, otherwise after a backoff.
func (c *interpreterClient) closed() {
	wasStable := c.state == linkReady && c.server.now-c.readySince >= minRedialDelay
	c.linkLost()
	switch {
	case c.dialing != nil: // a new link is already being dialed
	case wasStable:
		c.backoff = backoff{}
		c.dial()
	default:
		c.scheduleRedial()
	}
}

// linkLost records that the link is gone; runs continue without it. The last commands may have been lost with the link,
// so those that may be repeated are marked to be sent again once the next link is ready.
func (c *interpreterClient) linkLost() {
	if c.state == linkReady {
		c.server.log.Event("interpreter_lost").Uint64("last_notice", c.lastNotice).
			Int("requests", c.server.requests.count()).Send()
	}
	c.conn = nil
	c.state = linkDown
	if c.output != nil {
		c.output = c.output[:0] // output for this link must not be sent on the next one
	}
	c.discardUnwritten()
	for _, req := range c.server.requests.byID {
		c.repeatLostCommands(req)
	}
}

// repeatLostCommands marks the commands of a request that must be sent again. This starts no second run: the
// interpreter ignores an APPLY for a request that runs or whose run is over. A request that is not idempotent and whose
// APPLY was sent longer than commandLossWindow ago is left to its deadline, and so is one whose RESOLVE was written:
// unlike the others, a RESOLVE must not be repeated (see resolve).
func (c *interpreterClient) repeatLostCommands(req *request) {
	if req.runSent && !req.runConfirmed {
		req.runPending = c.server.requests.isIdempotent(req) || c.mayBeLost(req.runSentAt)
		req.isRunStartUnknown = !req.runPending
	}
	req.stopPending = req.stopPending || req.stopSent
}

// mayBeLost reports whether a command sent at a time may have been lost with a link that breaks now.
func (c *interpreterClient) mayBeLost(sentAt timeunit.Ticks) bool {
	return c.server.now-sentAt < commandLossWindow
}

// close drops the link for good and dials no other. It is called when all requests are answered.
func (c *interpreterClient) close() {
	c.dialing.drop()
	c.link.drop()
	c.conn = nil
	c.state = linkDown
	c.server.stopTimer(&c.redialTimer)
}

// linkResumption counts, for the log, what a link that became ready found of the requests in progress.
type linkResumption struct {
	runsSent       int // APPLY commands sent, for the first time or again
	repliesSent    int // RESOLVE commands sent
	stopsSent      int // BREAK commands sent, for the first time or again
	repliesInDoubt int // replies sent on an earlier link to runs of which no notice has come since
}

// becomeReady makes the link ready for commands. On the first link it is called when admission has started, and on each
// later link at the end of the replay of notices, for which commands must wait. It sends the commands that waited, and
// ends the runs that were abandoned before their APPLY was sent.
func (c *interpreterClient) becomeReady() (resumed linkResumption) {
	c.state = linkReady
	c.replayEndTag = ""
	c.readySince = c.server.now
	for _, req := range c.server.requests.byID {
		c.sendPending(req, &resumed)
	}
	return resumed
}

// endReplay makes a link ready whose replay of notices has ended.
func (c *interpreterClient) endReplay() {
	resumed := c.becomeReady()
	c.server.log.Event("interpreter_ready").Str("name", c.server.config.Name).Int("runs_sent", resumed.runsSent).
		Int("replies_sent", resumed.repliesSent).Int("stops_sent", resumed.stopsSent).
		Int("replies_in_doubt", resumed.repliesInDoubt).Send()
}

// sendPending sends the commands of a request that waited for a link, and counts them in resumed. If the request was
// abandoned before its APPLY was sent, it ends the run instead of sending the APPLY.
func (c *interpreterClient) sendPending(req *request, resumed *linkResumption) {
	if req.isReplyUnconfirmed && !req.runDone {
		resumed.repliesInDoubt++
	}
	switch {
	case req.runDone:
	case req.runPending && req.router == nil && !req.runSent: // abandoned before its APPLY was sent
		req.endUnstartedRun()
	case req.runPending && !req.runConfirmed:
		c.run(req)
		resumed.runsSent++
	case req.pendingReply != nil && req.router != nil:
		c.resolve(req, req.pendingReply)
		resumed.repliesSent++
	}
	if req.stopPending {
		c.stop(req)
		resumed.stopsSent++
	}
}
