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
	g := startGossipCluster(t, n, 1)
	all := g.Servers
	both := g.countRivalMajorities()
	converge := g.waitForView("all are there", all, majorityOf(n))
	before := time.Now()
	first, err := all[5].GossipStatus()
	g.NoError(err)

	// Every member tells a crash from a stopped process.
	g.NoError(all[n-1].Kill())
	rest := serversExcept(all, all[n-1])
	detect := g.waitForView("a crash", rest, memberIs(all[n-1].Name, "failed", "crashed"))
	g.NoError(all[n-2].Signal(syscall.SIGSTOP))
	awake := serversExcept(rest, all[n-2])
	g.waitForView("a stop", awake, memberIs(all[n-2].Name, "failed", "stopped"))
	g.NoError(all[n-2].Signal(syscall.SIGCONT))
	g.waitForView("it goes on", awake, memberIs(all[n-2].Name, "serving"))

	// One direction between two members is lost: all still see them serve, and the one that cannot reach reports it.
	g.SetFault(all[3].Index, all[4].Index, clustertest.Fault{Cut: true})
	g.waitForView("a one-way loss", all[3:4], memberIs(all[4].Name, "serving", "unreachable from here alone"))
	for _, s := range awake {
		r, err := s.GossipStatus()
		g.NoError(err)
		g.Equal("serving", memberLine(r, all[4].Name).State, s.Name)
	}
	g.Heal()
	g.waitForView("it is reached again", all[3:4], memberIs(all[4].Name, "serving", ""))

	// A zone is partitioned: it is a minority, the others remain the majority; then they converge.
	g.Partition(func(s *clustertest.Server) int { return s.Index % 3 })
	zones := map[int][]*clustertest.Server{}
	for _, s := range rest {
		zones[s.Index%3] = append(zones[s.Index%3], s)
	}
	g.waitForView("three parts", rest, func(r gossip.Status) bool { return r.QuorumStatus == "part" })
	g.Partition(func(s *clustertest.Server) int { return min(1, s.Index%3) })
	g.waitForView("the zone", zones[0], func(r gossip.Status) bool { return r.QuorumStatus == "part" })
	g.waitForView("the others", append(slices.Clone(zones[1]), zones[2]...),
		func(r gossip.Status) bool { return r.QuorumStatus == "whole" })
	for _, s := range zones[0] {
		r, err := s.GossipStatus()
		g.NoError(err)
		g.Equal("part", r.QuorumStatus)
		g.GreaterOrEqual(r.ExpectedSize, n-1, "a part takes no more than its part")
	}
	g.Heal()
	heal := g.waitForView("they meet", rest, majorityOf(n-1))

	// A graceful leave is announced before any probe fails, and a new incarnation takes the name at once.
	g.NoError(all[2].Signal(syscall.SIGTERM))
	g.waitForView("a leave", serversExcept(rest, all[2]), memberIs(all[2].Name, "gone", "left"))
	<-all[2].Exited()
	g.Equal(0, all[2].ExitCode())
	g.NoError(all[2].Start())
	g.NoError(all[n-1].Start())
	g.waitForView("both are back", all, majorityOf(n))
	alarms := 0
	garbled := int64(0)
	for _, s := range all {
		r, err := s.GossipStatus()
		g.NoError(err)
		alarms += r.Rejected.FalsePositives
		garbled += r.Malformed
	}
	last, err := all[5].GossipStatus()
	g.NoError(err)
	rate := float64(last.SentBytes-first.SentBytes) / time.Since(before).Seconds()
	t.Logf("measured peers members=%d detect_p50_ms=%d detect_p99_ms=%d false_alarms=%d converge_ms=%d heal_ms=%d "+
		"both_whole=%d bytes_a_second=%.0f rss_kb=%d garbled=%d",
		n, detect[len(detect)/2].Milliseconds(), detect[len(detect)-1].Milliseconds(), alarms,
		converge[len(converge)-1].Milliseconds(),
		heal[len(heal)-1].Milliseconds(), both(), rate, anonymousMemoryKB(g, all[5].PID()), garbled)
	g.Zero(garbled)
	g.Zero(both())
}

// Every server is killed and started again within a second, seed members included; then half of them are replaced.
func TestMembershipRecoversAfterAllRestart(t *testing.T) {
	t.Parallel()
	g := startGossipCluster(t, 6, 3)
	all := g.Servers
	g.waitForView("six are there", all, majorityOf(6))
	for _, s := range all {
		g.NoError(s.Kill())
	}
	for i, s := range all {
		if i == 4 { // its clock is a minute behind what it was before
			s.Configure("", "", "", "--clock-shift=-1m")
		}
		g.NoError(s.Start())
	}
	g.waitForView("six are there again", all, majorityOf(6))
	g.NoError(all[4].Configure("", "", "").Kill())
	g.NoError(all[4].Configure("", "", "", "--clock-shift=-5m").Start())
	g.waitForView("a clock that was set back", all, agreedOn(6))
	for _, s := range all[3:] { // at once: three of the five voters may be among them
		g.NoError(s.Signal(syscall.SIGTERM))
		more, err := g.AddServer(len(g.Servers))
		g.NoError(err)
		g.NoError(more.Start())
	}
	g.waitForView("half are replaced", append(slices.Clone(all[:3]), g.Servers[6:]...), agreedOn(6))
	// Every configured seed member is gone: the others stay the majority.
	for _, s := range all[:2] {
		g.NoError(s.Kill())
	}
	g.waitForView("two of the first are gone", g.Servers[6:], agreedOn(4))
	g.NoError(all[2].Kill())
	g.waitForView("all of the first are gone", g.Servers[6:], agreedOn(3))
}

// A network that flaps every 200 ms, a process whose event loop is late by a second again and again, and newcomers
// during a partition: no member stays failed, no two parts act as the majority, and all converge.
func TestMeasuredGossipOnUnsteadyNetwork(t *testing.T) {
	t.Parallel()
	span := 6 * time.Second
	if os.Getenv("MEASURE") == "full" {
		span = 30 * time.Second
	}
	g := startGossipCluster(t, 6, 4)
	all := slices.Clone(g.Servers)
	g.waitForView("six are there", all, agreedOn(6))
	both := g.countRivalMajorities()
	halves := func(s *clustertest.Server) int { return s.Index % 2 }
	for begun, cut := time.Now(), false; time.Since(begun) < span; time.Sleep(200 * time.Millisecond) {
		cut = !cut
		if cut {
			g.Partition(halves)
		} else {
			g.Heal()
		}
	}
	g.Heal()
	flapped := g.waitForView("after flapping", all, agreedOn(6))
	changes := map[string]int{}
	for _, s := range all {
		changes[s.Name] = strings.Count(s.Log.String(), "event=quorum_status")
	}
	late := all[4]
	for begun := time.Now(); time.Since(begun) < span; time.Sleep(300 * time.Millisecond) {
		g.NoError(late.Signal(syscall.SIGSTOP))
		time.Sleep(time.Second)
		g.NoError(late.Signal(syscall.SIGCONT))
	}
	g.waitForView("one that was late", all, agreedOn(6))
	failed := 0
	for _, s := range serversExcept(all, late) {
		failed += strings.Count(s.Log.String(), "member="+late.Name+" to=failed")
	}
	// Two newcomers during a partition: one can reach the seed members, the other cannot.
	side := func(s *clustertest.Server) int {
		if s.Index == 4 || s.Index == 5 || s.Index == 7 {
			return 1
		}
		return 0
	}
	for i := 6; i < 8; i++ {
		_, err := g.AddServer(i)
		g.NoError(err)
	}
	g.Partition(side)
	for _, s := range g.Servers[6:] {
		g.NoError(s.Start())
	}
	g.waitForView("on the side of the first", append(slices.Clone(all[:4]), g.Servers[6]), majorityOf(5))
	g.waitForView("on the other side", g.Servers[7:], func(r gossip.Status) bool { return r.QuorumStatus != "whole" })
	g.Heal()
	met := g.waitForView("they meet", g.Servers, agreedOn(8))
	t.Logf("measured peers-unsteady flapping_s=%.0f settled_after_ms=%d standing_changes=%d late_held_failed=%d "+
		"met_after_ms=%d both_whole=%d", span.Seconds(),
		flapped[len(flapped)-1].Milliseconds(), changes[all[0].Name], failed, met[len(met)-1].Milliseconds(), both())
	g.Zero(both())
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
		`"OnTime":4000.0`, `"OnTime":1000.0`, `"HardLimit":8000.0`, `"HardLimit":2000.0`).Replace(servertest.PlatformSettings)),
		&of))
	served := map[bool]float64{}
	cost := map[bool]time.Duration{}
	for _, talk := range []bool{false, true} {
		index, err := emulator.NewIndex()
		require.NoError(t, err)
		index.ReplyDelay = 50 * time.Millisecond
		index.MaxInFlight = 16
		g := newTestCluster(t, clustertest.Config{ServerCount: 8, Seed: 5, Gossip: talk, Settings: of, Index: index})
		for _, s := range g.Servers {
			s.Interpreter.CallProbability = 1
			g.NoError(s.Start())
		}
		g.waitUntilServing(g.Servers)
		if talk {
			g.waitForView("eight are there", g.Servers, agreedOn(8))
		}
		cost[talk] = g.medianLatency(g.Servers[0], 300)
		rest := g.Servers[2:]
		o := g.RunTraffic(clustertest.Traffic{RouterCount: 8, RequestsPerSecond: 270, Duration: length, MeanWorkMs: 5,
			SoftDeadline: time.Second, Deadline: 2 * time.Second,
			IdempotentCategory: "look", KeyedCategory: "book", KeyedFraction: 0.2, MaxAttempts: 1,
			EndpointsAt: func(time.Duration) []*clustertest.Server { return rest },
			Actions: map[time.Duration]func(*clustertest.Routers){time.Second: func(r *clustertest.Routers) {
				r.Kill(g.Servers[0])
				r.Kill(g.Servers[1])
			}}})
		late := o.OnTimeFractionBySecond[len(o.OnTimeFractionBySecond)*2/3:]
		for _, part := range late {
			served[talk] += part / float64(len(late))
		}
		g.Zero(o.Unanswered + o.PastDeadline + o.DuplicateRuns)
		g.Close()
	}
	t.Logf("measured peers-gain servers=8 killed=2 in_time_without=%.3f in_time_with=%.3f item_ms_without=%.3f "+
		"item_ms_with=%.3f cost_ratio=%.3f", served[false],
		served[true], cost[false].Seconds()*1000, cost[true].Seconds()*1000, cost[true].Seconds()/cost[false].Seconds())
	require.Greater(t, served[true], served[false])
}
