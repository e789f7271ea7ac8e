package server

import (
	"errors"
	"fmt"
	"net"
	"os"
	"thistlequay/internal/logs"
	"time"

	"github.com/panjf2000/gnet/v2"
)

const (
	selfConnectInterval = 50 * time.Millisecond
)

// connectionHandler is a connection as an object.
type connectionHandler interface {
	opened(c gnet.Conn)
	receive(data []byte) error // an error closes it
	closed()
}

// OnBoot knocks at the own door, as only a connection tells which loop there is, and does so until one has come: a crowd
// that waits there already may have the first knock turned away.
func (a *Server) OnBoot(gnet.Engine) gnet.Action {
	go func() {
		for again := time.NewTicker(selfConnectInterval); ; {
			if c, err := net.DialTimeout("tcp", a.config.Listen, selfConnectInterval); err == nil {
				c.Close()
			}
			select {
			case <-a.loopKnown:
				again.Stop()
				return
			case <-again.C:
			}
		}
	}()
	return gnet.None
}

func (a *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if a.loop == nil {
		a.start(c.EventLoop())
	}
	a.beginBatch()
	p, known := c.Context().(connectionHandler)
	if !known && a.phase < phaseStopped {
		if p = a.routers.accept(); p != nil {
			c.SetContext(p)
		}
	}
	if p == nil { // no room, or too late
		a.closeGracefully(c)
	} else {
		p.opened(c)
	}
	return nil, gnet.None
}

func (a *Server) OnTraffic(c gnet.Conn) gnet.Action {
	p, known := c.Context().(connectionHandler)
	data, err := c.Next(-1)
	if !known || err != nil {
		return gnet.Close
	}
	a.beginBatch()
	if err := p.receive(data); err != nil {
		if err != errConnectionDone && countAndSample(&a.badPeers) {
			a.log.Event("bad_peer").Stringer("peer", c.RemoteAddr()).Stringer("local", c.LocalAddr()).Str("reason", err.Error()).Int("count", a.badPeers).Send()
		}
		if err == errFloodAfterEnd {
			return gnet.Close
		}
		a.closeGracefully(c)
	}
	return gnet.None
}

// errConnectionDone closes a connection that has served its turn: nothing bad came on it.
var errConnectionDone = errors.New("done")

func (a *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if p, known := c.Context().(connectionHandler); known && !a.ended {
		a.beginBatch()
		p.closed()
	}
	return gnet.None
}

// engineLog passes on what gnet has to say that matters.
type engineLog struct{ logs.Logger }

func (engineLog) Debugf(string, ...any) {}

func (engineLog) Infof(string, ...any) {}

func (l engineLog) Warnf(f string, args ...any) { l.write("engine_warning", f, args) }

func (l engineLog) Errorf(f string, args ...any) { l.write("engine_error", f, args) }

func (l engineLog) Fatalf(f string, args ...any) {
	l.write("engine_fatal", f, args)
	os.Exit(1)
}

func (l engineLog) write(event, f string, args []any) {
	l.Event(event).Str("text", fmt.Sprintf(f, args...)).Send()
}
