// This file owns the reports to the directory: so often that lost ones do not take the server off the list. It
// must never delay anything else, whatever the directory does.
package server

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/timeunit"
)

const (
	lapse       = 3 * second // an entry is taken off after this
	reportEvery = lapse / 4
	answerIn    = lapse / 10 // a report that is not answered by then is made again, on a new link
	registerIn  = lapse / 15 // where there is no link, the next is dialled after this at most
	mostAnswer  = 8 << 10
)

type directory struct {
	wire
	link    *dialled // from its dial on
	owed    bool     // a report has not been answered
	carry   []byte
	next    alarm
	backOff backOff
	missed  int // reports that were not answered
	silent  int // of them in a row
}

func (d *directory) start(a *App) {
	d.wire = wire{app: a, most: mostOnLink}
	d.next.ring = d.report
}

// report sends one report, or dials for one: the entry lapses unless one in some comes through, whatever became of the
// link. A connection on which the last one was not answered is given up.
func (d *directory) report() {
	if d.app.phase >= stopped {
		return
	}
	if d.owed {
		d.missed++
		d.silent++
		d.shut()
	}
	if d.conn == nil {
		if d.link == nil {
			d.link = d.app.dial(d.app.place.Directory, time.Duration(answerIn)*(time.Millisecond/10), d, d.failed)
		}
		return
	}
	state := "open"
	if !d.app.good() {
		state = "closed"
	}
	body := `{"mode":"` + state + `"}`
	d.out = fmt.Appendf(d.buffer(), "PUT /dir/nodes/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
		d.app.place.Name, d.app.place.Directory, len(body), body)
	d.owed = true
	d.app.set(&d.next, d.app.now+min(answerIn*timeunit.Ticks(1+d.silent), reportEvery)) // one that stays silent is not pressed
}

// failed: it is not there.
func (d *directory) failed() {
	d.link = nil
	d.soon()
}

// soon has the next dial come; those of many servers do not come at one moment.
func (d *directory) soon() {
	d.app.set(&d.next, d.app.now+d.app.spread(min(d.backOff.next(), registerIn)))
}

func (d *directory) opened(c gnet.Conn) {
	d.conn, d.owed, d.carry = c, false, d.carry[:0]
	d.report()
}

// closed: the link is lost, and another is dialled soon.
func (d *directory) closed() {
	d.conn, d.link, d.owed = nil, nil, false
	d.soon()
}

// leave ends the link, or the dial that is under way.
func (d *directory) leave() {
	d.link.drop()
	d.conn, d.link, d.owed = nil, nil, false
}

// part ends the link, and the reports with it.
func (d *directory) part() {
	d.leave()
	d.app.unset(&d.next)
}

// move: the directory is at another address now, and hears from there at once.
func (d *directory) move() {
	d.leave()
	d.report()
}

var errAnswer = errors.New("an answer from the directory that is none")

func (d *directory) traffic(data []byte) error {
	d.carry = append(d.carry, data...)
	for {
		head, rest, whole := bytes.Cut(d.carry, []byte("\r\n\r\n"))
		if !whole {
			if len(d.carry) > mostAnswer {
				return errAnswer
			}
			return nil
		}
		lines := bytes.Split(head, []byte("\r\n"))
		if status := bytes.Fields(lines[0]); len(status) < 2 || !bytes.HasPrefix(status[0], []byte("HTTP/1.")) {
			return errAnswer
		}
		size := 0
		for _, line := range lines[1:] {
			name, value, _ := bytes.Cut(line, []byte(":"))
			if bytes.EqualFold(name, []byte("Content-Length")) {
				n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 12)
				if err != nil {
					return errAnswer
				}
				size = int(n)
			}
		}
		if len(rest) < size {
			return nil
		}
		if d.owed {
			d.owed, d.silent, d.backOff = false, 0, backOff{}
			d.app.set(&d.next, d.app.now+reportEvery)
		}
		d.carry = append(d.carry[:0], rest[size:]...)
	}
}
