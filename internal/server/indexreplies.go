package server

import (
	"bytes"
	"errors"
	"strconv"

	"thistlequay/admission"
)

// Bounds on a reply from the index.
const (
	maxReplyBytes     = 64 << 10
	maxReplyLineBytes = 128
	maxReplySizeBits  = 18 // of the body size in the reply line
)

// errInvalidReply is returned for a malformed or oversized reply; it closes the connection to the index.
var errInvalidReply = errors.New("index: malformed or oversized reply")

var crlf = []byte("\r\n")

// replyOutcomes maps each kind of reply to the outcome of the call. Only a HIT has a body.
var replyOutcomes = map[string]admission.Outcome{
	"HIT":    admission.Succeeded,
	"SHED":   admission.NotExecuted,
	"BROKEN": admission.Failed,
	"SLOW":   admission.Indeterminate,
	"NOBODY": admission.NotExecuted,
}

// indexReply is one reply from the index. On the wire it is a line with the request's ID, the kind and, for a HIT, the
// size of the body, followed by the body. Its slices point into the read buffer.
type indexReply struct {
	requestID []byte
	outcome   admission.Outcome
	body      []byte
	length    int // of the whole reply in bytes, including line ends
}

// receive handles the complete replies in data and keeps an incomplete one. Data after the reply to the call in flight
// closes the connection.
func (p *pooledConnection) receive(data []byte) error {
	if len(p.partial) > 0 {
		p.partial = append(p.partial, data...)
		data = p.partial
	}
	for len(data) > 0 && p.call != nil {
		reply, isComplete, err := parseReply(data)
		if err != nil {
			return err
		}
		if !isComplete {
			break
		}
		p.handleReply(&reply)
		data = data[reply.length:]
	}
	switch {
	case len(data) > maxReplyBytes:
		return errInvalidReply
	case p.call != nil:
		p.partial = append(p.partial[:0], data...)
		return nil
	case len(data) > 0: // may be a late copy of a reply, which must not reach a later call
		return errConnectionDone
	}
	p.partial = nil
	p.release()
	return nil
}

// handleReply ends the call in flight and, if the call succeeded, resumes its run. It ignores a reply for another
// request. A run whose result no router waits for is not resumed.
func (p *pooledConnection) handleReply(reply *indexReply) {
	call := p.call
	caller := call.request
	if string(reply.requestID) != caller.id {
		return
	}
	p.detachCall()
	switch {
	case reply.outcome != admission.Succeeded:
		p.client.finish(call, reply.outcome)
	case caller.router != nil:
		p.server.interpreter.resolve(caller, bytes.Clone(reply.body))
		p.client.finish(call, reply.outcome)
	default:
		p.client.remove(call)
	}
}

// parseReply parses the first reply in data. isComplete is false if the reply is still incomplete.
func parseReply(data []byte) (reply indexReply, isComplete bool, err error) {
	line, rest, hasLine := bytes.Cut(data, crlf)
	if !hasLine {
		if len(data) > maxReplyLineBytes {
			return reply, false, errInvalidReply
		}
		return reply, false, nil
	}
	fields := bytes.Fields(line)
	if len(fields) < 2 || len(fields[0]) != requestIDDigits {
		return reply, false, errInvalidReply
	}
	outcome, known := replyOutcomes[string(fields[1])]
	hasBody := outcome == admission.Succeeded
	if !known || hasBody != (len(fields) == 3) {
		return reply, false, errInvalidReply
	}
	reply = indexReply{requestID: fields[0], outcome: outcome, length: len(line) + len(crlf)}
	if !hasBody {
		return reply, true, nil
	}
	reply.body, isComplete, err = parseReplyBody(fields[2], rest)
	reply.length += len(reply.body) + len(crlf)
	return reply, isComplete, err
}

// parseReplyBody parses a body of the given size, and the line end after it, from the start of data.
func parseReplyBody(size, data []byte) (body []byte, isComplete bool, err error) {
	length, err := strconv.ParseUint(string(size), 10, maxReplySizeBits)
	if err != nil || length > maxReplyBytes {
		return nil, false, errInvalidReply
	}
	if len(data) < int(length)+len(crlf) {
		return nil, false, nil
	}
	body = data[:length]
	if !bytes.HasPrefix(data[length:], crlf) {
		return nil, false, errInvalidReply
	}
	return body, true, nil
}
