// Package uwsgi parses and encodes requests and responses of the uwsgi protocol. It does no I/O: Parser.Feed accepts
// bytes that are split anywhere.
//
// No other package uses it yet; it is meant for later work.
//
// It handles the packet header, the block of variables and the body, whose length is CONTENT_LENGTH, with a bound on
// each of them. It must never store more than these bounds allow, nor read past the end of the request, because a
// connection carries only one. Nothing here is safe for concurrent use.
package uwsgi

import (
	"encoding/binary"
	"errors"
	"strconv"
)

// Bounds of one request.
const (
	MaxVariables  = 64
	MaxNameBytes  = 128     // of the name of a variable
	MaxBlockBytes = 8 << 10 // of the block of variables

	// contentLengthBits is the maximum size of CONTENT_LENGTH in bits, so that it fits an int on every platform.
	contentLengthBits = 31
)

// headerSize is the size of a packet header in bytes: modifier1 (8 bits), the size of the block of variables (16 bits,
// little-endian) and modifier2 (8 bits).
const headerSize = 4

// Supported values of modifier1.
const (
	ModifierRequest = 0   // a request with WSGI variables
	ModifierPing    = 100 // a ping, which checks that the server responds
)

// contentLengthVariable is the name of the variable that holds the length of the body in bytes.
const contentLengthVariable = "CONTENT_LENGTH"

// StatusError is the reason why a request or a response is invalid. Its text is the HTTP status line to respond with.
type StatusError string

// Error returns the status line.
func (e StatusError) Error() string { return string(e) }

// Status errors of Parser.Feed, ParseResponse and AppendRequest.
const (
	ErrUnsupportedModifier  = StatusError("501 Modifier is not supported")
	ErrBlockTooLarge        = StatusError("431 Variables too large")
	ErrMalformedVariables   = StatusError("400 Variables that cannot be read")
	ErrInvalidContentLength = StatusError("400 Content-Length")
	ErrBodyTooLong          = StatusError("413 Body too long")
)

// errTrailingBytes is returned for bytes after the end of the request.
var errTrailingBytes = errors.New("bytes after the end of the request")

// Parser parses one request. Its zero value is ready for the first byte of a request without a body; set MaxBodyBytes
// first to accept a body.
type Parser struct {
	MaxBodyBytes int  // maximum size of the body; with 0, no body is accepted
	Modifier     byte // modifier1 of the packet, valid once the header is complete

	state         parserState
	header        [headerSize]byte
	headerBytes   int // received bytes of the header
	block         []byte
	blockSize     int // size of the block in bytes, from the header
	names         [MaxVariables]span
	values        [MaxVariables]span
	variableCount int
	contentLength int // length of the body in bytes
	body          []byte
}

// span is a range of the block of variables: the offset of its first byte and the offset after its last.
type span struct{ start, end int32 }

// parserState is the part of the request that the parser expects next.
type parserState int

const (
	stateHeader parserState = iota
	stateVariables
	stateBody
	stateComplete
)

// HasStarted reports whether any byte of the request has been received.
func (p *Parser) HasStarted() bool { return p.headerBytes > 0 }

// IsComplete reports whether the request or the ping has been received in full.
func (p *Parser) IsComplete() bool { return p.state == stateComplete }

// Body returns the part of the body that has been received. It is valid until the next call of Feed.
func (p *Parser) Body() []byte { return p.body }

// Feed parses the next bytes of the connection, which may be split anywhere. A StatusError must be sent as the
// response; after any other error the connection must be closed without a response.
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

// feedHeader consumes bytes of the header and returns the rest of data.
func (p *Parser) feedHeader(data []byte) ([]byte, error) {
	consumed := copy(p.header[p.headerBytes:], data)
	p.headerBytes += consumed
	data = data[consumed:]
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
		return data, ErrUnsupportedModifier
	case p.blockSize > MaxBlockBytes:
		return data, ErrBlockTooLarge
	}
	p.state = stateVariables
	return data, p.endVariables()
}

// feedVariables consumes bytes of the block of variables and returns the rest of data.
func (p *Parser) feedVariables(data []byte) ([]byte, error) {
	consumed := min(len(data), p.blockSize-len(p.block))
	p.block = append(p.block, data[:consumed]...)
	return data[consumed:], p.endVariables()
}

// feedBody consumes bytes of the body and returns the rest of data.
func (p *Parser) feedBody(data []byte) []byte {
	consumed := min(len(data), p.contentLength-len(p.body))
	p.body = append(p.body, data[:consumed]...)
	if len(p.body) == p.contentLength {
		p.state = stateComplete
	}
	return data[consumed:]
}

// endVariables parses the block of variables and advances to the body, once the block is complete.
func (p *Parser) endVariables() error {
	if len(p.block) < p.blockSize {
		return nil
	}
	if err := p.indexVariables(); err != nil {
		return err
	}
	if text := p.Variable(contentLengthVariable); len(text) > 0 {
		length, err := strconv.ParseUint(string(text), 10, contentLengthBits)
		if err != nil {
			return ErrInvalidContentLength
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

// indexVariables locates the names and values in the block. Each is encoded as a length (16 bits, little-endian) and
// that many bytes.
func (p *Parser) indexVariables() error {
	for offset := int32(0); int(offset) < len(p.block); p.variableCount++ {
		name, ok := p.readSpan(offset)
		length := name.end - name.start
		if !ok || length == 0 || length > MaxNameBytes {
			return ErrMalformedVariables
		}
		if p.variableCount == MaxVariables {
			return ErrBlockTooLarge
		}
		value, ok := p.readSpan(name.end)
		if !ok {
			return ErrMalformedVariables
		}
		p.names[p.variableCount] = name
		p.values[p.variableCount] = value
		offset = value.end
	}
	return nil
}

// readSpan decodes the length at an offset of the block and returns the span of the bytes that follow it. ok is false
// if the block ends before them.
func (p *Parser) readSpan(offset int32) (found span, ok bool) {
	const lengthSize = 2
	if int(offset)+lengthSize > len(p.block) {
		return span{}, false
	}
	found.start = offset + lengthSize
	found.end = found.start + int32(binary.LittleEndian.Uint16(p.block[offset:]))
	return found, int(found.end) <= len(p.block)
}

// bytesOf returns the bytes of a span of the block.
func (p *Parser) bytesOf(s span) []byte { return p.block[s.start:s.end] }

// Variable returns the value of a variable, or nil if the request does not have it. If the variable is repeated, the
// last value counts, as it does in implementations that store the variables in a map.
func (p *Parser) Variable(name string) []byte {
	for i := p.variableCount - 1; i >= 0; i-- {
		if string(p.bytesOf(p.names[i])) == name {
			return p.bytesOf(p.values[i])
		}
	}
	return nil
}

// Variables stores the value of each named variable at the same index of values, and leaves values unchanged at the
// index of a variable that the request does not have. It reports whether any of the named variables is repeated; the
// last value counts.
func (p *Parser) Variables(names []string, values [][]byte) (hasRepeated bool) {
	for i := range p.variableCount {
		for k, name := range names {
			if string(p.bytesOf(p.names[i])) == name {
				hasRepeated = hasRepeated || values[k] != nil
				values[k] = p.bytesOf(p.values[i])
			}
		}
	}
	return hasRepeated
}

// AppendRequest appends a request to dst, for forwarding to another server and for emulators. Each of pairs is the name
// and the value of a variable. It returns ErrBlockTooLarge if the variables exceed MaxBlockBytes.
func AppendRequest(dst []byte, pairs [][2]string, body []byte) ([]byte, error) {
	size := 0
	for _, pair := range pairs {
		size += 4 + len(pair[0]) + len(pair[1]) // name and value each have a length of two bytes
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
