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
	MostVars   = 64      // variables
	MostName   = 128     // bytes of a name
	MostBlock  = 8 << 10 // bytes of all variables
	headerSize = 4
)

// Modifiers that are understood.
const (
	Request = 0   // a request with variables of WSGI
	Ping    = 100 // asks whether anybody is there
)

// Fault is why a request cannot be taken; its text is the status that tells so.
type Fault string

func (f Fault) Error() string { return string(f) }

// Faults by name.
const (
	ErrModifier = Fault("501 Modifier is not supported")
	ErrBlock    = Fault("431 Variables too large")
	ErrVars     = Fault("400 Variables that cannot be read")
	ErrLength   = Fault("400 Content-Length")
	ErrBody     = Fault("413 Body too long")
)

// errOver: bytes came after the end of the one request.
var errOver = errors.New("bytes after the end of the request")

// Parser reads one request. Its zero value, with the bound on bodies set, is ready.
type Parser struct {
	MostBody int

	Modifier byte // once the header is there
	head     [headerSize]byte
	have     int // bytes of the header
	block    []byte
	size     int // of the block
	names    [MostVars][2]int32
	values   [MostVars][2]int32
	vars     int
	length   int // of the body
	body     []byte
	state    state
}

type state int

const (
	header state = iota
	variables
	content
	whole
)

// Begun says whether anything of a request has come, Whole whether all of it has.
func (p *Parser) Begun() bool { return p.have > 0 }

// Whole says whether the request, or the ping, is there in full.
func (p *Parser) Whole() bool { return p.state == whole }

// Body is the body, good until the parser is used again.
func (p *Parser) Body() []byte { return p.body }

// Feed reads on. A Fault tells the status to answer with; any other error wants the connection closed.
func (p *Parser) Feed(data []byte) error {
	for len(data) > 0 {
		switch p.state {
		case header:
			n := copy(p.head[p.have:], data)
			p.have += n
			if data = data[n:]; p.have < headerSize {
				return nil
			}
			p.Modifier, p.size = p.head[0], int(binary.LittleEndian.Uint16(p.head[1:]))
			switch {
			case p.Modifier == Ping && p.size == 0:
				p.state = whole
			case p.Modifier != Request || p.head[3] != 0:
				return ErrModifier
			case p.size > MostBlock:
				return ErrBlock
			default:
				p.state = variables
				if err := p.begun(); err != nil {
					return err
				}
			}
		case variables:
			n := min(len(data), p.size-len(p.block))
			p.block, data = append(p.block, data[:n]...), data[n:]
			if err := p.begun(); err != nil {
				return err
			}
		case content:
			n := min(len(data), p.length-len(p.body))
			p.body, data = append(p.body, data[:n]...), data[n:]
			if len(p.body) == p.length {
				p.state = whole
			}
		case whole:
			return errOver
		}
	}
	return nil
}

// begun goes on to the body once the block of variables is there.
func (p *Parser) begun() error {
	if len(p.block) < p.size {
		return nil
	}
	if err := p.read(); err != nil {
		return err
	}
	if text := p.Var("CONTENT_LENGTH"); len(text) > 0 {
		n, err := strconv.ParseUint(string(text), 10, 31)
		if err != nil {
			return ErrLength
		}
		if p.length = int(n); p.length > p.MostBody {
			return ErrBody
		}
	}
	if p.state = content; p.length == 0 {
		p.state = whole
	}
	return nil
}

// read finds the variables in their block.
func (p *Parser) read() error {
	text := func(at int) (from, to int, ok bool) {
		if at+2 > len(p.block) {
			return 0, 0, false
		}
		from = at + 2
		to = from + int(binary.LittleEndian.Uint16(p.block[at:]))
		return from, to, to <= len(p.block)
	}
	for at := 0; at < len(p.block); p.vars++ {
		from, to, ok := text(at)
		if !ok || to == from || to-from > MostName {
			return ErrVars
		}
		if p.vars == MostVars {
			return ErrBlock
		}
		p.names[p.vars] = [2]int32{int32(from), int32(to)}
		if from, to, ok = text(to); !ok {
			return ErrVars
		}
		p.values[p.vars] = [2]int32{int32(from), int32(to)}
		at = to
	}
	return nil
}

// Var gives a variable's value, nil where it is not there. The last of a name counts, as it does where requests are put into a
// table.
func (p *Parser) Var(name string) []byte {
	for i := p.vars - 1; i >= 0; i-- {
		if n := p.names[i]; string(p.block[n[0]:n[1]]) == name {
			v := p.values[i]
			return p.block[v[0]:v[1]]
		}
	}
	return nil
}

// Fields gives the values of several names, and whether any of them came twice.
func (p *Parser) Fields(names []string, values [][]byte) (twice bool) {
	for i := range p.vars {
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
func AppendPong(to []byte) []byte { return append(to, Ping, 0, 0, 0) }

// AppendAnswer writes an answer as HTTP; the connection's end ends it.
func AppendAnswer(to []byte, status, headers string, body []byte) []byte {
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
	if size > MostBlock {
		return to, ErrBlock
	}
	to = append(to, Request, byte(size), byte(size>>8), 0)
	for _, p := range pairs {
		for _, text := range p {
			to = append(binary.LittleEndian.AppendUint16(to, uint16(len(text))), text...)
		}
	}
	return append(to, body...), nil
}

// Reply reads an answer as HTTP from what has come so far; whole is false where more must come. Closed says that nothing will.
func Reply(data []byte, closed bool, most int) (status int, body []byte, whole bool, err error) {
	head, rest, there := bytes.Cut(data, []byte("\r\n\r\n"))
	if !there {
		if closed || len(data) > most {
			return 0, nil, false, ErrVars
		}
		return 0, nil, false, nil
	}
	lines := bytes.Split(head, []byte("\r\n"))
	word := bytes.Fields(lines[0])
	if len(word) < 2 || !bytes.HasPrefix(word[0], []byte("HTTP/1.")) {
		return 0, nil, false, ErrVars
	}
	if status, err = strconv.Atoi(string(word[1])); err != nil || status < 100 || status > 599 {
		return 0, nil, false, ErrVars
	}
	length := -1
	for _, line := range lines[1:] {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(name, []byte("Content-Length")) {
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 31)
			if err != nil || length >= 0 && length != int(n) {
				return 0, nil, false, ErrLength
			}
			length = int(n)
		}
	}
	switch {
	case length > most || len(rest) > most:
		return 0, nil, false, ErrBody
	case length >= 0 && len(rest) > length:
		return 0, nil, false, ErrLength
	case length >= 0 && len(rest) == length, length < 0 && closed:
		return status, rest, true, nil
	case closed: // cut off
		return 0, nil, false, ErrLength
	}
	return 0, nil, false, nil
}
