package server

import (
	"container/list"
	"errors"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"thistlequay/timeunit"
)

// Limits of a graceful close. Closing a socket that has unread input resets the connection and can discard the last
// response. Therefore pending output is sent first, then the write side is shut down, and further input is read and
// discarded for a limited time and amount.
const (
	flushTimeout      = 2 * second   // maximum time for the peer to read the pending output
	flushPollInterval = second / 200 // between checks whether the output has been sent

	// lingerTimeout is the maximum time for which input is discarded after the write side is shut down. It is ten times
	// as long as the protocol allows a request to cross a close.
	lingerTimeout = second / 2

	// maxLingerBytes is the maximum input that is discarded. A peer that sends more is not just sending requests that
	// crossed the close.
	maxLingerBytes = 256 << 10

	// lingerDescriptorDivisor reserves 1/32 of the file descriptors for closing connections, however full the router
	// table is.
	lingerDescriptorDivisor = 32
)

// errDataAfterShutdown reports that a peer sent more than maxLingerBytes after the close began; the connection is then
// closed immediately.
var errDataAfterShutdown = errors.New("too much data received after the connection was shut down")

// closingConnections holds the connections that are being closed gracefully. A connection with an open request must not
// be among them, and their number is limited; see evictClosing.
type closingConnections struct {
	connections         list.List // of *closingConnection, oldest first
	reservedDescriptors int       // file descriptors reserved for closing connections
}

// closingConnection is a connection that is being closed gracefully. It replaces the connection's handler.
type closingConnection struct {
	server      *Server
	conn        gnet.Conn
	deadline    timeunit.Ticks // of the current step: flushing or lingering
	bytesLeft   int            // input that may still be discarded
	isWriteShut bool
	timer       timer
	element     *list.Element // in closingConnections; nil once the connection is closed
}

// closeGracefully starts the graceful close of a connection. It calls the closed method of the connection's handler
// immediately.
func (s *Server) closeGracefully(conn gnet.Conn) {
	handler, _ := conn.Context().(connectionHandler)
	if router, isRouter := handler.(*routerConnection); isRouter {
		router.flush() // sends the responses of this batch
	}
	closing := &closingConnection{server: s, conn: conn, deadline: s.now + flushTimeout, bytesLeft: maxLingerBytes}
	conn.SetContext(closing)
	closing.timer.fire = closing.advance
	closing.element = s.closing.connections.PushBack(closing)
	if handler != nil {
		handler.closed()
	}
	closing.advance()
	s.evictClosing(0)
}

// evictClosing closes the oldest closing connections until there is room for the given number of new connections.
// Besides their reserved descriptors, closing connections may use those that the router table leaves free, for example
// when all connections close at once, but only until new connections need them.
func (s *Server) evictClosing(newConnections int) {
	closing := &s.closing.connections
	limit := s.closing.reservedDescriptors + s.routers.maxConnections
	for closing.Len() > 0 && closing.Len()+s.routers.openCount+newConnections > limit {
		closing.Front().Value.(*closingConnection).close()
	}
}

// advance performs the next step that is due: it shuts down the write side once all output is sent, and closes the
// connection at the deadline. It then sets the timer for the next check.
func (c *closingConnection) advance() {
	if c.element == nil {
		return
	}
	if c.server.now >= c.deadline {
		c.close()
		return
	}
	if !c.isWriteShut && c.conn.OutboundBuffered() == 0 {
		c.isWriteShut = true
		c.deadline = c.server.now + lingerTimeout
		// Shutdown fails if the peer has closed the connection; gnet then reports the close.
		_ = unix.Shutdown(c.conn.Fd(), unix.SHUT_WR)
	}
	nextCheck := c.deadline
	if !c.isWriteShut {
		nextCheck = min(nextCheck, c.server.now+flushPollInterval)
	}
	c.server.setTimer(&c.timer, nextCheck)
}

func (c *closingConnection) close() {
	c.closed()
	_ = c.server.loop.Close(c.conn) // fails if the connection is already closed
}

func (c *closingConnection) opened(gnet.Conn) {}

func (c *closingConnection) receive(data []byte) error {
	c.bytesLeft -= len(data)
	if c.bytesLeft < 0 {
		return errDataAfterShutdown
	}
	return nil
}

func (c *closingConnection) closed() {
	if c.element == nil {
		return
	}
	c.server.stopTimer(&c.timer)
	c.server.closing.connections.Remove(c.element)
	c.element = nil
}
