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

// selfConnectInterval is both the interval between attempts to connect to the server's own listener and the timeout of
// each attempt.
const selfConnectInterval = 50 * time.Millisecond

// connectionHandler handles the events of a connection. Its methods are called on the event loop.
type connectionHandler interface {
	opened(conn gnet.Conn)
	receive(data []byte) error // an error closes the connection
	closed()
}

// errConnectionDone is returned by a handler to close a connection that is no longer needed. It does not indicate an
// error of the peer and is not logged.
var errConnectionDone = errors.New("connection is no longer needed")

// OnBoot implements gnet.EventHandler. It connects to the server's own listener because gnet gives access to the event
// loop only through a connection. It retries until a connection has been accepted: the first attempts may be refused
// if many routers are already connecting.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	go func() {
		ticker := time.NewTicker(selfConnectInterval)
		defer ticker.Stop()
		for {
			if conn, err := net.DialTimeout("tcp", s.config.Listen, selfConnectInterval); err == nil {
				_ = conn.Close() // accepting it is all that OnOpen needs
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

// OnOpen implements gnet.EventHandler. It passes a new connection to its handler. A connection that this server dialed
// already has a handler; any other connection is a router's.
func (s *Server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if s.loop == nil {
		s.start(conn.EventLoop())
	}
	s.beginBatch()
	handler, hasHandler := conn.Context().(connectionHandler)
	if !hasHandler && s.phase < phaseStopped {
		handler = s.routers.accept()
		if handler != nil {
			conn.SetContext(handler)
		}
	}
	if handler == nil { // the router table is full, or the server has stopped
		s.closeGracefully(conn)
	} else {
		handler.opened(conn)
	}
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler. It passes the received data to the connection's handler and closes the
// connection if the handler returns an error.
func (s *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	handler, hasHandler := conn.Context().(connectionHandler)
	data, err := conn.Next(-1)
	if !hasHandler || err != nil {
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
	if errors.Is(err, errDataAfterShutdown) {
		return gnet.Close
	}
	s.closeGracefully(conn)
	return gnet.None
}

// OnClose implements gnet.EventHandler. It notifies the connection's handler that the connection is closed.
func (s *Server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	handler, hasHandler := conn.Context().(connectionHandler)
	if hasHandler && !s.mustEndLoop {
		s.beginBatch()
		handler.closed()
	}
	return gnet.None
}

// engineLog implements gnet's logger. It logs warnings and errors as events and discards the lower levels.
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
