package server

import (
	"slices"
	"sync"
	"time"

	"thistlequay/internal/fairqueue"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/quota/service"
	"thistlequay/timeunit"
)

// gossipInterval is the time between two updates of the state that this server gossips.
const gossipInterval = second

// Gossip connects the event loop to the gossip node. ClusterChanged and UsageReported may be called from any goroutine.
type Gossip struct {
	// Node is this server's gossip node.
	Node *gossip.Node

	lock        sync.Mutex // guards the fields below
	clusterSize int
	onChange    func()
	usage       map[membership.ID]tenantUsage // last report of each server that takeUsage has not returned yet
}

// tenantUsage is the core time that another server reported for its tenants.
type tenantUsage struct {
	reportedAt time.Time
	tenants    []membership.TenantUsage
}

// ClusterChanged stores the number of servers in the cluster and notifies the event loop without waiting for it.
func (g *Gossip) ClusterChanged(size int, _ membership.QuorumStatus) {
	g.lock.Lock()
	g.clusterSize = size
	onChange := g.onChange
	g.lock.Unlock()
	if onChange != nil {
		onChange()
	}
}

// UsageReported stores a report of the core time that another server's tenants used. It replaces a stored report of the
// same server. age is the age of the report.
func (g *Gossip) UsageReported(server membership.ID, age time.Duration, tenants []membership.TenantUsage) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.usage == nil {
		g.usage = map[membership.ID]tenantUsage{}
	}
	g.usage[server] = tenantUsage{reportedAt: time.Now().Add(-age), tenants: tenants}
}

// takeUsage returns the last report received from each server since the previous call of takeUsage, and the IDs of
// these servers, sorted so that the order is deterministic.
func (g *Gossip) takeUsage() (servers []membership.ID, usage map[membership.ID]tenantUsage) {
	g.lock.Lock()
	defer g.lock.Unlock()
	usage = g.usage
	g.usage = nil
	for id := range usage {
		servers = append(servers, id)
	}
	slices.SortFunc(servers, membership.ID.Compare)
	return servers, usage
}

// subscribe sets the function that ClusterChanged calls.
func (g *Gossip) subscribe(onChange func()) {
	g.lock.Lock()
	g.onChange = onChange
	g.lock.Unlock()
}

// size returns the number of servers in the cluster, or 0 if it is not known yet.
func (g *Gossip) size() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.clusterSize
}

// gossipSubsystem publishes this server's state to the other servers and passes the cluster size to admission. It must
// never wait for gossip, and it must not depend on the gossip protocol.
type gossipSubsystem struct {
	subsystemDefaults
	server *Server
	timer  timer
}

func (p *gossipSubsystem) init(server *Server) {
	p.server = server
	p.timer.fire = p.onTimer
}

func (p *gossipSubsystem) isEnabled() bool { return p.server.config.Gossip != nil }

func (p *gossipSubsystem) start() {
	p.server.config.Gossip.subscribe(func() { p.server.trySubmit(p.applyClusterSize) })
	p.onTimer()
}

// drain publishes that this server drains. The announcement that it leaves is made beside the end of the drain, so that
// the exit of the process does not wait for it.
func (p *gossipSubsystem) drain() {
	p.publish()
	announcement := &timer{fire: p.server.config.Gossip.Node.AnnounceLeave}
	p.server.setTimer(announcement, p.server.shutdownDeadline-timeunit.TicksOf(gossip.LeaveTime))
}

func (p *gossipSubsystem) onTimer() {
	p.publish()
	p.server.setTimer(&p.timer, p.server.now+gossipInterval)
}

// applyClusterSize sets the number of servers that admission assumes, if it is known.
func (p *gossipSubsystem) applyClusterSize() {
	if p.server.admission == nil {
		return
	}
	if size := p.server.config.Gossip.size(); size > 0 {
		p.server.admission.SetFleetSize(size)
		// SetFleetSize has changed admission's limit on calls. If there is a quota, it must set the limit again.
		p.server.quota.admissionLimit = unsetLimit
	}
}

// publish updates the state that this server gossips to the others.
func (p *gossipSubsystem) publish() {
	server := p.server
	state := gossip.LocalState{
		Usage:   p.exchangeUsage(),
		State:   p.memberState(),
		LoopLag: server.timerLateness.percentile99().Duration(),
	}
	if server.admission != nil {
		stats := server.admission.Stats()
		state.ConcurrencyLimit = stats.Limit
		state.InFlight = float64(stats.Queued + stats.Running)
		state.AvailableCapacity = max(0, stats.Limit-float64(stats.Running))
		state.IndexLatencyMs = float64(stats.CallTime) / 10
		p.applyClusterSize()
	}
	server.config.Gossip.Node.SetLocalState(state)
}

// memberState returns the state in which the other servers see this one.
func (p *gossipSubsystem) memberState() membership.State {
	server := p.server
	switch {
	case server.shutdownDeadline < noDeadline:
		return membership.StateDraining
	case server.admission == nil:
		return membership.StateJoining
	case server.admission.IsWarmingUp():
		return membership.StateWarmingUp
	default:
		return membership.StateServing
	}
}

// exchangeUsage takes the stored usage reports of the other servers, so that they are not processed again, and accounts
// them in the fair scheduler. It returns the total core time, in ticks, that each named tenant has used on this server
// since the process started or, if later, since the tenant was configured. The list has at most
// membership.MaxUsageEntries tenants: those with the highest recent usage, highest first. Without fair queueing, it
// takes no reports and returns nil.
func (p *gossipSubsystem) exchangeUsage() []membership.TenantUsage {
	server := p.server
	if server.fairQueue.scheduler == nil {
		return nil
	}
	servers, reports := server.config.Gossip.takeUsage()
	for _, id := range servers {
		report := reports[id]
		var remote []fairqueue.Usage
		for _, tenant := range report.tenants {
			remote = append(remote, fairqueue.Usage{Tenant: tenant.Tenant, CoreTime: tenant.CoreTime})
		}
		age := timeunit.TicksOf(time.Since(report.reportedAt))
		server.fairQueue.scheduler.RecordRemoteUsage(service.HolderName(id), age, remote, server.now)
	}
	var local []membership.TenantUsage
	for _, tenant := range server.fairQueue.scheduler.LocalUsage() {
		if len(local) < membership.MaxUsageEntries {
			local = append(local, membership.TenantUsage{Tenant: tenant.Tenant, CoreTime: tenant.CoreTime})
		}
	}
	return local
}
