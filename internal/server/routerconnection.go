package server

import (
	"container/list"
	"net"
	"net/netip"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/internal/fastcgi"
	"thistlequay/timeunit"
)

const (
	// firstRequestTimeout: a new connection that sends no complete request for so long is closed.
	firstRequestTimeout = 2 * second

	// requestReadTimeout: a request that is not complete after one to two of these is answered as it is.
	requestReadTimeout = 1 * second
)

// connectionState is where a router's connection is in its life.
type connectionState int

const (
	connectionNew    connectionState = iota // it have not sent a complete request yet
	connectionActive                        // it did, and carries something
	connectionIdle                          // it did, and carries nothing
	connectionEnding                        // it ends once no request is open on it
	connectionClosed
)

// routerConnection is one connection from a router.
type routerConnection struct {
	outputBuffer
	parser       fastcgi.Parser
	state        connectionState
	stateSince   timeunit.Ticks // that it is new, or idle
	tableElement *list.Element  // in the list of all
	stateElement *list.Element  // in the list of new or of idle connections

	requestTimer  timer
	wasIncomplete bool // at the timer before this one, and no complete request has come since

	peerIP netip.Addr // the other end; read when tenants go by it
}

// transition changes the state and keeps the lists of new and idle connections.
func (c *routerConnection) transition(to connectionState) {
	if c.state == to || c.state == connectionClosed {
		return
	}
	table := &c.server.routers
	switch c.state {
	case connectionNew:
		table.newConnections.Remove(c.stateElement)
	case connectionIdle:
		table.idleConnections.Remove(c.stateElement)
	}
	c.state = to
	c.stateElement = nil
	switch to {
	case connectionIdle:
		c.stateSince = c.server.now
		c.stateElement = table.idleConnections.PushBack(c)
		if table.idleTimeout < noDeadline && !table.idleTimer.isSet() {
			c.server.setTimer(&table.idleTimer, c.stateSince+table.idleTimeout)
		}
	case connectionEnding:
		c.updateState()
	}
}

// updateState has the connection become idle, or end, where nothing is open on it.
func (c *routerConnection) updateState() {
	switch {
	case c.conn == nil:
	case c.state == connectionEnding && c.parser.OpenRequests() == 0:
		c.closeAtEndOfBatch()
	case c.state == connectionActive && c.parser.Idle():
		if c.server.phase >= phaseClosing {
			c.transition(connectionEnding)
		} else {
			c.transition(connectionIdle)
		}
	}
}

// closeAtEndOfBatch closes the connection once what is owed has gone out.
func (c *routerConnection) closeAtEndOfBatch() {
	c.buffer() // it is written, and closed, also where nothing is owed
	c.closeAfterWrite = true
}

// peerAddress returns the other end's address.
func (c *routerConnection) peerAddress() netip.Addr {
	address, isTCP := c.conn.RemoteAddr().(*net.TCPAddr)
	if isTCP && !c.peerIP.IsValid() {
		c.peerIP = address.AddrPort().Addr()
	}
	return c.peerIP
}

func (c *routerConnection) opened(conn gnet.Conn) {
	table := &c.server.routers
	c.conn = conn
	c.stateSince = c.server.now
	table.openCount++
	c.tableElement = table.all.PushBack(c)
	c.stateElement = table.newConnections.PushBack(c)
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
	if err := c.parser.Feed(data, c); err != nil {
		return err
	}
	c.updateState()
	if c.state != connectionNew && !c.requestTimer.isSet() && c.parser.HasIncomplete() {
		c.server.setTimer(&c.requestTimer, c.server.now+requestReadTimeout)
	}
	return nil
}

// onRequestTimeout answers requests that are not complete in time, and closes a connection that has nothing else open
// and completes none: otherwise a client that sends a little at a time would keep its place and buffers for ever.
func (c *routerConnection) onRequestTimeout() {
	for _, incomplete := range c.parser.IncompleteRequests() {
		if incomplete.Overdue || c.state == connectionNew {
			c.respond(incomplete, statusRequestTimeout, "", nil)
		}
		incomplete.Overdue = true
	}
	hasIncomplete := c.parser.HasIncomplete()
	isStuck := c.state == connectionNew || hasIncomplete && c.wasIncomplete
	switch {
	case c.parser.OpenRequests() == 0 && isStuck:
		if countAndSample(&c.server.routers.incomplete) {
			c.server.log.Event("request_read_timeout").Int("count", c.server.routers.incomplete).Send()
		}
		c.closeAtEndOfBatch()
	case hasIncomplete:
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
	c.parser.Abandon(c, func(open *fastcgi.Request) {
		if accepted, isAccepted := open.Owner.(*request); isAccepted {
			accepted.routerGone()
		}
	})
}
