package server

import (
	"slices"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// connectionDescriptorDivisor is the number of descriptors per connection to the index: one descriptor in 16 may carry
// downstream calls. A dial briefly takes two descriptors.
const connectionDescriptorDivisor = 16

// indexClient makes the downstream calls to the index over a pool of connections. Each connection carries one call at a
// time, so that a broken connection affects only one call. The client must never make a call that admission did not ask
// for, retry on its own, reuse a connection on which a call failed, or report a call as not executed if it may have
// been executed.
type indexClient struct {
	server *Server

	// The pool.
	connections    int // including dials under way
	maxConnections int
	generation     int                 // incremented when the address changes; older connections carry no new call
	idle           []*pooledConnection // longest idle first
	idleTimer      timer

	// The calls.
	inFlight    int                 // calls that admission asked for and that have not ended
	rateLimited []*indexCall        // calls that wait for the limit on calls per second
	waiting     []*indexCall        // calls that wait for a connection
	unwritten   []*pooledConnection // connections whose call is not yet written in this batch
}

// indexCall is one downstream call, from when admission asks for it until it has ended.
type indexCall struct {
	request    *request
	startedAt  timeunit.Ticks
	deadline   timeunit.Ticks
	timer      timer             // abandons the call at its deadline
	connection *pooledConnection // carries the call; nil while the call waits
}

func (c *indexClient) init(server *Server) {
	c.server = server
	c.maxConnections = max(1, server.config.MaxSockets/connectionDescriptorDivisor)
	c.idleTimer.fire = c.closeExpired
}

// makeCall makes the call that a run waits for. The index does not enforce deadlines, so a timer here abandons the call
// at its deadline.
func (c *indexClient) makeCall(caller *request, deadline timeunit.Ticks) {
	isWaiting := caller.call == nil && caller.runStarted && !caller.runDone
	c.server.checkInvariant(isWaiting, "a run makes a second call, or a call has no run in progress")
	call := &indexCall{request: caller, startedAt: c.server.now, deadline: deadline}
	call.timer.fire = func() { c.finish(call, c.detachCall(call)) }
	caller.call = call
	c.inFlight++
	c.server.setTimer(&call.timer, max(deadline, c.server.now+1))
	if len(c.rateLimited) > 0 || !c.server.quota.takeCallToken() {
		c.rateLimited = append(c.rateLimited, call)
		return
	}
	c.assign(call)
}

// sendRateLimited makes the calls that waited for the limit on calls per second, as many as it now allows.
func (c *indexClient) sendRateLimited() {
	for len(c.rateLimited) > 0 && c.server.quota.takeCallToken() {
		call := c.rateLimited[0]
		c.rateLimited = c.rateLimited[1:]
		c.assign(call)
	}
}

// withdrawUnwritten withdraws the newest call that has not been written yet, and reports whether there was one. The
// call ends as not executed.
func (c *indexClient) withdrawUnwritten() bool {
	for last := len(c.unwritten) - 1; last >= 0; last-- {
		connection := c.unwritten[last]
		c.unwritten = c.unwritten[:last]
		call := connection.call
		if call == nil || len(connection.output) == 0 {
			continue
		}
		connection.output = connection.output[:0]
		connection.detachCall()
		c.finish(call, admission.NotExecuted)
		connection.release()
		return true
	}
	return false
}

// cancelNewest abandons the most recently made call because the quota is exceeded, and reports whether there was one.
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
	c.finish(newest, c.detachCall(newest))
	return true
}

// isNewerThan reports whether the call was made after another one. Calls made at the same tick are ordered by request
// ID, which makes the order deterministic.
func (c *indexCall) isNewerThan(other *indexCall) bool {
	if c.startedAt != other.startedAt {
		return c.startedAt > other.startedAt
	}
	return c.request.id > other.request.id
}

// assign sends a call on an idle connection, or dials one, or queues the call if the pool is full. It prefers the
// connection that became idle last, which is the most likely to be alive, and skips those that carried an earlier call
// of the same request.
func (c *indexClient) assign(call *indexCall) {
	c.closeExpired() // the timer is late if the process was paused
	for i := len(c.idle) - 1; i >= 0; i-- {
		connection := c.idle[i]
		if !call.request.hasCalledOn(connection) {
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

// dial adds a connection to the pool and dials it for a call.
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
	failed := func() { connection.handleLoss(admission.NotExecuted) }
	connection.outgoing = c.server.dial(c.server.config.Index, dialTimeout, connection, failed)
}

// detachCall removes a call from its connection or from the queue that it waits in, and returns what is known of the
// call's outcome. A connection on which the call is in flight is closed, which abandons the call and any reply still to
// come.
func (c *indexClient) detachCall(call *indexCall) admission.Outcome {
	connection := call.connection
	if connection == nil {
		isCall := func(other *indexCall) bool { return other == call }
		c.rateLimited = slices.DeleteFunc(c.rateLimited, isCall)
		c.waiting = slices.DeleteFunc(c.waiting, isCall)
		return admission.NotExecuted
	}
	connection.detachCall()
	if connection.state == pooledDialing { // the dial continues and may serve another call
		return admission.NotExecuted
	}
	connection.close()
	return admission.Indeterminate
}

// cancel abandons the call of a run that is over, without reporting its end to admission.
func (c *indexClient) cancel(caller *request) {
	if call := caller.call; call != nil {
		c.detachCall(call)
		c.remove(call)
	}
}

// remove clears the state that is kept for a call.
func (c *indexClient) remove(call *indexCall) {
	call.request.call = nil
	c.inFlight--
	c.server.stopTimer(&call.timer)
}

// finish removes a call and reports its outcome and duration to admission.
func (c *indexClient) finish(call *indexCall, outcome admission.Outcome) {
	c.remove(call)
	call.request.handle.CallEnded(outcome, c.server.now-call.startedAt)
}

// reconnect is called when the index's address has changed. Calls in flight may end on their connections; all other
// calls go to the new address.
func (c *indexClient) reconnect() {
	c.generation++
	c.closeIdle()
}

// closeIdle closes the idle connections.
func (c *indexClient) closeIdle() {
	for _, connection := range slices.Clone(c.idle) {
		connection.close()
	}
}

// closeExpired closes the connections that have been idle for idleConnectionTimeout and sets the timer for the next
// one.
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
