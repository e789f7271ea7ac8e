package server

import (
	"slices"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// connectionDescriptorDivisor: one descriptor in so many may carry calls; a dial takes two for a moment.
const connectionDescriptorDivisor = 16

// indexClient makes the calls to the index, over a pool of connections with one call at a time on each, so that what
// spoils a connection spoils one call. It must never make a call that admission did not ask for, retry by itself, use a
// connection on which a call went wrong, or report a call as not executed that may have been.
type indexClient struct {
	server *Server

	// The pool.
	connections    int // dials under way included
	maxConnections int
	generation     int                 // counts changes of the address: an older connection carries no new call
	idle           []*pooledConnection // the longest idle first
	idleTimer      timer

	// The calls.
	inFlight    int                 // all calls that admission asked for and that have not ended
	rateLimited []*indexCall        // that wait for the limit of calls a second
	waiting     []*indexCall        // that wait for a connection
	unwritten   []*pooledConnection // whose call is not written yet, in this batch
}

// indexCall is one call, from when admission asks for it until it has ended.
type indexCall struct {
	request    *request
	startedAt  timeunit.Ticks
	deadline   timeunit.Ticks
	timer      timer             // which gives it up
	connection *pooledConnection // that carries it; nil while it waits
}

func (c *indexClient) init(server *Server) {
	c.server = server
	c.maxConnections = max(1, server.config.MaxSockets/connectionDescriptorDivisor)
	c.idleTimer.fire = c.closeExpired
}

// makeCall makes the call that a run waits for. The index keeps no deadline, so the call is abandoned here.
func (c *indexClient) makeCall(caller *request, deadline timeunit.Ticks) {
	isWaiting := caller.call == nil && caller.runStarted && !caller.runDone
	c.server.checkInvariant(isWaiting, "a run makes a second call, or a call comes without a run")
	call := &indexCall{request: caller, startedAt: c.server.now, deadline: deadline}
	call.timer.fire = func() { c.finish(call, c.detach(call)) }
	caller.call = call
	c.inFlight++
	c.server.setTimer(&call.timer, max(deadline, c.server.now+1))
	if len(c.rateLimited) > 0 || !c.server.quota.mayCall() {
		c.rateLimited = append(c.rateLimited, call)
		return
	}
	c.assign(call)
}

// sendRateLimited makes the calls that waited for the limit of calls a second, as far as it allows now.
func (c *indexClient) sendRateLimited() {
	for len(c.rateLimited) > 0 && c.server.quota.mayCall() {
		call := c.rateLimited[0]
		c.rateLimited = c.rateLimited[1:]
		c.assign(call)
	}
}

// withdrawUnwritten takes back a call that has not been written and reports whether there was one.
func (c *indexClient) withdrawUnwritten() bool {
	for last := len(c.unwritten) - 1; last >= 0; last-- {
		connection := c.unwritten[last]
		c.unwritten = c.unwritten[:last]
		call := connection.call
		if call == nil || len(connection.output) == 0 {
			continue
		}
		connection.output = connection.output[:0]
		connection.unlink()
		c.finish(call, admission.NotExecuted)
		connection.release()
		return true
	}
	return false
}

// cancelNewest gives up the call that was made last, for want of quota, and reports whether there was one.
func (c *indexClient) cancelNewest() bool {
	var newest *indexCall
	for _, caller := range c.server.requests.byID {
		if caller.call != nil && (newest == nil || caller.call.isNewerThan(newest)) {
			newest = caller.call
		}
	}
	if newest == nil {
		return false
	}
	c.finish(newest, c.detach(newest))
	return true
}

// isNewerThan orders calls by when they were made; those of one moment by the request's ID, so that the order is the
// same in every run.
func (c *indexCall) isNewerThan(other *indexCall) bool {
	if c.startedAt != other.startedAt {
		return c.startedAt > other.startedAt
	}
	return c.request.id > other.request.id
}

// assign finds a connection for a call: the one that carried a call last, as it is the likeliest to be alive, but not
// one on which a second copy of an earlier reply to the same run could come.
func (c *indexClient) assign(call *indexCall) {
	c.closeExpired() // after a standstill the timer is late
	for i := len(c.idle) - 1; i >= 0; i-- {
		connection := c.idle[i]
		if connection.lastRequestID != call.request.id {
			c.idle = slices.Delete(c.idle, i, i+1)
			connection.send(call)
			return
		}
	}
	if c.connections >= c.maxConnections {
		c.waiting = append(c.waiting, call)
		return
	}
	c.dial(call)
}

// dial adds a connection to the pool, for a call.
func (c *indexClient) dial(call *indexCall) {
	connection := &pooledConnection{
		outputBuffer: outputBuffer{server: c.server, maxUnread: maxUnreadPerLink},
		client:       c,
		state:        pooledDialing,
		generation:   c.generation,
		call:         call,
	}
	call.connection = connection
	c.connections++
	failed := func() { connection.lost(admission.NotExecuted) }
	connection.outgoing = c.server.dial(c.server.config.Index, dialTimeout, connection, failed)
}

// detach takes a call off what carries it and returns what that leaves known of the call. A connection that carries the
// call is closed: that gives up the call, and whatever would still come on the connection.
func (c *indexClient) detach(call *indexCall) admission.Outcome {
	connection := call.connection
	if connection == nil {
		isCall := func(other *indexCall) bool { return other == call }
		c.rateLimited = slices.DeleteFunc(c.rateLimited, isCall)
		c.waiting = slices.DeleteFunc(c.waiting, isCall)
		return admission.NotExecuted
	}
	connection.unlink()
	if connection.state == pooledDialing { // the dial goes on for whichever call it may serve
		return admission.NotExecuted
	}
	connection.close()
	return admission.Indeterminate
}

// cancel forgets the call of a run that is over.
func (c *indexClient) cancel(caller *request) {
	if call := caller.call; call != nil {
		c.detach(call)
		c.remove(call)
	}
}

func (c *indexClient) remove(call *indexCall) {
	call.request.call = nil
	c.inFlight--
	c.server.stopTimer(&call.timer)
}

// finish tells admission the end of a call.
func (c *indexClient) finish(call *indexCall, outcome admission.Outcome) {
	c.remove(call)
	call.request.handle.CallEnded(outcome, c.server.now-call.startedAt)
}

// reconnect is called when the index's address has changed. Calls that are out may end where they are; all others go to
// the new address.
func (c *indexClient) reconnect() {
	c.generation++
	c.closeIdle()
}

// closeIdle closes the connections that carry nothing.
func (c *indexClient) closeIdle() {
	for _, connection := range slices.Clone(c.idle) {
		connection.close()
	}
}

// closeExpired closes the connections that have been idle for too long and sets the timer for the next.
func (c *indexClient) closeExpired() {
	for len(c.idle) > 0 {
		longest := c.idle[0]
		if due := longest.idleSince + idleConnectionTimeout; due > c.server.now {
			c.server.setTimer(&c.idleTimer, due)
			return
		}
		longest.close()
	}
}
