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

// quotaClusterConfig describes a cluster with a quota of downstream calls in flight over all servers. Every request
// makes a downstream call.
type quotaClusterConfig struct {
	servers int
	// slots is the number of slots of the quota. With 0 there is no quota: each server keeps to callShare.
	slots int
	// totalCalls is the total of the quota.
	totalCalls int
	// callShare is the fixed limit of each server in the platform's settings.
	callShare float64
	seed      int64
	// replyDelay is the time that the index takes for a call.
	replyDelay time.Duration
	// quotaYAML returns further lines of the section "shares" of a server's own settings; nil for none.
	quotaYAML func(server *clustertest.Server) string
	// prepare is called with the servers before they are started; nil for nothing to do.
	prepare func(servers []*clustertest.Server)
}

// startQuotaCluster starts a cluster and waits until its servers serve.
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

// quotaYAML returns the section "shares" of a server's own settings with a quota of calls.
func quotaYAML(totalCalls, slots int) string {
	return fmt.Sprintf("shares:\n  calls: %d\n  slots: %d\n", totalCalls, slots)
}

// namedCoordinatorsYAML returns the lines of the section "shares" by which the first three servers are the coordinators
// and store their log on disk.
func namedCoordinatorsYAML(server *clustertest.Server) string {
	return fmt.Sprintf("  keepers: [n00, n01, n02]\n  directory: keeper-%s\n", server.Name)
}

// newLogYAML returns the lines of namedCoordinatorsYAML for the first start, which begins a new log.
func newLogYAML(server *clustertest.Server) string {
	return namedCoordinatorsYAML(server) + "  fresh: true\n"
}

// waitForQuota waits until the quota status of each of the servers is as the test wants, and returns how long that
// took.
func (c *testCluster) waitForQuota(state string, servers []*clustertest.Server,
	accepts func(service.Status) bool) time.Duration {
	c.t.Helper()
	startedAt := time.Now()
	waitForStatus(c, state, servers, (*clustertest.Server).QuotaStatus, accepts)
	return time.Since(startedAt)
}

// hasLease tests for a lease on more than the guaranteed minimum.
func hasLease(status service.Status) bool {
	return hasAnyLease(status) && status.Limits[0].UsableHere > 1
}

// hasAnyLease tests for a lease, be it on the guaranteed minimum only.
func hasAnyLease(status service.Status) bool { return status.Limits[0].ExpiresInMs > 0 }

// onGuaranteedMinimum tests for a server without a lease, which keeps to the guaranteed minimum.
func onGuaranteedMinimum(status service.Status) bool {
	return status.Limits[0].ExpiresInMs == 0 && status.Limits[0].UsableHere == 1
}

// knowsVoters tests for a voter list of this size in which every name is known.
func knowsVoters(status service.Status, count int) bool {
	return len(status.Voters) == count && !slices.Contains(status.Voters, "?")
}

// waitForLeader waits for the leader of the quota coordinators and returns it.
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

// quotaLoad is traffic that wants more downstream calls in flight than the quota allows.
type quotaLoad struct {
	cluster *testCluster
	rate    float64 // requests per second
	over    chan struct{}
	stopped chan struct{}
	once    sync.Once
	stats   clustertest.TrafficStats // of all seconds so far; read once stopped is closed

	lock      sync.Mutex
	endpoints []*clustertest.Server
}

// startLoad sends traffic to the servers until stop is called, or else until the test ends.
func (c *testCluster) startLoad(rate float64, servers []*clustertest.Server) *quotaLoad {
	c.t.Helper()
	load := &quotaLoad{
		cluster: c,
		rate:    rate,
		over:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	load.setEndpoints(servers)
	go load.run()
	c.t.Cleanup(func() { load.stop() })
	return load
}

// run sends the traffic of one second after the other.
func (l *quotaLoad) run() {
	defer close(l.stopped)
	for {
		select {
		case <-l.over:
			return
		default:
		}
		traffic := shortDeadlineTraffic()
		traffic.RouterCount = 6
		traffic.RequestsPerSecond = l.rate
		traffic.Duration = time.Second
		traffic.MeanWorkMs = 2
		traffic.MaxAttempts = 1
		traffic.EndpointsAt = l.endpointsAt
		stats := l.cluster.RunTraffic(traffic)
		l.stats.Requests += stats.Requests
		l.stats.OnTime += stats.OnTime
		l.stats.PastDeadline += stats.PastDeadline
	}
}

// setEndpoints sets the servers that the routers know from now on.
func (l *quotaLoad) setEndpoints(servers []*clustertest.Server) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.endpoints = slices.Clone(servers)
}

// endpointsAt returns the servers that the routers know at this moment.
func (l *quotaLoad) endpointsAt(time.Duration) []*clustertest.Server {
	l.lock.Lock()
	defer l.lock.Unlock()
	return l.endpoints
}

// stop ends the load, waits for its responses and returns its counts. Further calls return the same.
func (l *quotaLoad) stop() clustertest.TrafficStats {
	l.once.Do(func() { close(l.over) })
	<-l.stopped
	return l.stats
}

// callPeaks checks the index's own count of calls in flight, one step of a test after the other.
type callPeaks struct {
	cluster *testCluster
	// exceeded is the number of steps in which more calls were in flight than allowed.
	exceeded int
	// max is the largest peak of all steps.
	max int
}

// check compares the peak since the last check with the total that is allowed. It goes on after a step that exceeded
// it, so that the log shows all of them; the test requires at its end that exceeded is 0.
func (p *callPeaks) check(step string, totalCalls int) {
	p.cluster.t.Helper()
	peak := p.cluster.Index.PeakInFlight()
	p.cluster.Record("", "%s: at most %d calls in flight", step, peak)
	p.max = max(p.max, peak)
	if peak > totalCalls {
		p.exceeded++
		p.cluster.t.Logf("%s: %d calls in flight, the total is %d", step, peak, totalCalls)
	}
}
