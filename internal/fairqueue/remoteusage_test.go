package fairqueue

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// fleet is a group of servers with one core each that always receive more requests than they can run and report their
// usage to each other.
type fleet struct {
	tenants      []Tenant
	sends        func(tenant string, server, second int) bool // reports whether a tenant sends requests to a server
	lossRate     float64                                      // probability that a report is lost
	random       *rand.Rand
	history      *golden.History
	servers      []*Scheduler
	virtualTimes []float64 // virtual time, indexed by server
	reports      []usageReport
	coreTime     map[string]float64 // core time of each tenant in the second half of the run, in ticks
}

// usageReport is the usage that a server reported at one time.
type usageReport struct {
	sender int
	sentAt timeunit.Ticks
	usages []Usage
}

// requestCost is the core time of each request.
const requestCost timeunit.Ticks = 100

// newFleet returns a fleet with the named tenants acme and beta, whose weights add up to 1.
func newFleet(servers int, acmeWeight, loss float64, sends func(tenant string, server, second int) bool) *fleet {
	f := &fleet{
		tenants:      []Tenant{{Name: "acme", Weight: acmeWeight}, {Name: "beta", Weight: 1 - acmeWeight}},
		sends:        sends,
		lossRate:     loss,
		random:       rand.New(rand.NewSource(7)),
		history:      golden.NewHistory(),
		virtualTimes: make([]float64, servers),
		coreTime:     map[string]float64{},
	}
	for range servers {
		config := Config{
			Tenants:          f.tenants,
			OthersWeight:     0.01,
			NewcomerFraction: 0.25,
			MaxHeavyHitters:  4,
			SharedFlows:      4,
			Burst:            2000,
			MinHistory:       50_000,
			RehashInterval:   300_000,
			Cores:            1,
			SoftDeadlines:    []timeunit.Ticks{40_000},
		}
		f.servers = append(f.servers, New(config, rand.New(rand.NewSource(1)), 0))
	}
	return f
}

// run simulates the fleet for the given number of seconds.
func (f *fleet) run(seconds timeunit.Ticks) {
	for now := requestCost; now < seconds*timeunit.TicksPerSecond; now += requestCost {
		for server := range f.servers {
			tenant := f.runRequest(server, now)
			if tenant != "" && now > seconds*timeunit.TicksPerSecond/2 {
				f.coreTime[tenant] += float64(requestCost)
			}
		}
		if now%timeunit.TicksPerSecond == 0 {
			f.reportUsage(now)
		}
		f.deliverReports(now)
		if old := len(f.reports) - 4*len(f.servers); old > 0 {
			f.reports = f.reports[old:]
		}
	}
}

// runRequest reserves one request of each sending tenant on a server, runs the one with the lowest start tag and
// returns its tenant, or "" if no tenant sends. The request ends at now.
func (f *fleet) runRequest(server int, now timeunit.Ticks) string {
	start := now - requestCost
	var next Reservation
	tenant := ""
	for _, candidate := range f.tenants {
		if !f.sends(candidate.Name, server, int(now/timeunit.TicksPerSecond)) {
			continue
		}
		r := f.servers[server].Reserve([]byte(candidate.Name), 0, f.virtualTimes[server], start)
		if tenant != "" && r.ExpectedStartTag >= next.ExpectedStartTag {
			r.Release(start)
			continue
		}
		next.Release(start)
		next = r
		tenant = candidate.Name
	}
	if tenant == "" {
		return ""
	}
	f.virtualTimes[server] = max(f.virtualTimes[server], next.ExpectedStartTag)
	f.history.Add(now, server, tenant, next.ExpectedStartTag, next.ExpectedDelay)
	next.Start(start)
	next.Release(now)
	return tenant
}

// reportUsage adds a usage report of every server.
func (f *fleet) reportUsage(now timeunit.Ticks) {
	for i, server := range f.servers {
		usages := server.LocalUsage()
		f.reports = append(f.reports, usageReport{sender: i, sentAt: now, usages: usages})
		for _, usage := range usages {
			f.history.Add(now, i, usage.Tenant, usage.CoreTime)
		}
	}
}

// deliverReports delivers each report to every other server three times: when it is sent, after 300 ms and after 2 s.
// Each delivery may be lost.
func (f *fleet) deliverReports(now timeunit.Ticks) {
	for _, report := range f.reports {
		age := now - report.sentAt
		for i, server := range f.servers {
			if i == report.sender || f.random.Float64() < f.lossRate {
				continue
			}
			if age == 0 || age == 3000 || age == 20_000 {
				server.RecordRemoteUsage(string(rune('a'+report.sender)), age, report.usages, now)
			}
		}
	}
}

// TestTenantShareHoldsAcrossServers checks that a tenant's weight applies to the fleet as a whole. A tenant that sends
// to only some servers gets its share of the fleet there, as far as they have capacity; one that sends to all servers
// gets no more than its share; and one that switches from one server to all of them keeps it. Lost, late and repeated
// reports must not change this.
func TestTenantShareHoldsAcrossServers(t *testing.T) {
	sendsToFirst := func(servers int) func(string, int, int) bool {
		return func(tenant string, server, _ int) bool { return tenant == "beta" || server < servers }
	}
	movesToAllServers := func(tenant string, server, second int) bool {
		return tenant == "beta" || server == 0 || second >= 20
	}
	var histories golden.Histories
	for _, c := range []struct {
		name       string
		servers    int
		acmeWeight float64
		sends      func(tenant string, server, second int) bool
		want       float64
	}{
		{"one server of three", 3, 0.25, sendsToFirst(1), 0.25},
		{"more than its server has", 3, 0.5, sendsToFirst(1), 1.0 / 3},
		{"all servers", 3, 0.3, sendsToFirst(3), 0.3},
		{"four servers of twelve", 12, 0.2, sendsToFirst(4), 0.2},
		{"moves to all at once", 3, 0.3, movesToAllServers, 0.3},
	} {
		for _, loss := range []float64{0, 0.4} {
			f := newFleet(c.servers, c.acmeWeight, loss, c.sends)
			f.run(40)
			histories.Add(fmt.Sprintf("servers=%d part=%g loss=%g", c.servers, c.acmeWeight, loss), f.history)
			share := f.coreTime["acme"] / (f.coreTime["acme"] + f.coreTime["beta"])
			t.Logf("measured tenants-doors case=%q servers=%d loss=%.1f entitled=%.3f part=%.3f",
				c.name, c.servers, loss, c.want, share)
			require.InDelta(t, c.want, share, 0.05, c.name)
		}
	}
	histories.Check(t, "fleet.txt")
}

// TestRemoteUsageCountsOnce checks that reported core time is charged only once even if reports are repeated or late,
// that reports that are too old are not charged, and that the first report of an incarnation only sets the totals from
// which later usage is counted.
func TestRemoteUsageCountsOnce(t *testing.T) {
	s := New(Config{
		Tenants:          []Tenant{{"acme", 1}},
		OthersWeight:     1,
		NewcomerFraction: 0.25,
		MaxHeavyHitters:  4,
		SharedFlows:      4,
		Burst:            10,
		MinHistory:       1,
		RehashInterval:   1 << 40,
		Cores:            1,
		SoftDeadlines:    []timeunit.Ticks{100},
	}, rand.New(rand.NewSource(1)), 0)
	finishTag := func() float64 { return s.namedFlows["acme"].finishTag }
	report := func(incarnation string, age timeunit.Ticks, total float64, now timeunit.Ticks) {
		s.RecordRemoteUsage(incarnation, age, []Usage{{"acme", total}, {"nobody", 5}}, now)
	}
	initialTag := finishTag()
	report("a.1", 0, 5000, 1000)
	require.Equal(t, initialTag, finishTag(), "the first report of an incarnation must not be charged")
	report("a.1", 0, 5200, 2000)
	require.InDelta(t, initialTag+200, finishTag(), 1)
	tagAfterCharge := finishTag()
	report("a.1", 0, 5200, 2500)
	report("a.1", 1500, 5100, 2600)
	require.Equal(t, tagAfterCharge, finishTag(), "repeated and late reports must not be charged")
	report("a.1", maxReportAge+1, 9000, 3000)
	require.Equal(t, tagAfterCharge, finishTag(), "a report older than maxReportAge must not be charged")
	report("a.2", 0, 300, 4000)
	require.Equal(t, tagAfterCharge, finishTag(), "the first report of a new incarnation must not be charged")
	report("a.2", 0, 1e12, 5000)
	require.LessOrEqual(t, finishTag(), s.virtualTime+float64(maxReportAge)*3,
		"finish tag exceeds the work of all servers within maxReportAge")
}
