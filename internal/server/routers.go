// This file owns the connections that routers open, and others with them: what is open on them, health checks, the
// time that a request may take to come whole, their closing when idle, and whose place goes where there are too
// many. It must never close one under a whole request, nor act on what a work item is about.
package server

import (
	"container/list"
	"net"
	"net/netip"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/internal/fastcgi"
	"thistlequay/timeunit"
)

const (
	firstRequestTimeout  = 2 * second  // a connection that brings no whole request so long is closed
	requestReadTimeout   = 1 * second  // and a request not whole after one to two of these is answered as it is
	newConnectionGrace   = second / 10 // what came later may have its first request on the way
	newConnectionDivisor = 4           // unless those without one take up more than one place in so many
)

type routerTable struct {
	server           *Server
	openCount        int
	maxConnections   int
	all              *list.List // of *router
	newConnections   *list.List // of those that brought no whole request yet, the oldest first
	idleConnections  *list.List // of those that did and carry nothing, the longest idle first
	idleTimeout      timeunit.Ticks
	idleTimer        timer
	rejected         int // connections turned away
	evicted          int // closed to make room
	incomplete       int // closed or answered as no whole request came
	admissionHealthy bool
	loadReportHeader string // the header of the free value, empty until it is said
}

func (r *routerTable) start(a *Server) {
	r.server, r.all, r.newConnections, r.idleConnections, r.idleTimeout, r.admissionHealthy = a, list.New(), list.New(), list.New(), noDeadline, true
	a.closing.reserved = max(1, a.config.MaxSockets/lingerDescriptorDivisor)
	r.maxConnections = max(1, a.config.MaxSockets-reservedDescriptors-2*a.index.maxConnections-a.closing.reserved)
	r.idleTimer.fire = r.closeIdle
}

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

// peerAddress is that of the other end.
func (c *routerConnection) peerAddress() netip.Addr {
	if a, is := c.conn.RemoteAddr().(*net.TCPAddr); is && !c.peerIP.IsValid() {
		c.peerIP = a.AddrPort().Addr()
	}
	return c.peerIP
}

// accept makes room for a newcomer where the table is full: silent connections and such as asked once and stay must
// not keep routers out.
func (r *routerTable) accept() connectionHandler {
	if r.openCount >= r.maxConnections {
		c := r.evictionCandidate()
		if c == nil {
			if countAndSample(&r.rejected) {
				r.server.log.Event("table_full").Int("connections", r.openCount).Int("rejected", r.rejected).Send()
			}
			return nil
		}
		if countAndSample(&r.evicted) {
			r.server.log.Event("connection_evicted").Int("connections", r.openCount).Int("evicted", r.evicted).Send()
		}
		c.closeGracefully()
	}
	r.server.evictClosing(1)
	return &routerConnection{outputBuffer: outputBuffer{server: r.server, maxUnread: maxUnreadPerRouter}}
}

// evictionCandidate gives the connection whose place goes to a newcomer: one that never brought a whole request, unless that
// may be on its way, else the longest idle; none where all carry something.
func (r *routerTable) evictionCandidate() *routerConnection {
	first, idle := r.newConnections.Front(), r.idleConnections.Front()
	switch {
	case first != nil && (idle == nil || r.newConnections.Len() > r.maxConnections/newConnectionDivisor ||
		r.server.now-first.Value.(*routerConnection).stateSince > newConnectionGrace):
		return first.Value.(*routerConnection)
	case idle != nil:
		return idle.Value.(*routerConnection)
	}
	return nil
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

func (r *routerTable) closeIdle() {
	for e := r.idleConnections.Front(); e != nil; e = r.idleConnections.Front() {
		c := e.Value.(*routerConnection)
		if due := c.stateSince + r.idleTimeout; due > r.server.now {
			r.server.setTimer(&r.idleTimer, due)
			return
		}
		c.closeGracefully()
	}
}

// The parser's calls.

func (c *routerConnection) AcquireBuffer() []byte  { return c.server.buffers.take() }
func (c *routerConnection) ReleaseBuffer(b []byte) { c.server.buffers.give(b) }
func (c *routerConnection) Send(records []byte)    { c.output = append(c.buffer(), records...) }

func (c *routerConnection) HasCapacity() bool { return c.server.buffers.inUse < c.server.buffers.limit }

func (c *routerConnection) HandleRequest(s *fastcgi.Request) {
	if c.closeAfterWrite { // behind the one that wanted the connection closed: never run
		return
	}
	if c.wasIncomplete = false; c.state == connectionNew {
		c.transition(connectionActive)
		c.server.stopTimer(&c.requestTimer)
	}
	if string(s.Param("SCRIPT_NAME")) == "/health" {
		status := "200 OK"
		if !c.server.isHealthy() {
			status = "503 Leaving"
		}
		c.respond(s, status, "", nil)
		return
	}
	c.server.requests.accept(c, s)
}

func (c *routerConnection) HandleBodyTooLong(s *fastcgi.Request) {
	c.respond(s, statusBodyTooLong, "", nil)
}

func (c *routerConnection) HandleAbort(s *fastcgi.Request) {
	if it, is := s.Owner.(*request); is {
		it.routerGone()
	}
	c.output = fastcgi.AppendEndRequest(c.buffer(), s.ID, fastcgi.StatusRequestComplete)
	c.finishRequest(s)
}

// respond writes the one answer to an open request.
func (c *routerConnection) respond(s *fastcgi.Request, status, headers string, body []byte) {
	head := c.server.buffers.take()
	head = append(append(head, "Status: "...), status...)
	head = append(append(head, "\r\n"...), c.server.routers.loadReportHeader...)
	head = append(append(head, headers...), "\r\n"...)
	head = append(head, body...)
	c.output = fastcgi.AppendStdout(c.buffer(), s.ID, head)
	c.output = fastcgi.AppendEndRequest(c.output, s.ID, fastcgi.StatusRequestComplete)
	c.server.buffers.give(head)
	c.finishRequest(s)
}

func (c *routerConnection) finishRequest(s *fastcgi.Request) {
	s.Owner = nil
	c.parser.Finish(s, c)
	if !s.KeepConnection {
		c.transition(connectionDraining) // what else is open on it is answered first
	}
	c.updateState()
}

func (r *routerTable) setLoadReport(value float64) {
	r.loadReportHeader = "Server-Hint: " + strconv.FormatFloat(value, 'f', -1, 64) + "\r\n"
}
