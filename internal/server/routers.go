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
	firstWithin = 2 * second  // a connection that brings no whole request so long is closed
	wholeWithin = 1 * second  // and a request not whole after one to two of these is answered as it is
	newcomer    = second / 10 // what came later may have its first request on the way
	freshPart   = 4           // unless those without one take up more than one place in so many
)

type routers struct {
	app     *App
	open    int
	most    int
	all     *list.List // of *router
	fresh   *list.List // of those that brought no whole request yet, the oldest first
	idle    *list.List // of those that did and carry nothing, the longest idle first
	idleFor timeunit.Ticks
	closing alarm
	full    int // connections turned away
	evicted int // closed to make room
	slow    int // closed or answered as no whole request came
	good    bool
	hint    string // the header of the free value, empty until it is said
}

func (r *routers) start(a *App) {
	r.app, r.all, r.fresh, r.idle, r.idleFor, r.good = a, list.New(), list.New(), list.New(), never, true
	a.lingering.most = max(1, a.place.Sockets/lingerPart)
	r.most = max(1, a.place.Sockets-keptBack-2*a.index.most-a.lingering.most)
	r.closing.ring = r.closeIdle
}

// router is one connection.
type router struct {
	wire
	parser fastcgi.Parser
	life   life
	place  *list.Element // in the list of all
	spot   *list.Element // in that of fresh or of idle ones
	since  timeunit.Ticks
	limit  alarm
	peer   netip.Addr // the other end, read where tenants go by it
	stuck  bool       // it was so at the limit before, and no request has come whole since
}

// peerAddress is that of the other end.
func (c *router) peerAddress() netip.Addr {
	if a, is := c.conn.RemoteAddr().(*net.TCPAddr); is && !c.peer.IsValid() {
		c.peer = a.AddrPort().Addr()
	}
	return c.peer
}

// accept makes room for a newcomer where the table is full: silent connections and such as asked once and stay must
// not keep routers out.
func (r *routers) accept() peer {
	if r.open >= r.most {
		c := r.leastClaim()
		if c == nil {
			if often(&r.full) {
				r.app.log.Event("table_full").Int("connections", r.open).Int("turned_away", r.full).Send()
			}
			return nil
		}
		if often(&r.evicted) {
			r.app.log.Event("made_room").Int("connections", r.open).Int("closed", r.evicted).Send()
		}
		c.shut()
	}
	r.app.makeRoom(1)
	return &router{wire: wire{app: r.app, most: mostUnread}}
}

// leastClaim gives the connection whose place goes to a newcomer: one that never brought a whole request, unless that
// may be on its way, else the longest idle; none where all carry something.
func (r *routers) leastClaim() *router {
	first, idle := r.fresh.Front(), r.idle.Front()
	switch {
	case first != nil && (idle == nil || r.fresh.Len() > r.most/freshPart ||
		r.app.now-first.Value.(*router).since > newcomer):
		return first.Value.(*router)
	case idle != nil:
		return idle.Value.(*router)
	}
	return nil
}

func (c *router) opened(conn gnet.Conn) {
	r := &c.app.routers
	c.conn, c.since = conn, c.app.now
	r.open++
	c.place, c.spot = r.all.PushBack(c), r.fresh.PushBack(c)
	c.limit.ring = c.overdue
	c.app.set(&c.limit, c.since+firstWithin)
}

func (c *router) traffic(data []byte) error {
	if c.after { // it crosses the end, which comes with this batch
		return nil
	}
	if c.life == resting {
		c.become(busy)
	}
	err := c.parser.Feed(data, c)
	if err != nil {
		return err
	}
	if c.settle(); c.life != fresh && c.limit.place == 0 && c.parser.Partial() {
		c.app.set(&c.limit, c.app.now+wholeWithin)
	}
	return nil
}

// overdue: what was begun must be whole in its time, or it keeps its place and buffers for ever; a little at a time
// is no help. Such a request is answered, and a connection closed that has nothing else open and brings none whole.
func (c *router) overdue() {
	for _, s := range c.parser.Halves() {
		if s.Late || c.life == fresh {
			c.answer(s, "408 Not whole in time", "", nil)
		}
		s.Late = true
	}
	switch partial := c.parser.Partial(); {
	case c.parser.Open() == 0 && (c.life == fresh || partial && c.stuck):
		if often(&c.app.routers.slow) {
			c.app.log.Event("not_whole_in_time").Int("count", c.app.routers.slow).Send()
		}
		c.buffer()
		c.after = true
	case partial:
		c.stuck = true
		c.app.set(&c.limit, c.app.now+wholeWithin)
	}
}

func (c *router) closed() {
	c.become(closed)
	c.app.unset(&c.limit)
	c.conn = nil
	c.app.routers.open--
	c.app.routers.all.Remove(c.place)
	c.parser.Lost(c, func(s *fastcgi.Stream) {
		if it, is := s.Mark.(*item); is {
			it.gone()
		}
	})
}

func (r *routers) closeIdle() {
	for e := r.idle.Front(); e != nil; e = r.idle.Front() {
		c := e.Value.(*router)
		if due := c.since + r.idleFor; due > r.app.now {
			r.app.set(&r.closing, due)
			return
		}
		c.shut()
	}
}

// The parser's calls.

func (c *router) Buffer() []byte       { return c.app.pool.take() }
func (c *router) Free(b []byte)        { c.app.pool.give(b) }
func (c *router) Reply(records []byte) { c.out = append(c.buffer(), records...) }

func (c *router) Room() bool { return c.app.pool.out < c.app.pool.most }

func (c *router) Whole(s *fastcgi.Stream) {
	if c.after { // behind the one that wanted the connection closed: never run
		return
	}
	if c.stuck = false; c.life == fresh {
		c.become(busy)
		c.app.unset(&c.limit)
	}
	if string(s.Field("SCRIPT_NAME")) == "/health" {
		status := "200 OK"
		if !c.app.good() {
			status = "503 Leaving"
		}
		c.answer(s, status, "", nil)
		return
	}
	c.app.items.take(c, s)
}

func (c *router) Overlong(s *fastcgi.Stream) { c.answer(s, tooLong, "", nil) }

func (c *router) Aborted(s *fastcgi.Stream) {
	if it, is := s.Mark.(*item); is {
		it.gone()
	}
	c.out = fastcgi.AppendEnd(c.buffer(), s.ID, fastcgi.Complete)
	c.done(s)
}

// answer writes the one answer to an open request.
func (c *router) answer(s *fastcgi.Stream, status, headers string, body []byte) {
	head := c.app.pool.take()
	head = append(append(head, "Status: "...), status...)
	head = append(append(head, "\r\n"...), c.app.routers.hint...)
	head = append(append(head, headers...), "\r\n"...)
	head = append(head, body...)
	c.out = fastcgi.AppendOut(c.buffer(), s.ID, head)
	c.out = fastcgi.AppendEnd(c.out, s.ID, fastcgi.Complete)
	c.app.pool.give(head)
	c.done(s)
}

func (c *router) done(s *fastcgi.Stream) {
	s.Mark = nil
	c.parser.End(s, c)
	if !s.Keep {
		c.become(ending) // what else is open on it is answered first
	}
	c.settle()
}

func (r *routers) say(value float64) {
	r.hint = "Server-Hint: " + strconv.FormatFloat(value, 'f', -1, 64) + "\r\n"
}
