package simulation

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"thistlequay/internal/emulator"
	"thistlequay/internal/fairqueue"
)

// Parameters of a simulated cluster.
const (
	reportInterval = 1.0 // seconds between two usage reports of a server
	maxReportDelay = 1.0 // seconds until a report arrives
	loadFactor     = 1.5 // of each tenant at each server that it sends to, as a fraction of the server's capacity
	serverRate     = 100 // requests that a server can serve per second
)

// cluster is a group of simulated servers that report the usage of their tenants to each other.
type cluster struct {
	hosts   []*host
	random  *rand.Rand
	reports []usageReport
	nextAt  []float64     // when each server sends its next report, in seconds
	onTime  []tenantCount // by second
}

// usageReport is a report of one server on its way to another.
type usageReport struct {
	from, to  int
	sentAt    float64
	arrivesAt float64
	usages    []fairqueue.Usage
}

// tenantCount is the number of requests that were on time, by tenant.
type tenantCount map[string]int

// newCluster returns servers to all of which beta sends and to the first acmeServers of which acme sends.
func newCluster(servers, acmeServers int, acmeShare float64, duration float64) *cluster {
	c := &cluster{random: rand.New(rand.NewSource(1))}
	for i := range servers {
		streams := []*emulator.Stream{newStream("beta", 1-acmeShare, loadFactor*serverRate)}
		if i < acmeServers {
			streams = append(streams, newStream("acme", acmeShare, loadFactor*serverRate))
		}
		config := newConfig(true, streams...)
		config.Seed = int64(i)
		config.DurationSeconds = duration
		config.FairQueue.Tenants = []fairqueue.Tenant{
			{Name: "acme", Weight: acmeShare}, {Name: "beta", Weight: 1 - acmeShare},
		}
		c.hosts = append(c.hosts, newHost(config))
		c.nextAt = append(c.nextAt, c.random.Float64()*reportInterval)
	}
	return c
}

// run simulates the cluster and counts the requests on time by the second of their responses.
func (c *cluster) run(duration float64) {
	for now := 0.0; now < duration; {
		next := c.hosts[0]
		for _, host := range c.hosts {
			if host.nextEvent() < next.nextEvent() {
				next = host
			}
		}
		now = next.nextEvent()
		c.exchangeReports(now)
		before := c.countOnTime(next)
		next.processBatch(now)
		c.addOnTime(int(now), before, c.countOnTime(next))
	}
}

// countOnTime returns the number of requests of each tenant that a server has answered on time.
func (c *cluster) countOnTime(host *host) tenantCount {
	counts := tenantCount{}
	for _, stream := range host.config.Streams {
		counts[stream.Tenant] = host.statsByTenant.ForAttempt(&emulator.Attempt{Stream: stream}).OnTime
	}
	return counts
}

// addOnTime adds the difference of two counts of a server to a second.
func (c *cluster) addOnTime(second int, before, after tenantCount) {
	for len(c.onTime) <= second {
		c.onTime = append(c.onTime, tenantCount{})
	}
	for tenant := range after {
		c.onTime[second][tenant] += after[tenant] - before[tenant]
	}
}

// exchangeReports sends the reports that are due and delivers those that have arrived.
func (c *cluster) exchangeReports(now float64) {
	for from, host := range c.hosts {
		if now < c.nextAt[from] {
			continue
		}
		c.nextAt[from] += reportInterval
		for to := range c.hosts {
			if to != from {
				arrivesAt := now + c.random.Float64()*maxReportDelay
				c.reports = append(c.reports, usageReport{from, to, now, arrivesAt, host.fairQueue.LocalUsage()})
			}
		}
	}
	c.reports = slices.DeleteFunc(c.reports, func(report usageReport) bool {
		if report.arrivesAt > now {
			return false
		}
		age := ticks(now - report.sentAt)
		c.hosts[report.to].fairQueue.RecordRemoteUsage(fmt.Sprint(report.from), age, report.usages, ticks(now))
		return true
	})
}

// share returns acme's fraction of the requests that were on time in some seconds.
func (c *cluster) share(from, to int) float64 {
	acme, all := 0, 0
	for _, second := range c.onTime[from:to] {
		acme += second["acme"]
		all += second["acme"] + second["beta"]
	}
	return float64(acme) / float64(all)
}

// Guards against a tenant's share that swings over several seconds because usage on other servers moved the start tags
// only of requests that joined the queue later.
func TestMeasuredTenantShareHoldsInAnyFewSeconds(t *testing.T) {
	const (
		settling = 6 // seconds until the shares must hold
		window   = 8 // seconds, as in TestMeasuredTenantsOverTheCluster
		maxError = 0.03
	)
	for _, test := range []struct {
		servers, acmeServers int
		acmeShare            float64
	}{
		{3, 1, 0.25},
		{5, 1, 0.15},
		{5, 2, 0.3},
		{12, 4, 0.25},
		{12, 12, 0.25},
	} {
		duration := durationSeconds()
		c := newCluster(test.servers, test.acmeServers, test.acmeShare, duration)
		c.run(duration)
		lowest, highest := 1.0, 0.0
		for from := settling; from+window <= int(duration); from++ {
			share := c.share(from, from+window)
			lowest = min(lowest, share)
			highest = max(highest, share)
		}
		t.Logf("measured tenant-share servers=%d acme_servers=%d share=%.2f mean=%.3f lowest=%.3f highest=%.3f",
			test.servers, test.acmeServers, test.acmeShare, c.share(settling, int(duration)), lowest, highest)
		assert.InDelta(t, test.acmeShare, lowest, maxError)
		assert.InDelta(t, test.acmeShare, highest, maxError)
	}
}
