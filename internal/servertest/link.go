package servertest

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"thistlequay/internal/emulator"
)

// timeLimitedConn is a connection on which each read and each write fails after EventTimeout.
type timeLimitedConn struct{ net.Conn }

// Read implements net.Conn.
func (c timeLimitedConn) Read(buffer []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(EventTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(buffer)
}

// Write implements net.Conn.
func (c timeLimitedConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(EventTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// NextLink waits for the program's next connection to an emulator. The test fails if the program opens none within
// EventTimeout. Each read and each write on the connection fails after EventTimeout.
func (s *Server) NextLink(listener *emulator.Listener) *emulator.Link {
	s.T.Helper()
	select {
	case link := <-listener.Links:
		s.T.Cleanup(func() { CloseQuietly(link) })
		return emulator.NewLink(timeLimitedConn{link.Conn})
	case <-time.After(EventTimeout):
		s.FailNow("the program opened no connection within EventTimeout")
		return nil
	}
}

// ReadLine returns the next line from a connection, without its line terminator. The test fails if no complete line
// arrives.
func (s *Server) ReadLine(link *emulator.Link) string {
	s.T.Helper()
	text, err := link.Reader.ReadString('\n')
	s.NoError(err)
	return strings.TrimRight(text, "\r\n")
}

// WriteLine writes a formatted line and a newline to a connection.
func (s *Server) WriteLine(link *emulator.Link, format string, args ...any) {
	s.T.Helper()
	_, err := fmt.Fprintf(link, format+"\n", args...)
	s.NoError(err)
}

// IndexCall waits for the program's next connection to the index and returns it. The test fails unless the first
// message on the connection is the downstream call of the given request, with a one-line body.
func (s *Server) IndexCall(id string) *emulator.Link {
	s.T.Helper()
	index := s.NextLink(s.Index)
	s.Contains(s.ReadLine(index), "GET "+id)
	s.ReadLine(index) // the body of the call
	return index
}

// RequireClosed reads until the peer closes or resets the connection.
func (s *Server) RequireClosed(link *emulator.Link) {
	s.T.Helper()
	_, err := io.Copy(io.Discard, link.Reader)
	if err != nil {
		s.ErrorIs(err, syscall.ECONNRESET)
	}
}

// ReadToEnd returns all remaining bytes up to the peer's close. The test fails on a reset, because a reset can discard
// bytes.
func (s *Server) ReadToEnd(link *emulator.Link) []byte {
	s.T.Helper()
	rest, err := io.ReadAll(link.Reader)
	s.NoError(err)
	return rest
}

// Column indexes in /proc/net/tcp, counted from 0; tcpMinColumns is the minimum number of columns in a row.
const (
	tcpLocalAddress = iota + 1
	tcpRemoteAddress
	tcpState
	tcpQueues
	tcpMinColumns
)

// tcpTimeWait is the code of the state TIME_WAIT in /proc/net/tcp.
const tcpTimeWait = "06"

// tcpRows returns the columns of every row of /proc/net/tcp, which lists the IPv4 connections of the system.
func (s *Server) tcpRows() [][]string {
	s.T.Helper()
	text, err := os.ReadFile("/proc/net/tcp")
	s.NoError(err)
	var rows [][]string
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) >= tcpMinColumns {
			rows = append(rows, fields)
		}
	}
	return rows
}

// portSuffix returns the suffix that an address with the same port has in /proc/net/tcp.
func portSuffix(address net.Addr) string {
	return fmt.Sprintf(":%04X", address.(*net.TCPAddr).Port)
}

// UnreadBytes returns the number of bytes sent by the program that the kernel still holds for this connection, in the
// program's send queue and the emulator's receive queue.
func (s *Server) UnreadBytes(link *emulator.Link) int {
	s.T.Helper()
	localPort := portSuffix(link.LocalAddr())
	remotePort := portSuffix(link.RemoteAddr())
	total := 0
	for _, row := range s.tcpRows() {
		var unsent, unread int
		_, _ = fmt.Sscanf(row[tcpQueues], "%x:%x", &unsent, &unread)
		if strings.HasSuffix(row[tcpLocalAddress], remotePort) && strings.HasSuffix(row[tcpRemoteAddress], localPort) {
			total += unsent
		}
		if strings.HasSuffix(row[tcpLocalAddress], localPort) && strings.HasSuffix(row[tcpRemoteAddress], remotePort) {
			total += unread
		}
	}
	return total
}

// PortInTimeWait reports whether a connection that the program closed still holds the port of Listen in TIME_WAIT.
func (s *Server) PortInTimeWait() bool {
	s.T.Helper()
	listen, err := net.ResolveTCPAddr("tcp", s.Listen)
	s.NoError(err)
	for _, row := range s.tcpRows() {
		if strings.HasSuffix(row[tcpLocalAddress], portSuffix(listen)) && row[tcpState] == tcpTimeWait {
			return true
		}
	}
	return false
}
