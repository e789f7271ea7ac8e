package emulator

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

const (
	acceptBacklog   = 64      // accepted connections that can wait in Listener.Links
	readBufferBytes = 8 << 10 // read buffer of each connection
)

// Listener accepts connections on a loopback address and delivers them on the channel Links. The receiver must close
// every link that it receives.
type Listener struct {
	// Listener is the current socket. Its Close closes only the socket, so that Reopen can be called afterwards.
	net.Listener
	// Address is the listening address as host:port. It stays the same after Reopen.
	Address string
	// Links delivers the accepted connections. It is closed once the listener has been closed with Close.
	Links chan *Link

	closed atomic.Bool
}

// Link is a buffered connection, from which callers read lines or records.
type Link struct {
	net.Conn
	// Reader buffers the data read from the connection. All reads must use it.
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

// accept delivers the connections of the current socket until that socket is closed.
func (l *Listener) accept() {
	socket := l.Listener // kept locally, because Reopen replaces the field and starts its own accept
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

// Close closes the listener permanently. To close only the socket and call Reopen later, call Close on the embedded
// net.Listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

// Reopen listens on the same address again after the embedded net.Listener was closed.
func (l *Listener) Reopen() error {
	socket, err := net.Listen("tcp", l.Address)
	l.Listener = socket
	if err != nil {
		return err
	}
	go l.accept()
	return nil
}

// NewLink returns a link that reads from the connection through a buffer.
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

// send writes the data in one call. It ignores write errors: they mean that the peer has closed the connection, which
// the goroutine that reads from the link notices as well.
func (l *Link) send(data []byte) { _, _ = l.Write(data) }

// sendf formats its arguments as fmt.Sprintf does and sends the result in one write.
func (l *Link) sendf(format string, args ...any) { l.send(fmt.Appendf(nil, format, args...)) }

// drop closes the link. It ignores the error that a second close returns.
func (l *Link) drop() { _ = l.Close() }

// drawnAddresses are the addresses that FreeAddress has returned.
var drawnAddresses sync.Map

// FreeAddress returns a loopback address as host:port on which nothing listened at the time of the call. The host is
// one of this process alone and each address is returned once, so that nothing else takes the port before the caller
// listens on it: neither another process that draws a port nor a connection, whose local host is 127.0.0.1.
func FreeAddress() (string, error) {
	for {
		socket, err := net.Listen("tcp", net.JoinHostPort(processHost(os.Getpid()), "0"))
		if err != nil {
			return "", err
		}
		address := socket.Addr().String()
		if err := socket.Close(); err != nil {
			return "", err
		}
		if _, isDrawn := drawnAddresses.LoadOrStore(address, true); !isDrawn {
			return address, nil
		}
	}
}

// processHost returns a loopback host that differs between processes with different IDs of up to 22 bits, the largest
// that Linux assigns, and is not 127.0.0.1.
func processHost(processID int) string {
	return fmt.Sprintf("127.%d.%d.%d", 128+processID>>16&63, processID>>8&255, processID&255)
}
