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
	version   = 1
	headerLen = 8

	beginRequest    = 1
	abortRequest    = 2
	endRequest      = 3
	params          = 4
	stdin           = 5
	stdout          = 6
	getValues       = 9
	getValuesResult = 10
	unknownType     = 11

	responder = 1
	keepConn  = 1

	// MostOpen is how many requests may be open on one connection.
	MostOpen = 32
)

// Ends of a request, as END_REQUEST tells them.
const (
	Complete    = 0
	Overloaded  = 2
	UnknownRole = 3
)

// What makes a connection not worth going on with.
var (
	ErrVersion  = errors.New("record of another version")
	ErrOrder    = errors.New("record out of order")
	ErrLength   = errors.New("record or parameters beyond the bounds")
	ErrOpen     = errors.New("request id is open already")
	ErrTooMany  = errors.New("too many open requests")
	errTruncate = errors.New("name or value runs past the end")
)

// Peer is what a Parser calls. No call may feed the same Parser.
type Peer interface {
	Whole(*Stream)    // a request has come whole
	Overlong(*Stream) // its body is beyond the buffer; what still comes of it is passed over once it is ended
	Aborted(*Stream)  // its sender stopped waiting for it; it stays open until End
	Reply([]byte)     // records that are owed at once
	Room() bool       // whether there is room for another request's buffers
	Buffer() []byte   // an empty buffer of the one size
	Free([]byte)      // and its return
}

// Stream is one open request.
type Stream struct {
	ID     uint16
	Keep   bool   // the connection stays open after the answer
	Body   []byte // in a buffer of the peer's; whoever takes it sets nil here
	Mark   any    // the peer's own
	Late   bool   // the peer's own too
	fields []byte // name-value pairs
	state  int
}

const (
	inParams = iota
	inBody
	whole
)

// Field gives the value of a parameter, nil where it did not come. It is good until Whole returns.
func (s *Stream) Field(name string) (value []byte) {
	_ = pairs(s.fields, func(n, v []byte) {
		if string(n) == name {
			value = v
		}
	})
	return value
}

// Fields puts the values of these parameters into their places, nil where one did not come, and says whether one
// came twice. They are good until Whole returns.
func (s *Stream) Fields(names []string, values [][]byte) (twice bool) {
	_ = pairs(s.fields, func(n, v []byte) {
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
	open    []*Stream
	header  [headerLen]byte
	got     int // bytes of the header
	left    int // content still to come
	padding int
	small   []byte // content of records that are handled whole: begin, abort, management
}

// mostSmall bounds the records that are handled whole.
const mostSmall = 1024

// Open is how many requests are open.
func (p *Parser) Open() int { return len(p.open) }

// Clean says that the last byte fed ended a record and no request is open.
func (p *Parser) Clean() bool { return p.got == 0 && len(p.open) == 0 }

// Partial says that a record or a request has begun and is not whole.
func (p *Parser) Partial() bool {
	return p.got > 0 || slices.ContainsFunc(p.open, func(s *Stream) bool { return s.state != whole })
}

// Halves gives the open requests that are not whole.
func (p *Parser) Halves() (halves []*Stream) {
	for _, s := range p.open {
		if s.state != whole {
			halves = append(halves, s)
		}
	}
	return halves
}

// End takes an answered request off the open ones. A buffer still with it goes back to the peer.
func (p *Parser) End(s *Stream, peer Peer) {
	for i, o := range p.open {
		if o == s {
			p.open[i] = p.open[len(p.open)-1]
			p.open[len(p.open)-1] = nil
			p.open = p.open[:len(p.open)-1]
			break
		}
	}
	p.release(s, peer)
}

func (p *Parser) release(s *Stream, peer Peer) {
	for _, b := range [][]byte{s.fields, s.Body} {
		if b != nil {
			peer.Free(b)
		}
	}
	s.fields, s.Body = nil, nil
}

// Lost gives all open requests to each and forgets them: the connection is gone.
func (p *Parser) Lost(peer Peer, each func(*Stream)) {
	for _, s := range p.open {
		each(s)
		p.release(s, peer)
	}
	p.open = nil
}

// Feed takes the next bytes. An error is final for the connection.
func (p *Parser) Feed(data []byte, peer Peer) error {
	for len(data) > 0 {
		if p.got < headerLen {
			n := copy(p.header[p.got:], data)
			p.got += n
			data = data[n:]
			if p.got < headerLen {
				return nil
			}
			p.left, p.padding = int(binary.BigEndian.Uint16(p.header[4:])), int(p.header[6])
			p.small = p.small[:0]
			if err := p.opens(); err != nil {
				return err
			}
			if p.left == 0 {
				if err := p.ends(peer); err != nil {
					return err
				}
			}
		}
		if n := min(p.left, len(data)); n > 0 {
			if err := p.content(data[:n], peer); err != nil {
				return err
			}
			p.left -= n
			data = data[n:]
			if p.left == 0 {
				if err := p.ends(peer); err != nil {
					return err
				}
			}
		}
		if p.left == 0 {
			n := min(p.padding, len(data))
			p.padding -= n
			data = data[n:]
			if p.padding == 0 {
				p.got = 0
			}
		}
	}
	return nil
}

func (p *Parser) kind() byte { return p.header[1] }
func (p *Parser) id() uint16 { return binary.BigEndian.Uint16(p.header[2:]) }

func (p *Parser) stream() *Stream {
	for _, s := range p.open {
		if s.ID == p.id() {
			return s
		}
	}
	return nil
}

// opens looks at a header that is whole.
func (p *Parser) opens() error {
	if p.header[0] != version {
		return ErrVersion
	}
	streamed := p.id() != 0 && (p.kind() == params || p.kind() == stdin)
	if !streamed && p.left > mostSmall {
		return ErrLength
	}
	if s := p.stream(); s != nil {
		if p.kind() == params && s.state != inParams || p.kind() == stdin && s.state != inBody {
			return ErrOrder
		}
	}
	return nil
}

// content takes a part of a record's content.
func (p *Parser) content(data []byte, peer Peer) error {
	s := p.stream()
	switch {
	case p.id() == 0 || p.kind() == beginRequest || p.kind() == abortRequest:
		p.small = append(p.small, data...)
	case s == nil: // of no open request: passed over, as the specification has it
	case p.kind() == params:
		if s.fields == nil {
			s.fields = peer.Buffer()
		}
		if len(s.fields)+len(data) > cap(s.fields) {
			return ErrLength
		}
		s.fields = append(s.fields, data...)
	case p.kind() == stdin:
		if s.Body == nil {
			s.Body = peer.Buffer()
		}
		if len(data) > cap(s.Body)-len(s.Body) { // answered now, not when the last byte has come
			peer.Overlong(s)
			return nil
		}
		s.Body = append(s.Body, data...)
	}
	return nil
}

// ends acts on a record whose content is whole.
func (p *Parser) ends(peer Peer) error {
	length := int(binary.BigEndian.Uint16(p.header[4:]))
	if p.id() == 0 {
		return p.management(peer)
	}
	s := p.stream()
	switch p.kind() {
	case beginRequest:
		switch {
		case length != 8:
			return ErrLength
		case s != nil:
			return ErrOpen
		case binary.BigEndian.Uint16(p.small) != responder:
			peer.Reply(AppendEnd(nil, p.id(), UnknownRole))
			return nil
		case len(p.open) >= MostOpen:
			return ErrTooMany
		case !peer.Room(): // what else comes of it is passed over
			peer.Reply(AppendEnd(nil, p.id(), Overloaded))
			return nil
		}
		p.open = append(p.open, &Stream{ID: p.id(), Keep: p.small[2]&keepConn != 0})
	case abortRequest:
		if s != nil {
			peer.Aborted(s)
		}
	case params:
		if s != nil && length == 0 {
			if err := pairs(s.fields, func(_, _ []byte) {}); err != nil {
				return ErrLength
			}
			s.state = inBody
		}
	case stdin:
		if s != nil && length == 0 {
			s.state = whole
			peer.Whole(s)
			if s.fields != nil {
				peer.Free(s.fields)
				s.fields = nil
			}
		}
	case endRequest, stdout, 7, 8: // none of these is ours to read; the data stream is of no use to a Responder
	default:
		peer.Reply(unknown(p.kind()))
	}
	return nil
}

func (p *Parser) management(peer Peer) error {
	if p.kind() != getValues {
		peer.Reply(unknown(p.kind()))
		return nil
	}
	var out []byte
	err := pairs(p.small, func(name, _ []byte) {
		if string(name) == "FCGI_MPXS_CONNS" { // how many are taken is decided item by item: no figure for that
			out = appendPair(out, name, "1")
		}
	})
	if err != nil {
		return ErrLength
	}
	peer.Reply(append(appendHeader(nil, getValuesResult, 0, len(out)), out...))
	return nil
}

func unknown(kind byte) []byte {
	return append(appendHeader(nil, unknownType, 0, 8), kind, 0, 0, 0, 0, 0, 0, 0)
}

// pairs calls each for every name and value.
func pairs(data []byte, each func(name, value []byte)) error {
	for len(data) > 0 {
		n, rest, ok := pairLen(data)
		v, rest, ok2 := pairLen(rest)
		if !ok || !ok2 || n > len(rest) || v > len(rest)-n {
			return errTruncate
		}
		each(rest[:n], rest[n:n+v])
		data = rest[n+v:]
	}
	return nil
}

func pairLen(data []byte) (n int, rest []byte, ok bool) {
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

// AppendOut appends a part of an answer, in as many STDOUT records as it takes.
func AppendOut(dst []byte, id uint16, data []byte) []byte {
	for len(data) > 0 {
		n := min(len(data), 0xffff)
		dst = append(appendHeader(dst, stdout, id, n), data[:n]...)
		data = data[n:]
	}
	return dst
}

// AppendEnd appends the end of an answer, which closes the request.
func AppendEnd(dst []byte, id uint16, how byte) []byte {
	if how == Complete {
		dst = appendHeader(dst, stdout, id, 0) // the end of the stream
	}
	return append(appendHeader(dst, endRequest, id, 8), 0, 0, 0, 0, how, 0, 0, 0)
}
