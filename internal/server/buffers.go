package server

import (
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
)

const (
	bufferSize     = 8 << 10
	maxFreeBuffers = 256 // free buffers that are kept for reuse

	// connectionMemoryDivisor and minConnectionMemory, in bytes, set the limit on the buffers of requests that are
	// being received, and the limit on the unread output of all routers; see connectionMemory.
	connectionMemoryDivisor = 16
	minConnectionMemory     = 2 << 20

	// flushThresholdBytes is the output of a router connection, in bytes, that is written before the end of the batch
	// while more of the router's input is being handled.
	flushThresholdBytes = bufferSize / 2

	// maxUnreadPerRouter limits the output, in bytes, that one router may leave unread. It exceeds the size of the
	// responses to all requests that a router can have open.
	maxUnreadPerRouter = 192 << 10

	// maxUnreadPerLink is the same limit for connections to processes other than routers. It is larger because they
	// are few and everything that is sent to such a process while it is stalled accumulates.
	maxUnreadPerLink = 4 << 20
)

// connectionMemory returns the memory, in bytes, that router connections may use for one purpose in a process whose
// memory limit is memoryBytes.
func connectionMemory(memoryBytes int) int {
	return max(minConnectionMemory, memoryBytes/connectionMemoryDivisor)
}

// bufferPool is a free list of buffers of bufferSize bytes, which hold the output of a batch.
type bufferPool struct{ free [][]byte }

// get returns an empty buffer from the pool, or a new one if the pool is empty.
func (p *bufferPool) get() []byte {
	lastIndex := len(p.free) - 1
	if lastIndex < 0 {
		return make([]byte, 0, bufferSize)
	}
	buffer := p.free[lastIndex]
	p.free = p.free[:lastIndex]
	return buffer
}

// put returns a buffer to the pool. A buffer that has grown is left to the garbage collector.
func (p *bufferPool) put(buffer []byte) {
	if cap(buffer) == bufferSize && len(p.free) < maxFreeBuffers {
		p.free = append(p.free, buffer[:0])
	}
}

// outputBuffer holds the output of a connection that is written at the end of the batch. The connection is closed if
// the peer leaves more than maxUnread bytes unread, so that a peer that does not read cannot use up the memory.
type outputBuffer struct {
	server          *Server
	conn            gnet.Conn // nil while not connected
	output          []byte    // nil while the batch has no output for the connection
	closeAfterWrite bool
	readBeforeClose bool // closeAfterWrite waits until all input that has arrived has been read
	maxUnread       int  // maximum number of bytes that the peer may leave unread

	// onWritten is called when the connection has accepted the output, from when on the peer may receive it. It may be
	// nil.
	onWritten func()
}

// buffer returns the slice to append output to, and schedules the connection to be written at the end of the batch.
// The caller assigns the extended slice to output.
func (b *outputBuffer) buffer() []byte {
	if b.output == nil {
		b.output = b.server.buffers.get()
		b.server.pendingWrites = append(b.server.pendingWrites, b)
	}
	return b.output
}

// flushAndRelease writes the output at the end of the batch, returns the buffer to the pool, and closes the connection
// if closeAfterWrite is set. If there is input to read first, it resets closeAfterWrite instead; whoever handles the
// input then sets it again.
func (b *outputBuffer) flushAndRelease() {
	b.flush()
	b.server.buffers.put(b.output)
	b.output = nil
	if !b.closeAfterWrite {
		return
	}
	if b.mustReadBeforeClose() {
		b.closeAfterWrite = false
		return
	}
	b.closeGracefully()
}

// mustReadBeforeClose reports whether input must be read before the connection is closed.
func (b *outputBuffer) mustReadBeforeClose() bool {
	return b.readBeforeClose && b.conn != nil && b.server.now < b.server.readBeforeCloseUntil && hasUnreadInput(b.conn)
}

// hasUnreadInput reports whether the system has received input of a connection that the event loop has not read yet. On
// a busy machine, or within a long batch, it may have been there for hundreds of milliseconds.
func hasUnreadInput(conn gnet.Conn) bool {
	unread, err := unix.IoctlGetInt(conn.Fd(), unix.SIOCINQ)
	return err == nil && unread > 0
}

// flush writes the output so far; it may be called before the end of the batch. An error needs no handling here because
// gnet closes the connection when a write fails.
func (b *outputBuffer) flush() {
	if b.conn != nil && len(b.output) > 0 {
		_, err := b.conn.Write(b.output)
		if err == nil && b.onWritten != nil {
			b.onWritten()
		}
		if err == nil && b.conn != nil {
			b.server.enforceUnreadLimit(b)
		}
	}
	b.output = b.output[:0]
}

// closeGracefully closes the connection gracefully if there is one. It calls the handler's closed method before it
// returns.
func (b *outputBuffer) closeGracefully() {
	if b.conn != nil {
		b.server.closeGracefully(b.conn)
	}
}

// enforceUnreadLimit closes the connection if its peer has left more than maxUnread bytes unread. If the unread output
// of all router connections together exceeds its limit, it closes the router connection with the most unread bytes.
func (s *Server) enforceUnreadLimit(written *outputBuffer) {
	unread := written.conn.OutboundBuffered()
	if unread == 0 {
		delete(s.unreadConnections, written)
		return
	}
	s.unreadConnections[written] = struct{}{}
	totalUnread, toClose := s.unreadByRouters(written)
	if unread > written.maxUnread {
		toClose = written
	} else if totalUnread <= connectionMemory(s.config.MemoryBytes) {
		return
	}
	s.unreadClosed++
	_ = s.loop.Close(toClose.conn) // not gracefully: that would keep the unread output in memory
}

// unreadByRouters returns the total number of bytes that routers have left unread and the router connection with the
// most of them, or fallback if there is no such connection. It also removes closed connections from unreadConnections.
func (s *Server) unreadByRouters(fallback *outputBuffer) (total int, largest *outputBuffer) {
	largestUnread := -1
	largest = fallback
	for output := range s.unreadConnections {
		if output.conn == nil {
			delete(s.unreadConnections, output)
			continue
		}
		unread := output.conn.OutboundBuffered()
		// An outputBuffer does not record the kind of its peer, but only router connections have this limit.
		if output.maxUnread != maxUnreadPerRouter {
			continue
		}
		total += unread
		if unread > largestUnread {
			largestUnread = unread
			largest = output
		}
	}
	return total, largest
}
