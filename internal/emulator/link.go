package emulator

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
)

const (
	acceptBacklog   = 64      // connections that are accepted before anybody takes them up
	readBufferBytes = 8 << 10 // of each connection
)

// Listener accepts connections on a loopback address and delivers them over Links. Every link received must be closed
// by the receiver.
type Listener struct {
	// Listener is the current socket. Its Close closes only the socket, so that Reopen can follow.
	net.Listener
	// Address is the address, as host:port. It stays the same after Reopen.
	Address string
	// Links delivers the accepted connections. It is closed after Close.
	Links chan *Link

	closed atomic.Bool
}

// Link is a connection that is read by lines or by records.
type Link struct {
	net.Conn
	// Reader buffers what is read from the connection. Reads must go through it.
	Reader *bufio.Reader
}

// Listen starts a listener on a free port of 127.0.0.1.
func Listen() (*Listener, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Listener{Listener: socket, Address: socket.Addr().String(), Links: make(chan *Link, acceptBacklog)}
	go l.accept()
	return l, nil
}

// accept delivers connections until the socket is closed.
func (l *Listener) accept() {
	socket := l.Listener // Reopen puts another in its place, with an accept of its own
	for {
		connection, err := socket.Accept()
		if err != nil {
			if l.closed.Load() {
				close(l.Links)
			}
			return
		}
		l.Links <- NewLink(connection)
	}
}

// Close closes the listener for good. To close only the socket, for a later Reopen, call Listener.Close on the embedded
// net.Listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Reopen listens again on the same address after Listener.Close on the embedded net.Listener.
func (l *Listener) Reopen() error {
	socket, err := net.Listen("tcp", l.Address)
	l.Listener = socket
	if err != nil {
		return err
	}
	go l.accept()
	return nil
}

// NewLink wraps a connection.
func NewLink(connection net.Conn) *Link {
	return &Link{connection, bufio.NewReaderSize(connection, readBufferBytes)}
}

// Dial connects to an address over TCP.
func Dial(address string) (*Link, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewLink(connection), nil
}

// send writes in one call. A failed write needs no care: the peer is gone, which the reader of the link sees too.
func (l *Link) send(data []byte) { _, _ = l.Write(data) }

// sendf is send with a format.
func (l *Link) sendf(format string, args ...any) { l.send(fmt.Appendf(nil, format, args...)) }

// drop closes the link. A second close reports an error that says nothing.
func (l *Link) drop() { _ = l.Close() }

// FreeAddress returns a loopback address, as host:port, on which nothing listens at this moment.
func FreeAddress() (string, error) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return socket.Addr().String(), socket.Close()
}
