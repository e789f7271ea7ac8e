package server

import (
	"container/list"
	"net"
	"net/netip"
	"thistlequay/internal/fastcgi"
	"thistlequay/timeunit"

	"github.com/panjf2000/gnet/v2"
)

const (
	firstRequestTimeout  = 2 * second  // a connection that brings no whole request so long is closed
	requestReadTimeout   = 1 * second  // and a request not whole after one to two of these is answered as it is
	newConnectionGrace   = second / 10 // what came later may have its first request on the way
	newConnectionDivisor = 4           // unless those without one take up more than one place in so many
)

// connectionState is where a router's connection is in its.
type connectionState int

const (
	connectionNew      connectionState = iota // it brought no whole request yet
	connectionActive                          // it did, and carries something
	connectionIdle                            // and carries nothing
	connectionDraining                        // it ends once no request is open on it
	connectionClosed
)

// routerConnection is one connection.
type routerConnection struct {
	outputBuffer
	parser        fastcgi.Parser
	state         connectionState
	tableElement  *list.Element // in the list of all
	stateElement  *list.Element // in that of fresh or of idle ones
	stateSince    timeunit.Ticks
	requestTimer  timer
	peerIP        netip.Addr // the other end, read where tenants go by it
	wasIncomplete bool       // it was so at the limit before, and no request has come whole since
}

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

// peerAddress is that of the other end.
func (c *routerConnection) peerAddress() netip.Addr {
	if a, is := c.conn.RemoteAddr().(*net.TCPAddr); is && !c.peerIP.IsValid() {
		c.peerIP = a.AddrPort().Addr()
	}
	return c.peerIP
}

func (c *routerConnection) opened(conn gnet.Conn) {
	r := &c.server.routers
	c.conn, c.stateSince = conn, c.server.now
	r.openCount++
	c.tableElement, c.stateElement = r.all.PushBack(c), r.newConnections.PushBack(c)
	c.requestTimer.fire = c.onRequestTimeout
	c.server.setTimer(&c.requestTimer, c.stateSince+firstRequestTimeout)
}

func (c *routerConnection) receive(data []byte) error {
	if c.closeAfterWrite { // it crosses the end, which comes with this batch
		return nil
	}
	if c.state == connectionIdle {
		c.transition(connectionActive)
	}
	err := c.parser.Feed(data, c)
	if err != nil {
		return err
	}
	if c.updateState(); c.state != connectionNew && c.requestTimer.heapPosition == 0 && c.parser.HasIncomplete() {
		c.server.setTimer(&c.requestTimer, c.server.now+requestReadTimeout)
	}
	return nil
}

// onRequestTimeout: what was begun must be whole in its time, or it keeps its place and buffers for ever; a little at a time
// is no help. Such a request is answered, and a connection closed that has nothing else open and brings none whole.
func (c *routerConnection) onRequestTimeout() {
	for _, s := range c.parser.IncompleteRequests() {
		if s.Overdue || c.state == connectionNew {
			c.respond(s, "408 Not whole in time", "", nil)
		}
		s.Overdue = true
	}
	switch partial := c.parser.HasIncomplete(); {
	case c.parser.OpenRequests() == 0 && (c.state == connectionNew || partial && c.wasIncomplete):
		if countAndSample(&c.server.routers.incomplete) {
			c.server.log.Event("request_read_timeout").Int("count", c.server.routers.incomplete).Send()
		}
		c.buffer()
		c.closeAfterWrite = true
	case partial:
		c.wasIncomplete = true
		c.server.setTimer(&c.requestTimer, c.server.now+requestReadTimeout)
	}
}

func (c *routerConnection) closed() {
	c.transition(connectionClosed)
	c.server.stopTimer(&c.requestTimer)
	c.conn = nil
	c.server.routers.openCount--
	c.server.routers.all.Remove(c.tableElement)
	c.parser.Abandon(c, func(s *fastcgi.Request) {
		if it, is := s.Owner.(*request); is {
			it.routerGone()
		}
	})
}
