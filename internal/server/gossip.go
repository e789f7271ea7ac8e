package server

import (
	"slices"
	"sync"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/gossip"
	"thistlequay/internal/membership"
	"thistlequay/internal/quota/service"
	"thistlequay/timeunit"
	"time"
)

// Gossip is the talk with other servers.
type Gossip struct {
	Node     *gossip.Node
	lock     sync.Mutex
	size     int
	quorum   membership.QuorumStatus
	onChange func()
	usage    map[membership.ID]tenantUsage // what tenants were given elsewhere, as it was told last
}

type tenantUsage struct {
	reportedAt time.Time
	tenants    []membership.TenantUsage
}

const gossipInterval = second

// ClusterChanged is called by the talk's worker; it hands over and does not wait.
func (t *Gossip) ClusterChanged(size int, standing membership.QuorumStatus) {
	t.lock.Lock()
	t.size, t.quorum = size, standing
	changed := t.onChange
	t.lock.Unlock()
	if changed != nil {
		changed()
	}
}

// UsageReported is called by the talk's worker with what another server gave tenants.
func (t *Gossip) UsageReported(of membership.ID, age time.Duration, used []membership.TenantUsage) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.usage == nil {
		t.usage = map[membership.ID]tenantUsage{}
	}
	t.usage[of] = tenantUsage{time.Now().Add(-age), used}
}

// takeUsage gives what was told since it was last asked, in the order of lives.
func (t *Gossip) takeUsage() (lives []membership.ID, used map[membership.ID]tenantUsage) {
	t.lock.Lock()
	defer t.lock.Unlock()
	used, t.usage = t.usage, nil
	for id := range used {
		lives = append(lives, id)
	}
	slices.SortFunc(lives, membership.ID.Compare)
	return lives, used
}

// subscribe has the loop told of each change.
func (t *Gossip) subscribe(changed func()) {
	t.lock.Lock()
	t.onChange = changed
	t.lock.Unlock()
}

func (t *Gossip) clusterSize() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.size
}

// startGossip begins to tell and to listen, once the loop is there.
func (a *Server) startGossip() {
	t := a.config.Gossip
	if t == nil {
		return
	}
	t.subscribe(func() { a.trySubmit(a.applyClusterSize) })
	a.gossipTimer.fire = func() {
		a.publishState()
		a.setTimer(&a.gossipTimer, a.now+gossipInterval)
	}
	a.gossipTimer.fire()
}

// applyClusterSize has the module reckon with the servers that there are.
func (a *Server) applyClusterSize() {
	if t := a.config.Gossip; t != nil && a.admission != nil {
		if n := t.clusterSize(); n > 0 {
			a.admission.SetFleetSize(n)
			a.quota.admissionLimit = -1 // its part of the calls is what is granted, where that is
		}
	}
}

// exchangeTenantUsage has the ledger count what they were given elsewhere, and gives what they were given here.
func (a *Server) exchangeTenantUsage() (used []membership.TenantUsage) {
	if a.fairScheduler == nil {
		return nil
	}
	lives, told := a.config.Gossip.takeUsage()
	for _, id := range lives {
		var given []fairqueue.Usage
		for _, u := range told[id].tenants {
			given = append(given, fairqueue.Usage{Tenant: u.Tenant, CoreTime: u.CoreTime})
		}
		a.fairScheduler.RecordRemoteUsage(service.HolderName(id), timeunit.Ticks(time.Since(told[id].reportedAt)/(100*time.Microsecond)), given, a.now)
	}
	for _, g := range a.fairScheduler.LocalUsage() {
		if len(used) < membership.MaxUsageEntries {
			used = append(used, membership.TenantUsage{Tenant: g.Tenant, CoreTime: g.CoreTime})
		}
	}
	return used
}

// publishState tells how this server is.
func (a *Server) publishState() {
	t := a.config.Gossip
	if t == nil {
		return
	}
	own := gossip.LocalState{Usage: a.exchangeTenantUsage(), State: membership.StateJoining, LoopLag: time.Duration(a.timerLateness.percentile99()) * (time.Millisecond / 10)}
	switch {
	case a.shutdownDeadline < noDeadline:
		own.State = membership.StateDraining
	case a.admission != nil:
		own.State = membership.StateServing
		if a.admission.IsWarmingUp() {
			own.State = membership.StateWarmingUp
		}
	}
	if a.admission != nil {
		b := a.admission.Stats()
		own.ConcurrencyLimit, own.InFlight, own.AvailableCapacity, own.IndexLatencyMs = b.Limit, float64(b.Queued+b.Running), max(0, b.Limit-float64(b.Running)), float64(b.CallTime)/10
		a.applyClusterSize()
	}
	t.Node.SetLocalState(own)
}
