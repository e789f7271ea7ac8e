package server

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"thistlequay/timeunit"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	entryLifetime        = 3 * second // an entry is taken off after this
	reportInterval       = entryLifetime / 4
	answerTimeout        = entryLifetime / 10 // a report that is not answered by then is made again, on a new link
	maxRegistrationDelay = entryLifetime / 15 // where there is no link, the next is dialled after this at most
	maxAnswerBytes       = 8 << 10
)

type directoryClient struct {
	outputBuffer
	link              *outgoingConnection // from its dial on
	awaitingAnswer    bool                // a report has not been answered
	partial           []byte
	reportTimer       timer
	backoff           backoff
	missedReports     int // reports that were not answered
	consecutiveMisses int // of them in a row
}

func (d *directoryClient) start(a *Server) {
	d.outputBuffer = outputBuffer{server: a, maxUnread: maxUnreadPerLink}
	d.reportTimer.fire = d.report
}

// report sends one report, or dials for one: the entry lapses unless one in some comes through, whatever became of the
// link. A connection on which the last one was not answered is given up.
func (d *directoryClient) report() {
	if d.server.phase >= phaseStopped {
		return
	}
	if d.awaitingAnswer {
		d.missedReports++
		d.consecutiveMisses++
		d.closeGracefully()
	}
	if d.conn == nil {
		if d.link == nil {
			d.link = d.server.dial(d.server.config.Directory, time.Duration(answerTimeout)*(time.Millisecond/10), d, d.dialFailed)
		}
		return
	}
	state := "open"
	if !d.server.isHealthy() {
		state = "closed"
	}
	body := `{"mode":"` + state + `"}`
	d.output = fmt.Appendf(d.buffer(), "PUT /dir/nodes/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
		d.server.config.Name, d.server.config.Directory, len(body), body)
	d.awaitingAnswer = true
	d.server.setTimer(&d.reportTimer, d.server.now+min(answerTimeout*timeunit.Ticks(1+d.consecutiveMisses), reportInterval)) // one that stays silent is not pressed
}

// dialFailed: it is not there.
func (d *directoryClient) dialFailed() {
	d.link = nil
	d.scheduleRedial()
}

// scheduleRedial has the next dial come; those of many servers do not come at one moment.
func (d *directoryClient) scheduleRedial() {
	d.server.setTimer(&d.reportTimer, d.server.now+d.server.jitter(min(d.backoff.next(), maxRegistrationDelay)))
}

func (d *directoryClient) opened(c gnet.Conn) {
	d.conn, d.awaitingAnswer, d.partial = c, false, d.partial[:0]
	d.report()
}

// closed: the link is lost, and another is dialled soon.
func (d *directoryClient) closed() {
	d.conn, d.link, d.awaitingAnswer = nil, nil, false
	d.scheduleRedial()
}

// disconnect ends the link, or the dial that is under way.
func (d *directoryClient) disconnect() {
	d.link.drop()
	d.conn, d.link, d.awaitingAnswer = nil, nil, false
}

// close ends the link, and the reports with it.
func (d *directoryClient) close() {
	d.disconnect()
	d.server.stopTimer(&d.reportTimer)
}

// reconnect: the directory is at another address now, and hears from there at once.
func (d *directoryClient) reconnect() {
	d.disconnect()
	d.report()
}

var errInvalidAnswer = errors.New("an answer from the directory that is none")

func (d *directoryClient) receive(data []byte) error {
	d.partial = append(d.partial, data...)
	for {
		head, rest, whole := bytes.Cut(d.partial, []byte("\r\n\r\n"))
		if !whole {
			if len(d.partial) > maxAnswerBytes {
				return errInvalidAnswer
			}
			return nil
		}
		lines := bytes.Split(head, []byte("\r\n"))
		if status := bytes.Fields(lines[0]); len(status) < 2 || !bytes.HasPrefix(status[0], []byte("HTTP/1.")) {
			return errInvalidAnswer
		}
		size := 0
		for _, line := range lines[1:] {
			name, value, _ := bytes.Cut(line, []byte(":"))
			if bytes.EqualFold(name, []byte("Content-Length")) {
				n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 12)
				if err != nil {
					return errInvalidAnswer
				}
				size = int(n)
			}
		}
		if len(rest) < size {
			return nil
		}
		if d.awaitingAnswer {
			d.awaitingAnswer, d.consecutiveMisses, d.backoff = false, 0, backoff{}
			d.server.setTimer(&d.reportTimer, d.server.now+reportInterval)
		}
		d.partial = append(d.partial[:0], rest[size:]...)
	}
}
