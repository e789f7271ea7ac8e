package server

import (
	"encoding/base64"
	"strconv"
	"thistlequay/timeunit"
)

const (
	minGaugeWait        = timeunit.Ticks(10) // gauges are waited for so long at least
	gaugeWaitRoundTrips = 4                  // and else so many round trips
)

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
