package clustertest_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// TestMeasuredRestart starts 30 processes at once, kills them, and starts them again on the same addresses. They share
// the cores of one machine, the directory and the index refuse connections, and clients connect from the start. After
// each start, 90% of the servers must answer a health check within ten seconds, and all must answer one in the end.
func TestMeasuredRestart(t *testing.T) {
	const processes = 30
	const objective = 10 * time.Second
	cluster := newTestCluster(t, clustertest.Config{ServerCount: processes, Seed: 33})
	cluster.NoError(cluster.Directory.Listener.Listener.Close())
	cluster.NoError(cluster.Index.Listener.Listener.Close())
	for _, start := range []string{"first", "again"} {
		durations := cluster.startAndMeasureReadiness()
		slices.Sort(durations)
		onTime := 0
		for _, duration := range durations {
			if duration != neverReady && duration <= objective {
				onTime++
			}
		}
		fmt.Printf("measured restart processes=%d start=%s ready_10s=%d ready_all_s=%.2f median_s=%.2f "+
			"source=emulators\n",
			processes, start, onTime, durations[processes-1].Seconds(), durations[processes/2].Seconds())
		cluster.GreaterOrEqual(onTime, processes*9/10)
		cluster.Positive(durations[0], "a server did not answer a health check")
		cluster.kill(cluster.Servers)
	}
}

const (
	// neverReady is the duration that is recorded for a server that was not ready within readinessTimeout.
	neverReady = 0
	// readinessTimeout is how long after a server's start clients try to connect to it.
	readinessTimeout = 30 * time.Second
	// incompleteClients is the number of clients per server that send an incomplete request and close the connection.
	incompleteClients = 2
)

// startAndMeasureReadiness starts all servers and clients that connect immediately. It returns how long each server
// took to answer a health check, or neverReady.
func (c *testCluster) startAndMeasureReadiness() []time.Duration {
	c.t.Helper()
	startedAt := make([]time.Time, len(c.Servers))
	for i, server := range c.Servers {
		startedAt[i] = time.Now()
		c.NoError(server.Start())
	}
	durations := make([]time.Duration, len(c.Servers))
	var clients sync.WaitGroup
	for i, server := range c.Servers {
		clients.Add(1 + incompleteClients)
		go func() {
			defer clients.Done()
			durations[i] = c.checkHealthUntilReady(server, startedAt[i])
		}()
		for client := range incompleteClients {
			go func() {
				defer clients.Done()
				sendIncompleteRequest(server, startedAt[i], (client+1)*60)
			}()
		}
	}
	clients.Wait()
	return durations
}

// checkHealthUntilReady repeatedly connects and sends a health check until the server answers with status 200. It
// returns the time since the server was started, or neverReady if it could not connect within readinessTimeout.
func (c *testCluster) checkHealthUntilReady(server *clustertest.Server, startedAt time.Time) time.Duration {
	for {
		link := dialUntilAccepted(server, startedAt)
		if link == nil {
			return neverReady
		}
		if isHealthy(link) {
			duration := time.Since(startedAt)
			// Keep the connection open until the test ends, so that the kill leaves the server's port in TIME_WAIT or a
			// worse state when the server starts again.
			c.t.Cleanup(func() { servertest.CloseQuietly(link) })
			return duration
		}
		servertest.CloseQuietly(link)
	}
}

// sendIncompleteRequest connects, sends the first partBytes bytes of a request and closes the connection.
func sendIncompleteRequest(server *clustertest.Server, startedAt time.Time, partBytes int) {
	link := dialUntilAccepted(server, startedAt)
	if link == nil {
		return
	}
	request := emulator.FastCGIRequest(1, "/rpc/look", "b", servertest.RequestParameters("0000000000000001"))
	_, _ = link.Write(request[:partBytes]) // the server may already have ended; no response is expected
	servertest.CloseQuietly(link)
}

// dialUntilAccepted dials the server until it accepts a connection. It returns nil if that takes longer than
// readinessTimeout after the server's start.
func dialUntilAccepted(server *clustertest.Server, startedAt time.Time) *emulator.Link {
	for time.Since(startedAt) < readinessTimeout {
		link, err := emulator.Dial(server.RouterAddress)
		if err == nil {
			_ = link.SetDeadline(time.Now().Add(5 * time.Second)) // on an error, the next use fails too
			return link
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// isHealthy sends a health check and reports whether the response has status 200.
func isHealthy(link *emulator.Link) bool {
	if _, err := link.Write(emulator.FastCGIRequest(1, "/health", "", nil)); err != nil {
		return false
	}
	response, err := link.ReadResponse()
	return err == nil && response.Status == 200
}
