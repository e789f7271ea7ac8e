package server

import (
	"container/list"
	"errors"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"thistlequay/timeunit"
)

// How a connection ends. A close over unread bytes would reset it and take the last answer along, so what was written
// goes out first, then the write side is shut, and what still comes is read and discarded within bounds.
const (
	flushTimeout      = 2 * second   // for the other side to take what was written
	flushPollInterval = second / 200 // between looks at whether it has
	lingerTimeout     = second / 2   // after that; ten times what the protocol lets a request cross a close
	maxLingerBytes    = 256 << 10    // whoever sends more after the end is not crossing it

	// One descriptor in so many is for connections that end, whatever the router table holds.
	lingerDescriptorDivisor = 32
)

// errFloodAfterEnd closes a connection at once.
var errFloodAfterEnd = errors.New("too much came after the connection's end")

// closingConnections are the connections that are ending. None may end under an open request, and there may never be
// more than a bound.
type closingConnections struct {
	connections list.List // of *closingConnection, the oldest first
	reserved    int       // descriptors that are theirs alone
}

// closingConnection is a connection that ends. It takes the place of the connection's handler.
type closingConnection struct {
	server    *Server
	conn      gnet.Conn
	deadline  timeunit.Ticks // of the present step
	bytesLeft int            // that may still come
	writeShut bool
	timer     timer
	element   *list.Element // in closingConnections; nil once it is closed
}

// closeGracefully ends a connection; its handler is notified at once that it is closed.
func (s *Server) closeGracefully(conn gnet.Conn) {
	handler, _ := conn.Context().(connectionHandler)
	if router, isRouter := handler.(*routerConnection); isRouter {
		router.flush() // the answers of this batch
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

// evictClosing closes the oldest of the ending connections while they and the open ones leave no room for so many more.
// Ending connections may use what the router table does not, as when all end at once, until new ones want it.
func (s *Server) evictClosing(more int) {
	ending := &s.closing.connections
	limit := s.closing.reserved + s.routers.maxConnections
	for ending.Len() > 0 && ending.Len()+s.routers.openCount+more > limit {
		ending.Front().Value.(*closingConnection).close()
	}
}

// advance takes the next step that is due.
func (c *closingConnection) advance() {
	if c.element == nil {
		return
	}
	if c.server.now >= c.deadline {
		c.close()
		return
	}
	if !c.writeShut && c.conn.OutboundBuffered() == 0 {
		c.writeShut = true
		c.deadline = c.server.now + lingerTimeout
		// It fails where the other side has closed: then the end comes by itself.
		_ = unix.Shutdown(c.conn.Fd(), unix.SHUT_WR)
	}
	next := c.deadline
	if !c.writeShut {
		next = min(next, c.server.now+flushPollInterval)
	}
	c.server.setTimer(&c.timer, next)
}

func (c *closingConnection) close() {
	c.closed()
	_ = c.server.loop.Close(c.conn) // it fails where the connection is closed already
}

func (c *closingConnection) opened(gnet.Conn) {}

func (c *closingConnection) receive(data []byte) error {
	c.bytesLeft -= len(data)
	if c.bytesLeft < 0 {
		return errFloodAfterEnd
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
