// This file owns the calls to the index and the connections that carry them, one call at a time on each, so that
// what spoils a connection spoils one call. It must never make a call that the module did not ask for, call again
// by itself, use a connection on which a call went wrong, or take a call for proven unseen that may have been seen.
package server

import (
	"bytes"
	"errors"
	"slices"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

const (
	restMost  = second / 20 // a connection at rest is closed after this: one forgotten was so after twice as long
	lanesPart = 16          // and one for so many descriptors may carry calls; a dial takes two for a moment
	mostReply = 64 << 10
)

type index struct {
	app     *App
	lanes   int     // connections, dials under way included
	most    int     // of them
	out     int     // calls in hand
	resting []*lane // that carry nothing, the longest at rest first
	queue   []*call // that wait for a connection
	fresh   []*lane // whose call is not written yet
	paced   []*call // and for their turn by the limit of calls a second
	rest    alarm
	moves   int // to other addresses: a connection from before the last one carries no new call
}

// call is one call in the hands of the index, or on its way there.
type call struct {
	it    *item
	made  timeunit.Ticks
	until timeunit.Ticks
	limit alarm
	lane  *lane // that carries it, nil while it waits for one
}

// lane is one connection.
type lane struct {
	wire
	index *index
	via   *dialled
	call  *call  // the one on it
	last  string // the work item of the call before
	carry []byte
	since timeunit.Ticks // at rest
	of    int            // so many moves
}

func (x *index) start(a *App) {
	x.app, x.most = a, max(1, a.place.Sockets/lanesPart)
	x.rest.ring = x.closeResting
}

// make makes the call that a run waits for. The index holds no time limit, so it is given up here.
func (x *index) make(it *item, until timeunit.Ticks) {
	it.app.must(it.call == nil && it.begun && !it.ended, "a call beside another or without a run")
	c := &call{it: it, made: x.app.now, until: until}
	c.limit.ring = func() { x.end(c, x.leave(c)) }
	it.call = c
	x.out++
	x.app.set(&c.limit, max(until, x.app.now+1))
	if len(x.paced) > 0 || !x.app.holding.may() {
		x.paced = append(x.paced, c)
		return
	}
	x.place(c)
}

// goOn makes the calls that waited for their turn by the limit of calls a second.
func (x *index) goOn() {
	for len(x.paced) > 0 && x.app.holding.may() {
		c := x.paced[0]
		x.paced = x.paced[1:]
		x.place(c)
	}
}

// withdraw takes back a call that was not written yet; false where there is none.
func (x *index) withdraw() bool {
	for n := len(x.fresh) - 1; n >= 0; n-- {
		l := x.fresh[n]
		x.fresh = x.fresh[:n]
		if c := l.call; c != nil && len(l.out) > 0 {
			l.out = l.out[:0]
			l.part()
			x.end(c, admission.Unseen)
			l.free()
			return true
		}
	}
	return false
}

// giveBack gives up the call that was made last, for want of a share to have it under; false where there is none.
func (x *index) giveBack() bool {
	var last *call
	for _, it := range x.app.items.byID {
		if c := it.call; c != nil && (last == nil || c.made > last.made || c.made == last.made && c.it.id > last.it.id) {
			last = c
		}
	}
	if last != nil {
		x.end(last, x.leave(last))
	}
	return last != nil
}

// place finds the call a connection: the one that last carried a call, as it is the likeliest to be alive, but not
// one on which a second copy of an earlier reply to the same run could come.
func (x *index) place(c *call) {
	x.closeResting() // after a standstill the alarm comes late
	for i := len(x.resting) - 1; i >= 0; i-- {
		if l := x.resting[i]; l.last != c.it.id {
			x.resting = slices.Delete(x.resting, i, i+1)
			l.send(c)
			return
		}
	}
	if x.lanes >= x.most {
		x.queue = append(x.queue, c)
		return
	}
	l := &lane{wire: wire{app: x.app, most: mostOnLink}, index: x, call: c, of: x.moves}
	c.lane = l
	x.lanes++
	l.via = x.app.dial(x.app.place.Index, dialWithin, l, func() { l.gone(admission.Unseen) })
}

// leave takes the call off its connection and tells what that leaves known of it. A connection that carries a
// call is closed: that gives the call up, and whatever would still come on it.
func (x *index) leave(c *call) (how admission.Outcome) {
	l := c.lane
	if l == nil {
		x.paced = slices.DeleteFunc(x.paced, func(q *call) bool { return q == c })
		x.queue = slices.DeleteFunc(x.queue, func(q *call) bool { return q == c })
		return admission.Unseen
	}
	l.part()
	if l.conn == nil { // the dial goes on for whom it may serve
		return admission.Unseen
	}
	l.close()
	return admission.Unknown
}

// part parts the connection from its call.
func (l *lane) part() { l.call.lane, l.call = nil, nil }

// giveUp forgets the call of a run that is over.
func (x *index) giveUp(it *item) {
	if c := it.call; c != nil {
		x.leave(c)
		x.forget(c)
	}
}

func (x *index) forget(c *call) {
	c.it.call = nil
	x.out--
	x.app.unset(&c.limit)
}

func (x *index) end(c *call, how admission.Outcome) {
	x.forget(c)
	c.it.handle.CallEnded(how, x.app.now-c.made)
}

// move: the index is at another address now. What is out may end where it is; all else goes there.
func (x *index) move() {
	x.moves++
	x.closeAll()
}

// closeAll ends the connections that carry nothing.
func (x *index) closeAll() {
	for _, l := range slices.Clone(x.resting) {
		l.close()
	}
}

func (x *index) closeResting() {
	for len(x.resting) > 0 {
		if due := x.resting[0].since + restMost; due > x.app.now {
			x.app.set(&x.rest, due)
			return
		}
		x.resting[0].close()
	}
}

func (l *lane) opened(c gnet.Conn) {
	if l.conn = c; l.call != nil {
		l.send(l.call)
	} else {
		l.free()
	}
}

func (l *lane) send(c *call) {
	l.call, c.lane, l.last = c, l, c.it.id
	l.index.fresh = append(l.index.fresh, l)
	out := append(append(l.buffer(), "GET "...), c.it.id...)
	out = strconv.AppendInt(append(out, ' '), int64(max(1, (c.until-l.app.now)/10)), 10)
	out = strconv.AppendInt(append(out, ' '), int64(len(c.it.asks)), 10)
	out = append(append(out, "\r\n"...), c.it.asks...)
	l.out = append(out, "\r\n"...)
}

// free has it carry the next call, or rest.
func (l *lane) free() {
	x := l.index
	if l.of != x.moves {
		l.close()
		return
	}
	for i, c := range x.queue {
		if c.it.id != l.last {
			x.queue = slices.Delete(x.queue, i, i+1)
			l.send(c)
			return
		}
	}
	l.since = x.app.now
	x.resting = append(x.resting, l)
	if x.rest.place == 0 {
		x.app.set(&x.rest, l.since+restMost)
	}
}

func (l *lane) close() {
	l.via.drop()
	l.gone(admission.Unknown)
}

func (l *lane) closed() { l.gone(admission.Unknown) }

// gone: the connection is no more, or never came to be. Of the call on it that much is known.
func (l *lane) gone(how admission.Outcome) {
	x := l.index
	l.conn = nil
	x.lanes--
	x.resting = slices.DeleteFunc(x.resting, func(r *lane) bool { return r == l })
	if c := l.call; c != nil {
		l.part()
		x.end(c, how)
	}
	if len(x.queue) > 0 && x.lanes < x.most {
		c := x.queue[0]
		x.queue = x.queue[1:]
		x.place(c)
	}
}

var errReply = errors.New("a reply from the index that is none")

func (l *lane) traffic(data []byte) error {
	if len(l.carry) > 0 {
		l.carry = append(l.carry, data...)
		data = l.carry
	}
	for len(data) > 0 && l.call != nil {
		n, err := l.reply(data)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		data = data[n:]
	}
	switch {
	case len(data) > mostReply:
		return errReply
	case l.call != nil:
		l.carry = append(l.carry[:0], data...)
		return nil
	case len(data) > 0: // more than its own: nothing that may come late is left to reach a later call
		return errDone
	}
	l.carry = nil
	l.free()
	return nil
}

// reply takes one reply that is whole and gives its length, 0 where more is to come.
func (l *lane) reply(data []byte) (int, error) {
	end := bytes.Index(data, []byte("\r\n"))
	if end < 0 {
		if len(data) > 128 {
			return 0, errReply
		}
		return 0, nil
	}
	fields := bytes.Fields(data[:end])
	if len(fields) < 2 || len(fields[0]) != 16 {
		return 0, errReply
	}
	how, known := replies[string(fields[1])]
	if !known || (how == admission.Well) != (len(fields) == 3) {
		return 0, errReply
	}
	var body []byte
	if end += 2; how == admission.Well {
		size, err := strconv.ParseUint(string(fields[2]), 10, 18)
		if err != nil || size > mostReply {
			return 0, errReply
		}
		if len(data) < end+int(size)+2 {
			return 0, nil
		}
		body = data[end : end+int(size)]
		if end += int(size) + 2; string(data[end-2:end]) != "\r\n" {
			return 0, errReply
		}
	}
	c := l.call
	if it := c.it; string(fields[0]) == it.id { // another's is passed over
		l.part()
		if how == admission.Well && it.conn != nil {
			l.app.interpreter.goOn(it, bytes.Clone(body))
		}
		if how != admission.Well || it.conn != nil { // else the run ends at its call: nobody waits for it
			l.index.end(c, how)
		} else {
			l.index.forget(c)
		}
	}
	return end, nil
}

var replies = map[string]admission.Outcome{"HIT": admission.Well, "SHED": admission.Unseen,
	"BROKEN": admission.Badly, "SLOW": admission.Unknown, "NOBODY": admission.Unseen}
