package clustertest_test

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/quota/service"
)

// quotaChanges is a cluster whose servers change under a load that exceeds its quota.
type quotaChanges struct {
	*testCluster
	load  *quotaLoad
	peaks callPeaks
	total int
}

// TestQuotaIsNeverExceededAsClusterChanges changes the cluster under a load that exceeds the quota: half of the servers
// are replaced within seconds, the cluster doubles and shrinks back, one server gets the whole load, and more than half
// of the coordinators pause under load. The index must never have more calls in flight than the total. Without a
// quorum, the running servers must limit themselves to their guaranteed minimum; with a quorum again, all must have
// leases.
func TestQuotaIsNeverExceededAsClusterChanges(t *testing.T) {
	t.Parallel()
	const totalCalls = 24
	cluster := startQuotaCluster(t, quotaClusterConfig{
		servers:    4,
		slots:      12,
		totalCalls: totalCalls,
		callShare:  6,
		seed:       12,
		replyDelay: 50 * time.Millisecond,
	})
	first := slices.Clone(cluster.Servers)
	cluster.waitForQuota("leases granted", first, hasLease)
	c := &quotaChanges{
		testCluster: cluster,
		load:        cluster.startLoad(500, first),
		peaks:       callPeaks{cluster: cluster},
		total:       totalCalls,
	}

	servers := c.replaceHalf(first)
	c.doubleAndShrink(servers)
	c.loadOneServer(servers)
	c.loseQuorum(servers)

	stats := c.load.stop()
	t.Logf("measured quota-changes total=%d over=%d requests=%d on_time=%d",
		totalCalls, c.peaks.exceeded, stats.Requests, stats.OnTime)
	cluster.Zero(c.peaks.exceeded)
}

// addServers adds the given number of servers to the cluster and waits until they serve.
func (c *quotaChanges) addServers(count int) []*clustertest.Server {
	c.t.Helper()
	var added []*clustertest.Server
	for range count {
		server, err := c.AddServer(len(c.Servers))
		c.NoError(err)
		server.Interpreter.CallProbability = 1
		c.NoError(server.Start())
		added = append(added, server)
	}
	c.waitUntilServing(added)
	return added
}

// drain shuts the servers down gracefully, all at once, and checks that they exit with code 0.
func (c *quotaChanges) drain(servers []*clustertest.Server) {
	c.t.Helper()
	c.signal(servers, syscall.SIGTERM)
	for _, server := range servers {
		<-server.Exited()
		c.Zero(server.ExitCode())
	}
}

// replaceHalf replaces the last two of four servers by new ones, and returns the four current servers.
func (c *quotaChanges) replaceHalf(first []*clustertest.Server) []*clustertest.Server {
	c.t.Helper()
	servers := slices.Concat(first[:2], c.addServers(2))
	c.load.setEndpoints(servers)
	c.drain(first[2:])
	c.waitForQuota("leases after half were replaced", servers, hasLease)
	c.peaks.check("half replaced", c.total)
	return servers
}

// doubleAndShrink doubles the cluster from four to eight servers, then drains the four that it added.
func (c *quotaChanges) doubleAndShrink(servers []*clustertest.Server) {
	c.t.Helper()
	added := c.addServers(4)
	doubled := slices.Concat(servers, added)
	c.waitForQuota("leases at twice as many", doubled, hasAnyLease)
	c.load.setEndpoints(doubled)
	c.waitForView("eight in the configuration", doubled, agreedOn(8))
	c.peaks.check("doubled", c.total)
	c.load.setEndpoints(servers)
	c.drain(added)
	c.waitForQuota("leases at as many as before", servers, hasLease)
	c.peaks.check("shrunk", c.total)
}

// loadOneServer sends the whole load to one server. It must be granted the calls that the others do not need.
func (c *quotaChanges) loadOneServer(servers []*clustertest.Server) {
	c.t.Helper()
	c.load.setEndpoints(servers[:1])
	c.waitForQuota("large lease at one server", servers[:1], func(status service.Status) bool {
		return status.Limits[0].UsableHere > float64(c.total/3)
	})
	c.peaks.check("one server loaded", c.total)
	c.load.setEndpoints(servers)
}

// loseQuorum pauses more than half of the coordinators and later lets them continue.
func (c *quotaChanges) loseQuorum(servers []*clustertest.Server) {
	c.t.Helper()
	c.waitForView("four in the configuration", servers, agreedOn(4))
	var voters []*clustertest.Server
	for _, server := range servers {
		status, err := server.QuotaStatus()
		if err == nil && status.Voter != 0 && slices.Contains(status.Voters, server.Name) {
			voters = append(voters, server)
		}
	}
	stopped := voters[:len(voters)/2+1]
	c.signal(stopped, syscall.SIGSTOP)
	running := serversExcept(servers, stopped...)
	c.load.setEndpoints(running)
	c.waitForQuota("no quorum", running, isOnGuaranteedMinimum)
	time.Sleep(3 * time.Second) // the fault continues
	c.waitForQuota("still no quorum", running, isOnGuaranteedMinimum)
	c.peaks.check("no quorum", c.total)
	c.signal(stopped, syscall.SIGCONT)
	c.load.setEndpoints(servers)
	c.waitForQuota("leases after the quorum is back", servers, hasLease)
	c.peaks.check("quorum again", c.total)
}
