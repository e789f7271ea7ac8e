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

// UnreadBytes returns the number of bytes sent by the program that the kernel still holds for this connection, in the
// program's send queue and the emulator's receive queue. Bytes that the kernel moves from the one to the other
// meanwhile may be counted twice.
func (s *Server) UnreadBytes(link *emulator.Link) int {
	s.T.Helper()
	program, emulated := link.RemoteAddr(), link.LocalAddr()
	var sent, received tcpQueues
	bothFound := func() bool {
		table := s.tcpTable()
		var sentFound, receivedFound bool
		sent, sentFound = findTCPQueues(table, program, emulated)
		received, receivedFound = findTCPQueues(table, emulated, program)
		return sentFound && receivedFound
	}
	s.Eventually(bothFound, EventTimeout, time.Millisecond, "the system does not list the connection")
	return sent.unsent + received.unread
}

// PortInTimeWait reports whether a connection that the program closed still holds the port of Listen in TIME_WAIT.
func (s *Server) PortInTimeWait() bool {
	s.T.Helper()
	listen, err := net.ResolveTCPAddr("tcp", s.Listen)
	s.NoError(err)
	return holdsPortInTimeWait(s.tcpTable(), listen)
}

// tcpTable returns the text of /proc/net/tcp, which lists the IPv4 connections of the system.
func (s *Server) tcpTable() string {
	s.T.Helper()
	table, err := os.ReadFile("/proc/net/tcp")
	s.NoError(err)
	return string(table)
}
