package gossip

import (
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// countingTransport is memberlist's NetTransport with three differences: outgoing connections have the IP address on
// which the transport listens as their source, with a port that the system chooses, sent bytes are counted, and the
// number of incoming connections is limited.
type countingTransport struct {
	*memberlist.NetTransport
	localIP   net.IP
	sentBytes *atomic.Int64

	incoming chan net.Conn // the connections of NetTransport, counted
	limit    connectionLimit
	closed   chan struct{}
}

// newTransport returns a transport that listens on an address for packets and streams, and counts the bytes that it
// sends in sentBytes.
func newTransport(host string, port int, sentBytes *atomic.Int64) (memberlist.Transport, error) {
	transport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host},
		BindPort:  port,
		Logger:    log.New(io.Discard, "", 0),
	})
	if err != nil {
		return nil, err
	}
	counting := &countingTransport{
		NetTransport: transport,
		localIP:      net.ParseIP(host),
		sentBytes:    sentBytes,
		incoming:     make(chan net.Conn),
		limit:        connectionLimit{max: maxIncomingStreams},
		closed:       make(chan struct{}),
	}
	go counting.limitIncoming()
	return counting, nil
}

// limitIncoming passes incoming connections on until Shutdown.
func (t *countingTransport) limitIncoming() {
	for {
		select {
		case accepted := <-t.NetTransport.StreamCh():
			t.passOn(t.limit.add(accepted))
		case <-t.closed:
			return
		}
	}
}

// passOn passes a connection to memberlist, or closes it after Shutdown.
func (t *countingTransport) passOn(connection net.Conn) {
	select {
	case t.incoming <- connection:
	case <-t.closed:
		_ = connection.Close() // nobody uses it
	}
}

// StreamCh implements memberlist.Transport.
func (t *countingTransport) StreamCh() <-chan net.Conn { return t.incoming }

// Shutdown implements memberlist.Transport. Memberlist calls it once.
func (t *countingTransport) Shutdown() error {
	err := t.NetTransport.Shutdown() // incoming connections are passed on until the listener is closed
	close(t.closed)
	return err
}

// WriteTo implements memberlist.Transport.
func (t *countingTransport) WriteTo(packet []byte, address string) (time.Time, error) {
	t.sentBytes.Add(int64(len(packet)))
	return t.NetTransport.WriteTo(packet, address)
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *countingTransport) WriteToAddress(packet []byte, to memberlist.Address) (time.Time, error) {
	return t.WriteTo(packet, to.Addr)
}

// DialTimeout implements memberlist.Transport.
func (t *countingTransport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.localIP}}
	connection, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: connection, sentBytes: t.sentBytes}, nil
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *countingTransport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(to.Addr, timeout)
}

// countingConn is a connection that counts the bytes written to it.
type countingConn struct {
	net.Conn
	sentBytes *atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	c.sentBytes.Add(int64(len(data)))
	return c.Conn.Write(data)
}
