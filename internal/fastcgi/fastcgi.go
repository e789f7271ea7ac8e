// Package fastcgi reads and writes FastCGI 1.0 records for the role Responder. It owns the state of one
// connection's records: what is open, and what has come of it so far. It does no I/O, holds no clock and
// must never decide what is answered; it is fed bytes in any split and calls its peer for what is whole.
package fastcgi

import (
	"encoding/binary"
	"errors"
	"slices"
)

const (
	version    = 1
	headerSize = 8

	typeBeginRequest    = 1
	typeAbortRequest    = 2
	typeEndRequest      = 3
	typeParams          = 4
	typeStdin           = 5
	typeStdout          = 6
	typeGetValues       = 9
	typeGetValuesResult = 10
	typeUnknownType     = 11

	roleResponder      = 1
	flagKeepConnection = 1

	// MostOpen is how many requests may be open on one connection.
	MaxOpenRequests = 32
)

// Ends of a request, as END_REQUEST tells them.
const (
	StatusRequestComplete = 0
	StatusOverloaded      = 2
	StatusUnknownRole     = 3
)

// What makes a connection not worth going on with.
var (
	ErrVersion         = errors.New("record of another version")
	ErrRecordOrder     = errors.New("record out of order")
	ErrLength          = errors.New("record or parameters beyond the bounds")
	ErrDuplicateID     = errors.New("request id is open already")
	ErrTooManyRequests = errors.New("too many open requests")
	errTruncated       = errors.New("name or value runs past the end")
)

// Handler is what a Parser calls. No call may feed the same Parser.
type Handler interface {
	HandleRequest(*Request)     // a request has come whole
	HandleBodyTooLong(*Request) // its body is beyond the buffer; what still comes of it is passed over once it is ended
	HandleAbort(*Request)       // its sender stopped waiting for it; it stays open until End
	Send([]byte)                // records that are owed at once
	HasCapacity() bool          // whether there is room for another request's buffers
	AcquireBuffer() []byte      // an empty buffer of the one size
	ReleaseBuffer([]byte)       // and its return
}

// Request is one open request.
type Request struct {
	ID             uint16
	KeepConnection bool   // the connection stays open after the answer
	Body           []byte // in a buffer of the peer's; whoever takes it sets nil here
	Owner          any    // the peer's own
	Overdue        bool   // the peer's own too
	params         []byte // name-value pairs
	state          int
}

const (
	stateParams = iota
	stateBody
	stateComplete
)

// Param gives the value of a parameter, nil where it did not come. It is good until Whole returns.
func (s *Request) Param(name string) (value []byte) {
	_ = forEachPair(s.params, func(n, v []byte) {
		if string(n) == name {
			value = v
		}
	})
	return value
}

// Params puts the values of these parameters into their places, nil where one did not come, and says whether one
// came twice. They are good until Whole returns.
func (s *Request) Params(names []string, values [][]byte) (twice bool) {
	_ = forEachPair(s.params, func(n, v []byte) {
		for i, name := range names {
			if string(n) == name {
				twice = twice || values[i] != nil
				values[i] = v
			}
		}
	})
	return twice
}

// Parser takes the bytes of one connection.
type Parser struct {
	requests       []*Request
	header         [headerSize]byte
	headerBytes    int // bytes of the header
	contentLeft    int // content still to come
	paddingLeft    int
	controlContent []byte // content of records that are handled whole: begin, abort, management
}

// maxControlContent bounds the records that are handled whole.
const maxControlContent = 1024

// OpenRequests is how many requests are open.
func (p *Parser) OpenRequests() int { return len(p.requests) }

// Idle says that the last byte fed ended a record and no request is open.
func (p *Parser) Idle() bool { return p.headerBytes == 0 && len(p.requests) == 0 }

// HasIncomplete says that a record or a request has begun and is not whole.
func (p *Parser) HasIncomplete() bool {
	return p.headerBytes > 0 || slices.ContainsFunc(p.requests, func(s *Request) bool { return s.state != stateComplete })
}

// IncompleteRequests gives the open requests that are not whole.
func (p *Parser) IncompleteRequests() (halves []*Request) {
	for _, s := range p.requests {
		if s.state != stateComplete {
			halves = append(halves, s)
		}
	}
	return halves
}

// Finish takes an answered request off the open ones. A buffer still with it goes back to the peer.
func (p *Parser) Finish(s *Request, peer Handler) {
	for i, o := range p.requests {
		if o == s {
			p.requests[i] = p.requests[len(p.requests)-1]
			p.requests[len(p.requests)-1] = nil
			p.requests = p.requests[:len(p.requests)-1]
			break
		}
	}
	p.releaseBuffers(s, peer)
}

func (p *Parser) releaseBuffers(s *Request, peer Handler) {
	for _, b := range [][]byte{s.params, s.Body} {
		if b != nil {
			peer.ReleaseBuffer(b)
		}
	}
	s.params, s.Body = nil, nil
}

// Abandon gives all open requests to each and forgets them: the connection is gone.
func (p *Parser) Abandon(peer Handler, each func(*Request)) {
	for _, s := range p.requests {
		each(s)
		p.releaseBuffers(s, peer)
	}
	p.requests = nil
}

// Feed takes the next bytes. An error is final for the connection.
func (p *Parser) Feed(data []byte, peer Handler) error {
	for len(data) > 0 {
		if p.headerBytes < headerSize {
			n := copy(p.header[p.headerBytes:], data)
			p.headerBytes += n
			data = data[n:]
			if p.headerBytes < headerSize {
				return nil
			}
			p.contentLeft, p.paddingLeft = int(binary.BigEndian.Uint16(p.header[4:])), int(p.header[6])
			p.controlContent = p.controlContent[:0]
			if err := p.beginRecord(); err != nil {
				return err
			}
			if p.contentLeft == 0 {
				if err := p.endRecord(peer); err != nil {
					return err
				}
			}
		}
		if n := min(p.contentLeft, len(data)); n > 0 {
			if err := p.takeContent(data[:n], peer); err != nil {
				return err
			}
			p.contentLeft -= n
			data = data[n:]
			if p.contentLeft == 0 {
				if err := p.endRecord(peer); err != nil {
					return err
				}
			}
		}
		if p.contentLeft == 0 {
			n := min(p.paddingLeft, len(data))
			p.paddingLeft -= n
			data = data[n:]
			if p.paddingLeft == 0 {
				p.headerBytes = 0
			}
		}
	}
	return nil
}

func (p *Parser) recordType() byte  { return p.header[1] }
func (p *Parser) requestID() uint16 { return binary.BigEndian.Uint16(p.header[2:]) }

func (p *Parser) request() *Request {
	for _, s := range p.requests {
		if s.ID == p.requestID() {
			return s
		}
	}
	return nil
}

// beginRecord looks at a header that is whole.
func (p *Parser) beginRecord() error {
	if p.header[0] != version {
		return ErrVersion
	}
	streamed := p.requestID() != 0 && (p.recordType() == typeParams || p.recordType() == typeStdin)
	if !streamed && p.contentLeft > maxControlContent {
		return ErrLength
	}
	if s := p.request(); s != nil {
		if p.recordType() == typeParams && s.state != stateParams || p.recordType() == typeStdin && s.state != stateBody {
			return ErrRecordOrder
		}
	}
	return nil
}

// takeContent takes a part of a record's content.
func (p *Parser) takeContent(data []byte, peer Handler) error {
	s := p.request()
	switch {
	case p.requestID() == 0 || p.recordType() == typeBeginRequest || p.recordType() == typeAbortRequest:
		p.controlContent = append(p.controlContent, data...)
	case s == nil: // of no open request: passed over, as the specification has it
	case p.recordType() == typeParams:
		if s.params == nil {
			s.params = peer.AcquireBuffer()
		}
		if len(s.params)+len(data) > cap(s.params) {
			return ErrLength
		}
		s.params = append(s.params, data...)
	case p.recordType() == typeStdin:
		if s.Body == nil {
			s.Body = peer.AcquireBuffer()
		}
		if len(data) > cap(s.Body)-len(s.Body) { // answered now, not when the last byte has come
			peer.HandleBodyTooLong(s)
			return nil
		}
		s.Body = append(s.Body, data...)
	}
	return nil
}

// endRecord acts on a record whose content is whole.
func (p *Parser) endRecord(peer Handler) error {
	length := int(binary.BigEndian.Uint16(p.header[4:]))
	if p.requestID() == 0 {
		return p.handleManagement(peer)
	}
	s := p.request()
	switch p.recordType() {
	case typeBeginRequest:
		switch {
		case length != 8:
			return ErrLength
		case s != nil:
			return ErrDuplicateID
		case binary.BigEndian.Uint16(p.controlContent) != roleResponder:
			peer.Send(AppendEndRequest(nil, p.requestID(), StatusUnknownRole))
			return nil
		case len(p.requests) >= MaxOpenRequests:
			return ErrTooManyRequests
		case !peer.HasCapacity(): // what else comes of it is passed over
			peer.Send(AppendEndRequest(nil, p.requestID(), StatusOverloaded))
			return nil
		}
		p.requests = append(p.requests, &Request{ID: p.requestID(), KeepConnection: p.controlContent[2]&flagKeepConnection != 0})
	case typeAbortRequest:
		if s != nil {
			peer.HandleAbort(s)
		}
	case typeParams:
		if s != nil && length == 0 {
			if err := forEachPair(s.params, func(_, _ []byte) {}); err != nil {
				return ErrLength
			}
			s.state = stateBody
		}
	case typeStdin:
		if s != nil && length == 0 {
			s.state = stateComplete
			peer.HandleRequest(s)
			if s.params != nil {
				peer.ReleaseBuffer(s.params)
				s.params = nil
			}
		}
	case typeEndRequest, typeStdout, 7, 8: // none of these is ours to read; the data stream is of no use to a Responder
	default:
		peer.Send(unknownTypeRecord(p.recordType()))
	}
	return nil
}

func (p *Parser) handleManagement(peer Handler) error {
	if p.recordType() != typeGetValues {
		peer.Send(unknownTypeRecord(p.recordType()))
		return nil
	}
	var out []byte
	err := forEachPair(p.controlContent, func(name, _ []byte) {
		if string(name) == "FCGI_MPXS_CONNS" { // how many are taken is decided item by item: no figure for that
			out = appendPair(out, name, "1")
		}
	})
	if err != nil {
		return ErrLength
	}
	peer.Send(append(appendHeader(nil, typeGetValuesResult, 0, len(out)), out...))
	return nil
}

func unknownTypeRecord(kind byte) []byte {
	return append(appendHeader(nil, typeUnknownType, 0, 8), kind, 0, 0, 0, 0, 0, 0, 0)
}

// forEachPair calls each for every name and value.
func forEachPair(data []byte, each func(name, value []byte)) error {
	for len(data) > 0 {
		n, rest, ok := readLength(data)
		v, rest, ok2 := readLength(rest)
		if !ok || !ok2 || n > len(rest) || v > len(rest)-n {
			return errTruncated
		}
		each(rest[:n], rest[n:n+v])
		data = rest[n+v:]
	}
	return nil
}

func readLength(data []byte) (n int, rest []byte, ok bool) {
	switch {
	case len(data) == 0:
		return 0, nil, false
	case data[0] < 0x80:
		return int(data[0]), data[1:], true
	case len(data) < 4:
		return 0, nil, false
	}
	return int(binary.BigEndian.Uint32(data) & 0x7fffffff), data[4:], true
}

func appendPair(dst, name []byte, value string) []byte {
	dst = append(dst, byte(len(name)), byte(len(value)))
	return append(append(dst, name...), value...)
}

func appendHeader(dst []byte, kind byte, id uint16, length int) []byte {
	return append(dst, version, kind, byte(id>>8), byte(id), byte(length>>8), byte(length), 0, 0)
}

// AppendStdout appends a part of an answer, in as many STDOUT records as it takes.
func AppendStdout(dst []byte, id uint16, data []byte) []byte {
	for len(data) > 0 {
		n := min(len(data), 0xffff)
		dst = append(appendHeader(dst, typeStdout, id, n), data[:n]...)
		data = data[n:]
	}
	return dst
}

// AppendEndRequest appends the end of an answer, which closes the request.
func AppendEndRequest(dst []byte, id uint16, how byte) []byte {
	if how == StatusRequestComplete {
		dst = appendHeader(dst, typeStdout, id, 0) // the end of the stream
	}
	return append(appendHeader(dst, typeEndRequest, id, 8), 0, 0, 0, 0, how, 0, 0, 0)
}
