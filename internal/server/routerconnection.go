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
	// firstRequestTimeout is the time after which a new connection that has not sent a complete request is closed.
	firstRequestTimeout = 2 * second

	// requestReadTimeout is the interval of the check for incomplete requests. A request that is still incomplete at
	// its second check, so after one to two intervals, is answered with statusRequestTimeout.
	requestReadTimeout = 1 * second
)

// connectionState is the state of a router connection.
type connectionState int

const (
	connectionNew    connectionState = iota // has not sent a complete request yet
	connectionActive                        // has sent a complete request, and a request is open or being read
	connectionIdle                          // has sent a complete request, and none is open or being read
	connectionEnding                        // closes once no request is open
	connectionClosed
)

// routerConnection handles a connection from a router.
type routerConnection struct {
	outputBuffer
	parser       fastcgi.Parser
	state        connectionState
	stateSince   timeunit.Ticks // when the connection became new or idle
	tableElement *list.Element  // in routerTable.connections
	stateElement *list.Element  // in routerTable.newConnections or idleConnections

	isReading        bool           // the parser is being fed
	requestBytes     int            // size of the buffers of requests that are being received
	receivingSince   timeunit.Ticks // when it began to carry incomplete requests only
	receivingElement *list.Element  // in routerTable.receivingConnections

	isDepartureChecked bool // in departureCheck.candidates

	requestTimer  timer
	wasIncomplete bool // a request was incomplete when requestTimer last fired, and none has been completed since

	peerIP netip.Addr // set by peerAddress
}

// setState changes the state and updates the lists of new and idle connections.
func (c *routerConnection) setState(newState connectionState) {
	if c.state == newState || c.state == connectionClosed {
		return
	}
	table := &c.server.routers
	switch c.state {
	case connectionNew:
		table.newConnections.Remove(c.stateElement)
	case connectionIdle:
		table.idleConnections.Remove(c.stateElement)
	}
	c.state = newState
	c.stateElement = nil
	switch newState {
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

// updateState makes an active connection idle, or ending once the server is closing connections, if it carries nothing.
// It closes an ending connection on which no request is open.
func (c *routerConnection) updateState() {
	c.updateReceiving()
	switch {
	case c.conn == nil:
	case c.state == connectionEnding && c.parser.OpenRequests() == 0:
		c.closeAtEndOfBatch()
	case c.state == connectionActive && c.parser.Idle():
		if c.server.phase >= phaseClosing {
			c.endForShutdown()
		} else {
			c.setState(connectionIdle)
		}
	}
}

// updateReceiving keeps track of whether all that the connection carries is incomplete, although it has sent a complete
// request before. The router table may then evict it. While the parser is being fed, more of a request may follow.
func (c *routerConnection) updateReceiving() {
	if c.isReading {
		return
	}
	table := &c.server.routers
	mayServe := c.state == connectionActive || c.state == connectionEnding
	isReceiving := mayServe && c.parser.HasIncomplete() && !c.parser.HasComplete()
	switch {
	case isReceiving && c.receivingElement == nil:
		c.receivingSince = c.server.now
		c.receivingElement = table.receivingConnections.PushBack(c)
	case !isReceiving && c.receivingElement != nil:
		table.receivingConnections.Remove(c.receivingElement)
		c.receivingElement = nil
	}
}

// endForShutdown closes the connection once no request is open. The router does not know of the close, so the requests
// that it has sent by then are read and answered first.
func (c *routerConnection) endForShutdown() {
	c.readBeforeClose = true
	c.setState(connectionEnding)
}

// closeAtEndOfBatch closes the connection after its output has been written at the end of the batch.
func (c *routerConnection) closeAtEndOfBatch() {
	c.buffer() // schedules the write, and with it the close, even if there is no output
	c.closeAfterWrite = true
}

// peerAddress returns the peer's IP address, and caches it.
func (c *routerConnection) peerAddress() netip.Addr {
	address, isTCP := c.conn.RemoteAddr().(*net.TCPAddr)
	if isTCP && !c.peerIP.IsValid() {
		c.peerIP = address.AddrPort().Addr()
	}
	return c.peerIP
}

// opened adds the connection to the router table as a new connection and sets the timer for its first complete request.
func (c *routerConnection) opened(conn gnet.Conn) {
	table := &c.server.routers
	c.conn = conn
	c.stateSince = c.server.now
	table.openCount++
	c.tableElement = table.connections.PushBack(c)
	c.stateElement = table.newConnections.PushBack(c)
	c.requestTimer.fire = c.onRequestTimeout
	c.server.setTimer(&c.requestTimer, c.stateSince+firstRequestTimeout)
}

func (c *routerConnection) receive(data []byte) error {
	if c.closeAfterWrite && !c.readBeforeClose { // the data crossed the close, which happens at the end of this batch
		return nil
	}
	if c.state == connectionIdle {
		c.setState(connectionActive)
	}
	c.isReading = true
	err := c.parser.Feed(data, c)
	c.isReading = false
	if err != nil || c.state == connectionClosed {
		return err
	}
	c.updateState()
	if c.parser.HasComplete() {
		c.server.departures.add(c)
	}
	c.server.routers.releaseRequestMemory()
	if c.state != connectionNew && !c.requestTimer.isSet() && c.parser.HasIncomplete() {
		c.server.setTimer(&c.requestTimer, c.server.now+requestReadTimeout)
	}
	return nil
}

// onRequestTimeout answers requests that are not complete in time. It closes the connection if no request is open and
// none has been completed in time; otherwise a client that sends a few bytes at a time could occupy the connection and
// its buffers forever.
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
	c.setState(connectionClosed)
	c.isReading = false // a failed write may close the connection while the parser is being fed
	c.updateReceiving()
	c.server.stopTimer(&c.requestTimer)
	c.conn = nil
	c.server.routers.openCount--
	c.server.routers.connections.Remove(c.tableElement)
	c.parser.Abandon(c, cancelOwner)
}

// cancelRequests cancels the requests on the connection, because the client does not wait for them any more.
func (c *routerConnection) cancelRequests() { c.parser.ForEachOpen(cancelOwner) }

// cancelOwner cancels the request, if any, that an open stream belongs to.
func cancelOwner(open *fastcgi.Request) {
	if req, isAccepted := open.Owner.(*request); isAccepted {
		open.Owner = nil
		req.cancelByRouter()
	}
}
