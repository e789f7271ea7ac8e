package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
)

func TestRestartAfterKillOnSameAddress(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	v.expectApply(c.sendBook(1, "k"), "entry k")
	r.NoError(r.process.Process.Kill())
	<-r.ended
	c.requireClosed()
	r.writeFilesAndStart()
	v = r.acceptInterpreter(0)
	c = r.connectRouter()
	id := c.sendBook(1, "k")
	v.expectApply(id, "entry k")
	v.sendValue(id, "OK", "new life")
	c.expectResponse(1, 200, "new life")
}

// Signals that come while the configuration is still being read are handled once there is a server: SIGHUP ends
// nothing, and after SIGTERM the exit code is 0 before the stop deadline.
func TestSignalsDuringStartupAreHandledLater(t *testing.T) {
	r := newTestServer(t)
	r.path = filepath.Join(t.TempDir(), "config.json")
	r.NoError(syscall.Mkfifo(r.path, 0o600))
	r.args = []string{"--config", r.path}
	r.start()
	hold, err := os.OpenFile(r.path, os.O_WRONLY, 0) // blocks until the program reads
	r.NoError(err)
	r.NoError(r.process.Process.Signal(syscall.SIGHUP))
	r.NoError(r.process.Process.Signal(syscall.SIGTERM))
	begun := time.Now()
	_, err = io.WriteString(hold, r.config)
	r.NoError(err)
	r.NoError(hold.Close())
	r.waitForLog("event=listening")
	go func() { // the read that SIGHUP causes
		if again, err := os.OpenFile(r.path, os.O_WRONLY, 0); err == nil {
			_, _ = io.WriteString(again, r.config)
			closeQuietly(again)
		}
	}()
	code, log := r.waitForExit()
	r.Equal(0, code, log)
	r.Contains(log, "event=shutting_down")
	r.Less(time.Since(begun), eventTimeout/4) // 1.5 s on an idle machine
	_ = os.Remove(r.path)
}

// A killed process that had closed a connection itself leaves its port in TIME_WAIT; its next incarnation listens at
// once, answers health checks while the interpreter is late, and serves once it is up.
func TestRestartOnPortInTimeWaitWithLateInterpreter(t *testing.T) {
	r, v := startServer(t)
	c := r.connectRouter()
	last := emulator.FastCGIRequest(1, "/health", "", nil)
	last[10] = 0 // so the program closes the connection
	_, err := c.Write(last)
	r.NoError(err)
	c.expectResponse(1, 200, "")
	r.Empty(r.readToEnd(c.link))
	closeQuietly(c)
	_, port, _ := net.SplitHostPort(r.listen)
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
	r.Eventually(waits, eventTimeout, time.Millisecond)
	r.NoError(r.process.Process.Kill())
	<-r.ended
	closeQuietly(v)
	r.True(waits(), "the port is in TIME_WAIT")
	r.start()
	c = r.connectRouter()
	c.send(1, "/health", "", nil)
	c.expectResponse(1, 200, "")
	c.sendLook(2, "too early")
	c.expectResponse(2, 503, "")
	v = r.acceptInterpreter(0)
	v.serveOne(c, 3, "once it is up")
}

// Thirty processes are killed and start again at once on the same addresses, on this machine's cores: the directory is
// down, the index refuses, clients connect already. Each answers health checks soon.
func TestMeasuredRestart(t *testing.T) {
	const processes = 30
	g := newTestCluster(t, clustertest.Config{ServerCount: processes, Seed: 33})
	g.NoError(g.Directory.Listener.Listener.Close())
	g.NoError(g.Index.Listener.Listener.Close())
	ready := func() (in []time.Duration) {
		begun := make([]time.Time, processes)
		for i, s := range g.Servers {
			begun[i] = time.Now()
			g.NoError(s.Start())
		}
		in = make([]time.Duration, processes)
		var done sync.WaitGroup
		for i, s := range g.Servers {
			for knocker := range 3 {
				done.Add(1)
				go func() {
					defer done.Done()
					for time.Since(begun[i]) < 30*time.Second {
						c, err := emulator.Dial(s.RouterAddress)
						if err != nil {
							time.Sleep(5 * time.Millisecond)
							continue
						}
						// a connection that failed fails at its next use
						_ = c.SetDeadline(time.Now().Add(5 * time.Second))
						if knocker > 0 { // others send part of a request, or nothing
							_, _ = c.Write(emulator.FastCGIRequest(1, "/rpc/look", "b",
								requestParameters("0000000000000001"))[:knocker*60])
						} else if _, err = c.Write(emulator.FastCGIRequest(1, "/health", "", nil)); err == nil {
							if a, err := c.ReadResponse(); err == nil && a.Status == 200 {
								in[i] = time.Since(begun[i])
								// it stays: its port is in TIME_WAIT, or worse, after the kill
								t.Cleanup(func() { closeQuietly(c) })
								return
							}
						}
						closeQuietly(c)
						if knocker > 0 {
							return
						}
					}
				}()
			}
		}
		done.Wait()
		return in
	}
	for _, name := range []string{"first", "again"} {
		in := ready()
		slices.Sort(in)
		within := 0
		for _, took := range in {
			if took > 0 && took <= 10*time.Second {
				within++
			}
		}
		fmt.Printf("measured restart processes=%d start=%s ready_10s=%d ready_all_s=%.2f median_s=%.2f "+
			"source=stand-ins\n", processes, name, within,
			in[processes-1].Seconds(), in[processes/2].Seconds())
		g.GreaterOrEqual(within, processes*9/10)
		g.Positive(in[0], "one was never ready")
		for _, s := range g.Servers {
			g.NoError(s.Kill())
		}
	}
}
