package clustertest_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/emulator"
	"thistlequay/internal/quota/service"
	"thistlequay/internal/servertest"
)

// startQuotaCluster starts a cluster with a quota of downstream calls in flight over all servers. With slots of 0
// there is no quota, and each server keeps to the fixed part in its settings.
func startQuotaCluster(t *testing.T, servers, slots, calls int, part float64, seed int64, delay time.Duration,
	more string) *testCluster {
	t.Helper()
	return startQuotaClusterOf(t, servers, slots, calls, part, seed, delay, more, func([]*clustertest.Server) {})
}

// startQuotaClusterOf is startQuotaCluster with a change to the servers before they are started.
func startQuotaClusterOf(t *testing.T, servers, slots, calls int, part float64, seed int64, delay time.Duration,
	more string, prepare func([]*clustertest.Server)) *testCluster {
	t.Helper()
	index, err := emulator.NewIndex()
	require.NoError(t, err)
	index.ReplyDelay = delay
	var of map[string]any
	require.NoError(t, json.Unmarshal([]byte(strings.NewReplacer(`"CallShare":9.0`,
		fmt.Sprintf(`"CallShare":%f`, part), `"Servers":3`,
		fmt.Sprintf(`"Servers":%d`, servers), `"OnTime":4000.0`, `"OnTime":1000.0`, `"HardLimit":8000.0`,
		`"HardLimit":2000.0`).Replace(servertest.PlatformSettings)), &of))
	p := clustertest.Config{ServerCount: servers, Seed: seed, Gossip: slots > 0, Settings: of, Index: index}
	if slots > 0 {
		p.ServiceYAML = func(server *clustertest.Server) string {
			return fmt.Sprintf("shares:\n  calls: %d\n  slots: %d\n", calls, slots) +
				strings.ReplaceAll(more, "{name}", server.Name)
		}
	}
	cluster := newTestCluster(t, p)
	prepare(cluster.Servers)
	for _, server := range cluster.Servers {
		server.Interpreter.CallProbability = 1
		cluster.NoError(server.Start())
	}
	cluster.waitUntilServing(cluster.Servers)
	return cluster
}

// waitForQuota waits until the quota status of each of the servers is as the test wants, and gives how long that took.
func (c *testCluster) waitForQuota(what string, of []*clustertest.Server, is func(service.Status) bool) time.Duration {
	c.t.Helper()
	begun := time.Now()
	for left := slices.Clone(of); len(left) > 0; time.Sleep(50 * time.Millisecond) {
		left = slices.DeleteFunc(left, func(server *clustertest.Server) bool {
			status, err := server.QuotaStatus()
			return err == nil && is(status)
		})
		if len(left) > 0 && time.Since(begun) > 3*servertest.EventTimeout {
			status, err := left[0].QuotaStatus()
			c.FailNow(what, "%s tells otherwise: %+v %v\n%v", left[0].Name, status, err, c.History())
		}
	}
	c.Record("", "%s told by %d", what, len(of))
	return time.Since(begun)
}

// hasLease tests for a lease on more than the guaranteed minimum.
func hasLease(status service.Status) bool {
	return status.Limits[0].ExpiresInMs > 0 && status.Limits[0].UsableHere > 1
}

// onGuaranteedMinimum tests for a server without a lease, which keeps to the guaranteed minimum.
func onGuaranteedMinimum(status service.Status) bool {
	return status.Limits[0].ExpiresInMs == 0 && status.Limits[0].UsableHere == 1
}

// waitForLeader waits for the leader of the quota coordinators and gives it.
func (c *testCluster) waitForLeader(of []*clustertest.Server) (leader *clustertest.Server) {
	c.t.Helper()
	c.Eventually(func() bool {
		for _, server := range of {
			if status, err := server.QuotaStatus(); err == nil && status.IsLeader && status.HasQuorum && status.Opened {
				leader = server
				return true
			}
		}
		return false
	}, 3*servertest.EventTimeout, 50*time.Millisecond)
	return leader
}

// startLoad sends more than the index may have in flight until end is called, which gives the tally.
func (c *testCluster) startLoad(rate float64, list func() []*clustertest.Server) (end func() clustertest.TrafficStats) {
	c.t.Helper()
	over := make(chan struct{})
	done := make(chan clustertest.TrafficStats)
	go func() {
		var sum clustertest.TrafficStats
		for {
			select {
			case <-over:
				done <- sum
				return
			default:
			}
			stats := c.RunTraffic(clustertest.Traffic{RouterCount: 6, RequestsPerSecond: rate, Duration: time.Second,
				MeanWorkMs: 2, SoftDeadline: time.Second, Deadline: 2 * time.Second,
				IdempotentCategory: "look", KeyedCategory: "book", MaxAttempts: 1,
				EndpointsAt: func(time.Duration) []*clustertest.Server { return list() }})
			sum.Requests += stats.Requests
			sum.OnTime += stats.OnTime
			sum.PastDeadline += stats.PastDeadline
		}
	}()
	return func() clustertest.TrafficStats {
		close(over)
		return <-done
	}
}
