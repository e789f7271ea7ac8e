package server

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/timeunit"
)

const (
	dialTimeout    = 1 * time.Second
	minRedialDelay = second / 10 // before the second dial in a row; each further one waits twice as long
	maxRedialDelay = second
)

// outgoingConnection is a connection to another party, from its dial on. Once it is dropped nothing of it reaches its
// handler, neither a dial that was under way to an address that is no longer used, nor the end of a link that another
// has replaced.
type outgoingConnection struct {
	handler connectionHandler
	server  *Server
	conn    gnet.Conn // nil while the dial is under way
	failed  func()    // called on the loop when the dial failed
	dropped bool
}

// dial connects to another party off the loop. It gives the connection to the handler, or calls failed, on the loop.
func (s *Server) dial(
	address string, timeout time.Duration, handler connectionHandler, failed func(),
) *outgoingConnection {
	outgoing := &outgoingConnection{handler: handler, server: s, failed: failed}
	go func() { // ends with the dial
		if err := s.connect(address, timeout, outgoing); err != nil {
			s.submit(func() { outgoing.dialFailed(address, err) })
		}
	}()
	return outgoing
}

// connect dials and gives the connection to the loop; it blocks until the loop has it.
func (s *Server) connect(address string, timeout time.Duration, outgoing *outgoingConnection) error {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return err
	}
	return s.enroll(conn, outgoing)
}

// enroll gives a connection to the loop and blocks until the loop has it. It is called off the loop.
func (s *Server) enroll(conn net.Conn, handler connectionHandler) error {
	enrolled, err := s.loop.Enroll(gnet.NewContext(context.Background(), handler), conn)
	if err != nil {
		return err
	}
	return (<-enrolled).Err // no descriptor was left, say
}

func (c *outgoingConnection) dialFailed(address string, err error) {
	if c.dropped {
		return
	}
	if countAndSample(&c.server.failedDials) {
		c.server.log.Event("dial_failed").Str("address", address).Str("reason", err.Error()).
			Int("count", c.server.failedDials).Send()
	}
	c.failed()
}

func (c *outgoingConnection) opened(conn gnet.Conn) {
	c.conn = conn
	if c.dropped {
		c.server.closeGracefully(conn)
		return
	}
	c.handler.opened(conn)
}

func (c *outgoingConnection) receive(data []byte) error {
	if c.dropped {
		return nil
	}
	return c.handler.receive(data)
}

func (c *outgoingConnection) closed() {
	if !c.dropped {
		c.handler.closed()
	}
}

// drop closes the connection and keeps the rest of it from the handler; on nil it does nothing.
func (c *outgoingConnection) drop() {
	if c == nil || c.dropped {
		return
	}
	c.dropped = true
	if c.conn != nil {
		c.server.closeGracefully(c.conn)
	}
}

// backoff is the delay before the next dial, doubled each time up to a bound. The zero value starts at the least.
type backoff struct{ last timeunit.Ticks }

func (b *backoff) next() timeunit.Ticks {
	b.last = min(max(minRedialDelay, 2*b.last), maxRedialDelay)
	return b.last
}

// jitter returns a random span between half of the given one and all of it, so that what befell many servers at once
// is not followed by all of them at once.
func (s *Server) jitter(longest timeunit.Ticks) timeunit.Ticks {
	return longest/2 + timeunit.Ticks(s.random.Int63n(int64(longest/2)+1))
}
