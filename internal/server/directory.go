package server

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/timeunit"
)

// The rhythm of reports: so often that lost ones do not take the server off the list.
const (
	entryLifetime        = 3 * second         // after the last report, by the directory's pages
	reportInterval       = entryLifetime / 4  // after an answer
	answerTimeout        = entryLifetime / 10 // a report that is not answered by then is made again, on a new link
	maxRegistrationDelay = entryLifetime / 15 // where there is no link, the next is dialed after this at most
)

// Bounds on an answer.
const (
	maxAnswerBytes     = 8 << 10
	contentLengthBits  = 12
	answerHeaderFields = 2 // of the status line, at least: the version and the status
)

// errInvalidAnswer closes the link to the directory.
var errInvalidAnswer = errors.New("directory: invalid answer")

// directoryState is how far the link to the directory is.
type directoryState int

const (
	directoryDisconnected   directoryState = iota
	directoryDialing                       // a dial is under way
	directoryConnected                     // the last report, if there was one, is answered
	directoryAwaitingAnswer                // it is not
)

// directoryClient reports the server to the directory that routers find it in. It must never delay anything else,
// whatever the directory does.
type directoryClient struct {
	outputBuffer
	state       directoryState
	link        *outgoingConnection // from its dial on
	partial     []byte              // of an answer
	reportTimer timer
	backoff     backoff

	missedReports     int // that were not answered
	consecutiveMisses int // since the last answer
}

func (c *directoryClient) init(server *Server) {
	c.outputBuffer = outputBuffer{server: server, maxUnread: maxUnreadPerLink}
	c.reportTimer.fire = c.report
}

// report sends one report, or dials for one: the entry expires unless a report comes through now and then, whatever
// became of the link. A link on which the last report was not answered is given up.
func (c *directoryClient) report() {
	if c.server.phase >= phaseStopped {
		return
	}
	if c.state == directoryAwaitingAnswer {
		c.missedReports++
		c.consecutiveMisses++
		c.closeGracefully()
	}
	switch c.state {
	case directoryDisconnected:
		c.state = directoryDialing
		c.link = c.server.dial(c.server.config.Directory, answerTimeout.Duration(), c, c.dialFailed)
	case directoryDialing:
	default:
		c.sendReport()
	}
}

// sendReport writes a report: whether routers may send requests.
func (c *directoryClient) sendReport() {
	mode := "open"
	if !c.server.isHealthy() {
		mode = "closed"
	}
	body := `{"mode":"` + mode + `"}`
	c.output = fmt.Appendf(c.buffer(), "PUT /dir/nodes/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
		c.server.config.Name, c.server.config.Directory, len(body), body)
	c.state = directoryAwaitingAnswer
	patience := answerTimeout * timeunit.Ticks(1+c.consecutiveMisses) // a directory that stays silent is not pressed
	c.server.setTimer(&c.reportTimer, c.server.now+min(patience, reportInterval))
}

func (c *directoryClient) dialFailed() {
	c.state = directoryDisconnected
	c.link = nil
	c.scheduleRedial()
}

// scheduleRedial has the next dial come soon; those of many servers do not come at one moment.
func (c *directoryClient) scheduleRedial() {
	delay := c.server.jitter(min(c.backoff.next(), maxRegistrationDelay))
	c.server.setTimer(&c.reportTimer, c.server.now+delay)
}

func (c *directoryClient) opened(conn gnet.Conn) {
	c.state = directoryConnected
	c.conn = conn
	c.partial = c.partial[:0]
	c.report()
}

// closed has another link dialed soon.
func (c *directoryClient) closed() {
	c.state = directoryDisconnected
	c.conn = nil
	c.link = nil
	c.scheduleRedial()
}

// disconnect ends the link, or the dial that is under way.
func (c *directoryClient) disconnect() {
	c.link.drop()
	c.state = directoryDisconnected
	c.conn = nil
	c.link = nil
}

// close ends the link, and the reports with it.
func (c *directoryClient) close() {
	c.disconnect()
	c.server.stopTimer(&c.reportTimer)
}

// reconnect is called when the directory's address has changed: it hears from the server at once.
func (c *directoryClient) reconnect() {
	c.disconnect()
	c.report()
}

// receive takes the complete answers. Any status will do: the next report comes in its time.
func (c *directoryClient) receive(data []byte) error {
	c.partial = append(c.partial, data...)
	for {
		head, rest, hasHead := bytes.Cut(c.partial, []byte("\r\n\r\n"))
		if !hasHead {
			if len(c.partial) > maxAnswerBytes {
				return errInvalidAnswer
			}
			return nil
		}
		bodyLength, err := parseAnswerHead(head)
		if err != nil {
			return err
		}
		if len(rest) < bodyLength {
			return nil
		}
		if c.state == directoryAwaitingAnswer {
			c.onAnswer()
		}
		c.partial = append(c.partial[:0], rest[bodyLength:]...)
	}
}

func (c *directoryClient) onAnswer() {
	c.state = directoryConnected
	c.consecutiveMisses = 0
	c.backoff = backoff{}
	c.server.setTimer(&c.reportTimer, c.server.now+reportInterval)
}

// parseAnswerHead reads the status line and the headers of an answer and returns the length of its body.
func parseAnswerHead(head []byte) (bodyLength int, err error) {
	lines := bytes.Split(head, lineEnd)
	status := bytes.Fields(lines[0])
	if len(status) < answerHeaderFields || !bytes.HasPrefix(status[0], []byte("HTTP/1.")) {
		return 0, errInvalidAnswer
	}
	for _, line := range lines[1:] {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Content-Length")) {
			continue
		}
		length, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, contentLengthBits)
		if err != nil {
			return 0, errInvalidAnswer
		}
		bodyLength = int(length)
	}
	return bodyLength, nil
}
