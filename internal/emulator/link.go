package emulator

// This file owns the sockets of the stand-ins: what listens on a free loopback address, and what it accepts as lines.

import (
	"bufio"
	"net"
	"sync/atomic"
)

// Listener accepts connections on a loopback address of its own and hands them out.
type Listener struct {
	net.Listener
	Address string
	Links   chan *Link // closed by Close
	closed  atomic.Bool
}

// Link is a connection that is read by lines or records.
type Link struct {
	net.Conn
	Reader *bufio.Reader
}

const acceptBacklog = 64 // connections that nobody has taken up yet

// Listen opens one.
func Listen() (*Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Listener{Listener: l, Address: l.Addr().String(), Links: make(chan *Link, acceptBacklog)}
	go s.accept()
	return s, nil
}

func (s *Listener) accept() {
	for l := s.Listener; ; {
		c, err := l.Accept()
		if err != nil {
			if s.closed.Load() {
				close(s.Links)
			}
			return
		}
		s.Links <- NewLink(c)
	}
}

// Close ends it for good.
func (s *Listener) Close() error {
	s.closed.Store(true)
	return s.Listener.Close()
}

// Reopen listens again on its address, after Listener.Close.
func (s *Listener) Reopen() (err error) {
	if s.Listener, err = net.Listen("tcp", s.Address); err == nil {
		go s.accept()
	}
	return err
}

// NewLink wraps a connection.
func NewLink(c net.Conn) *Link { return &Link{c, bufio.NewReaderSize(c, 8<<10)} }

// FreeAddress is a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Dial connects to a server.
func Dial(address string) (*Link, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewLink(c), nil
}
