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
	minRedialDelay = second / 10 // delay before the first redial; it doubles with each further one
	maxRedialDelay = second
)

// outgoingConnection is a connection that this server dialed, from the start of the dial. Once it is dropped, its
// handler receives no more events from it: neither the result of a dial to an address that is no longer used, nor the
// close of a connection that has been replaced.
type outgoingConnection struct {
	handler      connectionHandler
	server       *Server
	conn         gnet.Conn // nil while dialing
	onDialFailed func()    // called on the event loop if the dial fails
	isDropped    bool
}

// dial starts connecting to an address in a separate goroutine. The event loop then passes the connection to the
// handler, or calls onDialFailed if the dial fails.
func (s *Server) dial(
	address string, timeout time.Duration, handler connectionHandler, onDialFailed func(),
) *outgoingConnection {
	outgoing := &outgoingConnection{handler: handler, server: s, onDialFailed: onDialFailed}
	go func() { // ends with the dial
		if err := s.connect(address, timeout, outgoing); err != nil {
			s.submit(func() { outgoing.dialFailed(address, err) })
		}
	}()
	return outgoing
}

// connect dials an address and registers the connection with the event loop. It blocks until that is done and must not
// be called on the loop.
func (s *Server) connect(address string, timeout time.Duration, outgoing *outgoingConnection) error {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return err
	}
	return s.enroll(conn, outgoing)
}

// enroll registers a connection with the event loop and blocks until that is done. It must not be called on the loop.
func (s *Server) enroll(conn net.Conn, handler connectionHandler) error {
	enrolled, err := s.loop.Enroll(gnet.NewContext(context.Background(), handler), conn)
	if err != nil {
		return err
	}
	return (<-enrolled).Err // for example if no file descriptor is left
}

func (c *outgoingConnection) dialFailed(address string, err error) {
	if c.isDropped {
		return
	}
	if countAndSample(&c.server.failedDials) {
		c.server.log.Event("dial_failed").Str("address", address).Str("reason", err.Error()).
			Int("count", c.server.failedDials).Send()
	}
	c.onDialFailed()
}

func (c *outgoingConnection) opened(conn gnet.Conn) {
	c.conn = conn
	if c.isDropped {
		c.server.closeGracefully(conn)
		return
	}
	c.handler.opened(conn)
}

func (c *outgoingConnection) receive(data []byte) error {
	if c.isDropped {
		return nil
	}
	return c.handler.receive(data)
}

func (c *outgoingConnection) closed() {
	if !c.isDropped {
		c.handler.closed()
	}
}

// drop closes the connection and hides all its further events from the handler. On a nil connection it does nothing.
func (c *outgoingConnection) drop() {
	if c == nil || c.isDropped {
		return
	}
	c.isDropped = true
	if c.conn != nil {
		c.server.closeGracefully(c.conn)
	}
}

// backoff computes the delay before the next dial. The delay doubles from minRedialDelay up to maxRedialDelay. The zero
// value starts at minRedialDelay.
type backoff struct{ lastDelay timeunit.Ticks }

func (b *backoff) next() timeunit.Ticks {
	b.lastDelay = min(max(minRedialDelay, 2*b.lastDelay), maxRedialDelay)
	return b.lastDelay
}

// jitter returns a random delay between half of maxDelay and all of it, so that servers that were affected by the same
// event do not all react at the same time.
func (s *Server) jitter(maxDelay timeunit.Ticks) timeunit.Ticks {
	return maxDelay/2 + timeunit.Ticks(s.random.Int63n(int64(maxDelay/2)+1))
}
