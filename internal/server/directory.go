package server

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/timeunit"
)

// Timing of the load reports. They are frequent enough that the directory keeps the server listed when some are lost.
const (
	entryLifetime           = 3 * second         // after the last report, by the directory's documentation
	reportInterval          = entryLifetime / 4  // from a response to the next report
	responseTimeout         = entryLifetime / 10 // after which an unanswered report is sent again, on a new link
	maxDirectoryRedialDelay = entryLifetime / 15 // the longest wait before the next dial while there is no link
)

// Bounds on a response from the directory.
const (
	maxResponseBytes    = 8 << 10
	contentLengthBits   = 12
	minStatusLineFields = 2 // the version and the status code
)

// errInvalidResponse is returned for a malformed or oversized response; it closes the link to the directory.
var errInvalidResponse = errors.New("directory: malformed or oversized response")

// directoryState is the state of the link to the directory.
type directoryState int

const (
	directoryDisconnected     directoryState = iota
	directoryDialing                         // a dial is under way
	directoryConnected                       // no report awaits a response
	directoryAwaitingResponse                // the last report awaits its response
)

// directoryClient sends load reports to the directory in which routers look up servers. Whatever the directory does,
// the client must never delay other work of the server.
type directoryClient struct {
	outputBuffer
	state       directoryState
	link        *outgoingConnection // from the start of its dial
	partial     []byte              // the incomplete response read so far
	reportTimer timer
	backoff     backoff

	missedReports     int // reports without a response, in total
	consecutiveMisses int // reports without a response since the last response
}

func (c *directoryClient) init(server *Server) {
	c.outputBuffer = outputBuffer{server: server, maxUnread: maxUnreadPerLink}
	c.reportTimer.fire = c.report
}

// report sends one load report, or dials the directory to send one. If the last report has had no response, its link is
// closed first, because the directory's entry expires unless reports keep arriving on some link.
func (c *directoryClient) report() {
	if c.server.phase >= phaseStopped {
		return
	}
	if c.state == directoryAwaitingResponse {
		c.missedReports++
		c.consecutiveMisses++
		c.closeGracefully()
	}
	switch c.state {
	case directoryDisconnected:
		c.state = directoryDialing
		c.link = c.server.dial(c.server.config.Directory, responseTimeout.Duration(), c, c.dialFailed)
	case directoryDialing:
	default:
		c.sendReport()
	}
}

// sendReport writes a load report, which states whether routers may send requests.
func (c *directoryClient) sendReport() {
	mode := "open"
	if !c.server.isHealthy() {
		mode = "closed"
	}
	body := `{"mode":"` + mode + `"}`
	c.output = fmt.Appendf(c.buffer(), "PUT /dir/nodes/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
		c.server.config.Name, c.server.config.Directory, len(body), body)
	c.state = directoryAwaitingResponse
	timeout := responseTimeout * timeunit.Ticks(1+c.consecutiveMisses) // grows, to spare an unresponsive directory
	c.server.setTimer(&c.reportTimer, c.server.now+min(timeout, reportInterval))
}

// dialFailed schedules another dial.
func (c *directoryClient) dialFailed() {
	c.state = directoryDisconnected
	c.link = nil
	c.scheduleRedial()
}

// scheduleRedial sets the timer of the next dial, with jitter so that many servers do not dial at the same moment.
func (c *directoryClient) scheduleRedial() {
	delay := c.server.jitter(min(c.backoff.next(), maxDirectoryRedialDelay))
	c.server.setTimer(&c.reportTimer, c.server.now+delay)
}

// opened sends a load report on the new link.
func (c *directoryClient) opened(conn gnet.Conn) {
	c.state = directoryConnected
	c.conn = conn
	c.partial = c.partial[:0]
	c.report()
}

// closed schedules the dial of a new link after the last one has closed.
func (c *directoryClient) closed() {
	c.state = directoryDisconnected
	c.conn = nil
	c.link = nil
	c.scheduleRedial()
}

// disconnect drops the link, or the dial under way.
func (c *directoryClient) disconnect() {
	c.link.drop()
	c.state = directoryDisconnected
	c.conn = nil
	c.link = nil
}

// close drops the link and sends no further reports.
func (c *directoryClient) close() {
	c.disconnect()
	c.server.stopTimer(&c.reportTimer)
}

// reconnect is called when the directory's address has changed. It reports to the new address at once.
func (c *directoryClient) reconnect() {
	c.disconnect()
	c.report()
}

// receive handles the complete responses in data and keeps an incomplete one. It accepts any status code: the next
// report is sent after the usual interval in any case.
func (c *directoryClient) receive(data []byte) error {
	c.partial = append(c.partial, data...)
	for {
		header, rest, hasHeader := bytes.Cut(c.partial, []byte("\r\n\r\n"))
		if !hasHeader {
			if len(c.partial) > maxResponseBytes {
				return errInvalidResponse
			}
			return nil
		}
		bodyLength, err := parseResponseHeader(header)
		if err != nil {
			return err
		}
		if len(rest) < bodyLength {
			return nil
		}
		if c.state == directoryAwaitingResponse {
			c.onResponse()
		}
		c.partial = append(c.partial[:0], rest[bodyLength:]...)
	}
}

// onResponse handles a response to the last report and schedules the next report.
func (c *directoryClient) onResponse() {
	c.state = directoryConnected
	c.consecutiveMisses = 0
	c.backoff = backoff{}
	c.server.setTimer(&c.reportTimer, c.server.now+reportInterval)
}

// parseResponseHeader parses the status line and the headers of a response and returns the length of its body in bytes.
func parseResponseHeader(header []byte) (bodyLength int, err error) {
	lines := bytes.Split(header, crlf)
	status := bytes.Fields(lines[0])
	if len(status) < minStatusLineFields || !bytes.HasPrefix(status[0], []byte("HTTP/1.")) {
		return 0, errInvalidResponse
	}
	for _, line := range lines[1:] {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Content-Length")) {
			continue
		}
		length, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, contentLengthBits)
		if err != nil {
			return 0, errInvalidResponse
		}
		bodyLength = int(length)
	}
	return bodyLength, nil
}
