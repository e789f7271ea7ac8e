package server

import (
	"math"
	"os"

	"golang.org/x/sys/unix"
)

// noInterface is the index of a network interface that does not exist.
const noInterface = math.MaxInt32

// refuseNewConnections has the system refuse every new connection while those that are in the handshake, or wait to be
// accepted, are still accepted by the event loop. Closing the listener would reset these, and gnet closes it only with
// the loop. A listener that is bound to an interface on which nothing arrives is not found for a new connection, which
// is then refused like one to a port where nobody listens.
//
// Where the system does not permit it, the listener stays open until the loop ends.
func (s *Server) refuseNewConnections() {
	descriptor, err := s.engine.Dup()
	if err == nil {
		err = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
		_ = unix.Close(descriptor) // a duplicate: the listener stays
		err = os.NewSyscallError("setsockopt", err)
	}
	if err != nil {
		s.log.Event("listener_stays_open").Str("reason", err.Error()).Send()
	}
}
