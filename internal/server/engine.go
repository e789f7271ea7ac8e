package server

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/internal/logs"
)

// selfConnectInterval is the time between attempts to connect to the own listener, and how long each may take.
const selfConnectInterval = 50 * time.Millisecond

// connectionHandler is what stands behind a connection. Its methods are called on the event loop.
type connectionHandler interface {
	opened(conn gnet.Conn)
	receive(data []byte) error // an error closes the connection
	closed()
}

// errConnectionDone closes a connection that has served its purpose: nothing bad came on it.
var errConnectionDone = errors.New("done")

// OnBoot connects to the own listener, as only a connection tells which loop there is, and does so until one has been
// accepted: when many routers wait already, the first attempts may be refused.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	go func() {
		ticker := time.NewTicker(selfConnectInterval)
		defer ticker.Stop()
		for {
			if conn, err := net.DialTimeout("tcp", s.config.Listen, selfConnectInterval); err == nil {
				_ = conn.Close() // it has done its work
			}
			select {
			case <-s.loopKnown:
				return
			case <-ticker.C:
			}
		}
	}()
	return gnet.None
}

// OnOpen gives a new connection to its handler: a connection that this server dialed has one, any other is a router's.
func (s *Server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if s.loop == nil {
		s.start(conn.EventLoop())
	}
	s.beginBatch()
	handler, known := conn.Context().(connectionHandler)
	if !known && s.phase < phaseStopped {
		handler = s.routers.accept()
		if handler != nil {
			conn.SetContext(handler)
		}
	}
	if handler == nil { // the table is full, or the server ends
		s.closeGracefully(conn)
	} else {
		handler.opened(conn)
	}
	return nil, gnet.None
}

// OnTraffic gives what was read to the connection's handler and closes the connection if it says so.
func (s *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	handler, known := conn.Context().(connectionHandler)
	data, err := conn.Next(-1)
	if !known || err != nil {
		return gnet.Close
	}
	s.beginBatch()
	err = handler.receive(data)
	if err == nil {
		return gnet.None
	}
	if !errors.Is(err, errConnectionDone) && countAndSample(&s.badPeers) {
		s.log.Event("bad_peer").Stringer("peer", conn.RemoteAddr()).Stringer("local", conn.LocalAddr()).
			Str("reason", err.Error()).Int("count", s.badPeers).Send()
	}
	if errors.Is(err, errFloodAfterEnd) {
		return gnet.Close
	}
	s.closeGracefully(conn)
	return gnet.None
}

// OnClose tells the connection's handler that the connection is gone.
func (s *Server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	handler, known := conn.Context().(connectionHandler)
	if known && !s.ended {
		s.beginBatch()
		handler.closed()
	}
	return gnet.None
}

// engineLog passes on gnet's warnings and errors.
type engineLog struct{ logs.Logger }

func (engineLog) Debugf(string, ...any) {}
func (engineLog) Infof(string, ...any)  {}

func (l engineLog) Warnf(format string, args ...any)  { l.write("engine_warning", format, args) }
func (l engineLog) Errorf(format string, args ...any) { l.write("engine_error", format, args) }

func (l engineLog) Fatalf(format string, args ...any) {
	l.write("engine_fatal", format, args)
	os.Exit(1)
}

func (l engineLog) write(event, format string, args []any) {
	l.Event(event).Str("text", fmt.Sprintf(format, args...)).Send()
}
