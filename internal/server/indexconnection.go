package server

import (
	"slices"
	"strconv"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

// idleConnectionTimeout: an idle connection is closed after this. The index has been seen to forget one after twice as
// long.
const idleConnectionTimeout = second / 20

// pooledState is where a connection of the pool is in its life.
type pooledState int

const (
	pooledDialing pooledState = iota // with or without a call that waits for it
	pooledBusy                       // it carries a call
	pooledIdle                       // it carries none, and is on the list of idle ones
	pooledClosed
)

// pooledConnection is one connection to the index.
type pooledConnection struct {
	outputBuffer
	client     *indexClient
	outgoing   *outgoingConnection
	state      pooledState
	idleSince  timeunit.Ticks
	generation int // of indexClient at its dial

	call          *indexCall
	lastRequestID string // of the call on it, or the one before
	partial       []byte // of a reply
}

// opened has it carry the call that it was dialed for, or another, or none.
func (p *pooledConnection) opened(conn gnet.Conn) {
	p.conn = conn
	if p.call != nil {
		p.send(p.call)
		return
	}
	p.release()
}

// send writes a call: the request's ID, the milliseconds that are left, the length of the body, and the body.
func (p *pooledConnection) send(call *indexCall) {
	p.state = pooledBusy
	p.call = call
	call.connection = p
	p.lastRequestID = call.request.id
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

// unlink parts the connection from its call.
func (p *pooledConnection) unlink() {
	p.call.connection = nil
	p.call = nil
}

// release has it carry the next call, or become idle.
func (p *pooledConnection) release() {
	if p.generation != p.client.generation {
		p.close()
		return
	}
	for i, call := range p.client.waiting {
		if call.request.id != p.lastRequestID {
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
	p.lost(admission.Indeterminate)
}

func (p *pooledConnection) closed() { p.lost(admission.Indeterminate) }

// lost is called when the connection is no more, or never came to be; outcome is what that leaves known of its call.
// Its place in the pool goes to the next call that waits.
func (p *pooledConnection) lost(outcome admission.Outcome) {
	client := p.client
	p.state = pooledClosed
	p.conn = nil
	client.connections--
	client.idle = slices.DeleteFunc(client.idle, func(idle *pooledConnection) bool { return idle == p })
	if call := p.call; call != nil {
		p.unlink()
		client.finish(call, outcome)
	}
	if len(client.waiting) > 0 && client.connections < client.maxConnections {
		next := client.waiting[0]
		client.waiting = client.waiting[1:]
		client.assign(next)
	}
}
