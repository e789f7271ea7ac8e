// Package uwsgi reads requests of the uwsgi protocol from bytes in any split and writes responses. It does no I/O.
//
// It waits for later work: nothing uses it yet.
//
// It owns the packet header, the block of variables and the body by CONTENT_LENGTH, with a bound on each. It must never
// take more than its bounds allow, nor read past one request: a connection carries one. Nothing here is safe for
// concurrent use.
package uwsgi

import (
	"encoding/binary"
	"errors"
	"strconv"
)

// Bounds of one request.
const (
	MaxVariables  = 64
	MaxNameBytes  = 128     // of a variable
	MaxBlockBytes = 8 << 10 // of all variables

	// contentLengthBits bounds CONTENT_LENGTH, so that it fits an int everywhere.
	contentLengthBits = 31
)

// headerSize is that of a packet: modifier1 (8 bits), size of the block (16, little-endian), modifier2 (8).
const headerSize = 4

// Values of modifier1 that are understood.
const (
	ModifierRequest = 0   // a request with the variables of WSGI
	ModifierPing    = 100 // asks whether anybody is there
)

// contentLengthName is the variable that has the length of the body.
const contentLengthName = "CONTENT_LENGTH"

// StatusError says why a request or a response can't be taken. Its text is the HTTP status line to answer with.
type StatusError string

// Error returns the status line.
func (e StatusError) Error() string { return string(e) }

// The status errors.
const (
	ErrModifier            = StatusError("501 Modifier is not supported")
	ErrBlockTooLarge       = StatusError("431 Variables too large")
	ErrUnreadableVariables = StatusError("400 Variables that cannot be read")
	ErrContentLength       = StatusError("400 Content-Length")
	ErrBodyTooLong         = StatusError("413 Body too long")
)

// errTrailingBytes is returned for bytes after the end of the one request.
var errTrailingBytes = errors.New("bytes after the end of the request")

// Parser reads one request. Its zero value with a bound on the body is ready for the first byte.
type Parser struct {
	MaxBodyBytes int  // that the body may have; 0 for none
	Modifier     byte // modifier1 of the packet, valid once its header is there

	state         parserState
	header        [headerSize]byte
	headerBytes   int // that have come of the header
	block         []byte
	blockSize     int // as the header says
	names         [MaxVariables]span
	values        [MaxVariables]span
	variableCount int
	contentLength int // of the body
	body          []byte
}

// span is a part of the block, from its first byte to the one after its last.
type span struct{ from, to int32 }

// parserState says which part of the request comes next.
type parserState int

const (
	stateHeader parserState = iota
	stateVariables
	stateBody
	stateComplete
)

// Started reports whether anything of the request has come.
func (p *Parser) Started() bool { return p.headerBytes > 0 }

// Complete reports whether the request, or the ping, is there in full.
func (p *Parser) Complete() bool { return p.state == stateComplete }

// Body returns what has come of the body. It is valid until the parser is fed again.
func (p *Parser) Body() []byte { return p.body }

// Feed takes the next bytes of the connection, in any split. A StatusError is to be answered; after any other error the
// connection is to be closed without an answer.
func (p *Parser) Feed(data []byte) error {
	for len(data) > 0 {
		var err error
		switch p.state {
		case stateHeader:
			data, err = p.feedHeader(data)
		case stateVariables:
			data, err = p.feedVariables(data)
		case stateBody:
			data = p.feedBody(data)
		case stateComplete:
			err = errTrailingBytes
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// feedHeader takes bytes of the header and returns the others.
func (p *Parser) feedHeader(data []byte) ([]byte, error) {
	taken := copy(p.header[p.headerBytes:], data)
	p.headerBytes += taken
	data = data[taken:]
	if p.headerBytes < headerSize {
		return data, nil
	}
	p.Modifier = p.header[0]
	p.blockSize = int(binary.LittleEndian.Uint16(p.header[1:]))
	modifier2 := p.header[3]
	switch {
	case p.Modifier == ModifierPing && p.blockSize == 0:
		p.state = stateComplete
		return data, nil
	case p.Modifier != ModifierRequest || modifier2 != 0:
		return data, ErrModifier
	case p.blockSize > MaxBlockBytes:
		return data, ErrBlockTooLarge
	}
	p.state = stateVariables
	return data, p.endVariables()
}

// feedVariables takes bytes of the block of variables and returns the others.
func (p *Parser) feedVariables(data []byte) ([]byte, error) {
	taken := min(len(data), p.blockSize-len(p.block))
	p.block = append(p.block, data[:taken]...)
	return data[taken:], p.endVariables()
}

// feedBody takes bytes of the body and returns the others.
func (p *Parser) feedBody(data []byte) []byte {
	taken := min(len(data), p.contentLength-len(p.body))
	p.body = append(p.body, data[:taken]...)
	if len(p.body) == p.contentLength {
		p.state = stateComplete
	}
	return data[taken:]
}

// endVariables goes on to the body once the block of variables is there.
func (p *Parser) endVariables() error {
	if len(p.block) < p.blockSize {
		return nil
	}
	if err := p.indexVariables(); err != nil {
		return err
	}
	if text := p.Variable(contentLengthName); len(text) > 0 {
		length, err := strconv.ParseUint(string(text), 10, contentLengthBits)
		if err != nil {
			return ErrContentLength
		}
		p.contentLength = int(length)
		if p.contentLength > p.MaxBodyBytes {
			return ErrBodyTooLong
		}
	}
	p.state = stateBody
	if p.contentLength == 0 {
		p.state = stateComplete
	}
	return nil
}

// indexVariables finds names and values in the block: each is a length (16 bits, little-endian) and its bytes.
func (p *Parser) indexVariables() error {
	for at := int32(0); int(at) < len(p.block); p.variableCount++ {
		name, ok := p.spanAt(at)
		length := name.to - name.from
		if !ok || length == 0 || length > MaxNameBytes {
			return ErrUnreadableVariables
		}
		if p.variableCount == MaxVariables {
			return ErrBlockTooLarge
		}
		value, ok := p.spanAt(name.to)
		if !ok {
			return ErrUnreadableVariables
		}
		p.names[p.variableCount] = name
		p.values[p.variableCount] = value
		at = value.to
	}
	return nil
}

// spanAt reads the length at a place of the block and returns where the bytes after it lie.
func (p *Parser) spanAt(at int32) (found span, ok bool) {
	const lengthSize = 2
	if int(at)+lengthSize > len(p.block) {
		return span{}, false
	}
	found.from = at + lengthSize
	found.to = found.from + int32(binary.LittleEndian.Uint16(p.block[at:]))
	return found, int(found.to) <= len(p.block)
}

func (p *Parser) textAt(at span) []byte { return p.block[at.from:at.to] }

// Variable returns a variable's value, nil if it is not there. If it came twice the last value counts, as it does where
// requests are put into a table.
func (p *Parser) Variable(name string) []byte {
	for i := p.variableCount - 1; i >= 0; i-- {
		if string(p.textAt(p.names[i])) == name {
			return p.textAt(p.values[i])
		}
	}
	return nil
}

// Variables puts the value of each named variable into the same place of values, and leaves the place of one that is
// not there as it is. It reports whether any of them came twice; the last value counts.
func (p *Parser) Variables(names []string, values [][]byte) (repeated bool) {
	for i := range p.variableCount {
		for k, name := range names {
			if string(p.textAt(p.names[i])) == name {
				repeated = repeated || values[k] != nil
				values[k] = p.textAt(p.values[i])
			}
		}
	}
	return repeated
}

// AppendRequest appends a request, for servers that requests are forwarded to and for emulators. Names and values come
// in pairs. The error is ErrBlockTooLarge.
func AppendRequest(dst []byte, pairs [][2]string, body []byte) ([]byte, error) {
	size := 0
	for _, pair := range pairs {
		size += 4 + len(pair[0]) + len(pair[1]) // with two lengths of two bytes
	}
	if size > MaxBlockBytes {
		return dst, ErrBlockTooLarge
	}
	dst = append(dst, ModifierRequest)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(size))
	dst = append(dst, 0)
	for _, pair := range pairs {
		for _, text := range pair {
			dst = binary.LittleEndian.AppendUint16(dst, uint16(len(text)))
			dst = append(dst, text...)
		}
	}
	return append(dst, body...), nil
}
