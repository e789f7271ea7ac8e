package server

import (
	"container/list"
	"errors"
	"thistlequay/timeunit"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

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
