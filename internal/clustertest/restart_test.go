package clustertest_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
	"time"
)

// Thirty processes are killed and start again at once on the same addresses, on this machine's cores: the directory is
// down, the index refuses, clients connect already. Each answers health checks soon.
func TestMeasuredRestart(t *testing.T) {
	const processes = 30
	cluster := newTestCluster(t, clustertest.Config{ServerCount: processes, Seed: 33})
	cluster.NoError(cluster.Directory.Listener.Listener.Close())
	cluster.NoError(cluster.Index.Listener.Listener.Close())
	ready := func() (in []time.Duration) {
		begun := make([]time.Time, processes)
		for i, server := range cluster.Servers {
			begun[i] = time.Now()
			cluster.NoError(server.Start())
		}
		in = make([]time.Duration, processes)
		var done sync.WaitGroup
		for i, server := range cluster.Servers {
			for knocker := range 3 {
				done.Add(1)
				go func() {
					defer done.Done()
					for time.Since(begun[i]) < 30*time.Second {
						c, err := emulator.Dial(server.RouterAddress)
						if err != nil {
							time.Sleep(5 * time.Millisecond)
							continue
						}
						// a connection that failed fails at its next use
						_ = c.SetDeadline(time.Now().Add(5 * time.Second))
						if knocker > 0 { // others send part of a request, or nothing
							_, _ = c.Write(emulator.FastCGIRequest(1, "/rpc/look", "b",
								servertest.RequestParameters("0000000000000001"))[:knocker*60])
						} else if _, err = c.Write(emulator.FastCGIRequest(1, "/health", "", nil)); err == nil {
							if a, err := c.ReadResponse(); err == nil && a.Status == 200 {
								in[i] = time.Since(begun[i])
								// it stays: its port is in TIME_WAIT, or worse, after the kill
								t.Cleanup(func() { servertest.CloseQuietly(c) })
								return
							}
						}
						servertest.CloseQuietly(c)
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
		cluster.GreaterOrEqual(within, processes*9/10)
		cluster.Positive(in[0], "one was never ready")
		for _, server := range cluster.Servers {
			cluster.NoError(server.Kill())
		}
	}
}
