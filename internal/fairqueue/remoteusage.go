package fairqueue

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// Bounds on what other servers report.
const (
	// maxRemoteServers bounds the table of other servers' incarnations.
	maxRemoteServers = 4096

	// maxReportAge is 10 s in ticks. An older report says nothing about what is used now, and no finish tag is moved
	// ahead by more than all servers' work in that time.
	maxReportAge = 100_000

	// maxSilence is how long an incarnation may say nothing before its next report is taken as its first.
	maxSilence = 2 * maxReportAge
)

// Usage is the core time that one incarnation of a server gave to a named tenant since the incarnation began.
type Usage struct {
	Tenant   string
	CoreTime float64
}

// remoteServer is one incarnation of another server.
type remoteServer struct {
	lastReport timeunit.Ticks
	reported   map[string]float64 // core time by tenant
}

// LocalUsage returns what the named tenants were given here, those that used most of late first.
func (s *Scheduler) LocalUsage() []Usage {
	var usages []Usage
	for _, tenant := range s.config.Tenants {
		if flow := s.namedFlows[tenant.Name]; flow != nil && flow.localTotal > 0 {
			usages = append(usages, Usage{Tenant: tenant.Name, CoreTime: flow.localTotal})
		}
	}
	slices.SortStableFunc(usages, func(a, b Usage) int {
		return cmp.Compare(s.namedFlows[b.Tenant].recentUsage, s.namedFlows[a.Tenant].recentUsage)
	})
	return usages
}

// RecordRemoteUsage takes the report of an incarnation of another server, sent the given time ago. A tenant's finish
// tag moves on as if the reported core time had been used here (start-time fair queueing with the total service as its
// clock: Wang and Merchant, 2007), so that a tenant which sends to every server comes after one that can send to this
// one alone, and nobody's part of the fleet grows by the number of servers it sends to.
//
// Totals only grow, so a report that is late, repeated or lost is made good by the next and no time counts twice. The
// first report of an incarnation, and the first after a long silence, only tells where to count from.
func (s *Scheduler) RecordRemoteUsage(incarnation string, age timeunit.Ticks, usages []Usage, now timeunit.Ticks) {
	s.advance(now)
	server := s.remoteServers[incarnation]
	if server == nil {
		if len(s.remoteServers) >= maxRemoteServers {
			s.forgetRemoteServers()
		}
		server = &remoteServer{reported: map[string]float64{}, lastReport: neverSeen}
		s.remoteServers[incarnation] = server
	}
	isRecent := age >= 0 && age <= maxReportAge && s.now-server.lastReport <= maxSilence
	for _, usage := range usages {
		flow := s.namedFlows[usage.Tenant]
		before := server.reported[usage.Tenant]
		if flow == nil || !(usage.CoreTime > before) { // a NaN is not greater either
			continue
		}
		server.reported[usage.Tenant] = usage.CoreTime
		if isRecent {
			flow.chargeRemoteUsage(usage.CoreTime - before)
		}
	}
	server.lastReport = s.now - max(0, age)
}

// chargeRemoteUsage moves the finish tag on by core time used elsewhere, no further ahead of the virtual time than all
// servers' work within maxReportAge.
func (f *flow) chargeRemoteUsage(coreTime float64) {
	s := f.scheduler
	allCores := float64(s.config.Cores * (1 + len(s.remoteServers)))
	maxTag := s.virtualTime + maxReportAge*allCores/s.totalWeight
	next := max(f.finishTag, s.MinStartTag(s.virtualTime)) + coreTime/f.weight()
	if next <= maxTag {
		f.finishTag = next
	} else {
		f.finishTag = max(f.finishTag, maxTag)
	}
	f.remoteSinceMeasured += coreTime
}

// forgetRemoteServers drops incarnations that have been silent for long, or all of them if none has.
func (s *Scheduler) forgetRemoteServers() {
	for incarnation, server := range s.remoteServers {
		if s.now-server.lastReport > maxSilence {
			delete(s.remoteServers, incarnation)
		}
	}
	if len(s.remoteServers) >= maxRemoteServers {
		clear(s.remoteServers)
	}
}
