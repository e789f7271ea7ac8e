// This file owns the buffers, which have one size and are used again, and the output of a connection until the
// end of the batch. It must never hold more output than a bound for a peer that does not read.
package server

import "github.com/panjf2000/gnet/v2"

const (
	bufferSize = 8 << 10
	mostSpare  = 256       // buffers kept for later
	mostUnread = 192 << 10 // output that a router may leave unread: more than all its open requests can be owed
	memoryPart = 16        // one part in so many of the memory goes to buffers, and as much to unread output in sum
	mostOnLink = 4 << 20   // and one of the few other parties, which are given all that goes on while they stand still
)

type buffers struct {
	spare [][]byte
	out   int
	most  int // in use before no further request is begun
}

// bound has the buffers take no more than a small part of the memory.
func (b *buffers) bound(memory int) { b.most = max(mostSpare, memory/memoryPart/bufferSize) }

func (b *buffers) take() []byte {
	b.out++
	if n := len(b.spare); n > 0 {
		buffer := b.spare[n-1]
		b.spare = b.spare[:n-1]
		return buffer
	}
	return make([]byte, 0, bufferSize)
}

func (b *buffers) give(buffer []byte) {
	b.out--
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
	w.flush()
	w.app.pool.give(w.out)
	if w.out = nil; w.after {
		w.shut()
	}
}

// flush writes what there is before the batch ends.
func (w *wire) flush() {
	if w.conn != nil && len(w.out) > 0 {
		if _, err := w.conn.Write(w.out); err == nil && w.conn != nil {
			w.app.lying(w)
		}
	}
	w.out = w.out[:0]
}

// shut ends the connection; closed() of its peer is called within.
func (w *wire) shut() {
	if c := w.conn; c != nil {
		w.app.part(c)
	}
}

// lying closes a connection on which too much lies unread, and where too much does in sum the one with the most.
func (a *App) lying(w *wire) {
	lies := w.conn.OutboundBuffered()
	if lies == 0 {
		delete(a.unreadOn, w)
		return
	}
	a.unreadOn[w] = struct{}{}
	sum, most, worst := 0, -1, w
	for o := range a.unreadOn {
		if o.conn == nil {
			delete(a.unreadOn, o)
		} else if n := o.conn.OutboundBuffered(); o.most == mostUnread {
			if sum += n; n > most {
				most, worst = n, o
			}
		}
	}
	if lies > w.most {
		worst = w
	} else if sum <= a.pool.most*bufferSize {
		return
	}
	a.unread++
	_ = a.thread.Close(worst.conn) // at once: what lies on it is what there is too much of
}
