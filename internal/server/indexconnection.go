package server

import (
	"slices"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// idleConnectionTimeout is how long a connection may be idle before it is closed. The index has been observed to drop
// connections after twice this time.
const idleConnectionTimeout = second / 20

// pooledState is the state of a connection in the pool.
type pooledState int

const (
	pooledDialing pooledState = iota // a call may wait for it
	pooledBusy                       // carries a call
	pooledIdle                       // carries no call and is in indexClient.idle
	pooledClosed
)

// pooledConnection is one connection to the index. It carries at most one call at a time.
type pooledConnection struct {
	outputBuffer
	client     *indexClient
	outgoing   *outgoingConnection
	state      pooledState
	idleSince  timeunit.Ticks
	generation int // indexClient.generation at the start of its dial

	call    *indexCall
	partial []byte // the incomplete reply read so far
}

// opened sends the call that the connection was dialed for. If that call has ended, it releases the connection.
func (p *pooledConnection) opened(conn gnet.Conn) {
	p.conn = conn
	if p.call != nil {
		p.send(p.call)
		return
	}
	p.release()
}

// send appends a call to the output: the request's ID, the remaining time in milliseconds, the length of the body in
// bytes, and the body.
func (p *pooledConnection) send(call *indexCall) {
	p.state = pooledBusy
	p.call = call
	call.connection = p
	call.request.addCallConnection(p)
	p.client.unwritten = append(p.client.unwritten, p)
	body := call.request.callBody
	out := append(p.buffer(), "GET "...)
	out = append(out, call.request.id...)
	out = append(out, ' ')
	out = strconv.AppendInt(out, max(1, (call.deadline-p.server.now).Milliseconds()), 10)
	out = append(out, ' ')
	out = strconv.AppendInt(out, int64(len(body)), 10)
	out = append(out, "\r\n"...)
	out = append(out, body...)
	p.output = append(out, "\r\n"...)
}

// detachCall clears the references between the connection and its call.
func (p *pooledConnection) detachCall() {
	p.call.connection = nil
	p.call = nil
}

// release sends the next waiting call on the connection, or makes the connection idle. It closes a connection to an
// address that is no longer used.
func (p *pooledConnection) release() {
	if p.generation != p.client.generation {
		p.close()
		return
	}
	for i, call := range p.client.waiting {
		if !call.request.hasCalledOn(p) {
			p.client.waiting = slices.Delete(p.client.waiting, i, i+1)
			p.send(call)
			return
		}
	}
	p.state = pooledIdle
	p.idleSince = p.server.now
	p.client.idle = append(p.client.idle, p)
	if !p.client.idleTimer.isSet() {
		p.server.setTimer(&p.client.idleTimer, p.idleSince+idleConnectionTimeout)
	}
}

func (p *pooledConnection) close() {
	p.outgoing.drop()
	p.handleLoss(admission.Indeterminate)
}

func (p *pooledConnection) closed() { p.handleLoss(admission.Indeterminate) }

// handleLoss is called when the connection has closed or could not be opened, and by close when the client itself
// closes it. It removes the connection from the pool and ends its call, if it has one, with outcome. It then assigns
// the next waiting call if the pool has fewer than maxConnections connections.
func (p *pooledConnection) handleLoss(outcome admission.Outcome) {
	client := p.client
	p.state = pooledClosed
	p.conn = nil
	client.connections--
	client.idle = slices.DeleteFunc(client.idle, func(idle *pooledConnection) bool { return idle == p })
	if call := p.call; call != nil {
		p.detachCall()
		client.finish(call, outcome)
	}
	if len(client.waiting) > 0 && client.connections < client.maxConnections {
		next := client.waiting[0]
		client.waiting = client.waiting[1:]
		client.assign(next)
	}
}
