// Package uwsgi reads requests of the uwsgi protocol from bytes in any pieces and writes answers. No I/O.
//
// It owns the packet header (modifier1, size in 16 little-endian bits, modifier2), the block of variables and the body
// by CONTENT_LENGTH, with a bound on each. It must never take more than its bounds allow, nor read past one request:
// a connection carries one.
package uwsgi

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strconv"
)

// Bounds of one request.
const (
	MaxVariables  = 64      // variables
	MaxNameBytes  = 128     // bytes of a name
	MaxBlockBytes = 8 << 10 // bytes of all variables
	headerSize    = 4
)

// Modifiers that are understood.
const (
	ModifierRequest = 0   // a request with variables of WSGI
	ModifierPing    = 100 // asks whether anybody is there
)

// StatusError is why a request cannot be taken; its text is the status that tells so.
type StatusError string

func (f StatusError) Error() string { return string(f) }

// Faults by name.
const (
	ErrModifier            = StatusError("501 Modifier is not supported")
	ErrBlockTooLarge       = StatusError("431 Variables too large")
	ErrUnreadableVariables = StatusError("400 Variables that cannot be read")
	ErrContentLength       = StatusError("400 Content-Length")
	ErrBodyTooLong         = StatusError("413 Body too long")
)

// errTrailingBytes: bytes came after the end of the one request.
var errTrailingBytes = errors.New("bytes after the end of the request")

// Parser reads one request. Its zero value, with the bound on bodies set, is ready.
type Parser struct {
	MaxBodyBytes int

	Modifier      byte // once the header is there
	header        [headerSize]byte
	headerBytes   int // bytes of the header
	block         []byte
	blockSize     int // of the block
	names         [MaxVariables][2]int32
	values        [MaxVariables][2]int32
	variableCount int
	contentLength int // of the body
	body          []byte
	state         state
}

type state int

const (
	stateHeader state = iota
	stateVariables
	stateBody
	stateComplete
)

// Started says whether anything of a request has come, Whole whether all of it has.
func (p *Parser) Started() bool { return p.headerBytes > 0 }

// Complete says whether the request, or the ping, is there in full.
func (p *Parser) Complete() bool { return p.state == stateComplete }

// Body is the body, good until the parser is used again.
func (p *Parser) Body() []byte { return p.body }

// Feed reads on. A Fault tells the status to answer with; any other error wants the connection closed.
func (p *Parser) Feed(data []byte) error {
	for len(data) > 0 {
		switch p.state {
		case stateHeader:
			n := copy(p.header[p.headerBytes:], data)
			p.headerBytes += n
			if data = data[n:]; p.headerBytes < headerSize {
				return nil
			}
			p.Modifier, p.blockSize = p.header[0], int(binary.LittleEndian.Uint16(p.header[1:]))
			switch {
			case p.Modifier == ModifierPing && p.blockSize == 0:
				p.state = stateComplete
			case p.Modifier != ModifierRequest || p.header[3] != 0:
				return ErrModifier
			case p.blockSize > MaxBlockBytes:
				return ErrBlockTooLarge
			default:
				p.state = stateVariables
				if err := p.beginBody(); err != nil {
					return err
				}
			}
		case stateVariables:
			n := min(len(data), p.blockSize-len(p.block))
			p.block, data = append(p.block, data[:n]...), data[n:]
			if err := p.beginBody(); err != nil {
				return err
			}
		case stateBody:
			n := min(len(data), p.contentLength-len(p.body))
			p.body, data = append(p.body, data[:n]...), data[n:]
			if len(p.body) == p.contentLength {
				p.state = stateComplete
			}
		case stateComplete:
			return errTrailingBytes
		}
	}
	return nil
}

// beginBody goes on to the body once the block of variables is there.
func (p *Parser) beginBody() error {
	if len(p.block) < p.blockSize {
		return nil
	}
	if err := p.indexVariables(); err != nil {
		return err
	}
	if text := p.Variable("CONTENT_LENGTH"); len(text) > 0 {
		n, err := strconv.ParseUint(string(text), 10, 31)
		if err != nil {
			return ErrContentLength
		}
		if p.contentLength = int(n); p.contentLength > p.MaxBodyBytes {
			return ErrBodyTooLong
		}
	}
	if p.state = stateBody; p.contentLength == 0 {
		p.state = stateComplete
	}
	return nil
}

// indexVariables finds the variables in their block.
func (p *Parser) indexVariables() error {
	text := func(at int) (from, to int, ok bool) {
		if at+2 > len(p.block) {
			return 0, 0, false
		}
		from = at + 2
		to = from + int(binary.LittleEndian.Uint16(p.block[at:]))
		return from, to, to <= len(p.block)
	}
	for at := 0; at < len(p.block); p.variableCount++ {
		from, to, ok := text(at)
		if !ok || to == from || to-from > MaxNameBytes {
			return ErrUnreadableVariables
		}
		if p.variableCount == MaxVariables {
			return ErrBlockTooLarge
		}
		p.names[p.variableCount] = [2]int32{int32(from), int32(to)}
		if from, to, ok = text(to); !ok {
			return ErrUnreadableVariables
		}
		p.values[p.variableCount] = [2]int32{int32(from), int32(to)}
		at = to
	}
	return nil
}

// Variable gives a variable's value, nil where it is not there. The last of a name counts, as it does where requests are put into a
// table.
func (p *Parser) Variable(name string) []byte {
	for i := p.variableCount - 1; i >= 0; i-- {
		if n := p.names[i]; string(p.block[n[0]:n[1]]) == name {
			v := p.values[i]
			return p.block[v[0]:v[1]]
		}
	}
	return nil
}

// Variables gives the values of several names, and whether any of them came twice.
func (p *Parser) Variables(names []string, values [][]byte) (twice bool) {
	for i := range p.variableCount {
		n, v := p.names[i], p.values[i]
		for k, name := range names {
			if string(p.block[n[0]:n[1]]) == name {
				twice = twice || values[k] != nil
				values[k] = p.block[v[0]:v[1]]
			}
		}
	}
	return twice
}

// AppendPong answers a ping.
func AppendPong(to []byte) []byte { return append(to, ModifierPing, 0, 0, 0) }

// AppendResponse writes an answer as HTTP; the connection's end ends it.
func AppendResponse(to []byte, status, headers string, body []byte) []byte {
	to = append(append(append(to, "HTTP/1.0 "...), status...), "\r\n"...)
	to = append(append(to, headers...), "Content-Length: "...)
	to = append(strconv.AppendInt(to, int64(len(body)), 10), "\r\n\r\n"...)
	return append(to, body...)
}

// AppendRequest writes a request, for servers that runs go to and for stand-ins. Names and values come in pairs.
func AppendRequest(to []byte, pairs [][2]string, body []byte) ([]byte, error) {
	size := 0
	for _, p := range pairs {
		size += 4 + len(p[0]) + len(p[1])
	}
	if size > MaxBlockBytes {
		return to, ErrBlockTooLarge
	}
	to = append(to, ModifierRequest, byte(size), byte(size>>8), 0)
	for _, p := range pairs {
		for _, text := range p {
			to = append(binary.LittleEndian.AppendUint16(to, uint16(len(text))), text...)
		}
	}
	return append(to, body...), nil
}

// ParseResponse reads an answer as HTTP from what has come so far; whole is false where more must come. Closed says that nothing will.
func ParseResponse(data []byte, closed bool, most int) (status int, body []byte, whole bool, err error) {
	head, rest, there := bytes.Cut(data, []byte("\r\n\r\n"))
	if !there {
		if closed || len(data) > most {
			return 0, nil, false, ErrUnreadableVariables
		}
		return 0, nil, false, nil
	}
	lines := bytes.Split(head, []byte("\r\n"))
	word := bytes.Fields(lines[0])
	if len(word) < 2 || !bytes.HasPrefix(word[0], []byte("HTTP/1.")) {
		return 0, nil, false, ErrUnreadableVariables
	}
	if status, err = strconv.Atoi(string(word[1])); err != nil || status < 100 || status > 599 {
		return 0, nil, false, ErrUnreadableVariables
	}
	length := -1
	for _, line := range lines[1:] {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Content-Length")) {
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 31)
			if err != nil || length >= 0 && length != int(n) {
				return 0, nil, false, ErrContentLength
			}
			length = int(n)
		}
	}
	switch {
	case length > most || len(rest) > most:
		return 0, nil, false, ErrBodyTooLong
	case length >= 0 && len(rest) > length:
		return 0, nil, false, ErrContentLength
	case length >= 0 && len(rest) == length, length < 0 && closed:
		return status, rest, true, nil
	case closed: // cut off
		return 0, nil, false, ErrContentLength
	}
	return 0, nil, false, nil
}
