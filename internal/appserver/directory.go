// This file owns the reports to the directory: so often that lost ones do not take the server off the list. It
// must never delay anything else, whatever the directory does.
package appserver

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/panjf2000/gnet/v2"
)

const (
	lapse       = 3 * second // an entry is taken off after this
	reportEvery = lapse / 4
	mostAnswer  = 8 << 10
)

type directory struct {
	wire
	link   *dialled // from its dial on
	owed   bool     // a report has not been answered
	carry  []byte
	next   alarm
	missed int // reports that were not answered
}

func (d *directory) start(a *App) {
	d.wire = wire{app: a, most: mostOnLink}
	d.next.ring = d.report
}

// report sends one report. A connection on which the last one was not answered is given up.
func (d *directory) report() {
	d.app.set(&d.next, d.app.now+reportEvery)
	switch {
	case d.conn == nil:
		if d.link == nil {
			d.link = d.app.dial(d.app.place.Directory, d, func() { d.link = nil })
		}
	case d.owed:
		d.missed++
		d.shut()
		d.report()
	default:
		state := "open"
		if !d.app.routers.good {
			state = "closed"
		}
		body := `{"mode":"` + state + `"}`
		d.out = fmt.Appendf(d.buffer(), "PUT /dir/nodes/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
			d.app.place.Name, d.app.place.Directory, len(body), body)
		d.owed = true
	}
}

func (d *directory) opened(c gnet.Conn) {
	d.conn, d.owed, d.carry = c, false, d.carry[:0]
	d.report()
}

func (d *directory) closed() { d.conn, d.link, d.owed = nil, nil, false }

// move: the directory is at another address now, and hears from there at once.
func (d *directory) move() {
	d.link.drop()
	d.closed()
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
		d.owed = false
		d.carry = append(d.carry[:0], rest[size:]...)
	}
}
