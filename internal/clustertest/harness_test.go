package clustertest_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

const (
	// convergenceTimeout limits the wait for a state of the whole cluster. Only a failing test waits that long.
	convergenceTimeout = 3 * servertest.EventTimeout
	// statusPollInterval is the pause between two polls of the status pages.
	statusPollInterval = 50 * time.Millisecond
)

// testCluster is a cluster of server processes with assertions for a test.
type testCluster struct {
	*require.Assertions
	*clustertest.Cluster
	t *testing.T
}

// isFullMeasurement reports whether the measuring tests run at full size, which MEASURE=full in the environment
// requests.
func isFullMeasurement() bool { return os.Getenv("MEASURE") == "full" }

// platformSettings returns servertest.PlatformSettings, parsed after text replacements that are given as pairs of old
// and new text.
func platformSettings(t *testing.T, replacements ...string) map[string]any {
	t.Helper()
	text := strings.NewReplacer(replacements...).Replace(servertest.PlatformSettings)
	var settings map[string]any
	require.NoError(t, json.Unmarshal([]byte(text), &settings))
	return settings
}

// shortDeadlineSettings returns platform settings for a number of servers, with a soft deadline of one second, a
// deadline of two seconds and a fixed limit of downstream calls in flight per server.
func shortDeadlineSettings(t *testing.T, servers int, callShare float64) map[string]any {
	t.Helper()
	return platformSettings(t,
		`"CallShare":9.0`, fmt.Sprintf(`"CallShare":%f`, callShare),
		`"Servers":3`, fmt.Sprintf(`"Servers":%d`, servers),
		`"OnTime":4000.0`, `"OnTime":1000.0`,
		`"HardLimit":8000.0`, `"HardLimit":2000.0`)
}

// startGossipCluster starts a cluster whose servers gossip.
func startGossipCluster(t *testing.T, servers int, seed int64) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, clustertest.Config{ServerCount: servers, Seed: seed, Gossip: true})
	cluster.start(cluster.Servers)
	return cluster
}

// newTestCluster creates a cluster whose servers are not started. At the end of the test, the cluster is closed, and
// the test fails if a server's log shows a data race, a violated invariant or a panic.
func newTestCluster(t *testing.T, config clustertest.Config) *testCluster {
	t.Helper()
	assertions := require.New(t)
	program, err := os.Executable()
	assertions.NoError(err)
	config.WorkDirectory = t.TempDir()
	config.Program = program
	config.Env = []string{servertest.RunAsProgramEnv + "=1", servertest.RaceExitEnv}
	config.Cores = 2
	if config.Settings == nil {
		config.Settings = platformSettings(t)
	}
	cluster, err := clustertest.New(config)
	assertions.NoError(err)
	c := &testCluster{assertions, cluster, t}
	t.Cleanup(c.closeAndCheckLogs)
	return c
}

// closeAndCheckLogs closes the cluster and checks that no server logged a data race, a violated invariant or a panic.
// If the test has failed, it prints all logs.
func (c *testCluster) closeAndCheckLogs() {
	c.t.Helper()
	c.Close()
	for _, server := range c.Servers {
		log := server.Log.String()
		if c.t.Failed() {
			c.t.Log(server.Name + ":\n" + log)
		}
		c.NotContains(log, "DATA RACE")
		c.NotContains(log, "invariant_violated")
		c.NotContains(log, "panic:")
	}
}

// start starts a process for each of the servers, without waiting until they serve.
func (c *testCluster) start(servers []*clustertest.Server) {
	c.t.Helper()
	for _, server := range servers {
		c.NoError(server.Start())
	}
}

// kill kills the servers one after the other and waits for each to end.
func (c *testCluster) kill(servers []*clustertest.Server) {
	c.t.Helper()
	for _, server := range servers {
		c.NoError(server.Kill())
	}
}

// killAllAndRestart kills all of the servers at once and restarts each after it has ended.
func (c *testCluster) killAllAndRestart(servers []*clustertest.Server) {
	c.t.Helper()
	c.signal(servers, syscall.SIGKILL)
	for _, server := range servers {
		<-server.Exited()
		c.NoError(server.Start())
	}
}

// signal sends a signal to each of the servers.
func (c *testCluster) signal(servers []*clustertest.Server, signal os.Signal) {
	c.t.Helper()
	for _, server := range servers {
		c.NoError(server.Signal(signal))
	}
}

// waitUntilServing waits until each of the servers accepts requests and is connected to its interpreter.
func (c *testCluster) waitUntilServing(servers []*clustertest.Server) {
	c.t.Helper()
	for _, server := range servers {
		c.NoError(emulator.WaitUntilServing(server.RouterAddress))
		isConnected := func() bool { return strings.Contains(server.Log.String(), "event=interpreter_up") }
		c.Eventually(isConnected, servertest.EventTimeout, 5*time.Millisecond, server.Name)
	}
}

// waitForStatus polls the status of each of the servers until accepts has returned true once for each. It returns how
// long each server took, in ascending order. If not all are accepted within convergenceTimeout, it fails the test.
func waitForStatus[Status any](c *testCluster, state string, servers []*clustertest.Server,
	fetch func(*clustertest.Server) (Status, error), accepts func(Status) bool) []time.Duration {
	c.t.Helper()
	startedAt := time.Now()
	var durations []time.Duration
	waiting := slices.Clone(servers)
	for {
		waiting = slices.DeleteFunc(waiting, func(server *clustertest.Server) bool {
			status, err := fetch(server)
			isAccepted := err == nil && accepts(status)
			if isAccepted {
				durations = append(durations, time.Since(startedAt))
			}
			return isAccepted
		})
		if len(waiting) == 0 {
			c.Record("", "%s: observed on %d servers", state, len(servers))
			return durations
		}
		if time.Since(startedAt) > convergenceTimeout {
			status, err := fetch(waiting[0])
			c.FailNow(state, "not reached at %s: %+v, error: %v\n%v", waiting[0].Name, status, err, c.History())
		}
		time.Sleep(statusPollInterval)
	}
}

// serversExcept returns a copy of servers without the excluded ones.
func serversExcept(servers []*clustertest.Server, excluded ...*clustertest.Server) []*clustertest.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(server *clustertest.Server) bool {
		return slices.Contains(excluded, server)
	})
}

// constantEndpoints returns a function for Traffic.EndpointsAt whose endpoint list never changes.
func constantEndpoints(servers []*clustertest.Server) func(time.Duration) []*clustertest.Server {
	return func(time.Duration) []*clustertest.Server { return servers }
}

// platformTraffic returns traffic with the categories and deadlines of servertest.PlatformSettings. The caller sets the
// other fields.
func platformTraffic() clustertest.Traffic {
	return clustertest.Traffic{
		SoftDeadline:       4 * time.Second,
		Deadline:           7 * time.Second,
		IdempotentCategory: "look",
		KeyedCategory:      "book",
	}
}

// shortDeadlineTraffic returns traffic like platformTraffic, but with the deadlines of shortDeadlineSettings.
func shortDeadlineTraffic() clustertest.Traffic {
	traffic := platformTraffic()
	traffic.SoftDeadline = time.Second
	traffic.Deadline = 2 * time.Second
	return traffic
}

// medianLatency sends requests with 0.1 ms of work, one after the other, and returns their median response time.
func (c *testCluster) medianLatency(server *clustertest.Server, requests int) time.Duration {
	c.t.Helper()
	link, err := emulator.Dial(server.RouterAddress)
	c.NoError(err)
	defer servertest.CloseQuietly(link)
	var latencies []time.Duration
	for i := range requests {
		id := fmt.Sprintf("%016x", 1<<60+i)
		sentAt := time.Now()
		_, err := link.Write(emulator.FastCGIRequest(uint16(i+1), "/rpc/brief", fmt.Sprint("0.1 ", i),
			emulator.RequestParameters(id, "acme", 900*time.Millisecond)))
		c.NoError(err)
		response, err := link.ReadResponse()
		c.NoError(err)
		c.Equal(200, response.Status)
		latencies = append(latencies, time.Since(sentAt))
	}
	slices.Sort(latencies)
	return latencies[requests/2]
}
