package server

import (
	"bytes"
	"errors"
	"strconv"

	"thistlequay/admission"
)

// Bounds on a reply.
const (
	maxReplyBytes     = 64 << 10
	maxReplyLineBytes = 128
	maxReplySizeBits  = 18 // of the size that it names
)

// errInvalidReply closes a connection to the index.
var errInvalidReply = errors.New("index: invalid reply")

var lineEnd = []byte("\r\n")

// replyOutcomes are the kinds of replies and what they say of the call. Only the first has a body.
var replyOutcomes = map[string]admission.Outcome{
	"HIT":    admission.Succeeded,
	"SHED":   admission.NotExecuted,
	"BROKEN": admission.Failed,
	"SLOW":   admission.Indeterminate,
	"NOBODY": admission.NotExecuted,
}

// indexReply is one reply: a line with the request's ID, the kind and, for one with a body, its size; then the body. It
// lies in what was read.
type indexReply struct {
	requestID []byte
	outcome   admission.Outcome
	body      []byte
	length    int // of the whole reply, line ends included
}

// receive takes the complete replies. What comes after the reply to the call that is out closes the connection.
func (p *pooledConnection) receive(data []byte) error {
	if len(p.partial) > 0 {
		p.partial = append(p.partial, data...)
		data = p.partial
	}
	for len(data) > 0 && p.call != nil {
		reply, isWhole, err := parseReply(data)
		if err != nil {
			return err
		}
		if !isWhole {
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
	case len(data) > 0: // more than its own: nothing that may come late is left to reach a later call
		return errConnectionDone
	}
	p.partial = nil
	p.release()
	return nil
}

// handleReply ends the call that is out; a reply to another is passed over. A run that nobody waits for ends at its
// call.
func (p *pooledConnection) handleReply(reply *indexReply) {
	call := p.call
	caller := call.request
	if string(reply.requestID) != caller.id {
		return
	}
	p.unlink()
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

// parseReply takes the first reply off data. isWhole is false where more is to come.
func parseReply(data []byte) (reply indexReply, isWhole bool, err error) {
	line, rest, hasLine := bytes.Cut(data, lineEnd)
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
	reply = indexReply{requestID: fields[0], outcome: outcome, length: len(line) + len(lineEnd)}
	if !hasBody {
		return reply, true, nil
	}
	reply.body, isWhole, err = parseReplyBody(fields[2], rest)
	reply.length += len(reply.body) + len(lineEnd)
	return reply, isWhole, err
}

// parseReplyBody takes a body of the size that the line named, and its line end, off data.
func parseReplyBody(size, data []byte) (body []byte, isWhole bool, err error) {
	length, err := strconv.ParseUint(string(size), 10, maxReplySizeBits)
	if err != nil || length > maxReplyBytes {
		return nil, false, errInvalidReply
	}
	if len(data) < int(length)+len(lineEnd) {
		return nil, false, nil
	}
	body = data[:length]
	if !bytes.HasPrefix(data[length:], lineEnd) {
		return nil, false, errInvalidReply
	}
	return body, true, nil
}
