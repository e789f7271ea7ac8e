package server

import "github.com/panjf2000/gnet/v2"

const (
	bufferSize      = 8 << 10
	maxSpareBuffers = 256 // kept to be used again

	// One part in so many of the memory goes to buffers, and as much to unread output in sum.
	bufferMemoryDivisor = 16

	// maxUnreadPerRouter bounds the output that one router may leave unread: more than all its open requests can be
	// owed.
	maxUnreadPerRouter = 192 << 10

	// maxUnreadPerLink is the same bound for the few other parties, which get all that happens while they stand still.
	maxUnreadPerLink = 4 << 20
)

// bufferPool holds buffers of one size that are used again.
type bufferPool struct {
	spare [][]byte
	inUse int
	limit int // buffers in use from which on no further request is begun
}

// setLimit bounds the buffers to a small part of the memory.
func (p *bufferPool) setLimit(memoryBytes int) {
	p.limit = max(maxSpareBuffers, memoryBytes/bufferMemoryDivisor/bufferSize)
}

// take returns an empty buffer.
func (p *bufferPool) take() []byte {
	p.inUse++
	last := len(p.spare) - 1
	if last < 0 {
		return make([]byte, 0, bufferSize)
	}
	buffer := p.spare[last]
	p.spare = p.spare[:last]
	return buffer
}

// give takes a buffer back. One that has grown is left to the garbage collector.
func (p *bufferPool) give(buffer []byte) {
	p.inUse--
	if cap(buffer) == bufferSize && len(p.spare) < maxSpareBuffers {
		p.spare = append(p.spare, buffer[:0])
	}
}

// outputBuffer is the output side of a connection: what is to be written at the end of the batch. It must never hold
// more than a bound for a peer that does not read.
type outputBuffer struct {
	server          *Server
	conn            gnet.Conn // nil while there is none
	output          []byte    // nil while there is none in this batch
	closeAfterWrite bool
	maxUnread       int // bytes that the other side may leave unread
}

// buffer returns what to append output to. The connection is written at the end of the batch.
func (b *outputBuffer) buffer() []byte {
	if b.output == nil {
		b.output = b.server.buffers.take()
		b.server.pendingWrites = append(b.server.pendingWrites, b)
	}
	return b.output
}

// flushAndRelease ends the batch for this connection.
func (b *outputBuffer) flushAndRelease() {
	b.flush()
	b.server.buffers.give(b.output)
	b.output = nil
	if b.closeAfterWrite {
		b.closeGracefully()
	}
}

// flush writes what there is, also before the batch ends. A write that fails closes the connection by itself.
func (b *outputBuffer) flush() {
	if b.conn != nil && len(b.output) > 0 {
		_, err := b.conn.Write(b.output)
		if err == nil && b.conn != nil {
			b.server.enforceUnreadLimit(b)
		}
	}
	b.output = b.output[:0]
}

// closeGracefully ends the connection; closed of its handler is called within.
func (b *outputBuffer) closeGracefully() {
	if b.conn != nil {
		b.server.closeGracefully(b.conn)
	}
}

// enforceUnreadLimit closes a connection on which too much lies unread. Where too much lies unread on all routers'
// connections together, it closes the one with the most.
func (s *Server) enforceUnreadLimit(written *outputBuffer) {
	unread := written.conn.OutboundBuffered()
	if unread == 0 {
		delete(s.unreadConnections, written)
		return
	}
	s.unreadConnections[written] = struct{}{}
	total, worst := s.unreadByRouters(written)
	if unread > written.maxUnread {
		worst = written
	} else if total <= s.buffers.limit*bufferSize {
		return
	}
	s.unreadClosed++
	_ = s.loop.Close(worst.conn) // at once, not gracefully: what lies on it is what there is too much of
}

// unreadByRouters returns how many bytes routers have left unread in all, and the connection with the most, or the
// fallback where no router has left any.
func (s *Server) unreadByRouters(fallback *outputBuffer) (total int, worst *outputBuffer) {
	most := -1
	worst = fallback
	for output := range s.unreadConnections {
		if output.conn == nil {
			delete(s.unreadConnections, output)
			continue
		}
		unread := output.conn.OutboundBuffered()
		if output.maxUnread != maxUnreadPerRouter {
			continue
		}
		total += unread
		if unread > most {
			most = unread
			worst = output
		}
	}
	return total, worst
}
