package clustertest_test

import (
	"encoding/json"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/gossip"
	"thistlequay/internal/servertest"
)

// A crash, a stopped process, one-way loss, a partitioned zone, a graceful leave and restarts, on real processes:
// each is told by its evidence, no two parts claim the majority at once, and the views converge again.
func TestMeasuredGossipThroughFaults(t *testing.T) {
	t.Parallel()
	n := 12
	if os.Getenv("MEASURE") == "full" {
		n = 40
	}
	cluster := startGossipCluster(t, n, 1)
	all := cluster.Servers
	both := cluster.countRivalMajorities()
	converge := cluster.waitForView("all are there", all, majorityOf(n))
	before := time.Now()
	first, err := all[5].GossipStatus()
	cluster.NoError(err)

	// Every member tells a crash from a stopped process.
	cluster.NoError(all[n-1].Kill())
	rest := serversExcept(all, all[n-1])
	detect := cluster.waitForView("a crash", rest, memberIs(all[n-1].Name, "failed", "crashed"))
	cluster.NoError(all[n-2].Signal(syscall.SIGSTOP))
	awake := serversExcept(rest, all[n-2])
	cluster.waitForView("a stop", awake, memberIs(all[n-2].Name, "failed", "stopped"))
	cluster.NoError(all[n-2].Signal(syscall.SIGCONT))
	cluster.waitForView("it goes on", awake, memberIs(all[n-2].Name, "serving"))

	// One direction between two members is lost: all still see them serve, and the one that cannot reach reports it.
	cluster.SetFault(all[3].Index, all[4].Index, clustertest.Fault{Cut: true})
	cluster.waitForView("a one-way loss", all[3:4], memberIs(all[4].Name, "serving", "unreachable from here alone"))
	for _, server := range awake {
		status, err := server.GossipStatus()
		cluster.NoError(err)
		cluster.Equal("serving", memberLine(status, all[4].Name).State, server.Name)
	}
	cluster.Heal()
	cluster.waitForView("it is reached again", all[3:4], memberIs(all[4].Name, "serving", ""))

	// A zone is partitioned: it is a minority, the others remain the majority; then they converge.
	cluster.Partition(func(server *clustertest.Server) int { return server.Index % 3 })
	zones := map[int][]*clustertest.Server{}
	for _, server := range rest {
		zones[server.Index%3] = append(zones[server.Index%3], server)
	}
	cluster.waitForView("three parts", rest, func(status gossip.Status) bool { return status.QuorumStatus == "part" })
	cluster.Partition(func(server *clustertest.Server) int { return min(1, server.Index%3) })
	cluster.waitForView("the zone", zones[0], func(status gossip.Status) bool { return status.QuorumStatus == "part" })
	cluster.waitForView("the others", append(slices.Clone(zones[1]), zones[2]...),
		func(status gossip.Status) bool { return status.QuorumStatus == "whole" })
	for _, server := range zones[0] {
		status, err := server.GossipStatus()
		cluster.NoError(err)
		cluster.Equal("part", status.QuorumStatus)
		cluster.GreaterOrEqual(status.ExpectedSize, n-1, "a part takes no more than its part")
	}
	cluster.Heal()
	heal := cluster.waitForView("they meet", rest, majorityOf(n-1))

	// A graceful leave is announced before any probe fails, and a new incarnation takes the name at once.
	cluster.NoError(all[2].Signal(syscall.SIGTERM))
	cluster.waitForView("a leave", serversExcept(rest, all[2]), memberIs(all[2].Name, "gone", "left"))
	<-all[2].Exited()
	cluster.Equal(0, all[2].ExitCode())
	cluster.NoError(all[2].Start())
	cluster.NoError(all[n-1].Start())
	cluster.waitForView("both are back", all, majorityOf(n))
	alarms := 0
	garbled := int64(0)
	for _, server := range all {
		status, err := server.GossipStatus()
		cluster.NoError(err)
		alarms += status.Rejected.FalsePositives
		garbled += status.Malformed
	}
	last, err := all[5].GossipStatus()
	cluster.NoError(err)
	rate := float64(last.SentBytes-first.SentBytes) / time.Since(before).Seconds()
	t.Logf("measured peers members=%d detect_p50_ms=%d detect_p99_ms=%d false_alarms=%d converge_ms=%d heal_ms=%d "+
		"both_whole=%d bytes_a_second=%.0f rss_kb=%d garbled=%d",
		n, detect[len(detect)/2].Milliseconds(), detect[len(detect)-1].Milliseconds(), alarms,
		converge[len(converge)-1].Milliseconds(),
		heal[len(heal)-1].Milliseconds(), both(), rate, anonymousMemoryKB(cluster, all[5].PID()), garbled)
	cluster.Zero(garbled)
	cluster.Zero(both())
}

// Every server is killed and started again within a second, seed members included; then half of them are replaced.
func TestMembershipRecoversAfterAllRestart(t *testing.T) {
	t.Parallel()
	cluster := startGossipCluster(t, 6, 3)
	all := cluster.Servers
	cluster.waitForView("six are there", all, majorityOf(6))
	for _, server := range all {
		cluster.NoError(server.Kill())
	}
	for i, server := range all {
		if i == 4 { // its clock is a minute behind what it was before
			server.Configure("", "", "", "--clock-shift=-1m")
		}
		cluster.NoError(server.Start())
	}
	cluster.waitForView("six are there again", all, majorityOf(6))
	cluster.NoError(all[4].Configure("", "", "").Kill())
	cluster.NoError(all[4].Configure("", "", "", "--clock-shift=-5m").Start())
	cluster.waitForView("a clock that was set back", all, agreedOn(6))
	for _, server := range all[3:] { // at once: three of the five voters may be among them
		cluster.NoError(server.Signal(syscall.SIGTERM))
		more, err := cluster.AddServer(len(cluster.Servers))
		cluster.NoError(err)
		cluster.NoError(more.Start())
	}
	cluster.waitForView("half are replaced", append(slices.Clone(all[:3]), cluster.Servers[6:]...), agreedOn(6))
	// Every configured seed member is gone: the others stay the majority.
	for _, server := range all[:2] {
		cluster.NoError(server.Kill())
	}
	cluster.waitForView("two of the first are gone", cluster.Servers[6:], agreedOn(4))
	cluster.NoError(all[2].Kill())
	cluster.waitForView("all of the first are gone", cluster.Servers[6:], agreedOn(3))
}

// A network that flaps every 200 ms, a process whose event loop is late by a second again and again, and newcomers
// during a partition: no member stays failed, no two parts act as the majority, and all converge.
func TestMeasuredGossipOnUnsteadyNetwork(t *testing.T) {
	t.Parallel()
	span := 6 * time.Second
	if os.Getenv("MEASURE") == "full" {
		span = 30 * time.Second
	}
	cluster := startGossipCluster(t, 6, 4)
	all := slices.Clone(cluster.Servers)
	cluster.waitForView("six are there", all, agreedOn(6))
	both := cluster.countRivalMajorities()
	halves := func(server *clustertest.Server) int { return server.Index % 2 }
	for begun, cut := time.Now(), false; time.Since(begun) < span; time.Sleep(200 * time.Millisecond) {
		cut = !cut
		if cut {
			cluster.Partition(halves)
		} else {
			cluster.Heal()
		}
	}
	cluster.Heal()
	flapped := cluster.waitForView("after flapping", all, agreedOn(6))
	changes := map[string]int{}
	for _, server := range all {
		changes[server.Name] = strings.Count(server.Log.String(), "event=quorum_status")
	}
	late := all[4]
	for begun := time.Now(); time.Since(begun) < span; time.Sleep(300 * time.Millisecond) {
		cluster.NoError(late.Signal(syscall.SIGSTOP))
		time.Sleep(time.Second)
		cluster.NoError(late.Signal(syscall.SIGCONT))
	}
	cluster.waitForView("one that was late", all, agreedOn(6))
	failed := 0
	for _, server := range serversExcept(all, late) {
		failed += strings.Count(server.Log.String(), "member="+late.Name+" to=failed")
	}
	// Two newcomers during a partition: one can reach the seed members, the other cannot.
	side := func(server *clustertest.Server) int {
		if server.Index == 4 || server.Index == 5 || server.Index == 7 {
			return 1
		}
		return 0
	}
	for i := 6; i < 8; i++ {
		_, err := cluster.AddServer(i)
		cluster.NoError(err)
	}
	cluster.Partition(side)
	for _, server := range cluster.Servers[6:] {
		cluster.NoError(server.Start())
	}
	cluster.waitForView("on the side of the first", append(slices.Clone(all[:4]), cluster.Servers[6]), majorityOf(5))
	cluster.waitForView("on the other side", cluster.Servers[7:],
		func(status gossip.Status) bool { return status.QuorumStatus != "whole" })
	cluster.Heal()
	met := cluster.waitForView("they meet", cluster.Servers, agreedOn(8))
	t.Logf("measured peers-unsteady flapping_s=%.0f settled_after_ms=%d standing_changes=%d late_held_failed=%d "+
		"met_after_ms=%d both_whole=%d", span.Seconds(),
		flapped[len(flapped)-1].Milliseconds(), changes[all[0].Name], failed, met[len(met)-1].Milliseconds(), both())
	cluster.Zero(both())
}

// What the cluster view gains where the shared index is the limit and a quarter of the servers are killed: each of the
// others takes its larger part. And what gossip costs a request.
func TestMeasuredGossipGain(t *testing.T) {
	length := 15 * time.Second
	if os.Getenv("MEASURE") == "full" {
		length = 45 * time.Second
	}
	var of map[string]any
	require.NoError(t, json.Unmarshal([]byte(strings.NewReplacer(`"CallShare":9.0`, `"CallShare":2.0`, `"Servers":3`,
		`"Servers":8`,
		`"OnTime":4000.0`, `"OnTime":1000.0`, `"HardLimit":8000.0`,
		`"HardLimit":2000.0`).Replace(servertest.PlatformSettings)),
		&of))
	served := map[bool]float64{}
	cost := map[bool]time.Duration{}
	for _, talk := range []bool{false, true} {
		index, err := emulator.NewIndex()
		require.NoError(t, err)
		index.ReplyDelay = 50 * time.Millisecond
		index.MaxInFlight = 16
		cluster := newTestCluster(t, clustertest.Config{ServerCount: 8, Seed: 5, Gossip: talk, Settings: of,
			Index: index})
		for _, server := range cluster.Servers {
			server.Interpreter.CallProbability = 1
			cluster.NoError(server.Start())
		}
		cluster.waitUntilServing(cluster.Servers)
		if talk {
			cluster.waitForView("eight are there", cluster.Servers, agreedOn(8))
		}
		cost[talk] = cluster.medianLatency(cluster.Servers[0], 300)
		rest := cluster.Servers[2:]
		stats := cluster.RunTraffic(clustertest.Traffic{RouterCount: 8, RequestsPerSecond: 270, Duration: length,
			MeanWorkMs:   5,
			SoftDeadline: time.Second, Deadline: 2 * time.Second,
			IdempotentCategory: "look", KeyedCategory: "book", KeyedFraction: 0.2, MaxAttempts: 1,
			EndpointsAt: func(time.Duration) []*clustertest.Server { return rest },
			Actions: map[time.Duration]func(*clustertest.Routers){time.Second: func(r *clustertest.Routers) {
				r.Kill(cluster.Servers[0])
				r.Kill(cluster.Servers[1])
			}}})
		late := stats.OnTimeFractionBySecond[len(stats.OnTimeFractionBySecond)*2/3:]
		for _, part := range late {
			served[talk] += part / float64(len(late))
		}
		cluster.Zero(stats.Unanswered + stats.PastDeadline + stats.DuplicateRuns)
		cluster.Close()
	}
	t.Logf("measured peers-gain servers=8 killed=2 in_time_without=%.3f in_time_with=%.3f item_ms_without=%.3f "+
		"item_ms_with=%.3f cost_ratio=%.3f", served[false],
		served[true], cost[false].Seconds()*1000, cost[true].Seconds()*1000, cost[true].Seconds()/cost[false].Seconds())
	require.Greater(t, served[true], served[false])
}
