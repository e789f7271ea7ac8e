package server

import (
	"context"
	"net"
	"thistlequay/timeunit"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	dialTimeout    = 1 * time.Second // a dial that takes longer has failed
	minRedialDelay = second / 10     // and the next is made so much later, ever later up to the next figure
	maxRedialDelay = second
)

// outgoingConnection is a connection to another party, from its dial on. Once it is dropped nothing of it reaches its peer,
// neither a dial that was under way to an address that is left nor the end of a link that another has replaced.
type outgoingConnection struct {
	connectionHandler
	server  *Server
	conn    gnet.Conn
	failed  func()
	dropped bool
}

// dial connects to another party off the loop and gives the connection to p, or calls failed on the loop.
func (a *Server) dial(address string, within time.Duration, p connectionHandler, failed func()) *outgoingConnection {
	d := &outgoingConnection{connectionHandler: p, server: a, failed: failed}
	go func() {
		c, err := net.DialTimeout("tcp", address, within)
		if err == nil {
			var enrolled <-chan gnet.RegisteredResult
			if enrolled, err = a.loop.Enroll(gnet.NewContext(context.Background(), d), c); err == nil {
				err = (<-enrolled).Err // no descriptor was left, say
			}
		}
		if err != nil {
			a.submit(func() { d.fail(address, err) })
		}
	}()
	return d
}

func (d *outgoingConnection) fail(address string, err error) {
	if d.dropped {
		return
	}
	if countAndSample(&d.server.failedDials) {
		d.server.log.Event("dial_failed").Str("address", address).Str("reason", err.Error()).Int("count", d.server.failedDials).Send()
	}
	d.failed()
}

func (d *outgoingConnection) opened(c gnet.Conn) {
	if d.conn = c; d.dropped {
		d.server.closeGracefully(c)
	} else {
		d.connectionHandler.opened(c)
	}
}

func (d *outgoingConnection) receive(data []byte) error {
	if d.dropped {
		return nil
	}
	return d.connectionHandler.receive(data)
}

func (d *outgoingConnection) closed() {
	if !d.dropped {
		d.connectionHandler.closed()
	}
}

// drop closes it and has nothing more said of it; without a connection it does nothing.
func (d *outgoingConnection) drop() {
	if d != nil && !d.dropped {
		if d.dropped = true; d.conn != nil {
			d.server.closeGracefully(d.conn)
		}
	}
}

// backoff is how much later the next dial comes, ever later up to a bound.
type backoff struct{ last timeunit.Ticks }

func (b *backoff) next() timeunit.Ticks {
	b.last = min(max(minRedialDelay, 2*b.last), maxRedialDelay)
	return b.last
}

// jitter gives a time up to the one given, so that what befell many servers at once is not followed by all at once.
func (a *Server) jitter(most timeunit.Ticks) timeunit.Ticks {
	return most/2 + timeunit.Ticks(a.random.Int63n(int64(most/2)+1))
}
