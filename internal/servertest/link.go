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

// NextLink waits for the program's next connection to an emulator. The test fails where none comes within
// EventTimeout; so does every read and write that takes the connection beyond that time.
func (s *Server) NextLink(listener *emulator.Listener) *emulator.Link {
	s.T.Helper()
	select {
	case link := <-listener.Links:
		s.NoError(link.SetDeadline(time.Now().Add(EventTimeout)))
		s.T.Cleanup(func() { CloseQuietly(link) })
		return link
	case <-time.After(EventTimeout):
		s.FailNow("the program opened no connection")
		return nil
	}
}

// ReadLine returns the next line from a connection, without its end. The test fails where no complete line arrives.
func (s *Server) ReadLine(link *emulator.Link) string {
	s.T.Helper()
	text, err := link.Reader.ReadString('\n')
	s.NoError(err)
	return strings.TrimRight(text, "\r\n")
}

// WriteLine writes a formatted line to a connection.
func (s *Server) WriteLine(link *emulator.Link, format string, args ...any) {
	s.T.Helper()
	_, err := fmt.Fprintf(link, format+"\n", args...)
	s.NoError(err)
}

// IndexCall waits for the program's next connection to the index and returns it. The test fails unless the first thing
// sent on it is the downstream call of this request, with a body of one line.
func (s *Server) IndexCall(id string) *emulator.Link {
	s.T.Helper()
	index := s.NextLink(s.Index)
	s.Contains(s.ReadLine(index), "GET "+id)
	s.ReadLine(index) // its body
	return index
}

// RequireClosed reads until the other side has closed the connection; a reset will do.
func (s *Server) RequireClosed(link *emulator.Link) {
	s.T.Helper()
	_, err := io.Copy(io.Discard, link.Reader)
	if err != nil {
		s.ErrorIs(err, syscall.ECONNRESET)
	}
}

// ReadToEnd returns what is left up to the other side's close. The test fails where that is a reset, which would have
// discarded bytes.
func (s *Server) ReadToEnd(link *emulator.Link) []byte {
	s.T.Helper()
	rest, err := io.ReadAll(link.Reader)
	s.NoError(err)
	return rest
}

// The columns of /proc/net/tcp, from 0, and how many of them every row has at least.
const (
	tcpLocal = iota + 1
	tcpRemote
	tcpState
	tcpQueues
	tcpColumns
)

// tcpTimeWait is the state of a connection whose port is kept after its close.
const tcpTimeWait = "06"

// tcpRows returns the columns of every IPv4 connection that the system knows.
func (s *Server) tcpRows() [][]string {
	s.T.Helper()
	text, err := os.ReadFile("/proc/net/tcp")
	s.NoError(err)
	var rows [][]string
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) >= tcpColumns {
			rows = append(rows, fields)
		}
	}
	return rows
}

// portSuffix is how an address with this port ends in /proc/net/tcp.
func portSuffix(address net.Addr) string {
	return fmt.Sprintf(":%04X", address.(*net.TCPAddr).Port)
}

// UnreadBytes returns how many bytes the system holds, on both sides, of what was written to this connection.
func (s *Server) UnreadBytes(link *emulator.Link) int {
	s.T.Helper()
	near := portSuffix(link.LocalAddr())
	far := portSuffix(link.RemoteAddr())
	sum := 0
	for _, row := range s.tcpRows() {
		var unsent, unread int
		_, _ = fmt.Sscanf(row[tcpQueues], "%x:%x", &unsent, &unread)
		if strings.HasSuffix(row[tcpLocal], far) && strings.HasSuffix(row[tcpRemote], near) {
			sum += unsent
		}
		if strings.HasSuffix(row[tcpLocal], near) && strings.HasSuffix(row[tcpRemote], far) {
			sum += unread
		}
	}
	return sum
}

// PortInTimeWait tells whether a connection closed by the program keeps the port of Listen in the state TIME_WAIT.
func (s *Server) PortInTimeWait() bool {
	s.T.Helper()
	listen, err := net.ResolveTCPAddr("tcp", s.Listen)
	s.NoError(err)
	for _, row := range s.tcpRows() {
		if strings.HasSuffix(row[tcpLocal], portSuffix(listen)) && row[tcpState] == tcpTimeWait {
			return true
		}
	}
	return false
}
