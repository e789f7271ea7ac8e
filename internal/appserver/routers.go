// This file owns the connections that routers open: what is open on them, health checks, and their closing when
// idle. It must never close one under an open request, nor act on what a work item is about.
package appserver

import (
	"container/list"
	"log"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/admission"
	"thistlequay/internal/fastcgi"
)

type routers struct {
	app     *App
	open    int
	most    int
	idle    *list.List // of *router, the longest idle first
	idleFor admission.Tenths
	closing alarm
	full    int // connections turned away
	good    bool
	hint    string // the header of the free value, empty until it is said
}

func (r *routers) start(a *App) {
	r.app, r.idle, r.idleFor, r.good = a, list.New(), never, true
	r.most = max(1, a.place.Sockets-keptBack)
	r.closing.ring = r.closeIdle
}

// router is one connection.
type router struct {
	wire
	parser fastcgi.Parser
	spot   *list.Element // in the list of idle ones
	since  admission.Tenths
}

func (r *routers) accept() peer {
	if r.open >= r.most {
		if often(&r.full) {
			log.Printf("event=table_full connections=%d turned_away=%d", r.open, r.full)
		}
		return nil
	}
	return &router{wire: wire{app: r.app, most: mostUnread}}
}

func (c *router) opened(conn gnet.Conn) {
	c.conn = conn
	c.app.routers.open++
	c.rest()
}

func (c *router) traffic(data []byte) error {
	c.stir()
	err := c.parser.Feed(data, c)
	if err == nil {
		c.rest()
	}
	return err
}

func (c *router) closed() {
	c.stir()
	c.conn = nil
	c.app.routers.open--
	c.parser.Lost(c, func(s *fastcgi.Stream) {
		if it, is := s.Mark.(*item); is {
			it.gone()
		}
	})
}

// stir and rest take it off the idle ones and put it there if nothing is open on it.
func (c *router) stir() {
	if c.spot != nil {
		c.app.routers.idle.Remove(c.spot)
		c.spot = nil
	}
}

func (c *router) rest() {
	r := &c.app.routers
	if c.conn == nil || c.spot != nil || !c.parser.Clean() {
		return
	}
	c.since = c.app.now
	c.spot = r.idle.PushBack(c)
	if r.idleFor < never && r.closing.place == 0 {
		c.app.set(&r.closing, c.since+r.idleFor)
	}
}

func (r *routers) closeIdle() {
	for e := r.idle.Front(); e != nil; e = r.idle.Front() {
		c := e.Value.(*router)
		if due := c.since + r.idleFor; due > r.app.now {
			r.app.set(&r.closing, due)
			return
		}
		c.shut()
		c.stir()
	}
}

// closeAll closes what carries nothing, at the end; what is owed on it goes out first.
func (r *routers) closeAll() {
	for e := r.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*router)
		c.out, c.after = c.buffer(), true
	}
}

// The parser's calls.

func (c *router) Buffer() []byte       { return c.app.pool.take() }
func (c *router) Free(b []byte)        { c.app.pool.give(b) }
func (c *router) Reply(records []byte) { c.out = append(c.buffer(), records...) }

func (c *router) Whole(s *fastcgi.Stream) {
	if string(s.Field("SCRIPT_NAME")) == "/health" {
		status := "200 OK"
		if !c.app.routers.good {
			status = "503 Leaving"
		}
		c.answer(s, status, "", nil)
		return
	}
	c.app.items.take(c, s)
}

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
	c.after = c.after || !s.Keep
	c.rest()
}

func (r *routers) say(value float64) {
	r.hint = "Server-Hint: " + strconv.FormatFloat(value, 'f', -1, 64) + "\r\n"
}
