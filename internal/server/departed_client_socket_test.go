package server_test

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// wholeLooks returns count complete requests in slots from 1 and their identifiers.
func wholeLooks(server *servertest.Server, count, bodyBytes int) (data []byte, ids []string) {
	for slot := range uint16(count) {
		id := server.NewRequestID()
		ids = append(ids, id)
		parameters := servertest.RequestParameters(id)
		data = append(data, emulator.FastCGIRequest(slot+1, "/rpc/look", strings.Repeat("b", bodyBytes), parameters)...)
	}
	return data, ids
}

// leave closes a connection. The explicit shutdown takes effect at once also if a process that another test starts has
// inherited the descriptor and not closed it yet.
func leave(server *servertest.Server, connection net.Conn) {
	server.T.Helper()
	server.NoError(connection.(*net.TCPConn).CloseWrite())
	server.NoError(connection.Close())
}

// Guards against requests that run although their client had closed its connection before the server read them, in one
// read and in several.
func TestRequestsOfDepartedClientDoNotRun(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ requests, bodyBytes int }{{1, 10}, {8, 2000}, {31, 2000}, {31, 10}} {
		for _, halfOpen := range []bool{false, true} {
			name := fmt.Sprintf("%d of %d bytes, half open %v", size.requests, size.bodyBytes, halfOpen)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				server, interpreter := servertest.Start(t)
				other := server.ConnectRouter()
				other.ExpectHealth(1, 200)
				departed, err := net.Dial("tcp", server.Listen)
				server.NoError(err)
				data, ids := wholeLooks(server, size.requests, size.bodyBytes)
				if halfOpen { // it leaves a half request behind, so that its last bytes complete nothing
					data = append(data, halfRequests[0].records(32)...)
				}
				server.Pause()
				_, err = departed.Write(data)
				server.NoError(err)
				leave(server, departed)
				server.Signal(syscall.SIGCONT)
				other.ExpectHealth(2, 200)
				next := other.SendLook(3, "the next to run")
				command := interpreter.NextCommand()
				server.Equal(next, command.Job, "a request of the departed client runs: %v", ids)
			})
		}
	}
}

// Guards against requests that run although their client closed its connection while they were queued, with more that
// was still unread behind them.
func TestQueuedRequestsOfDepartedClientDoNotRun(t *testing.T) {
	t.Parallel()
	server, interpreter := servertest.Start(t)
	other := server.ConnectRouter()
	running := []string{interpreter.StartLook(other, 1, "fills"), interpreter.StartLook(other, 2, "the limit")}
	departed, err := net.Dial("tcp", server.Listen)
	server.NoError(err)
	data, ids := wholeLooks(server, 20, 100)
	_, err = departed.Write(data)
	server.NoError(err)
	other.ExpectHealth(3, 200)
	server.Pause()
	more, moreIDs := wholeLooks(server, 11, 2000)
	_, err = departed.Write(more[:len(more)-10]) // in the slots of the first ones
	server.NoError(err)
	leave(server, departed)
	interpreter.SendValue(running[0], "OK", "a")
	interpreter.SendValue(running[1], "OK", "b")
	server.Signal(syscall.SIGCONT)
	for range 2 {
		_, status, _, _ := other.NextResponse()
		server.Equal(200, status)
	}
	next := other.SendLook(4, "the next to run")
	command := interpreter.NextCommand()
	server.Equal(next, command.Job, "a request of the departed client runs: %v %v", ids, moreIDs)
}
