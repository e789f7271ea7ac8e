package server

import (
	"github.com/panjf2000/gnet/v2"
)

const (
	bufferSize          = 8 << 10
	maxSpareBuffers     = 256       // buffers kept for later
	maxUnreadPerRouter  = 192 << 10 // output that a router may leave unread: more than all its open requests can be owed
	bufferMemoryDivisor = 16        // one part in so many of the memory goes to buffers, and as much to unread output in sum
	maxUnreadPerLink    = 4 << 20   // and one of the few other parties, which are given all that goes on while they stand still
)

type bufferPool struct {
	spare [][]byte
	inUse int
	limit int // in use before no further request is begun
}

// setLimit has the buffers take no more than a small part of the memory.
func (b *bufferPool) setLimit(memory int) {
	b.limit = max(maxSpareBuffers, memory/bufferMemoryDivisor/bufferSize)
}

func (b *bufferPool) take() []byte {
	b.inUse++
	if n := len(b.spare); n > 0 {
		buffer := b.spare[n-1]
		b.spare = b.spare[:n-1]
		return buffer
	}
	return make([]byte, 0, bufferSize)
}

func (b *bufferPool) give(buffer []byte) {
	b.inUse--
	if cap(buffer) == bufferSize && len(b.spare) < maxSpareBuffers {
		b.spare = append(b.spare, buffer[:0])
	}
}

// outputBuffer is the output side of a connection.
type outputBuffer struct {
	server          *Server
	conn            gnet.Conn // nil while there is none
	output          []byte
	closeAfterWrite bool // close it once this is written
	maxUnread       int  // output that may lie unread
}

// buffer gives what to append output to; the connection is written at the end of the batch.
func (w *outputBuffer) buffer() []byte {
	if w.output == nil {
		w.output = w.server.buffers.take()
		w.server.pendingWrites = append(w.server.pendingWrites, w)
	}
	return w.output
}

func (w *outputBuffer) flushAndRelease() {
	w.flush()
	w.server.buffers.give(w.output)
	if w.output = nil; w.closeAfterWrite {
		w.closeGracefully()
	}
}

// flush writes what there is before the batch ends.
func (w *outputBuffer) flush() {
	if w.conn != nil && len(w.output) > 0 {
		if _, err := w.conn.Write(w.output); err == nil && w.conn != nil {
			w.server.enforceUnreadLimit(w)
		}
	}
	w.output = w.output[:0]
}

// closeGracefully ends the connection; closed() of its peer is called within.
func (w *outputBuffer) closeGracefully() {
	if c := w.conn; c != nil {
		w.server.closeGracefully(c)
	}
}

// enforceUnreadLimit closes a connection on which too much lies unread, and where too much does in sum the one with the most.
func (a *Server) enforceUnreadLimit(w *outputBuffer) {
	lies := w.conn.OutboundBuffered()
	if lies == 0 {
		delete(a.unreadConnections, w)
		return
	}
	a.unreadConnections[w] = struct{}{}
	sum, most, worst := 0, -1, w
	for o := range a.unreadConnections {
		if o.conn == nil {
			delete(a.unreadConnections, o)
		} else if n := o.conn.OutboundBuffered(); o.maxUnread == maxUnreadPerRouter {
			if sum += n; n > most {
				most, worst = n, o
			}
		}
	}
	if lies > w.maxUnread {
		worst = w
	} else if sum <= a.buffers.limit*bufferSize {
		return
	}
	a.unreadClosed++
	_ = a.loop.Close(worst.conn) // at once: what lies on it is what there is too much of
}
