package server

import (
	"math"
	"os"

	"golang.org/x/sys/unix"
)

// nonexistentInterface is the index of a network interface that does not exist.
const nonexistentInterface = math.MaxInt32

// refuseNewConnections makes the kernel refuse new connections. Connections that are in the handshake or wait to be
// accepted are still accepted by the event loop. Closing the listener would reset them, and gnet closes the listener
// only together with the loop. Instead, the listener is bound to a network interface that does not exist: the kernel
// then finds no listener for a new connection and refuses it, as on a port that nobody listens on.
//
// If the kernel does not permit this, the listener stays open until the loop ends.
func (s *Server) refuseNewConnections() {
	descriptor, err := s.engine.Dup()
	if err == nil {
		err = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, nonexistentInterface)
		_ = unix.Close(descriptor) // only the duplicate; the listener stays open
		err = os.NewSyscallError("setsockopt", err)
	}
	if err != nil {
		s.log.Event("listener_stays_open").Str("reason", err.Error()).Send()
	}
}
