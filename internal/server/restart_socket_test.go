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
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	v.ExpectApply(c.SendBook(1, "k"), "entry k")
	r.NoError(r.Process.Process.Kill())
	<-r.Ended()
	c.RequireClosed()
	r.WriteFilesAndStart()
	v = r.AcceptInterpreter(0)
	c = r.ConnectRouter()
	id := c.SendBook(1, "k")
	v.ExpectApply(id, "entry k")
	v.SendValue(id, "OK", "new life")
	c.ExpectResponse(1, 200, "new life")
}

// Signals that come while the configuration is still being read are handled once there is a server: SIGHUP ends
// nothing, and after SIGTERM the exit code is 0 before the stop deadline.
func TestSignalsDuringStartupAreHandledLater(t *testing.T) {
	r := servertest.New(t)
	r.Path = filepath.Join(t.TempDir(), "config.json")
	r.NoError(syscall.Mkfifo(r.Path, 0o600))
	r.Args = []string{"--config", r.Path}
	r.StartProcess()
	hold, err := os.OpenFile(r.Path, os.O_WRONLY, 0) // blocks until the program reads
	r.NoError(err)
	r.NoError(r.Process.Process.Signal(syscall.SIGHUP))
	r.NoError(r.Process.Process.Signal(syscall.SIGTERM))
	begun := time.Now()
	_, err = io.WriteString(hold, r.Config)
	r.NoError(err)
	r.NoError(hold.Close())
	r.WaitForLog("event=listening")
	go func() { // the read that SIGHUP causes
		if again, err := os.OpenFile(r.Path, os.O_WRONLY, 0); err == nil {
			_, _ = io.WriteString(again, r.Config)
			servertest.CloseQuietly(again)
		}
	}()
	code, log := r.WaitForExit()
	r.Equal(0, code, log)
	r.Contains(log, "event=shutting_down")
	r.Less(time.Since(begun), servertest.EventTimeout/4) // 1.5 s on an idle machine
	_ = os.Remove(r.Path)
}

// A killed process that had closed a connection itself leaves its port in TIME_WAIT; its next incarnation listens at
// once, answers health checks while the interpreter is late, and serves once it is up.
func TestRestartOnPortInTimeWaitWithLateInterpreter(t *testing.T) {
	r, v := servertest.Start(t)
	c := r.ConnectRouter()
	last := emulator.FastCGIRequest(1, "/health", "", nil)
	last[10] = 0 // so the program closes the connection
	_, err := c.Write(last)
	r.NoError(err)
	c.ExpectResponse(1, 200, "")
	r.Empty(r.ReadToEnd(c.Link))
	servertest.CloseQuietly(c)
	_, port, _ := net.SplitHostPort(r.Listen)
	number, err := strconv.Atoi(port)
	r.NoError(err)
	waits := func() bool {
		text, err := os.ReadFile("/proc/net/tcp")
		r.NoError(err)
		for _, line := range strings.Split(string(text), "\n") {
			if f := strings.Fields(line); len(f) > 3 && strings.HasSuffix(f[1], fmt.Sprintf(":%04X", number)) &&
				f[3] == "06" {
				return true
			}
		}
		return false
	}
	r.Eventually(waits, servertest.EventTimeout, time.Millisecond)
	r.NoError(r.Process.Process.Kill())
	<-r.Ended()
	servertest.CloseQuietly(v)
	r.True(waits(), "the port is in TIME_WAIT")
	r.StartProcess()
	c = r.ConnectRouter()
	c.Send(1, "/health", "", nil)
	c.ExpectResponse(1, 200, "")
	c.SendLook(2, "too early")
	c.ExpectResponse(2, 503, "")
	v = r.AcceptInterpreter(0)
	v.ServeOne(c, 3, "once it is up")
}
