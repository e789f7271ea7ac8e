// This file owns the calls to the index: one connection that carries them all, opened when it is needed and
// closed before the other side does so. It must never make a call that the module did not ask for, call again
// by itself, or take a call for proven unseen that may have been seen.
package appserver

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/admission"
)

const (
	idleIndex = 8 * second // the other side closes after ten
	mostReply = 256 << 10
)

type index struct {
	wire
	dialing bool
	calls   map[*call]struct{} // waiting for the connection, or sent
	carry   []byte
	idle    alarm
}

// call is one call in the hands of the index, or on its way there.
type call struct {
	it    *item
	made  admission.Tenths
	until admission.Tenths
	limit alarm
	sent  bool
}

func (x *index) start(a *App) {
	x.wire, x.calls = wire{app: a, most: mostOnLink}, map[*call]struct{}{}
	x.idle.ring = func() {
		if len(x.calls) == 0 {
			x.shut()
		}
	}
}

// make makes the call that a run waits for. The index holds no time limit, so it is given up here.
func (x *index) make(it *item, until admission.Tenths) {
	must(it.call == nil && it.begun && !it.ended, "a call beside another or without a run")
	c := &call{it: it, made: x.app.now, until: until}
	c.limit.ring = func() { x.late(c) }
	it.call = c
	x.calls[c] = struct{}{}
	x.app.set(&c.limit, max(until, x.app.now+1))
	x.app.unset(&x.idle)
	switch {
	case x.conn != nil:
		x.send(c)
	case !x.dialing:
		x.dialing = true
		x.app.dial(x.app.place.Index, x, func() {
			x.dialing = false
			x.lost()
		})
	}
}

func (x *index) send(c *call) {
	c.sent = true
	out := append(append(x.buffer(), "GET "...), c.it.id...)
	out = strconv.AppendInt(append(out, ' '), int64(max(1, (c.until-x.app.now)/10)), 10)
	out = strconv.AppendInt(append(out, ' '), int64(len(c.it.asks)), 10)
	out = append(append(out, "\r\n"...), c.it.asks...)
	x.out = append(out, "\r\n"...)
}

// late: the time that the module gave is over. A call that never left is no call.
func (x *index) late(c *call) {
	x.cancel(c)
	x.endBroken(c)
}

func (x *index) cancel(c *call) {
	if c.sent && x.conn != nil {
		x.out = append(append(append(x.buffer(), "STOP "...), c.it.id...), "\r\n"...)
	}
}

// giveUp forgets the call of a run that is over.
func (x *index) giveUp(it *item) {
	if c := it.call; c != nil {
		x.cancel(c)
		x.forget(c)
	}
}

func (x *index) forget(c *call) {
	c.it.call = nil
	delete(x.calls, c)
	x.app.unset(&c.limit)
	if len(x.calls) == 0 {
		x.app.set(&x.idle, x.app.now+idleIndex)
	}
}

func (x *index) end(c *call, how admission.Outcome) {
	x.forget(c)
	c.it.handle.CallEnded(how, x.app.now-c.made)
}

// lost ends what was out: what was never sent provably never ran, of the rest nothing is known.
func (x *index) lost() {
	for c := range x.calls {
		x.endBroken(c)
	}
}

func (x *index) endBroken(c *call) {
	if c.sent {
		x.end(c, admission.Unknown)
	} else {
		x.end(c, admission.Unseen)
	}
}

func (x *index) opened(c gnet.Conn) {
	x.conn, x.dialing, x.carry = c, false, x.carry[:0]
	for c := range x.calls {
		x.send(c)
	}
	if len(x.calls) == 0 {
		x.app.set(&x.idle, x.app.now+idleIndex)
	}
}

func (x *index) closed() {
	x.conn = nil
	x.app.unset(&x.idle)
	x.lost()
}

var errReply = errors.New("a reply from the index that is none")

func (x *index) traffic(data []byte) error {
	if len(x.carry) > 0 {
		x.carry = append(x.carry, data...)
		data = x.carry
	}
	for len(data) > 0 {
		n, err := x.reply(data)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		data = data[n:]
	}
	if len(data) > mostReply {
		return errReply
	}
	x.carry = append(x.carry[:0], data...)
	return nil
}

// reply takes one reply that is whole and gives its length, 0 where more is to come.
func (x *index) reply(data []byte) (int, error) {
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
		if err != nil {
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
	// A reply to a call given up is passed over.
	if it := x.app.items.byID[string(fields[0])]; it != nil && it.call != nil && it.call.sent {
		if how == admission.Well && it.conn != nil {
			x.app.interpreter.goOn(it, bytes.Clone(body))
		}
		if how != admission.Well || it.conn != nil { // else the run ends at its call: nobody waits for it
			x.end(it.call, how)
		} else {
			x.forget(it.call)
		}
	}
	return end, nil
}

var replies = map[string]admission.Outcome{"HIT": admission.Well, "SHED": admission.Unseen,
	"BROKEN": admission.Badly, "SLOW": admission.Unknown, "NOBODY": admission.Unseen}
