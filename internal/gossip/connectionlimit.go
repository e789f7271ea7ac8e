package gossip

import (
	"container/list"
	"net"
	"sync"
)

// Limits on accepted connections. Together they stay within the descriptors that the server reserves for others than
// routers.
const (
	maxIncomingStreams   = 6
	maxStatusConnections = 4
)

// connectionLimit limits the number of open connections that a listener has accepted, whoever opened them. For a new
// one beyond the limit the oldest is closed: a member's connection ends within milliseconds, so a client that opens
// many and sends nothing mostly closes its own.
type connectionLimit struct {
	mutex       sync.Mutex
	max         int
	connections list.List // of *limitedConn, oldest first
}

// add counts a connection and returns it in a form that is counted until it is closed.
func (l *connectionLimit) add(accepted net.Conn) net.Conn {
	l.mutex.Lock()
	connection := &limitedConn{Conn: accepted, limit: l}
	connection.element = l.connections.PushBack(connection)
	var evicted *limitedConn
	if l.connections.Len() > l.max {
		evicted = l.connections.Front().Value.(*limitedConn)
	}
	l.mutex.Unlock()
	if evicted != nil {
		_ = evicted.Close() // fails if it was closed in the meantime
	}
	return connection
}

// limitedConn is a connection that a connectionLimit counts.
type limitedConn struct {
	net.Conn
	limit   *connectionLimit
	element *list.Element // nil once it is no longer counted
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.limit.mutex.Lock()
	defer c.limit.mutex.Unlock()
	if c.element != nil {
		c.limit.connections.Remove(c.element)
		c.element = nil
	}
	return err
}

// limitedListener is a listener with a connectionLimit.
type limitedListener struct {
	net.Listener
	limit connectionLimit
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.limit.add(accepted), nil
}
