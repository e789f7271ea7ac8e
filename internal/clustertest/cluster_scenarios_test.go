package clustertest_test

import (
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/servertest"
)

// clusterScenario is a fault that is injected into a cluster under load.
type clusterScenario struct {
	name string
	// minOnTime is the fraction of requests; more than that must be served on time.
	minOnTime float64
	// prepare changes the cluster before the servers are started; nil means no change.
	prepare func(cluster *testCluster)
	// injectFault adds a fault to the traffic, at times that depend on its duration; nil means none.
	injectFault func(cluster *testCluster, traffic *clustertest.Traffic)
}

// clusterScenarios holds scenarios that the simulations also run, there with hundreds of servers.
var clusterScenarios = []clusterScenario{
	{name: "cold-together", minOnTime: 0.4, prepare: reportColdInterpreters},
	{name: "routers-reconnect", minOnTime: 0.8, injectFault: dropRouterConnections},
	{name: "directory-gone", minOnTime: 0.9, injectFault: interruptDirectory},
	{name: "one-in-eight-slow", minOnTime: 0.7, prepare: slowDownInterpreters},
	{name: "late-lists", minOnTime: 0.5, injectFault: killServerBeforeListChanges},
	{name: "index-short", minOnTime: 0.3, prepare: limitIndex},
	{name: "half-leave", minOnTime: 0.5, injectFault: drainHalf},
}

// TestMeasuredClusterScenarios runs each scenario on a few real processes. Every attempt that a server reads must get
// one response by its deadline, with the slack allowed on sockets, and no idempotency key may run twice on a server.
// The test logs the lowest fraction of requests on time in any second.
func TestMeasuredClusterScenarios(t *testing.T) {
	servers := 8
	duration := 4 * time.Second
	if isFullMeasurement() {
		servers = 16
		duration = 30 * time.Second
	}
	for i, scenario := range clusterScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			cluster := newTestCluster(t, clustertest.Config{ServerCount: servers, Seed: int64(i + 1)})
			scenario.run(cluster, duration)
		})
	}
}

// run starts the servers of the cluster, runs the scenario on them and checks the outcome.
func (s clusterScenario) run(cluster *testCluster, duration time.Duration) {
	cluster.t.Helper()
	if s.prepare != nil {
		s.prepare(cluster)
	}
	cluster.start(cluster.Servers)
	cluster.waitUntilServing(cluster.Servers)

	const meanWorkMs = 40.0
	const coresPerServer = 2
	capacity := float64(len(cluster.Servers)) * coresPerServer / (meanWorkMs / 1000) // requests per second
	traffic := platformTraffic()
	traffic.RouterCount = 10
	traffic.RequestsPerSecond = capacity * 0.5
	traffic.Duration = duration
	traffic.MeanWorkMs = meanWorkMs
	traffic.KeyedFraction = 0.3
	traffic.MaxAttempts = 3
	traffic.EndpointsAt = constantEndpoints(cluster.Servers)
	traffic.Actions = map[time.Duration]func(*clustertest.Routers){}
	if s.injectFault != nil {
		s.injectFault(cluster, &traffic)
	}
	stats := cluster.RunTraffic(traffic)

	cluster.t.Logf("measured cluster-scenarios scenario=%s servers=%d requests=%d on_time=%.3f rejected=%d failed=%d "+
		"unsent=%d unanswered=%d duplicate_runs=%d past_deadline=%d worst_second=%.2f",
		s.name, len(cluster.Servers), stats.Requests, float64(stats.OnTime)/float64(stats.Requests), stats.Rejected,
		stats.Failed, stats.Unsent, stats.Unanswered, stats.DuplicateRuns, stats.PastDeadline, stats.MinOnTimeFraction)
	cluster.Zero(stats.Unanswered)
	cluster.Zero(stats.DuplicateRuns)
	cluster.Zero(stats.PastDeadline)
	cluster.Greater(float64(stats.OnTime), s.minOnTime*float64(stats.Requests))
	cluster.requireNoCrash()
}

// requireNoCrash checks that each process that has ended was drained, which gives exit code 0, or killed by the test.
func (c *testCluster) requireNoCrash() {
	c.t.Helper()
	const exitCodeKilled = -1
	for _, server := range c.Servers {
		select {
		case <-server.Exited():
			c.Contains([]int{0, exitCodeKilled}, server.ExitCode())
		default:
		}
	}
}

// reportColdInterpreters makes all interpreters report at connection that they have just started.
func reportColdInterpreters(cluster *testCluster) {
	for _, server := range cluster.Servers {
		server.Interpreter.ReportsCold = true
	}
}

// slowDownInterpreters makes the interpreter of every eighth server ten times slower.
func slowDownInterpreters(cluster *testCluster) {
	for i := 0; i < len(cluster.Servers); i += 8 {
		cluster.Servers[i].Interpreter.Inspect(func(v *emulator.Interpreter) { v.Cores.Count = 0.2 })
	}
}

// limitIndex makes the index slow and limits it to four concurrent calls, fewer than the requests need.
func limitIndex(cluster *testCluster) {
	cluster.Index.ReplyDelay = 40 * time.Millisecond
	cluster.Index.MaxInFlight = 4
	for _, server := range cluster.Servers {
		server.Interpreter.CallProbability = 0.8
	}
}

// dropRouterConnections closes the connections of 70% of the routers at once, halfway through the traffic.
func dropRouterConnections(_ *testCluster, traffic *clustertest.Traffic) {
	traffic.Actions[traffic.Duration/2] = func(routers *clustertest.Routers) { routers.DropConnections(0.7) }
}

// interruptDirectory makes the directory unreachable for the middle half of the traffic.
func interruptDirectory(cluster *testCluster, traffic *clustertest.Traffic) {
	traffic.Actions[traffic.Duration/4] = func(*clustertest.Routers) {
		servertest.CloseQuietly(cluster.Directory.Listener.Listener)
	}
	traffic.Actions[traffic.Duration*3/4] = func(*clustertest.Routers) {
		_ = cluster.Directory.Reopen() // the traffic does not need the directory, so an error does not matter
	}
}

// killServerBeforeListChanges kills a server, which stays in the endpoint list for another two seconds.
func killServerBeforeListChanges(cluster *testCluster, traffic *clustertest.Traffic) {
	killed := cluster.Servers[0]
	killAt := traffic.Duration / 2
	traffic.Actions[killAt] = func(routers *clustertest.Routers) { routers.Kill(killed) }
	traffic.EndpointsAt = func(at time.Duration) []*clustertest.Server {
		if at > killAt+2*time.Second {
			return cluster.Servers[1:]
		}
		return cluster.Servers
	}
}

// drainHalf starts a graceful shutdown of half of the servers. They stay in the endpoint list for another second.
func drainHalf(cluster *testCluster, traffic *clustertest.Traffic) {
	half := len(cluster.Servers) / 2
	drainAt := traffic.Duration / 2
	traffic.Actions[drainAt] = func(*clustertest.Routers) {
		for _, server := range cluster.Servers[:half] {
			_ = server.Signal(syscall.SIGTERM) // requireNoCrash checks the exit code at the end
		}
	}
	traffic.EndpointsAt = func(at time.Duration) []*clustertest.Server {
		if at > drainAt+time.Second {
			return cluster.Servers[half:]
		}
		return cluster.Servers
	}
}
