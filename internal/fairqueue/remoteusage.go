package fairqueue

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// Limits on the usage reports of other servers.
const (
	// maxRemoteServers is the maximum number of incarnations of other servers that are tracked.
	maxRemoteServers = 4096

	// maxReportAge is 10 s in ticks. Usage in an older report is not charged, because the report says nothing about
	// current usage. Remote usage moves no finish tag further ahead of the virtual time than the work of all servers in
	// this time.
	maxReportAge = 100_000

	// maxReportGap is the longest gap, in ticks, between two reports of an incarnation. After a longer gap the next
	// report is treated as the first one.
	maxReportGap = 2 * maxReportAge

	// chargeTimePerServer is 1 s in ticks, about the time between two reports of a server. Remote usage is charged over
	// this time for each server at which tenants compete, see chargePending.
	chargeTimePerServer = 10_000
)

// Usage is the core time, in ticks, that a named tenant has used on one incarnation of a server since the incarnation
// started.
type Usage struct {
	Tenant   string
	CoreTime float64
}

// remoteServer holds the latest reported totals of one incarnation of another server.
type remoteServer struct {
	lastReport       timeunit.Ticks
	reportedCoreTime map[string]float64 // total core time by tenant
	activeTenants    int                // named tenants whose totals grew in the last report in which any did
}

// LocalUsage returns the core time that each named tenant has used on this server, ordered by recent usage, highest
// first. Tenants that have used none are left out.
func (s *Scheduler) LocalUsage() []Usage {
	var usages []Usage
	for _, tenant := range s.config.Tenants {
		if flow := s.namedFlows[tenant.Name]; flow != nil && flow.totalLocalUsage > 0 {
			usages = append(usages, Usage{Tenant: tenant.Name, CoreTime: flow.totalLocalUsage})
		}
	}
	slices.SortStableFunc(usages, func(a, b Usage) int {
		return cmp.Compare(s.namedFlows[b.Tenant].recentUsage, s.namedFlows[a.Tenant].recentUsage)
	})
	return usages
}

// RecordRemoteUsage processes a usage report that an incarnation of another server sent age ticks ago. It advances each
// tenant's finish tag as if the reported core time had been used on this server (start-time fair queueing over total
// service: Wang and Merchant, 2007). A tenant that sends to every server is therefore served after one that can send
// only to this server, and no tenant increases its share of the fleet by sending to more servers.
//
// Reports carry totals that only grow. The next report therefore makes up for one that was late or lost, and no core
// time is charged twice if a report is repeated. The first report of an incarnation, and the first after a gap longer
// than maxReportGap, only sets the totals from which later usage is counted.
func (s *Scheduler) RecordRemoteUsage(incarnation string, age timeunit.Ticks, usages []Usage, now timeunit.Ticks) {
	s.advance(now)
	server := s.remoteServers[incarnation]
	if server == nil {
		if len(s.remoteServers) >= maxRemoteServers {
			s.evictRemoteServers()
		}
		server = &remoteServer{reportedCoreTime: map[string]float64{}, lastReport: neverSeen}
		s.remoteServers[incarnation] = server
	}
	isRecent := age >= 0 && age <= maxReportAge && s.now-server.lastReport <= maxReportGap
	activeTenants := 0
	for _, usage := range usages {
		flow := s.namedFlows[usage.Tenant]
		previous := server.reportedCoreTime[usage.Tenant]
		if flow == nil || !(usage.CoreTime > previous) { // written so that NaN is skipped too
			continue
		}
		server.reportedCoreTime[usage.Tenant] = usage.CoreTime
		activeTenants++
		if isRecent {
			flow.pendingRemoteUsage += usage.CoreTime - previous
			flow.remoteUsageSinceMeasured += usage.CoreTime - previous
		}
	}
	if activeTenants > 0 {
		server.activeTenants = activeTenants
	}
	if s.contendedServers == 1 {
		s.chargePending(0) // otherwise nothing is due yet
	}
	server.lastReport = s.now - max(0, age)
}

// chargePending charges the part of the reported usage that is due after elapsedTicks ticks.
//
// If named tenants compete at no other server, all of it is due at once. Otherwise all servers at which they compete
// react to the same imbalance, each as if it were alone, and at once they would correct it several times over. The
// usage is therefore charged gradually, with a time constant that is proportional to the number of those servers.
func (s *Scheduler) chargePending(elapsedTicks float64) {
	fraction := 1.0
	if s.contendedServers > 1 {
		timeConstant := float64(chargeTimePerServer * s.contendedServers)
		fraction = elapsedTicks / (elapsedTicks + timeConstant)
	}
	for _, flow := range s.namedFlows {
		due := flow.pendingRemoteUsage * fraction
		flow.pendingRemoteUsage -= due
		if due > 0 {
			flow.chargeRemoteUsage(due)
		}
	}
}

// countContendedServers returns the number of servers at which several named tenants are served, this one included.
func (s *Scheduler) countContendedServers() int {
	count := 1
	for _, server := range s.remoteServers {
		if server.activeTenants > 1 && s.now-server.lastReport <= maxReportGap {
			count++
		}
	}
	return count
}

// chargeRemoteUsage advances the finish tag by core time used on another server, but no further ahead of the virtual
// time than the work of all servers within maxReportAge.
func (f *flow) chargeRemoteUsage(coreTime float64) {
	s := f.scheduler
	allCores := float64(s.config.Cores * (1 + len(s.remoteServers)))
	maxTag := s.virtualTime + maxReportAge*allCores/s.totalWeight
	newTag := max(f.finishTag, s.MinStartTag(s.virtualTime)) + coreTime/f.weight()
	if newTag <= maxTag {
		f.finishTag = newTag
	} else {
		f.finishTag = max(f.finishTag, maxTag)
	}
}

// evictRemoteServers removes incarnations that have not reported for longer than maxReportGap. If the table is still
// full after that, it removes all of them.
func (s *Scheduler) evictRemoteServers() {
	for incarnation, server := range s.remoteServers {
		if s.now-server.lastReport > maxReportGap {
			delete(s.remoteServers, incarnation)
		}
	}
	if len(s.remoteServers) >= maxRemoteServers {
		clear(s.remoteServers)
	}
}
