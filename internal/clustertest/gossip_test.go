package clustertest_test

import (
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/gossip"
)

// TestMeasuredGossipThroughFaults injects a crash, a stopped process, one-way packet loss, partitions between zones, a
// graceful shutdown and restarts into a cluster of real processes. The cluster views must report the right cause for
// each and converge again, and no two parts of the cluster may claim the majority at the same time.
func TestMeasuredGossipThroughFaults(t *testing.T) {
	t.Parallel()
	servers := 12
	if isFullMeasurement() {
		servers = 40
	}
	cluster := startGossipCluster(t, servers, 1)
	all := cluster.Servers
	rivals := cluster.countRivalMajorities()
	converged := cluster.waitForView("all alive", all, majorityOf(servers))
	observer := all[5]
	startedAt := time.Now()
	first := cluster.gossipStatus(observer)

	crashed := all[servers-1]
	stopped := all[servers-2]
	running := serversExcept(all, crashed)
	neverStopped := serversExcept(running, stopped)
	detected := cluster.requireCrashDetected(crashed, running)
	cluster.requireStopDetected(stopped, neverStopped)
	cluster.requireAliveDespiteOneWayLoss(all[3], all[4], neverStopped)
	healed := cluster.requireZoneInMinority(running)
	cluster.requireLeaveAnnounced(all[2], serversExcept(running, all[2]))
	cluster.start([]*clustertest.Server{all[2], crashed})
	cluster.waitForView("both restarted", all, majorityOf(servers))

	falsePositives := 0
	malformed := int64(0)
	for _, server := range all {
		status := cluster.gossipStatus(server)
		falsePositives += status.Rejected.FalsePositives
		malformed += status.Malformed
	}
	last := cluster.gossipStatus(observer)
	bytesPerSecond := float64(last.SentBytes-first.SentBytes) / time.Since(startedAt).Seconds()
	memoryKB, err := clustertest.ProcessMemoryKB(observer.PID(), clustertest.AnonymousMemory)
	cluster.NoError(err)
	t.Logf("measured gossip members=%d detect_p50_ms=%d detect_p99_ms=%d false_positives=%d converge_ms=%d heal_ms=%d "+
		"both_whole=%d bytes_per_second=%.0f rss_kb=%d malformed=%d",
		servers, detected[len(detected)/2].Milliseconds(), longest(detected).Milliseconds(), falsePositives,
		longest(converged).Milliseconds(), longest(healed).Milliseconds(),
		rivals.Count(), bytesPerSecond, memoryKB, malformed)
	cluster.Zero(malformed)
	cluster.Zero(rivals.Count())
}

// longest returns the last element of durations, which must be in ascending order.
func longest(durations []time.Duration) time.Duration { return durations[len(durations)-1] }

// requireCrashDetected kills a server and checks that the others report a crashed process. It returns how long each of
// them took, in ascending order.
func (c *testCluster) requireCrashDetected(crashed *clustertest.Server, others []*clustertest.Server) []time.Duration {
	c.t.Helper()
	c.NoError(crashed.Kill())
	return c.waitForView("crash detected", others, memberIs(crashed.Name, "failed", "crashed"))
}

// requireStopDetected pauses a server and lets it continue. The others must report it as stopped, then as serving
// again.
func (c *testCluster) requireStopDetected(stopped *clustertest.Server, others []*clustertest.Server) {
	c.t.Helper()
	c.NoError(stopped.Signal(syscall.SIGSTOP))
	c.waitForView("stop detected", others, memberIs(stopped.Name, "failed", "stopped"))
	c.NoError(stopped.Signal(syscall.SIGCONT))
	c.waitForView("stopped server continues", others, memberIs(stopped.Name, "serving"))
}

// requireAliveDespiteOneWayLoss drops everything that one server sends to another. The sender must report that it alone
// cannot reach the other server, and all servers must still see that one as serving.
func (c *testCluster) requireAliveDespiteOneWayLoss(from, to *clustertest.Server, servers []*clustertest.Server) {
	c.t.Helper()
	sender := []*clustertest.Server{from}
	c.SetFault(from.Index, to.Index, clustertest.Fault{Cut: true})
	c.waitForView("one-way loss detected", sender, memberIs(to.Name, "serving", "unreachable from here alone"))
	for _, server := range servers {
		c.Equal("serving", memberStatus(c.gossipStatus(server), to.Name).State, server.Name)
	}
	c.Heal()
	c.waitForView("reachable again", sender, memberIs(to.Name, "serving", ""))
}

// requireZoneInMinority first partitions the cluster into its three zones, none of which has a majority. Then it
// separates only the first zone from the other two, which together have the majority. The minority must still expect
// the size of the whole cluster. It returns how long each server took to converge after the network was healed, in
// ascending order.
func (c *testCluster) requireZoneInMinority(servers []*clustertest.Server) []time.Duration {
	c.t.Helper()
	zoneOf := func(server *clustertest.Server) int { return server.Index % 3 }
	zones := map[int][]*clustertest.Server{}
	for _, server := range servers {
		zones[zoneOf(server)] = append(zones[zoneOf(server)], server)
	}
	c.Partition(zoneOf)
	c.waitForView("three zones in the minority", servers, quorumStatusIs(minority))
	c.Partition(func(server *clustertest.Server) int { return min(1, zoneOf(server)) })
	c.waitForView("first zone in the minority", zones[0], quorumStatusIs(minority))
	c.waitForView("other zones in the majority", slices.Concat(zones[1], zones[2]), quorumStatusIs(majority))
	for _, server := range zones[0] {
		status := c.gossipStatus(server)
		c.Equal(minority, status.QuorumStatus)
		c.GreaterOrEqual(status.ExpectedSize, len(servers), "a minority must divide limits by the whole cluster")
	}
	c.Heal()
	return c.waitForView("zones converge", servers, majorityOf(len(servers)))
}

// requireLeaveAnnounced shuts a server down gracefully. The others must report that it left before any probe fails.
func (c *testCluster) requireLeaveAnnounced(leaving *clustertest.Server, others []*clustertest.Server) {
	c.t.Helper()
	c.NoError(leaving.Signal(syscall.SIGTERM))
	c.waitForView("leave announced", others, memberIs(leaving.Name, "gone", "left"))
	<-leaving.Exited()
	c.Equal(0, leaving.ExitCode())
}

// TestMembershipRecoversAfterAllRestart kills all servers, including the seed members, and starts them again at once,
// one of them with its clock set back. Then it replaces half of the servers at once, and finally kills the seed members
// without restarting them. After each step the remaining servers must be a majority again, and after all but the first
// restart also agree on a cluster configuration.
func TestMembershipRecoversAfterAllRestart(t *testing.T) {
	t.Parallel()
	cluster := startGossipCluster(t, 6, 3)
	all := cluster.Servers
	cluster.waitForView("six alive", all, majorityOf(6))
	cluster.kill(all)
	wrongClock := all[4]
	wrongClock.Configure("", "", "", "--clock-shift=-1m") // a minute behind its earlier incarnation
	cluster.start(all)
	cluster.waitForView("six alive again", all, majorityOf(6))
	cluster.NoError(wrongClock.Kill())
	cluster.NoError(wrongClock.Configure("", "", "", "--clock-shift=-5m").Start())
	cluster.waitForView("clock set back", all, agreedOn(6))

	for _, server := range all[3:] { // without waits between them: three of the five voters may be among them
		cluster.NoError(server.Signal(syscall.SIGTERM))
		added, err := cluster.AddServer(len(cluster.Servers))
		cluster.NoError(err)
		cluster.NoError(added.Start())
	}
	added := cluster.Servers[6:]
	cluster.waitForView("half replaced", slices.Concat(all[:3], added), agreedOn(6))

	// Without any of the configured seed members, the others must remain the majority.
	cluster.kill(all[:2])
	cluster.waitForView("two seed members gone", added, agreedOn(4))
	cluster.NoError(all[2].Kill())
	cluster.waitForView("all seed members gone", added, agreedOn(3))
}

// TestMeasuredGossipOnUnsteadyNetwork partitions and heals the network in turn every 200 ms, then repeatedly pauses one
// process for a second, then adds servers on both sides of a partition. No member may stay failed, no two parts of the
// cluster may claim the majority at the same time, and the cluster views must converge.
func TestMeasuredGossipOnUnsteadyNetwork(t *testing.T) {
	t.Parallel()
	duration := 6 * time.Second
	if isFullMeasurement() {
		duration = 30 * time.Second
	}
	cluster := startGossipCluster(t, 6, 4)
	all := slices.Clone(cluster.Servers)
	cluster.waitForView("six alive", all, agreedOn(6))
	rivals := cluster.countRivalMajorities()

	cluster.flapPartition(duration)
	settled := cluster.waitForView("settled after flapping", all, agreedOn(6))
	statusChanges := strings.Count(all[0].Log.String(), "event=quorum_status")

	paused := all[4]
	cluster.stopRepeatedly(paused, duration)
	cluster.waitForView("late server alive", all, agreedOn(6))
	failures := 0
	for _, server := range serversExcept(all, paused) {
		failures += strings.Count(server.Log.String(), "member="+paused.Name+" to=failed")
	}

	converged := cluster.addServersDuringPartition()
	t.Logf("measured gossip-unsteady flapping_s=%.0f settled_after_ms=%d quorum_status_changes=%d late_failed=%d "+
		"converged_after_ms=%d both_whole=%d",
		duration.Seconds(), longest(settled).Milliseconds(), statusChanges, failures,
		longest(converged).Milliseconds(), rivals.Count())
	cluster.Zero(rivals.Count())
}

// flapPartition switches every 200 ms between a partition of the cluster into halves and a healed network, and ends
// with the network healed.
func (c *testCluster) flapPartition(duration time.Duration) {
	startedAt := time.Now()
	isPartitioned := false
	for time.Since(startedAt) < duration {
		isPartitioned = !isPartitioned
		if isPartitioned {
			c.Partition(func(server *clustertest.Server) int { return server.Index % 2 })
		} else {
			c.Heal()
		}
		time.Sleep(200 * time.Millisecond) // the fault itself
	}
	c.Heal()
}

// stopRepeatedly pauses a server for one second at a time, with 300 ms between the pauses, until the duration is over.
func (c *testCluster) stopRepeatedly(server *clustertest.Server, duration time.Duration) {
	c.t.Helper()
	startedAt := time.Now()
	for time.Since(startedAt) < duration {
		c.NoError(server.Signal(syscall.SIGSTOP))
		time.Sleep(time.Second) // the fault itself
		c.NoError(server.Signal(syscall.SIGCONT))
		time.Sleep(300 * time.Millisecond)
	}
}

// addServersDuringPartition adds two servers to a cluster of six during a partition. One can reach the seed members and
// joins the majority; the other cannot and must not claim one. It returns how long each server took to converge after
// the network was healed, in ascending order.
func (c *testCluster) addServersDuringPartition() []time.Duration {
	c.t.Helper()
	for index := 6; index < 8; index++ {
		_, err := c.AddServer(index)
		c.NoError(err)
	}
	minoritySide := []int{4, 5, 7}
	c.Partition(func(server *clustertest.Server) int {
		if slices.Contains(minoritySide, server.Index) {
			return 1
		}
		return 0
	})
	c.start(c.Servers[6:])
	majoritySide := slices.Concat(c.Servers[:4], c.Servers[6:7])
	c.waitForView("added server in the majority", majoritySide, majorityOf(5))
	c.waitForView("added server without a majority", c.Servers[7:],
		func(status gossip.Status) bool { return status.QuorumStatus != majority })
	c.Heal()
	return c.waitForView("both sides converge", c.Servers, agreedOn(8))
}

// TestMeasuredGossipGain measures the benefit of the cluster view when the shared index is the bottleneck and a quarter
// of the servers are killed: with gossip, each remaining server raises its part of the index's capacity. It also
// measures how much gossip adds to the latency of a request.
func TestMeasuredGossipGain(t *testing.T) {
	duration := 15 * time.Second
	if isFullMeasurement() {
		duration = 45 * time.Second
	}
	without := measureGossipGain(t, false, duration)
	with := measureGossipGain(t, true, duration)
	t.Logf("measured gossip-gain servers=8 killed=2 on_time_without=%.3f on_time_with=%.3f "+
		"request_ms_without=%.3f request_ms_with=%.3f latency_ratio=%.3f",
		without.onTime, with.onTime, without.latency.Seconds()*1000, with.latency.Seconds()*1000,
		with.latency.Seconds()/without.latency.Seconds())
	require.Greater(t, with.onTime, without.onTime)
}

// gossipGain holds the results of one run of measureGossipGain.
type gossipGain struct {
	onTime  float64       // mean fraction of the requests on time in the last third of the run
	latency time.Duration // median for small requests before the load starts
}

// measureGossipGain kills two of eight servers under load and measures the requests on time afterwards. The index runs
// up to 16 calls at once, two per server.
func measureGossipGain(t *testing.T, withGossip bool, duration time.Duration) gossipGain {
	t.Helper()
	index, err := emulator.NewIndex()
	require.NoError(t, err)
	index.ReplyDelay = 50 * time.Millisecond
	index.MaxInFlight = 16
	cluster := newTestCluster(t, clustertest.Config{
		ServerCount: 8,
		Seed:        5,
		Gossip:      withGossip,
		Settings:    shortDeadlineSettings(t, 8, 2.0),
		Index:       index,
	})
	for _, server := range cluster.Servers {
		server.Interpreter.CallProbability = 1
		cluster.NoError(server.Start())
	}
	cluster.waitUntilServing(cluster.Servers)
	if withGossip {
		cluster.waitForView("eight in the configuration", cluster.Servers, agreedOn(8))
	}
	gain := gossipGain{latency: cluster.medianLatency(cluster.Servers[0], 300)}

	traffic := shortDeadlineTraffic()
	traffic.RouterCount = 8
	traffic.RequestsPerSecond = 270
	traffic.Duration = duration
	traffic.MeanWorkMs = 5
	traffic.KeyedFraction = 0.2
	traffic.MaxAttempts = 1
	traffic.EndpointsAt = constantEndpoints(cluster.Servers[2:])
	traffic.Actions = map[time.Duration]func(*clustertest.Routers){
		time.Second: func(routers *clustertest.Routers) {
			routers.Kill(cluster.Servers[0])
			routers.Kill(cluster.Servers[1])
		},
	}
	stats := cluster.RunTraffic(traffic)
	cluster.Zero(stats.Unanswered, "unanswered")
	cluster.Zero(stats.DuplicateRuns, "run twice")
	cluster.Zero(stats.PastDeadline, "past the deadline")
	cluster.Close()
	gain.onTime = mean(stats.OnTimeFractionBySecond[len(stats.OnTimeFractionBySecond)*2/3:])
	return gain
}

// mean returns the mean of the values, or 0 if there are none.
func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value / float64(len(values))
	}
	return sum
}
