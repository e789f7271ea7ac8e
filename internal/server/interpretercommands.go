package server

import (
	"encoding/base64"
	"strconv"

	"thistlequay/timeunit"
)

// How long the timer of admission, once it has fired, waits for fresh gauges: the longer of the two.
const (
	minGaugeWait        timeunit.Ticks = 10
	gaugeWaitRoundTrips float64        = 4 // in smoothed round trips
)

// run sends the command to run a request, or marks it to be sent once a link is ready.
func (c *interpreterClient) run(req *request) {
	req.runPending = c.state != linkReady
	if req.runPending {
		return
	}
	req.runSent = true
	req.runSentAt = c.server.now
	command := append(c.beginCommand(commandRun, req), `,"kind":`...)
	command = append(command, c.categoryJSON[req.category]...)
	c.output = appendData(command, req.body)
}

// stop sends the command to stop a run, or marks it to be sent once a link is ready.
func (c *interpreterClient) stop(req *request) {
	req.stopPending = c.state != linkReady
	if req.stopPending || req.runDone {
		return
	}
	req.stopSent = true
	c.output = append(c.beginCommand("BREAK", req), "}\n"...)
}

// resolve passes the reply to a run's downstream call to the interpreter, or keeps it until a link is ready. A RESOLVE
// names a run but not the call that it answers, so it is written at most once for each call: if the run had received
// it, it would take a second one for the reply to its next call.
func (c *interpreterClient) resolve(req *request, reply []byte) {
	req.reservation.Resume(c.server.now)
	req.pendingReply = reply
	if c.state != linkReady {
		return
	}
	c.output = appendData(c.beginCommand("RESOLVE", req), reply)
	c.unwrittenReplies = append(c.unwrittenReplies, req)
}

// confirmWritten records that the replies in the output have been written.
func (c *interpreterClient) confirmWritten() {
	for _, req := range c.unwrittenReplies {
		req.isReplyUnconfirmed = req.pendingReply != nil
		req.pendingReply = nil
	}
	c.discardUnwritten()
}

// discardUnwritten clears the list of unwritten replies. Those that are still pending are sent on the next link.
func (c *interpreterClient) discardUnwritten() {
	clear(c.unwrittenReplies) // so that the requests can be garbage collected
	c.unwrittenReplies = c.unwrittenReplies[:0]
}

// beginCommand appends the start of a command, up to and including the request's ID, to the output and returns it.
func (c *interpreterClient) beginCommand(name string, req *request) []byte {
	command := append(c.buffer(), `{"type":"`...)
	command = append(command, name...)
	command = append(command, `","job":"`...)
	command = append(command, req.id...)
	return append(command, '"')
}

// appendData appends the Base64-encoded data and the end of the command.
func appendData(command, data []byte) []byte {
	command = append(command, `,"data":"`...)
	command = base64.StdEncoding.AppendEncode(command, data)
	return append(command, "\"}\n"...)
}

// onWakeup is called when the timer of admission fires. It requests fresh gauges, and only the call of admission's
// OnTimer waits for them, for a bounded time; all other work of the batch goes on.
func (c *interpreterClient) onWakeup() {
	if c.state != linkReady {
		c.deliverGauges()
		return
	}
	c.wakeupPending = true
	wait := max(minGaugeWait, timeunit.Ticks(gaugeWaitRoundTrips*c.smoothedRoundTrip))
	c.server.setTimer(&c.gaugeTimer, c.server.now+wait)
	if c.gaugesRequestedAt == 0 {
		c.gaugesRequestedAt = c.server.now
		c.requestGauges()
	}
}

// deliverGauges calls admission's OnTimer with the latest gauges.
func (c *interpreterClient) deliverGauges() {
	c.wakeupPending = false
	c.server.stopTimer(&c.gaugeTimer)
	c.gaugeAges.add(c.server.now - c.gaugesReceivedAt)
	c.gauges.IsStale = c.gaugesReceivedAt < c.server.now // the link is down, or the response is late
	c.server.admission.OnTimer(c.gauges)
}

// requestGauges sends a query for the gauges and returns the tag that its response will carry.
func (c *interpreterClient) requestGauges() (tag string) {
	c.lastQueryTag++
	tag = strconv.FormatUint(c.lastQueryTag, 10)
	c.output = append(c.buffer(), `{"type":"TOP","ref":"`...)
	c.output = append(c.output, tag...)
	c.output = append(c.output, "\"}\n"...)
	return tag
}
