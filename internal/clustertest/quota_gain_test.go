package clustertest_test

import (
	"cmp"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/quota/service"
)

// limitMode is the way in which the downstream calls in flight are limited.
type limitMode string

const (
	quotaMode   limitMode = "quota" // by leases on a quota over all servers
	fixedMode   limitMode = "fixed" // by a fixed limit in the settings, an equal part for each of the initial servers
	noLimitMode limitMode = "none"  // by a limit in the settings that is never reached
)

// In all quota scenarios, the index runs scenarioTotalCalls calls at once, which take scenarioReplyDelay each. Further
// calls slow all calls down, by the square of their number.
const (
	scenarioTotalCalls = 24
	scenarioReplyDelay = 50 * time.Millisecond
)

// quotaScenario is a load or a fault under which the limit modes are compared.
type quotaScenario struct {
	// servers is the initial number of servers, and maxServers the number after the scenario has added servers.
	servers    int
	maxServers int
	// loadFactor is the request rate as a fraction of the index's capacity.
	loadFactor float64
	// quotaYAML is added to the section "shares" of the servers' service settings.
	quotaYAML string
	// adaptTraffic changes the traffic, which otherwise goes to the initial servers; nil means no change.
	adaptTraffic func(run *quotaScenarioRun, traffic *clustertest.Traffic)
}

// quotaScenarios holds the scenarios by name.
var quotaScenarios = map[string]quotaScenario{
	"steady": {servers: 6, maxServers: 6, loadFactor: 0.8},
	"uneven": {servers: 6, maxServers: 6, loadFactor: 0.8, adaptTraffic: loadUnevenly},
	"killed": {servers: 6, maxServers: 6, loadFactor: 0.8, adaptTraffic: killTwo},
	// The guaranteed minimum is one that suits a cluster in which partitions are expected.
	"split": {servers: 6, maxServers: 6, loadFactor: 0.8, quotaYAML: "  floor: 3\n", adaptTraffic: partitionTwo},
	// The three initial servers can use at most their guaranteed minimums and the allocatable calls, 15 of 24.
	"growing": {servers: 3, maxServers: 12, loadFactor: 0.5, adaptTraffic: addServersUnderLoad},
}

// TestMeasuredQuotaGain compares quotas with fixed limits from the settings, when the shared index is the bottleneck.
// With MEASURE=full it also compares them with no limit, and runs all scenarios or those that SCENARIOS names.
func TestMeasuredQuotaGain(t *testing.T) {
	duration := 10 * time.Second
	names := []string{"uneven"}
	modes := []limitMode{quotaMode, fixedMode}
	if isFullMeasurement() {
		duration = 14 * time.Second
		names = strings.Fields(cmp.Or(os.Getenv("SCENARIOS"), "steady uneven killed split growing"))
		modes = []limitMode{quotaMode, fixedMode, noLimitMode}
	}
	for i, name := range names {
		onTime := map[limitMode]float64{}
		for _, mode := range modes {
			run := startQuotaScenario(t, name, mode, int64(20+i))
			onTime[mode] = run.onTimeFraction(duration)
		}
		t.Logf("measured quota-gain scenario=%s total=%d on_time_quota=%.3f on_time_fixed=%.3f on_time_none=%.3f", name,
			scenarioTotalCalls, onTime[quotaMode], onTime[fixedMode], onTime[noLimitMode])
		require.Greater(t, onTime[quotaMode], onTime[fixedMode]*0.9, name)
	}
}

// quotaScenarioRun is one run of a scenario in one limit mode.
type quotaScenarioRun struct {
	*testCluster
	quotaScenario
	name           string
	mode           limitMode
	initialServers []*clustertest.Server // at the start
}

// startQuotaScenario starts the initial servers of a scenario. In quotaMode it waits until all of them have leases.
func startQuotaScenario(t *testing.T, name string, mode limitMode, seed int64) *quotaScenarioRun {
	t.Helper()
	scenario, known := quotaScenarios[name]
	require.True(t, known, name)
	config := quotaClusterConfig{
		servers:    scenario.servers,
		totalCalls: scenarioTotalCalls,
		callShare:  scenarioTotalCalls / float64(scenario.servers),
		seed:       seed,
		replyDelay: scenarioReplyDelay,
		quotaYAML:  func(*clustertest.Server) string { return scenario.quotaYAML },
	}
	switch mode {
	case quotaMode:
		config.slots = scenario.maxServers
	case noLimitMode:
		config.callShare = 1e6
	}
	cluster := startQuotaCluster(t, config)
	cluster.Index.SlowdownThreshold = scenarioTotalCalls
	run := &quotaScenarioRun{
		testCluster:    cluster,
		quotaScenario:  scenario,
		name:           name,
		mode:           mode,
		initialServers: slices.Clone(cluster.Servers),
	}
	if mode == quotaMode {
		cluster.waitForQuota("leases granted", run.initialServers, func(status service.Status) bool {
			return hasAnyLease(status) && status.Limits[0].UsableHere >= 1
		})
	}
	return run
}

// onTimeFraction sends the traffic of the scenario, closes the cluster and returns the mean fraction of requests on
// time in the second half of the duration, when the fault has already begun.
func (r *quotaScenarioRun) onTimeFraction(duration time.Duration) float64 {
	r.t.Helper()
	capacity := scenarioTotalCalls / scenarioReplyDelay.Seconds() // calls per second
	traffic := shortDeadlineTraffic()
	traffic.RouterCount = 8
	traffic.RequestsPerSecond = r.loadFactor * capacity
	traffic.Duration = duration
	traffic.MeanWorkMs = 2
	traffic.MaxAttempts = 2
	traffic.EndpointsAt = constantEndpoints(r.initialServers)
	traffic.Actions = map[time.Duration]func(*clustertest.Routers){}
	if r.adaptTraffic != nil {
		r.adaptTraffic(r, &traffic)
	}
	stats := r.RunTraffic(traffic)

	seconds := len(stats.OnTimeFractionBySecond)
	onTime := mean(stats.OnTimeFractionBySecond[seconds/2 : seconds-1])
	peak := r.Index.PeakInFlight()
	r.t.Logf("measured quota-scenario scenario=%s mode=%s servers=%d on_time=%.3f rejected=%d failed=%d peak=%d "+
		"total=%d past_deadline=%d unanswered=%d",
		r.name, r.mode, r.servers, onTime, stats.Rejected, stats.Failed, peak,
		scenarioTotalCalls, stats.PastDeadline, stats.Unanswered)
	if r.mode == quotaMode {
		r.LessOrEqual(peak, scenarioTotalCalls)
	}
	r.Zero(stats.DuplicateRuns, "run twice")
	r.Zero(stats.PastDeadline, "past the deadline")
	r.Close()
	return onTime
}

// loadUnevenly sends most of the requests to two of six servers: ten of fourteen.
func loadUnevenly(run *quotaScenarioRun, traffic *clustertest.Traffic) {
	first := slices.Repeat(run.initialServers[:1], 4)
	second := slices.Repeat(run.initialServers[1:2], 4)
	traffic.EndpointsAt = constantEndpoints(slices.Concat(run.initialServers, first, second))
}

// killTwo kills two servers after a quarter of the duration and removes them from the endpoint list at the same time.
func killTwo(run *quotaScenarioRun, traffic *clustertest.Traffic) {
	killAt := traffic.Duration / 4
	traffic.EndpointsAt = func(at time.Duration) []*clustertest.Server {
		if at > killAt {
			return run.initialServers[2:]
		}
		return run.initialServers
	}
	traffic.Actions[killAt] = func(routers *clustertest.Routers) {
		routers.Kill(run.initialServers[0])
		routers.Kill(run.initialServers[1])
	}
}

// partitionTwo separates two servers from the others for six seconds.
func partitionTwo(run *quotaScenarioRun, traffic *clustertest.Traffic) {
	cutAt := traffic.Duration / 4
	traffic.Actions[cutAt] = func(*clustertest.Routers) { run.Partition(isAmongFirstTwo) }
	traffic.Actions[cutAt+6*time.Second] = func(*clustertest.Routers) { run.Heal() }
}

// addServersUnderLoad adds servers up to maxServers. They enter the endpoint list after all have started; in quotaMode,
// after all have leases.
func addServersUnderLoad(run *quotaScenarioRun, traffic *clustertest.Traffic) {
	var lock sync.Mutex
	endpoints := run.initialServers
	traffic.EndpointsAt = func(time.Duration) []*clustertest.Server {
		lock.Lock()
		defer lock.Unlock()
		return endpoints
	}
	traffic.Actions[traffic.Duration/4] = func(*clustertest.Routers) {
		for index := run.servers; index < run.maxServers; index++ {
			if err := addServerWithCalls(run.testCluster, index); err != nil {
				run.t.Error(err)
				return
			}
		}
		if run.mode == quotaMode {
			run.waitForQuota("leases at added servers", run.CurrentServers(), hasAnyLease)
		}
		lock.Lock()
		defer lock.Unlock()
		endpoints = run.CurrentServers()
	}
}

// addServerWithCalls adds a server, waits until it serves, and then makes each of its requests make a downstream call.
func addServerWithCalls(cluster *testCluster, index int) error {
	server, err := cluster.AddServer(index)
	if err != nil {
		return err
	}
	if err := server.Start(); err != nil {
		return err
	}
	if err := emulator.WaitUntilServing(server.RouterAddress); err != nil {
		return err
	}
	server.Interpreter.CallProbability = 1
	return nil
}
