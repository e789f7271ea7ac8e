package server

import (
	"context"
	"net"
	"os"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"thistlequay/timeunit"
)

const (
	// longBatch is the duration of a batch after which waiting connections are accepted here. The engine accepts one in
	// each batch, which is not enough while many clients make the batches long.
	longBatch = second / 100

	// minRegistering and maxRegistering limit the number of accepted connections that the engine has not opened yet.
	// Each holds up to descriptorsPerRegistration descriptors: out of reservedDescriptors at least, and out of those
	// that the router table leaves free.
	minRegistering             = 4
	maxRegistering             = 64
	descriptorsPerRegistration = 3
)

// acceptor accepts connections beside the engine, and hands them to the engine.
type acceptor struct {
	listener    int // descriptor; 0 until the first long batch
	registering []<-chan gnet.RegisteredResult
	isDisabled  bool // the system does not support it
}

// acceptAfterLongBatch accepts connections that wait, if the batch that began at the given time was long.
func (s *Server) acceptAfterLongBatch(startedAt timeunit.Ticks) {
	duration := s.clock.now() - startedAt
	if duration > longBatch && s.phase < phaseClosing {
		s.acceptor.accept(s)
	}
}

// accept accepts waiting connections, as long as not too many have not been opened yet.
func (a *acceptor) accept(server *Server) {
	a.dropOpened()
	room := server.routers.freeDescriptors() / descriptorsPerRegistration
	limit := min(max(room, minRegistering), maxRegistering)
	for !a.isDisabled && len(a.registering) < limit {
		if a.listener == 0 && !a.openListener(server) {
			return
		}
		descriptor, _, err := unix.Accept4(a.listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err != nil {
			return // none waits, or there is no descriptor
		}
		a.register(server, descriptor)
	}
}

// dropOpened drops the connections that the engine has opened.
func (a *acceptor) dropOpened() {
	waiting := a.registering[:0]
	for _, result := range a.registering {
		select {
		case <-result:
		default:
			waiting = append(waiting, result)
		}
	}
	a.registering = waiting
}

// openListener duplicates the descriptor of the engine's listener and reports whether that succeeded.
func (a *acceptor) openListener(server *Server) bool {
	descriptor, err := server.engine.Dup()
	if err != nil {
		a.disable(server, err)
		return false
	}
	a.listener = descriptor
	return true
}

// register hands an accepted connection to the engine, which duplicates its descriptor and opens it in a later batch.
func (a *acceptor) register(server *Server, descriptor int) {
	file := os.NewFile(uintptr(descriptor), "router")
	connection, err := net.FileConn(file)
	_ = file.Close() // connection has a duplicate
	if err != nil {
		a.disable(server, err)
		return
	}
	if connection.RemoteAddr() == nil { // the client has reset it, and the engine needs its address
		_ = connection.Close()
		return
	}
	result, err := server.loop.Enroll(context.Background(), connection)
	if err != nil {
		_ = connection.Close() // the engine has ended
		return
	}
	a.registering = append(a.registering, result)
}

// disable leaves accepting connections to the engine from now on.
func (a *acceptor) disable(server *Server, reason error) {
	a.isDisabled = true
	server.log.Event("acceptor_disabled").Str("reason", reason.Error()).Send()
}

// close closes the acceptor's descriptor of the listener, so that the engine can close the listener.
func (a *acceptor) close() {
	a.isDisabled = true
	if a.listener != 0 {
		_ = unix.Close(a.listener) // the engine's descriptor stays open
		a.listener = 0
	}
}
