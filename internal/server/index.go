package server

import (
	"slices"
	"thistlequay/admission"
	"thistlequay/timeunit"
)

const (
	idleConnectionTimeout       = second / 20 // a connection at rest is closed after this: one forgotten was so after twice as long
	connectionDescriptorDivisor = 16          // and one for so many descriptors may carry calls; a dial takes two for a moment
)

type indexClient struct {
	server         *Server
	connections    int                 // connections, dials under way included
	maxConnections int                 // of them
	inFlight       int                 // calls in hand
	idle           []*pooledConnection // that carry nothing, the longest at rest first
	waiting        []*indexCall        // that wait for a connection
	unwritten      []*pooledConnection // whose call is not written yet
	rateLimited    []*indexCall        // and for their turn by the limit of calls a second
	idleTimer      timer
	generation     int // to other addresses: a connection from before the last one carries no new call
}

// indexCall is one call in the hands of the index, or on its way there.
type indexCall struct {
	request    *request
	startedAt  timeunit.Ticks
	deadline   timeunit.Ticks
	timer      timer
	connection *pooledConnection // that carries it, nil while it waits for one
}

func (x *indexClient) start(a *Server) {
	x.server, x.maxConnections = a, max(1, a.config.MaxSockets/connectionDescriptorDivisor)
	x.idleTimer.fire = x.closeExpired
}

// makeCall makes the call that a run waits for. The index holds no time limit, so it is given up here.
func (x *indexClient) makeCall(it *request, until timeunit.Ticks) {
	it.server.checkInvariant(it.call == nil && it.runStarted && !it.runDone, "a call beside another or without a run")
	c := &indexCall{request: it, startedAt: x.server.now, deadline: until}
	c.timer.fire = func() { x.finish(c, x.detach(c)) }
	it.call = c
	x.inFlight++
	x.server.setTimer(&c.timer, max(until, x.server.now+1))
	if len(x.rateLimited) > 0 || !x.server.quota.mayCall() {
		x.rateLimited = append(x.rateLimited, c)
		return
	}
	x.assign(c)
}

// sendRateLimited makes the calls that waited for their turn by the limit of calls a second.
func (x *indexClient) sendRateLimited() {
	for len(x.rateLimited) > 0 && x.server.quota.mayCall() {
		c := x.rateLimited[0]
		x.rateLimited = x.rateLimited[1:]
		x.assign(c)
	}
}

// withdrawUnwritten takes back a call that was not written yet; false where there is none.
func (x *indexClient) withdrawUnwritten() bool {
	for n := len(x.unwritten) - 1; n >= 0; n-- {
		l := x.unwritten[n]
		x.unwritten = x.unwritten[:n]
		if c := l.call; c != nil && len(l.output) > 0 {
			l.output = l.output[:0]
			l.unlink()
			x.finish(c, admission.NotExecuted)
			l.release()
			return true
		}
	}
	return false
}

// cancelNewest gives up the call that was made last, for want of a share to have it under; false where there is none.
func (x *indexClient) cancelNewest() bool {
	var last *indexCall
	for _, it := range x.server.requests.byID {
		if c := it.call; c != nil && (last == nil || c.startedAt > last.startedAt || c.startedAt == last.startedAt && c.request.id > last.request.id) {
			last = c
		}
	}
	if last != nil {
		x.finish(last, x.detach(last))
	}
	return last != nil
}

// assign finds the call a connection: the one that last carried a call, as it is the likeliest to be alive, but not
// one on which a second copy of an earlier reply to the same run could come.
func (x *indexClient) assign(c *indexCall) {
	x.closeExpired() // after a standstill the alarm comes late
	for i := len(x.idle) - 1; i >= 0; i-- {
		if l := x.idle[i]; l.lastRequestID != c.request.id {
			x.idle = slices.Delete(x.idle, i, i+1)
			l.send(c)
			return
		}
	}
	if x.connections >= x.maxConnections {
		x.waiting = append(x.waiting, c)
		return
	}
	l := &pooledConnection{outputBuffer: outputBuffer{server: x.server, maxUnread: maxUnreadPerLink}, client: x, call: c, generation: x.generation}
	c.connection = l
	x.connections++
	l.outgoing = x.server.dial(x.server.config.Index, dialTimeout, l, func() { l.lost(admission.NotExecuted) })
}

// detach takes the call off its connection and tells what that leaves known of it. A connection that carries a
// call is closed: that gives the call up, and whatever would still come on it.
func (x *indexClient) detach(c *indexCall) (how admission.Outcome) {
	l := c.connection
	if l == nil {
		x.rateLimited = slices.DeleteFunc(x.rateLimited, func(q *indexCall) bool { return q == c })
		x.waiting = slices.DeleteFunc(x.waiting, func(q *indexCall) bool { return q == c })
		return admission.NotExecuted
	}
	l.unlink()
	if l.conn == nil { // the dial goes on for whom it may serve
		return admission.NotExecuted
	}
	l.close()
	return admission.Indeterminate
}

// cancel forgets the call of a run that is over.
func (x *indexClient) cancel(it *request) {
	if c := it.call; c != nil {
		x.detach(c)
		x.remove(c)
	}
}

func (x *indexClient) remove(c *indexCall) {
	c.request.call = nil
	x.inFlight--
	x.server.stopTimer(&c.timer)
}

func (x *indexClient) finish(c *indexCall, how admission.Outcome) {
	x.remove(c)
	c.request.handle.CallEnded(how, x.server.now-c.startedAt)
}

// reconnect: the index is at another address now. What is out may end where it is; all else goes there.
func (x *indexClient) reconnect() {
	x.generation++
	x.closeIdle()
}

// closeIdle ends the connections that carry nothing.
func (x *indexClient) closeIdle() {
	for _, l := range slices.Clone(x.idle) {
		l.close()
	}
}

func (x *indexClient) closeExpired() {
	for len(x.idle) > 0 {
		if due := x.idle[0].idleSince + idleConnectionTimeout; due > x.server.now {
			x.server.setTimer(&x.idleTimer, due)
			return
		}
		x.idle[0].close()
	}
}
