package server

import (
	"bytes"
	"errors"
	"slices"
	"strconv"
	"thistlequay/admission"
	"thistlequay/timeunit"

	"github.com/panjf2000/gnet/v2"
)

const (
	maxReplyBytes = 64 << 10
)

// pooledConnection is one connection.
type pooledConnection struct {
	outputBuffer
	client        *indexClient
	outgoing      *outgoingConnection
	call          *indexCall // the one on it
	lastRequestID string     // the work item of the call before
	partial       []byte
	idleSince     timeunit.Ticks // at rest
	generation    int            // so many moves
}

// unlink parts the connection from its call.
func (l *pooledConnection) unlink() { l.call.connection, l.call = nil, nil }

func (l *pooledConnection) opened(c gnet.Conn) {
	if l.conn = c; l.call != nil {
		l.send(l.call)
	} else {
		l.release()
	}
}

func (l *pooledConnection) send(c *indexCall) {
	l.call, c.connection, l.lastRequestID = c, l, c.request.id
	l.client.unwritten = append(l.client.unwritten, l)
	out := append(append(l.buffer(), "GET "...), c.request.id...)
	out = strconv.AppendInt(append(out, ' '), int64(max(1, (c.deadline-l.server.now)/10)), 10)
	out = strconv.AppendInt(append(out, ' '), int64(len(c.request.callBody)), 10)
	out = append(append(out, "\r\n"...), c.request.callBody...)
	l.output = append(out, "\r\n"...)
}

// release has it carry the next call, or rest.
func (l *pooledConnection) release() {
	x := l.client
	if l.generation != x.generation {
		l.close()
		return
	}
	for i, c := range x.waiting {
		if c.request.id != l.lastRequestID {
			x.waiting = slices.Delete(x.waiting, i, i+1)
			l.send(c)
			return
		}
	}
	l.idleSince = x.server.now
	x.idle = append(x.idle, l)
	if x.idleTimer.heapPosition == 0 {
		x.server.setTimer(&x.idleTimer, l.idleSince+idleConnectionTimeout)
	}
}

func (l *pooledConnection) close() {
	l.outgoing.drop()
	l.lost(admission.Indeterminate)
}

func (l *pooledConnection) closed() { l.lost(admission.Indeterminate) }

// lost: the connection is no more, or never came to be. Of the call on it that much is known.
func (l *pooledConnection) lost(how admission.Outcome) {
	x := l.client
	l.conn = nil
	x.connections--
	x.idle = slices.DeleteFunc(x.idle, func(r *pooledConnection) bool { return r == l })
	if c := l.call; c != nil {
		l.unlink()
		x.finish(c, how)
	}
	if len(x.waiting) > 0 && x.connections < x.maxConnections {
		c := x.waiting[0]
		x.waiting = x.waiting[1:]
		x.assign(c)
	}
}

var errInvalidReply = errors.New("a reply from the index that is none")

func (l *pooledConnection) receive(data []byte) error {
	if len(l.partial) > 0 {
		l.partial = append(l.partial, data...)
		data = l.partial
	}
	for len(data) > 0 && l.call != nil {
		n, err := l.parseReply(data)
		if err != nil {
			return err
		}
		if n == 0 {
			break
		}
		data = data[n:]
	}
	switch {
	case len(data) > maxReplyBytes:
		return errInvalidReply
	case l.call != nil:
		l.partial = append(l.partial[:0], data...)
		return nil
	case len(data) > 0: // more than its own: nothing that may come late is left to reach a later call
		return errConnectionDone
	}
	l.partial = nil
	l.release()
	return nil
}

// parseReply takes one reply that is whole and gives its length, 0 where more is to come.
func (l *pooledConnection) parseReply(data []byte) (int, error) {
	end := bytes.Index(data, []byte("\r\n"))
	if end < 0 {
		if len(data) > 128 {
			return 0, errInvalidReply
		}
		return 0, nil
	}
	fields := bytes.Fields(data[:end])
	if len(fields) < 2 || len(fields[0]) != 16 {
		return 0, errInvalidReply
	}
	how, known := replyOutcomes[string(fields[1])]
	if !known || (how == admission.Succeeded) != (len(fields) == 3) {
		return 0, errInvalidReply
	}
	var body []byte
	if end += 2; how == admission.Succeeded {
		size, err := strconv.ParseUint(string(fields[2]), 10, 18)
		if err != nil || size > maxReplyBytes {
			return 0, errInvalidReply
		}
		if len(data) < end+int(size)+2 {
			return 0, nil
		}
		body = data[end : end+int(size)]
		if end += int(size) + 2; string(data[end-2:end]) != "\r\n" {
			return 0, errInvalidReply
		}
	}
	c := l.call
	if it := c.request; string(fields[0]) == it.id { // another's is passed over
		l.unlink()
		if how == admission.Succeeded && it.router != nil {
			l.server.interpreter.resolve(it, bytes.Clone(body))
		}
		if how != admission.Succeeded || it.router != nil { // else the run ends at its call: nobody waits for it
			l.client.finish(c, how)
		} else {
			l.client.remove(c)
		}
	}
	return end, nil
}

var replyOutcomes = map[string]admission.Outcome{"HIT": admission.Succeeded, "SHED": admission.NotExecuted,
	"BROKEN": admission.Failed, "SLOW": admission.Indeterminate, "NOBODY": admission.NotExecuted}
