package clustertest_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/quota/service"
)

// quotaClusterConfig describes a cluster in which every request makes a downstream call, and a quota limits the
// downstream calls in flight over all servers.
type quotaClusterConfig struct {
	servers int
	// slots is the maximum number of servers with a guaranteed minimum. With 0 there is no quota, and each server is
	// limited by callShare.
	slots int
	// totalCalls is the total of the quota, in calls in flight.
	totalCalls int
	// callShare is each server's fixed limit of calls in flight in the platform's settings.
	callShare float64
	seed      int64
	// replyDelay is the time that the index needs for a call.
	replyDelay time.Duration
	// quotaYAML returns further lines for the section "shares" of a server's service settings; nil means none.
	quotaYAML func(server *clustertest.Server) string
	// prepare changes the servers before they are started; nil means no change.
	prepare func(servers []*clustertest.Server)
}

// startQuotaCluster starts a cluster and waits until all servers accept requests.
func startQuotaCluster(t *testing.T, config quotaClusterConfig) *testCluster {
	t.Helper()
	index, err := emulator.NewIndex()
	require.NoError(t, err)
	index.ReplyDelay = config.replyDelay
	clusterConfig := clustertest.Config{
		ServerCount: config.servers,
		Seed:        config.seed,
		Gossip:      config.slots > 0,
		Settings:    shortDeadlineSettings(t, config.servers, config.callShare),
		Index:       index,
	}
	if config.slots > 0 {
		clusterConfig.ServiceYAML = func(server *clustertest.Server) string {
			text := quotaYAML(config.totalCalls, config.slots)
			if config.quotaYAML != nil {
				text += config.quotaYAML(server)
			}
			return text
		}
	}
	cluster := newTestCluster(t, clusterConfig)
	if config.prepare != nil {
		config.prepare(cluster.Servers)
	}
	for _, server := range cluster.Servers {
		server.Interpreter.CallProbability = 1
		cluster.NoError(server.Start())
	}
	cluster.waitUntilServing(cluster.Servers)
	return cluster
}

// quotaYAML returns the section "shares" of a server's service settings, with a quota of calls in flight.
func quotaYAML(totalCalls, slots int) string {
	return fmt.Sprintf("shares:\n  calls: %d\n  slots: %d\n", totalCalls, slots)
}

// namedCoordinatorsYAML returns lines for the section "shares" that make the first three servers the coordinators,
// which store their log on disk.
func namedCoordinatorsYAML(server *clustertest.Server) string {
	return fmt.Sprintf("  keepers: [n00, n01, n02]\n  directory: keeper-%s\n", server.Name)
}

// newLogYAML returns the lines of namedCoordinatorsYAML for the first start, at which the coordinators begin a new log.
func newLogYAML(server *clustertest.Server) string {
	return namedCoordinatorsYAML(server) + "  fresh: true\n"
}

// waitForQuota waits until each of the servers has had a quota status that accepts returns true for, and returns how
// long that took. The state names the expected status in the history and in failures.
func (c *testCluster) waitForQuota(state string, servers []*clustertest.Server,
	accepts func(service.Status) bool) time.Duration {
	c.t.Helper()
	startedAt := time.Now()
	waitForStatus(c, state, servers, (*clustertest.Server).QuotaStatus, accepts)
	return time.Since(startedAt)
}

// hasLease reports whether a server has a lease on more than its guaranteed minimum.
func hasLease(status service.Status) bool {
	return hasAnyLease(status) && status.Limits[0].UsableHere > 1
}

// hasAnyLease reports whether a server has a lease, which may be on its guaranteed minimum only.
func hasAnyLease(status service.Status) bool { return status.Limits[0].ExpiresInMs > 0 }

// isOnGuaranteedMinimum reports whether a server has no lease and limits itself to its guaranteed minimum.
func isOnGuaranteedMinimum(status service.Status) bool {
	return status.Limits[0].ExpiresInMs == 0 && status.Limits[0].UsableHere == 1
}

// knowsVoters reports whether the voter list has the given size and no unknown name.
func knowsVoters(status service.Status, count int) bool {
	return len(status.Voters) == count && !slices.Contains(status.Voters, "?")
}

// waitForLeader waits until one of the servers leads the quota coordinators with a quorum and may grant leases, and
// returns it.
func (c *testCluster) waitForLeader(servers []*clustertest.Server) *clustertest.Server {
	c.t.Helper()
	var leader *clustertest.Server
	c.Eventually(func() bool {
		for _, server := range servers {
			status, err := server.QuotaStatus()
			if err == nil && status.IsLeader && status.HasQuorum && status.Opened {
				leader = server
				return true
			}
		}
		return false
	}, convergenceTimeout, statusPollInterval)
	return leader
}

// quotaLoad is continuous traffic that needs more downstream calls in flight than the quota allows.
type quotaLoad struct {
	cluster           *testCluster
	requestsPerSecond float64
	stopRequested     chan struct{}
	stopped           chan struct{}
	once              sync.Once
	stats             clustertest.TrafficStats // sums of all runs so far; read only after stopped is closed

	lock      sync.Mutex
	endpoints []*clustertest.Server
}

// startLoad starts traffic to the servers that lasts until stop is called or the test ends.
func (c *testCluster) startLoad(requestsPerSecond float64, servers []*clustertest.Server) *quotaLoad {
	c.t.Helper()
	load := &quotaLoad{
		cluster:           c,
		requestsPerSecond: requestsPerSecond,
		stopRequested:     make(chan struct{}),
		stopped:           make(chan struct{}),
	}
	load.setEndpoints(servers)
	go load.run()
	c.t.Cleanup(func() { load.stop() })
	return load
}

// run sends traffic in runs of one second until stop is called.
func (l *quotaLoad) run() {
	defer close(l.stopped)
	for {
		select {
		case <-l.stopRequested:
			return
		default:
		}
		traffic := shortDeadlineTraffic()
		traffic.RouterCount = 6
		traffic.RequestsPerSecond = l.requestsPerSecond
		traffic.Duration = time.Second
		traffic.MeanWorkMs = 2
		traffic.MaxAttempts = 1
		traffic.EndpointsAt = l.endpointsAt
		stats := l.cluster.RunTraffic(traffic)
		l.stats.Requests += stats.Requests
		l.stats.OnTime += stats.OnTime
		l.stats.PastDeadline += stats.PastDeadline
		l.stats.LateWithoutPause += stats.LateWithoutPause
	}
}

// setEndpoints replaces the routers' endpoint list.
func (l *quotaLoad) setEndpoints(servers []*clustertest.Server) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.endpoints = slices.Clone(servers)
}

// endpointsAt returns the routers' current endpoint list.
func (l *quotaLoad) endpointsAt(time.Duration) []*clustertest.Server {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.endpoints
}

// stop ends the load, waits for its responses and returns its counts. Further calls return the same counts.
func (l *quotaLoad) stop() clustertest.TrafficStats {
	l.once.Do(func() { close(l.stopRequested) })
	<-l.stopped
	return l.stats
}

// callPeaks checks, after each step of a test, the peak number of calls in flight as counted by the index.
type callPeaks struct {
	cluster *testCluster
	// exceeded is the number of steps in which the peak exceeded the allowed total.
	exceeded int
	// maxPeak is the largest peak in any step.
	maxPeak int
}

// check compares the peak since the last check with the allowed total. A step that exceeded the total does not end the
// test, so that the log shows all such steps; the test requires at its end that exceeded is 0.
func (p *callPeaks) check(step string, totalCalls int) {
	p.cluster.t.Helper()
	peak := p.cluster.Index.PeakInFlight()
	p.cluster.Record("", "%s: peak of %d calls in flight", step, peak)
	p.maxPeak = max(p.maxPeak, peak)
	if peak > totalCalls {
		p.exceeded++
		p.cluster.t.Logf("%s: peak of %d calls in flight exceeds the total of %d", step, peak, totalCalls)
	}
}
