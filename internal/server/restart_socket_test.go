package server_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

func TestRestartAfterKillOnSameAddress(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	interpreter.ExpectApply(router.SendBook(1, "k"), "entry k")
	server.NoError(server.Process.Process.Kill())
	<-server.Ended()
	router.RequireClosed()
	server.WriteFilesAndStart()
	interpreter = server.AcceptInterpreter(0)
	router = server.ConnectRouter()
	id := router.SendBook(1, "k")
	interpreter.ExpectApply(id, "entry k")
	interpreter.SendValue(id, "OK", "new life")
	router.ExpectResponse(1, 200, "new life")
}

// Signals that come while the configuration is still being read are handled once there is a server: SIGHUP ends
// nothing, and after SIGTERM the exit code is 0 before the stop deadline.
func TestSignalsDuringStartupAreHandledLater(t *testing.T) {
	server := servertest.New(t)
	server.Path = filepath.Join(t.TempDir(), "config.json")
	server.NoError(syscall.Mkfifo(server.Path, 0o600))
	server.Args = []string{"--config", server.Path}
	server.StartProcess()
	hold, err := os.OpenFile(server.Path, os.O_WRONLY, 0) // blocks until the program reads
	server.NoError(err)
	server.NoError(server.Process.Process.Signal(syscall.SIGHUP))
	server.NoError(server.Process.Process.Signal(syscall.SIGTERM))
	begun := time.Now()
	_, err = io.WriteString(hold, server.Config)
	server.NoError(err)
	server.NoError(hold.Close())
	server.WaitForLog("event=listening")
	go func() { // the read that SIGHUP causes
		if again, err := os.OpenFile(server.Path, os.O_WRONLY, 0); err == nil {
			_, _ = io.WriteString(again, server.Config)
			servertest.CloseQuietly(again)
		}
	}()
	code, log := server.WaitForExit()
	server.Equal(0, code, log)
	server.Contains(log, "event=shutting_down")
	server.Less(time.Since(begun), servertest.EventTimeout/4) // 1.5 s on an idle machine
	_ = os.Remove(server.Path)
}

// A killed process that had closed a connection itself leaves its port in TIME_WAIT; its next incarnation listens at
// once, answers health checks while the interpreter is late, and serves once it is up.
func TestRestartOnPortInTimeWaitWithLateInterpreter(t *testing.T) {
	server, interpreter := servertest.Start(t)
	router := server.ConnectRouter()
	last := emulator.FastCGIRequest(1, "/health", "", nil)
	last[10] = 0 // so the program closes the connection
	_, err := router.Write(last)
	server.NoError(err)
	router.ExpectResponse(1, 200, "")
	server.Empty(server.ReadToEnd(router.Link))
	servertest.CloseQuietly(router)
	_, port, _ := net.SplitHostPort(server.Listen)
	number, err := strconv.Atoi(port)
	server.NoError(err)
	waits := func() bool {
		text, err := os.ReadFile("/proc/net/tcp")
		server.NoError(err)
		for _, line := range strings.Split(string(text), "\n") {
			if f := strings.Fields(line); len(f) > 3 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", number)) &&
				f[3] == "06" {
				return true
			}
		}
		return false
	}
	server.Eventually(waits, servertest.EventTimeout, time.Millisecond)
	server.NoError(server.Process.Process.Kill())
	<-server.Ended()
	servertest.CloseQuietly(interpreter)
	server.True(waits(), "the port is in TIME_WAIT")
	server.StartProcess()
	router = server.ConnectRouter()
	router.Send(1, "/health", "", nil)
	router.ExpectResponse(1, 200, "")
	router.SendLook(2, "too early")
	router.ExpectResponse(2, 503, "")
	interpreter = server.AcceptInterpreter(0)
	interpreter.ServeOne(router, 3, "once it is up")
}
