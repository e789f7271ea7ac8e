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
	starting phase = iota // the interpreter is not there yet
	ready
	draining // it was told to leave; what came within the grace is run
	closing  // the grace is over by far: connections end as soon as they carry nothing
	stopped  // all that was read is answered; every connection ends
)

func (a *App) enter(p phase) { a.phase = max(a.phase, p) }

// good is what health checks and the directory hear.
func (a *App) good() bool { return a.phase < draining && a.routers.good }

// life is where a router's connection is in its.
type life int

const (
	fresh   life = iota // it brought no whole request yet
	busy                // it did, and carries something
	resting             // and carries nothing
	ending              // it ends once no request is open on it
	closed
)

// become moves it on and keeps the lists of fresh and resting ones.
func (c *router) become(to life) {
	r := &c.app.routers
	if c.life == to || c.life == closed {
		return
	}
	switch c.life {
	case fresh:
		r.fresh.Remove(c.spot)
	case resting:
		r.idle.Remove(c.spot)
	}
	c.life, c.spot = to, nil
	switch to {
	case resting:
		c.since = c.app.now
		c.spot = r.idle.PushBack(c)
		if r.idleFor < never && r.closing.place == 0 {
			c.app.set(&r.closing, c.since+r.idleFor)
		}
	case ending:
		c.settle()
	}
}

// settle has it rest, or end, where nothing is open on it.
func (c *router) settle() {
	switch {
	case c.conn == nil:
	case c.life == ending && c.parser.Open() == 0:
		c.buffer() // what is owed goes out with this batch
		c.after = true
	case c.life == busy && c.parser.Clean():
		if c.app.phase >= closing {
			c.become(ending)
		} else {
			c.become(resting)
		}
	}
}

// closeResting is the first step of the end: what carries nothing, or soon does, goes while there is time to end it well.
func (r *routers) closeResting() {
	for e := r.idle.Front(); e != nil; e = r.idle.Front() {
		e.Value.(*router).become(ending)
	}
}

// closeAll is the last: nothing is owed any more. Half a request that lies here never ran.
func (r *routers) closeAll() {
	for e := r.all.Front(); e != nil; {
		c := e.Value.(*router)
		e = e.Next()
		c.shut()
	}
}

const (
	flushFor    = 2 * second // for the other side to take what was written
	flushAgain  = second / 200
	lingerFor   = second / 2 // ten times what the protocol lets a request cross a close
	lingerBytes = 256 << 10  // whoever sends more after the end is not crossing it
	lingerPart  = 32         // one descriptor in so many is for connections that end, whatever the table holds
)

// lingering are the connections that end.
type lingering struct {
	all  list.List // of *parting, the oldest first
	most int
}

// parting is one of them, in the place of the peer that it had.
type parting struct {
	app   *App
	conn  gnet.Conn
	until timeunit.Ticks
	left  int  // bytes
	shut  bool // its write side
	look  alarm
	spot  *list.Element
}

var errFlood = errors.New("more after the end than can have crossed it")

// part ends a connection; its peer hears so at once.
func (a *App) part(c gnet.Conn) {
	p, _ := c.Context().(peer)
	if r, is := p.(*router); is {
		r.flush() // answers of this batch
	}
	g, l := &parting{app: a, conn: c, until: a.now + flushFor, left: lingerBytes}, &a.lingering
	c.SetContext(g)
	g.look.ring = g.goOn
	g.spot = l.all.PushBack(g)
	if p != nil {
		p.closed()
	}
	g.goOn()
	a.makeRoom(0)
}

// makeRoom closes the oldest of those that end where they and the open ones leave no room for so many more: what the
// table does not use is theirs, as when all end at once, until newcomers want it.
func (a *App) makeRoom(more int) {
	for l, r := &a.lingering, &a.routers; l.all.Len() > 0 && l.all.Len()+r.open+more > l.most+r.most; {
		l.all.Front().Value.(*parting).close()
	}
}

func (g *parting) goOn() {
	switch {
	case g.spot == nil:
		return
	case g.app.now >= g.until:
		g.close()
		return
	case !g.shut && g.conn.OutboundBuffered() == 0:
		g.shut, g.until = true, g.app.now+lingerFor
		_ = unix.Shutdown(g.conn.Fd(), unix.SHUT_WR)
	}
	next := g.until
	if !g.shut {
		next = min(next, g.app.now+flushAgain)
	}
	g.app.set(&g.look, next)
}

func (g *parting) close() {
	g.closed()
	_ = g.app.thread.Close(g.conn)
}

func (g *parting) opened(gnet.Conn) {}

func (g *parting) traffic(data []byte) error {
	if g.left -= len(data); g.left < 0 {
		return errFlood
	}
	return nil
}

func (g *parting) closed() {
	if g.spot != nil {
		g.app.unset(&g.look)
		g.app.lingering.all.Remove(g.spot)
		g.spot = nil
	}
}
