package server

import (
	"encoding/base64"
	"strconv"

	"thistlequay/timeunit"
)

// How long admission's wakeup waits for gauges.
const (
	minGaugeWait        timeunit.Ticks = 10 // at least
	gaugeWaitRoundTrips float64        = 4  // and else for so many round trips
)

// run tells the interpreter to run a request, now or once there is a link.
func (c *interpreterClient) run(started *request) {
	started.runPending = c.state != linkReady
	if started.runPending {
		return
	}
	started.runSent = true
	started.runSentAt = c.server.now
	command := append(c.beginCommand(commandRun, started), `,"kind":`...)
	command = append(command, c.categoryJSON[started.category]...)
	c.output = appendData(command, started.body)
}

// stop tells the interpreter to stop a run, now or once there is a link.
func (c *interpreterClient) stop(stopped *request) {
	stopped.stopPending = c.state != linkReady
	if stopped.stopPending || stopped.runDone {
		return
	}
	stopped.stopSent = true
	c.output = append(c.beginCommand("BREAK", stopped), "}\n"...)
}

// resolve passes the reply to a run's call on, now or once there is a link.
func (c *interpreterClient) resolve(waiting *request, reply []byte) {
	waiting.reservation.Resume(c.server.now)
	if c.state != linkReady {
		waiting.pendingReply = reply
		return
	}
	waiting.pendingReply = nil
	waiting.lastReply = reply
	waiting.lastReplyAt = c.server.now
	c.output = appendData(c.beginCommand("RESOLVE", waiting), reply)
}

// beginCommand appends a command up to the request's ID to the output.
func (c *interpreterClient) beginCommand(name string, of *request) []byte {
	command := append(c.buffer(), `{"type":"`...)
	command = append(command, name...)
	command = append(command, `","job":"`...)
	command = append(command, of.id...)
	return append(command, '"')
}

// appendData ends a command with data.
func appendData(command, data []byte) []byte {
	command = append(command, `,"data":"`...)
	command = base64.StdEncoding.AppendEncode(command, data)
	return append(command, "\"}\n"...)
}

// onWakeup asks for the gauges that admission is due for. What else is due is decided in this batch; only the wakeup
// waits for them, and not for long when the link is slow.
func (c *interpreterClient) onWakeup() {
	if c.state != linkReady {
		c.deliverGauges()
		return
	}
	c.wakeupPending = true
	wait := max(minGaugeWait, timeunit.Ticks(gaugeWaitRoundTrips*c.roundTrip))
	c.server.setTimer(&c.gaugeTimer, c.server.now+wait)
	if c.gaugesAskedAt == 0 {
		c.gaugesAskedAt = c.server.now
		c.askGauges()
	}
}

// deliverGauges wakes admission with the gauges that there are.
func (c *interpreterClient) deliverGauges() {
	c.wakeupPending = false
	c.server.stopTimer(&c.gaugeTimer)
	c.gaugeAges.add(c.server.now - c.gaugesAt)
	c.gauges.IsStale = c.gaugesAt < c.server.now // the link is down, or the answer late
	c.server.admission.OnTimer(c.gauges)
}

// askGauges sends a question for the gauges and returns the tag that its answer will bear.
func (c *interpreterClient) askGauges() (tag string) {
	c.lastTag++
	tag = strconv.FormatUint(c.lastTag, 10)
	c.output = append(c.buffer(), `{"type":"TOP","ref":"`...)
	c.output = append(c.output, tag...)
	c.output = append(c.output, "\"}\n"...)
	return tag
}
