package fairqueue

// This file owns what tenants are given at other servers of a fleet. A named tenant's finish moves on by that as if it had been
// given here (start-time fair queueing with the total service as its clock: Wang and Merchant, 2007): one that asks everywhere
// comes after one that can ask here alone, and nobody's part of the fleet grows by asking at many doors. It must never count
// the same time twice, nor hold what was given long ago against a tenant.

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// Usage is what a named tenant was given by one life of a server, from that life's start, in core time.
type Usage struct {
	Tenant   string
	CoreTime float64
}

// remoteServer is one life of another server.
type remoteServer struct {
	lastReport timeunit.Ticks
	reported   map[string]float64
}

const (
	maxRemoteServers = 4096
	maxReportAge     = 100_000 // what was said longer ago is no news of what is given now, and nobody is put back by more than all servers' work in that time: 10 s
)

// LocalUsage is what named tenants were given here, the most of late first.
func (l *Scheduler) LocalUsage() (list []Usage) {
	for _, t := range l.config.Tenants {
		if a := l.namedFlows[t.Name]; a != nil && a.localTotal > 0 {
			list = append(list, Usage{t.Name, a.localTotal})
		}
	}
	slices.SortStableFunc(list, func(x, y Usage) int {
		return -cmp.Compare(l.namedFlows[x.Tenant].recentUsage, l.namedFlows[y.Tenant].recentUsage)
	})
	return list
}

// RecordRemoteUsage takes what a life of another server said so long ago. Totals only grow: what comes late, twice or not at all is made
// good by the next. The first word of a life, and one after a long silence, only tells where to count from.
func (l *Scheduler) RecordRemoteUsage(life string, age timeunit.Ticks, given []Usage, now timeunit.Ticks) {
	l.advance(now)
	s := l.remoteServers[life]
	if s == nil {
		if len(l.remoteServers) >= maxRemoteServers {
			l.forgetRemoteServers()
		}
		s = &remoteServer{reported: map[string]float64{}, lastReport: -1 << 60}
		l.remoteServers[life] = s
	}
	fresh := age >= 0 && age <= maxReportAge && l.now-s.lastReport <= 2*maxReportAge
	for _, g := range given {
		a, before := l.namedFlows[g.Tenant], s.reported[g.Tenant]
		if a == nil || !(g.CoreTime > before) {
			continue
		}
		s.reported[g.Tenant] = g.CoreTime
		if fresh {
			a.chargeRemoteUsage(g.CoreTime-before, l.now)
		}
	}
	s.lastReport = l.now - max(0, age)
}

// chargeRemoteUsage moves a tenant's finish on.
func (a *flow) chargeRemoteUsage(time float64, now timeunit.Ticks) {
	l := a.scheduler
	most := l.virtualTime + maxReportAge*float64(l.config.Cores*(1+len(l.remoteServers)))/l.totalWeight
	if next := max(a.finishTag, l.MinStartTag(l.virtualTime)) + time/a.weight(); next <= most {
		a.finishTag = next
	} else {
		a.finishTag = max(a.finishTag, most)
	}
	a.remoteSinceMeasured += time
}

// forgetRemoteServers drops lives that have said nothing for long; all of them where none has.
func (l *Scheduler) forgetRemoteServers() {
	for life, s := range l.remoteServers {
		if l.now-s.lastReport > 2*maxReportAge {
			delete(l.remoteServers, life)
		}
	}
	if len(l.remoteServers) >= maxRemoteServers {
		clear(l.remoteServers)
	}
}
