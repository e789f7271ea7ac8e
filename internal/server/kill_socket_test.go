package server_test

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// stopTime is the stop_ms of servertest's configuration: the kill comes so long after the notice was sent.
const stopTime = 1500 * time.Millisecond

// killAfter kills the program at a time after its notice to shut down was sent. It returns how long before that the
// program had exited by itself, or false where the kill ended it.
func killAfter(server *servertest.Server, killAt time.Time) (time.Duration, bool) {
	select {
	case <-server.Exited():
		return time.Until(killAt), true
	case <-time.After(time.Until(killAt)):
		server.Kill()
		return 0, false
	}
}

// What happened: on a day of rolling restarts a server was killed at the end of its drain with a request unanswered
// (2 of 60 days beside load). Why: the platform counts stop_ms from when it sends SIGTERM, the server counted it from
// when its event loop handled the signal, and left 0.1 s for everything in between and for its own end. What showed
// it: a trace of one drain, in which a handler in C saw the signal 170 ms after its time, the signal was never pending
// before, and 1 ms passed from the handler to the event loop; event=shutting_down was logged at 8.64 s and later in
// all broken days and up to 8.59 s in the others.
//
// Here SIGSTOP and SIGCONT delay the notice. Requests that run without end and others that wait for them are all
// answered, and the program exits with 0, before a kill that comes stop_ms after the notice was sent.
func TestAllIsAnsweredBeforeTheKillThoughTheNoticeIsLate(t *testing.T) {
	for _, delay := range []time.Duration{0, 50, 100, 150, 200, 250, 300} {
		t.Run(fmt.Sprintf("%dms", delay), func(t *testing.T) {
			t.Parallel()
			requireAnswersBeforeKill(t, delay*time.Millisecond)
		})
	}
}

func requireAnswersBeforeKill(t *testing.T, delay time.Duration) {
	t.Helper()
	const requests = 12 // more than the concurrency limit of an interpreter with two cores
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	interpreter.StartLook(router, 1, "never ends")
	for slot := uint16(2); slot <= requests; slot++ {
		router.SendLook(slot, "never ends")
	}
	server.ConnectRouter().ExpectHealth(1, 200)
	server.Signal(syscall.SIGSTOP)
	sentAt := time.Now()
	server.Signal(syscall.SIGTERM)
	server.WaitUntilPast(sentAt.Add(delay))
	server.Signal(syscall.SIGCONT)

	answered := map[uint16]int{}
	var reading sync.WaitGroup
	reading.Go(func() {
		for {
			response, err := router.ReadResponse()
			if err != nil {
				return
			}
			answered[response.Slot]++
		}
	})
	margin, exited := killAfter(server, sentAt.Add(stopTime))
	reading.Wait()
	for slot := uint16(1); slot <= requests; slot++ {
		require.Equal(t, 1, answered[slot], "responses in slot %d", slot)
	}
	require.True(t, exited, "killed before it ended")
	require.Zero(t, server.Process.ProcessState.ExitCode())
	fmt.Printf("measured late notice delay_ms=%d exit_before_kill_ms=%d source=emulators\n",
		delay.Milliseconds(), margin.Milliseconds())
}

// The grace period counts from the notice to shut down. Before, it counted from when the interpreter came up if that
// was later, so that requests were run that had arrived after its end.
func TestGracePeriodCountsFromTheNoticeThoughTheInterpreterIsLate(t *testing.T) {
	server := servertest.New(t)
	server.WriteFilesAndStart()
	interpreter := server.NextInterpreterLink(0)
	server.ReadLine(interpreter.Link)
	server.ConnectRouter().ExpectHealth(1, 200)
	server.Signal(syscall.SIGTERM)
	server.WaitForLog("event=shutting_down")
	server.WaitUntilPast(time.Now().Add(drainGrace))
	server.WriteLine(interpreter.Link, servertest.BannerWarm)
	server.WaitForLog("event=interpreter_up")
	router := server.ConnectRouter()
	router.SendLook(1, "late")
	_, status, _, _ := router.NextResponse()
	server.Equal(503, status)
	linkEnded := handleLines(interpreter, func(line string) {
		require.False(t, strings.Contains(line, `"APPLY"`), line)
	})
	code, _ := server.WaitForExit()
	server.Equal(0, code)
	<-linkEnded
}

// crowd is a crowd of clients that open connections one after the other until they are refused for good.
type crowd struct {
	server  *servertest.Server
	opened  atomic.Int64
	refused atomic.Int64
	reset   atomic.Int64
	clients sync.WaitGroup
}

const crowdClients = 48 // as many connections at a time are in the handshake or wait to be accepted

func (c *crowd) start() {
	for client := range crowdClients {
		c.clients.Go(func() {
			for c.connect(client%2 == 0) { // until the program has ended
			}
		})
	}
}

// connect opens one connection, sends half a request or none, and reads until the program closes it. It returns false
// once the program has ended.
func (c *crowd) connect(sends bool) bool {
	link, err := emulator.Dial(c.server.Listen)
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.refused.Add(1)
		select {
		case <-c.server.Exited():
			return false
		case <-time.After(time.Millisecond):
			return true
		}
	}
	if err != nil {
		c.reset.Add(1)
		return true
	}
	c.opened.Add(1)
	defer servertest.CloseQuietly(link)
	if sends {
		request := emulator.FastCGIRequest(1, "/rpc/look", "b", servertest.RequestParameters("00000000000000aa"))
		_, err = link.Write(request[:len(request)/2])
	}
	if err == nil {
		_ = link.SetReadDeadline(time.Now().Add(crowdStay))
		_, err = link.ReadResponse()
	}
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.reset.Add(1)
	}
	return true
}

// crowdStay is how long a client of the crowd waits for the program to close its connection.
const crowdStay = 20 * time.Millisecond

// What happened: connections that were opened in the last instant of a drain were reset (8 of 17 runs with a crowd).
// Why: gnet closes its listener when its loop ends, and the system resets what has been connected and not accepted by
// then; the loop accepts one connection a turn. What showed it: a plain listener that is closed under 64 dialers resets
// some 20 of them, and none after it has been bound to an interface that does not exist, so that new ones are refused
// while those in the handshake are still accepted.
func TestNewConnectionsAreNotResetAtTheEndOfADrain(t *testing.T) {
	server, interpreter := servertest.StartWith(t, `"sockets":64`, `"sockets":256`)
	linkEnded := handleLines(interpreter, func(string) {})
	clients := &crowd{server: server}
	clients.start()
	sentAt := time.Now()
	server.Signal(syscall.SIGTERM)
	_, exited := killAfter(server, sentAt.Add(stopTime))
	clients.clients.Wait()
	<-linkEnded
	fmt.Printf("measured crowd at the end opened=%d refused=%d reset=%d source=emulators\n",
		clients.opened.Load(), clients.refused.Load(), clients.reset.Load())
	require.True(t, exited)
	require.Zero(t, server.Process.ProcessState.ExitCode())
	require.Positive(t, clients.refused.Load())
	require.Zero(t, clients.reset.Load())
}
