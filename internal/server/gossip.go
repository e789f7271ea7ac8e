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

// gossipInterval is the time between two reports of this server to the others.
const gossipInterval = second

// Gossip is the connection to the other servers. ClusterChanged and UsageReported may be called from any goroutine.
type Gossip struct {
	// Node is this server among the others.
	Node *gossip.Node

	lock        sync.Mutex // guards what follows
	clusterSize int
	onChange    func()
	usage       map[membership.ID]tenantUsage // that was reported and not taken yet
}

// tenantUsage is what another server gave its tenants.
type tenantUsage struct {
	reportedAt time.Time
	tenants    []membership.TenantUsage
}

// ClusterChanged takes the number of servers that there are. It hands it over and does not wait.
func (g *Gossip) ClusterChanged(size int, _ membership.QuorumStatus) {
	g.lock.Lock()
	g.clusterSize = size
	onChange := g.onChange
	g.lock.Unlock()
	if onChange != nil {
		onChange()
	}
}

// UsageReported takes what another server gave its tenants, and how old that report is.
func (g *Gossip) UsageReported(by membership.ID, age time.Duration, tenants []membership.TenantUsage) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.usage == nil {
		g.usage = map[membership.ID]tenantUsage{}
	}
	g.usage[by] = tenantUsage{reportedAt: time.Now().Add(-age), tenants: tenants}
}

// takeUsage returns what was reported since it was last called, and the servers that did in a fixed order.
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

// subscribe has onChange called when the number of servers has changed.
func (g *Gossip) subscribe(onChange func()) {
	g.lock.Lock()
	g.onChange = onChange
	g.lock.Unlock()
}

// size returns the number of servers, zero where it is not known yet.
func (g *Gossip) size() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.clusterSize
}

// gossipPart tells the other servers how this one is, and admission how many servers there are. It must never wait for
// gossip, nor know what is said there.
type gossipPart struct {
	partDefaults
	server *Server
	timer  timer
}

func (p *gossipPart) init(server *Server) {
	p.server = server
	p.timer.fire = p.onTimer
}

func (p *gossipPart) isEnabled() bool { return p.server.config.Gossip != nil }

func (p *gossipPart) start() {
	p.server.config.Gossip.subscribe(func() { p.server.trySubmit(p.applyClusterSize) })
	p.onTimer()
}

func (p *gossipPart) drain() { p.publish() }

func (p *gossipPart) onTimer() {
	p.publish()
	p.server.setTimer(&p.timer, p.server.now+gossipInterval)
}

// applyClusterSize has admission reckon with the servers that there are.
func (p *gossipPart) applyClusterSize() {
	if p.server.admission == nil {
		return
	}
	if size := p.server.config.Gossip.size(); size > 0 {
		p.server.admission.SetFleetSize(size)
		p.server.quota.admissionLimit = undeclaredLimit // where there is quota, that is what limits calls
	}
}

// publish tells the others how this server is.
func (p *gossipPart) publish() {
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

func (p *gossipPart) memberState() membership.State {
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

// exchangeUsage has the fair queue account what tenants were given by other servers, and returns what they were given
// by this one.
func (p *gossipPart) exchangeUsage() []membership.TenantUsage {
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
