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

// tenantCase is one setting of the tenants' shares.
type tenantCase struct {
	acmeShare float64 // of the cluster, by the settings; beta has the rest
	entitled  float64 // the fraction that acme's servers, a third of the cluster, can give it
}

// TestMeasuredTenantsOverTheCluster measures the tenants' shares over the cluster: acme sends to one server of three
// (to four of twelve where MEASURE=full), beta to all, and both send more than the cores can do. Each gets its share of
// the cluster as far as its servers have that much.
func TestMeasuredTenantsOverTheCluster(t *testing.T) {
	servers := 3
	duration := 12 * time.Second
	cases := []tenantCase{{acmeShare: 0.25, entitled: 0.25}}
	gossipModes := []bool{true}
	if isFullMeasurement() {
		servers = 12
		duration = 30 * time.Second
		cases = append(cases, tenantCase{acmeShare: 0.5, entitled: 1.0 / 3})
		gossipModes = []bool{false, true}
	}
	for _, test := range cases {
		fractions := map[bool]float64{} // by whether the servers gossip
		for _, gossip := range gossipModes {
			fractions[gossip] = acmeFraction(t, test.acmeShare, servers, gossip, duration)
		}
		t.Logf("measured tenants-cluster servers=%d share=%.2f entitled=%.3f fraction_without_gossip=%.3f "+
			"fraction_with_gossip=%.3f", servers, test.acmeShare, test.entitled, fractions[false], fractions[true])
		require.InDelta(t, test.entitled, fractions[true], 0.03)
	}
}

// acmeFraction returns the fraction of the requests on time that are acme's, once the first third of the time is over.
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

// servedOnTime sends one tenant's traffic to the servers, and returns the number of its requests on time after the
// first third of the duration.
func (c *testCluster) servedOnTime(tenant string, servers []*clustertest.Server, duration time.Duration) float64 {
	const ratePerServer = 75.0 // requests per second; the cores of a server can do 50
	traffic := platformTraffic()
	traffic.Tenant = tenant
	traffic.RouterCount = 6
	traffic.RequestsPerSecond = ratePerServer * float64(len(servers))
	traffic.Duration = duration
	traffic.MeanWorkMs = 40
	traffic.MaxAttempts = 1
	traffic.EndpointsAt = constantEndpoints(servers)
	stats := c.RunTraffic(traffic)

	// By the second of the response: by that of the request, queued requests would move the figure for some seconds
	// either way.
	seconds := int(duration / time.Second)
	served := 0
	for _, onTime := range stats.OnTimeBySecond[seconds/3 : seconds] {
		served += onTime
	}
	return float64(served)
}
