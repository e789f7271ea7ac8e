package gossip

// This file owns the sockets of the talk: the library's own transport, whose connections leave from the address that is
// listened on, and a count of what goes out. It must never touch what is carried.

import (
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

type countingTransport struct {
	*memberlist.NetTransport
	localIP   net.IP
	sentBytes *atomic.Int64
}

func newTransport(host string, port int, sent *atomic.Int64) (memberlist.Transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port,
		Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		return nil, err
	}
	return &countingTransport{t, net.ParseIP(host), sent}, nil
}

func (t *countingTransport) WriteTo(b []byte, to string) (time.Time, error) {
	t.sentBytes.Add(int64(len(b)))
	return t.NetTransport.WriteTo(b, to)
}

func (t *countingTransport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, to.Addr)
}

func (t *countingTransport) DialTimeout(to string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within, LocalAddr: &net.TCPAddr{IP: t.localIP}}
	c, err := d.Dial("tcp", to)
	if err != nil {
		return nil, err
	}
	return &countingConn{c, t.sentBytes}, nil
}

func (t *countingTransport) DialAddressTimeout(to memberlist.Address, within time.Duration) (net.Conn, error) {
	return t.DialTimeout(to.Addr, within)
}

type countingConn struct {
	net.Conn
	sentBytes *atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.sentBytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}
