package clustertest_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/clustertest"
	"thistlequay/internal/servertest"
)

// tenantCase is one setting of the tenants' shares, with the outcome that it entitles acme to.
type tenantCase struct {
	acmeShare        float64 // fraction of the cluster in the settings; beta has the rest
	entitledFraction float64 // acmeShare, but at most the third of the cluster that acme sends to
}

// TestMeasuredTenantsOverTheCluster measures how the capacity of the whole cluster is divided between two tenants. The
// tenant acme sends to one server of three (four of twelve with MEASURE=full), beta to all of them, and both send more
// than the cores can process. Each tenant must get its share of the cluster, as far as the servers that it sends to
// have that much capacity.
func TestMeasuredTenantsOverTheCluster(t *testing.T) {
	servers := 3
	duration := 12 * time.Second
	cases := []tenantCase{{acmeShare: 0.25, entitledFraction: 0.25}}
	gossipModes := []bool{true}
	if isFullMeasurement() {
		servers = 12
		duration = 30 * time.Second
		cases = append(cases, tenantCase{acmeShare: 0.5, entitledFraction: 1.0 / 3})
		gossipModes = []bool{false, true}
	}
	for _, test := range cases {
		fractions := map[bool]float64{} // keyed by whether the servers gossip
		for _, gossip := range gossipModes {
			fractions[gossip] = acmeFraction(t, test.acmeShare, servers, gossip, duration)
		}
		t.Logf("measured tenants-cluster servers=%d share=%.2f entitled=%.3f fraction_without_gossip=%.3f "+
			"fraction_with_gossip=%.3f", servers, test.acmeShare, test.entitledFraction, fractions[false],
			fractions[true])
		require.InDelta(t, test.entitledFraction, fractions[true], 0.03)
	}
}

// acmeFraction sends the traffic of both tenants and returns acme's fraction of the requests on time. It ignores the
// first third of the duration.
func acmeFraction(t *testing.T, acmeShare float64, servers int, gossip bool, duration time.Duration) float64 {
	t.Helper()
	cluster := newTestCluster(t, clustertest.Config{
		ServerCount: servers,
		Seed:        31,
		Gossip:      gossip,
		Settings: platformSettings(t,
			`"Tenants":[{"Name":"acme"}]`, servertest.TwoTenants(acmeShare, 1-acmeShare),
			`"Servers":3`, fmt.Sprintf(`"Servers":%d`, servers)),
		ServiceYAML: func(*clustertest.Server) string { return "fair_queues:\n" },
	})
	cluster.start(cluster.Servers)
	cluster.waitUntilServing(cluster.Servers)
	if gossip {
		cluster.waitForView("all servers in the configuration", cluster.Servers, agreedOn(servers))
	}

	var acme, beta float64
	var pending sync.WaitGroup
	pending.Add(2)
	go func() {
		defer pending.Done()
		acme = cluster.servedOnTime("acme", cluster.Servers[:servers/3], duration)
	}()
	go func() {
		defer pending.Done()
		beta = cluster.servedOnTime("beta", cluster.Servers, duration)
	}()
	pending.Wait()
	cluster.Close()
	return acme / (acme + beta)
}

// servedOnTime sends one tenant's traffic to the servers and returns the number of requests that were served on time
// after the first third of the duration.
func (c *testCluster) servedOnTime(tenant string, servers []*clustertest.Server, duration time.Duration) float64 {
	const ratePerServer = 75.0 // requests per second; the cores of a server can process 50
	traffic := platformTraffic()
	traffic.Tenant = tenant
	traffic.RouterCount = 6
	traffic.RequestsPerSecond = ratePerServer * float64(len(servers))
	traffic.Duration = duration
	traffic.MeanWorkMs = 40
	traffic.MaxAttempts = 1
	traffic.EndpointsAt = constantEndpoints(servers)
	stats := c.RunTraffic(traffic)

	// Requests are counted by the second of the response. Counted by the second of the request, queued requests would
	// shift the result by some seconds at both ends.
	seconds := int(duration / time.Second)
	served := 0
	for _, onTime := range stats.OnTimeBySecond[seconds/3 : seconds] {
		served += onTime
	}
	return float64(served)
}
