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

// stop sends the command to stop a run, or marks it to be sent once a link is ready.
func (c *interpreterClient) stop(stopped *request) {
	stopped.stopPending = c.state != linkReady
	if stopped.stopPending || stopped.runDone {
		return
	}
	stopped.stopSent = true
	c.output = append(c.beginCommand("BREAK", stopped), "}\n"...)
}

// resolve passes the reply to a run's downstream call to the interpreter, or keeps it until a link is ready.
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

// beginCommand appends the start of a command, up to and including the request's ID, to the output and returns it.
func (c *interpreterClient) beginCommand(name string, of *request) []byte {
	command := append(c.buffer(), `{"type":"`...)
	command = append(command, name...)
	command = append(command, `","job":"`...)
	command = append(command, of.id...)
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
	wait := max(minGaugeWait, timeunit.Ticks(gaugeWaitRoundTrips*c.roundTrip))
	c.server.setTimer(&c.gaugeTimer, c.server.now+wait)
	if c.gaugesAskedAt == 0 {
		c.gaugesAskedAt = c.server.now
		c.askGauges()
	}
}

// deliverGauges calls admission's OnTimer with the latest gauges.
func (c *interpreterClient) deliverGauges() {
	c.wakeupPending = false
	c.server.stopTimer(&c.gaugeTimer)
	c.gaugeAges.add(c.server.now - c.gaugesAt)
	c.gauges.IsStale = c.gaugesAt < c.server.now // the link is down, or the response is late
	c.server.admission.OnTimer(c.gauges)
}

// askGauges sends a query for the gauges and returns the tag that its response will carry.
func (c *interpreterClient) askGauges() (tag string) {
	c.lastTag++
	tag = strconv.FormatUint(c.lastTag, 10)
	c.output = append(c.buffer(), `{"type":"TOP","ref":"`...)
	c.output = append(c.output, tag...)
	c.output = append(c.output, "\"}\n"...)
	return tag
}
