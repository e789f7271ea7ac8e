// This file owns two lives. A process is starting, ready, draining, closing or stopped: what its health says, and what
// becomes of connections, goes by that. A connection to a router is fresh, busy, resting, draining or closed; whichever
// connection it is, it ends by part: what was written goes out, then the write side is shut, and what still comes is read
// and passed over within bounds. A close over unread bytes would reset it and take the last answer along. This file must
// never end a connection under an open request, nor keep more ending ones than a bound.
package server

import (
	"container/list"
	"errors"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"thistlequay/timeunit"
)

// phase is where the process is in its life. It only moves on.
type phase int

const (
	phaseStarting phase = iota // the interpreter is not there yet
	phaseReady
	phaseDraining // it was told to leave; what came within the grace is run
	phaseClosing  // the grace is over by far: connections end as soon as they carry nothing
	phaseStopped  // all that was read is answered; every connection ends
)

func (a *Server) advancePhase(p phase) { a.phase = max(a.phase, p) }

// isHealthy is what health checks and the directory hear.
func (a *Server) isHealthy() bool { return a.phase < phaseDraining && a.routers.admissionHealthy }

// connectionState is where a router's connection is in its.
type connectionState int

const (
	connectionNew      connectionState = iota // it brought no whole request yet
	connectionActive                          // it did, and carries something
	connectionIdle                            // and carries nothing
	connectionDraining                        // it ends once no request is open on it
	connectionClosed
)

// transition moves it on and keeps the lists of fresh and resting ones.
func (c *routerConnection) transition(to connectionState) {
	r := &c.server.routers
	if c.state == to || c.state == connectionClosed {
		return
	}
	switch c.state {
	case connectionNew:
		r.newConnections.Remove(c.stateElement)
	case connectionIdle:
		r.idleConnections.Remove(c.stateElement)
	}
	c.state, c.stateElement = to, nil
	switch to {
	case connectionIdle:
		c.stateSince = c.server.now
		c.stateElement = r.idleConnections.PushBack(c)
		if r.idleTimeout < noDeadline && r.idleTimer.heapPosition == 0 {
			c.server.setTimer(&r.idleTimer, c.stateSince+r.idleTimeout)
		}
	case connectionDraining:
		c.updateState()
	}
}

// updateState has it rest, or end, where nothing is open on it.
func (c *routerConnection) updateState() {
	switch {
	case c.conn == nil:
	case c.state == connectionDraining && c.parser.OpenRequests() == 0:
		c.buffer() // what is owed goes out with this batch
		c.closeAfterWrite = true
	case c.state == connectionActive && c.parser.Idle():
		if c.server.phase >= phaseClosing {
			c.transition(connectionDraining)
		} else {
			c.transition(connectionIdle)
		}
	}
}

// drainIdle is the first step of the end: what carries nothing, or soon does, goes while there is time to end it well.
func (r *routerTable) drainIdle() {
	for e := r.idleConnections.Front(); e != nil; e = r.idleConnections.Front() {
		e.Value.(*routerConnection).transition(connectionDraining)
	}
}

// closeAll is the last: nothing is owed any more. Half a request that lies here never ran.
func (r *routerTable) closeAll() {
	for e := r.all.Front(); e != nil; {
		c := e.Value.(*routerConnection)
		e = e.Next()
		c.closeGracefully()
	}
}

const (
	flushTimeout            = 2 * second // for the other side to take what was written
	flushPollInterval       = second / 200
	lingerTimeout           = second / 2 // ten times what the protocol lets a request cross a close
	maxLingerBytes          = 256 << 10  // whoever sends more after the end is not crossing it
	lingerDescriptorDivisor = 32         // one descriptor in so many is for connections that end, whatever the table holds
)

// closingConnections are the connections that end.
type closingConnections struct {
	connections list.List // of *parting, the oldest first
	reserved    int
}

// closingConnection is one of them, in the place of the peer that it had.
type closingConnection struct {
	server    *Server
	conn      gnet.Conn
	deadline  timeunit.Ticks
	bytesLeft int  // bytes
	writeShut bool // its write side
	timer     timer
	element   *list.Element
}

var errFloodAfterEnd = errors.New("more after the end than can have crossed it")

// closeGracefully ends a connection; its peer hears so at once.
func (a *Server) closeGracefully(c gnet.Conn) {
	p, _ := c.Context().(connectionHandler)
	if r, is := p.(*routerConnection); is {
		r.flush() // answers of this batch
	}
	g, l := &closingConnection{server: a, conn: c, deadline: a.now + flushTimeout, bytesLeft: maxLingerBytes}, &a.closing
	c.SetContext(g)
	g.timer.fire = g.advance
	g.element = l.connections.PushBack(g)
	if p != nil {
		p.closed()
	}
	g.advance()
	a.evictClosing(0)
}

// evictClosing closes the oldest of those that end where they and the open ones leave no room for so many more: what the
// table does not use is theirs, as when all end at once, until newcomers want it.
func (a *Server) evictClosing(more int) {
	for l, r := &a.closing, &a.routers; l.connections.Len() > 0 && l.connections.Len()+r.openCount+more > l.reserved+r.maxConnections; {
		l.connections.Front().Value.(*closingConnection).close()
	}
}

func (g *closingConnection) advance() {
	switch {
	case g.element == nil:
		return
	case g.server.now >= g.deadline:
		g.close()
		return
	case !g.writeShut && g.conn.OutboundBuffered() == 0:
		g.writeShut, g.deadline = true, g.server.now+lingerTimeout
		_ = unix.Shutdown(g.conn.Fd(), unix.SHUT_WR)
	}
	next := g.deadline
	if !g.writeShut {
		next = min(next, g.server.now+flushPollInterval)
	}
	g.server.setTimer(&g.timer, next)
}

func (g *closingConnection) close() {
	g.closed()
	_ = g.server.loop.Close(g.conn)
}

func (g *closingConnection) opened(gnet.Conn) {}

func (g *closingConnection) receive(data []byte) error {
	if g.bytesLeft -= len(data); g.bytesLeft < 0 {
		return errFloodAfterEnd
	}
	return nil
}

func (g *closingConnection) closed() {
	if g.element != nil {
		g.server.stopTimer(&g.timer)
		g.server.closing.connections.Remove(g.element)
		g.element = nil
	}
}
