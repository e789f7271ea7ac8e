// This file owns the buffers, which have one size and are used again, and the output of a connection until the
// end of the batch. It must never hold more output than a bound for a peer that does not read.
package appserver

import "github.com/panjf2000/gnet/v2"

const (
	bufferSize = 8 << 10
	mostSpare  = 256       // buffers kept for later
	mostUnread = 192 << 10 // output that a router may leave unread: more than all its open requests can be owed
	mostOnLink = 4 << 20   // and one of the few other parties, which are given all that goes on while they stand still
)

type buffers struct{ spare [][]byte }

func (b *buffers) take() []byte {
	if n := len(b.spare); n > 0 {
		buffer := b.spare[n-1]
		b.spare = b.spare[:n-1]
		return buffer
	}
	return make([]byte, 0, bufferSize)
}

func (b *buffers) give(buffer []byte) {
	if cap(buffer) == bufferSize && len(b.spare) < mostSpare {
		b.spare = append(b.spare, buffer[:0])
	}
}

// wire is the output side of a connection.
type wire struct {
	app   *App
	conn  gnet.Conn // nil while there is none
	out   []byte
	after bool // close it once this is written
	most  int  // output that may lie unread
}

// buffer gives what to append output to; the connection is written at the end of the batch.
func (w *wire) buffer() []byte {
	if w.out == nil {
		w.out = w.app.pool.take()
		w.app.dirty = append(w.app.dirty, w)
	}
	return w.out
}

func (w *wire) push() {
	out := w.out
	w.out = nil
	if w.conn != nil && len(out) > 0 {
		if _, err := w.conn.Write(out); err == nil && w.conn != nil && w.conn.OutboundBuffered() > w.most {
			w.app.unread++
			w.shut()
		}
	}
	w.app.pool.give(out)
	if w.after {
		w.shut()
	}
}

// shut closes the connection; closed() of its peer is called within.
func (w *wire) shut() {
	if c := w.conn; c != nil {
		_ = w.app.thread.Close(c)
	}
}
