package clustertest_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"thistlequay/internal/clustertest"
	"thistlequay/internal/servertest"
	"time"

	"github.com/stretchr/testify/require"
)

// Tenants' shares over the cluster: acme asks at one server of three (at four of twelve where MEASURE=full), beta at
// all, both for more than there is. Each gets its share of the cluster as far as its servers have that much.
func TestMeasuredTenantsOverTheCluster(t *testing.T) {
	servers := 3
	length := 12 * time.Second
	if os.Getenv("MEASURE") == "full" {
		servers = 12
		length = 30 * time.Second
	}
	days := []struct{ acme, entitled float64 }{{0.25, 0.25}}
	ways := []bool{true}
	if os.Getenv("MEASURE") == "full" {
		days = append(days, struct{ acme, entitled float64 }{0.5, 1.0 / 3})
		ways = []bool{false, true}
	}
	for _, day := range days {
		parts := map[bool]float64{}
		for _, talk := range ways {
			var of map[string]any
			require.NoError(t, json.Unmarshal([]byte(strings.NewReplacer(`"Tenants":[{"Name":"acme"}]`,
				servertest.TwoTenants(day.acme, 1-day.acme), `"Servers":3`,
				fmt.Sprintf(`"Servers":%d`, servers)).Replace(servertest.PlatformSettings)), &of))
			cluster := newTestCluster(t, clustertest.Config{ServerCount: servers, Seed: 31, Gossip: talk, Settings: of,
				ServiceYAML: func(*clustertest.Server) string { return "fair_queues:\n" }})
			for _, server := range cluster.Servers {
				cluster.NoError(server.Start())
			}
			cluster.waitUntilServing(cluster.Servers)
			if talk {
				cluster.waitForView("all are there", cluster.Servers, agreedOn(servers))
			}
			const rate = 75.0 // requests per second and server, whose cores can do 50
			at := func(of []*clustertest.Server) func(time.Duration) []*clustertest.Server {
				return func(time.Duration) []*clustertest.Server { return of }
			}
			served := map[string]float64{}
			var both sync.WaitGroup
			var lock sync.Mutex
			for tenant, of := range map[string][]*clustertest.Server{"acme": cluster.Servers[:servers/3],
				"beta": cluster.Servers} {
				both.Add(1)
				go func() {
					defer both.Done()
					stats := cluster.RunTraffic(clustertest.Traffic{Tenant: tenant, RouterCount: 6,
						RequestsPerSecond: rate * float64(len(of)), Duration: length, MeanWorkMs: 40,
						SoftDeadline: 4 * time.Second, Deadline: 7 * time.Second, IdempotentCategory: "look",
						KeyedCategory: "book", MaxAttempts: 1, EndpointsAt: at(of)})
					lock.Lock()
					defer lock.Unlock()
					// Counted when the response came; counted when the request did, queued requests would move the
					// figure for some seconds either way.
					for _, done := range stats.OnTimeBySecond[int(length/time.Second)/3 : int(length/time.Second)] {
						served[tenant] += float64(done)
					}
				}()
			}
			both.Wait()
			parts[talk] = served["acme"] / (served["acme"] + served["beta"])
			cluster.Close()
		}
		t.Logf("measured tenants-fleet servers=%d share=%.2f entitled=%.3f part_alone=%.3f part_together=%.3f",
			servers, day.acme, day.entitled, parts[false], parts[true])
		require.InDelta(t, day.entitled, parts[true], 0.03)
	}
}
