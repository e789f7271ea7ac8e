// Package ledger decides whose turn it is at the door: what each tenant's part of a server's work is, how far ahead of
// it a tenant is, and when one that was turned away has room again.
//
// This file owns the books on tenants and their claims. It knows no clock but what it is told, does no I/O and starts
// nothing. It must never say what is taken, run or declined: it hands out turns, which the admission module orders by.
//
// The turn of a work item is a start tag of start-time fair queueing (Goyal, Vin and Cheng, 1996): what its tenant's
// work items have been charged, over the tenant's weight, but no further back than a burst behind the turn that
// the server has come to. A work item is charged an estimate when it comes and what it really took when its run ends.
package fairqueue

import (
	"math/rand"

	"github.com/zeebo/xxh3"

	"thistlequay/timeunit"
)

// Tenant is one that is known by name.
type Tenant struct {
	Name   string
	Weight float64 // its weight, above 0; only ratios count
}

// Config are what the books are kept by.
type Config struct {
	Tenants          []Tenant
	OthersWeight     float64          // weight of all that are not named, together; above 0
	NewcomerFraction float64          // part of that, above 0 and under 1, for those without a history
	MaxHeavyHitters  int              // that are kept exactly for tenants not named, the heaviest
	SharedFlows      int              // that all others are hashed into
	Burst            timeunit.Ticks   // of the whole server's work: what may be had at once after a rest
	MinHistory       timeunit.Ticks   // a tenant must have been asking for so long to get a book
	RehashInterval   timeunit.Ticks   // the groups are made anew after this
	Cores            int              // what the server has
	SoftDeadlines    []timeunit.Ticks // contract times by category: runs are first taken to need a small part of them
}

const (
	measureInterval       = 2_500     // rates are measured and the books looked through this often: 250 ms
	rateDecay             = 0.75      // part of a measured rate that is left after a beat
	usageDecay            = 0.96      // and of what a tenant has used: half in about four seconds
	initialCostFraction   = 1.0 / 16  // part of the contract time that a run is taken to need until some have been measured
	flowCostSmoothing     = 1.0 / 8   // weight of the newest in a running mean
	categoryCostSmoothing = 1.0 / 64  // and in one over all tenants
	maxCostFactor         = 64        // a tenant's runs are not expected to take more than so many usual ones
	evictionFactor        = 2         // a newcomer must have used so many times what the lightest book has
	maxCandidates         = 256       // candidates for a book
	minUsageFraction      = 1.0 / 256 // what has used less of a core's beat is not kept for its own sake
)

// Scheduler is the books of one server.
type Scheduler struct {
	config      Config
	random      *rand.Rand
	now         timeunit.Ticks
	virtualTime float64

	namedFlows      map[string]*flow
	heavyHitters    map[uint64]*flow // by hash, so that a book costs the same whatever the name
	sharedFlows     []flow
	individualFlows []*flow // of named and heavy, that no decision hangs on the order of a map
	hashSeed        uint64  // of the hash that tells tenants apart
	rehashSalt      uint64  // of the hash that puts them into groups
	rehashedAt      timeunit.Ticks
	candidates      candidateTable

	coreClock             float64 // core time that one run had which never waited
	runningRequests       int     // runs that want a core
	typicalCosts          []float64
	measuredAt            timeunit.Ticks
	workSinceMeasured     float64 // charged since the last beat
	serviceRate           float64 // core time a tenth that the server gets done while some wait
	totalWeight           float64 // of all weights
	activeWeight          float64 // of those active
	activeHeavyHitters    int     // of these that have a book though they are not named
	activeSharedFlows     int     // of these groups
	rejectedSinceMeasured bool    // somebody was turned away since the last beat
	remoteServers         map[string]*remoteServer
}

type flowKind int

const (
	namedFlow flowKind = iota
	heavyHitterFlow
	sharedFlow
)

// flow is the book of a tenant or of a group of them.
type flow struct {
	scheduler           *Scheduler
	kind                flowKind
	configuredWeight    float64 // of a named one
	tenantHash          uint64
	finishTag           float64 // the turn after all that it was charged
	openReservations    int     // claims open
	runningRequests     int     // of these running
	startSum            float64 // sum of their beginnings by the ledger's clock
	expectedCostSum     float64 // and of their estimates
	costFactor          float64 // what its runs take, in usual ones
	localSinceMeasured  float64 // work charged since the last beat
	recentRate          float64 // of late, a tenth
	localTotal          float64 // work charged here from the start
	remoteSinceMeasured float64 // work given elsewhere since the last beat: turns go by it too
	recentUsage         float64 // of late
	lastSeen            timeunit.Ticks
	active              bool
	lastReturn          timeunit.Ticks // the last return time that was told
}

// New opens the books. The hash that tells tenants apart and all spreading come from chance.
func New(t Config, chance *rand.Rand, now timeunit.Ticks) *Scheduler {
	l := &Scheduler{random: chance, now: now, measuredAt: now, rehashedAt: now, namedFlows: map[string]*flow{},
		heavyHitters: map[uint64]*flow{}, remoteServers: map[string]*remoteServer{}, hashSeed: chance.Uint64(), rehashSalt: chance.Uint64(), candidates: newCandidateTable(maxCandidates)}
	l.serviceRate = float64(t.Cores)
	for _, c := range t.SoftDeadlines {
		l.typicalCosts = append(l.typicalCosts, max(1, float64(c)*initialCostFraction))
	}
	l.applyConfig(t)
	return l
}

// Reconfigure takes up other terms, for the same cores and categories. Tenants that stay keep their books; claims of those that go end on the books they began on.
func (l *Scheduler) Reconfigure(t Config, now timeunit.Ticks) {
	l.advance(now)
	t.Cores = l.config.Cores
	l.applyConfig(t)
}

func (l *Scheduler) applyConfig(t Config) {
	before := l.namedFlows
	l.config, l.namedFlows, l.individualFlows, l.totalWeight = t, map[string]*flow{}, nil, t.OthersWeight
	for _, known := range t.Tenants {
		l.totalWeight += known.Weight
	}
	for _, known := range t.Tenants {
		a := before[known.Name]
		if a == nil {
			a = l.newFlow(namedFlow)
		}
		a.configuredWeight = known.Weight
		l.namedFlows[known.Name] = a
		l.individualFlows = append(l.individualFlows, a)
		if h := xxh3.HashStringSeed(known.Name, l.hashSeed); l.heavyHitters[h] != nil {
			a.finishTag = l.heavyHitters[h].finishTag // it was not named until now
			delete(l.heavyHitters, h)
		}
	}
	if len(l.sharedFlows) != t.SharedFlows {
		l.sharedFlows = make([]flow, t.SharedFlows)
		for i := range l.sharedFlows {
			l.sharedFlows[i] = *l.newFlow(sharedFlow)
		}
	}
	for _, a := range before {
		a.active = false
	}
	// Those that keep a book stand behind the named ones, the heaviest first.
	rest := make([]*flow, 0, len(l.heavyHitters))
	for _, a := range l.heavyHitters {
		rest = append(rest, a)
	}
	sortByUsage(rest)
	for i, a := range rest {
		if i < t.MaxHeavyHitters {
			l.individualFlows = append(l.individualFlows, a)
		} else {
			delete(l.heavyHitters, a.tenantHash)
		}
	}
	l.countActive()
}

func (l *Scheduler) newFlow(k flowKind) *flow {
	return &flow{scheduler: l, kind: k, finishTag: l.MinStartTag(l.virtualTime), costFactor: 1, lastSeen: -1 << 60}
}

// burstAllowance is how far turns go back: the work of a burst, as if all had a part in it.
func (l *Scheduler) burstAllowance() float64 {
	return float64(l.config.Burst) * float64(l.config.Cores) / l.totalWeight
}

// MinStartTag is the turn of a tenant that had nothing of late: no more than a burst is kept from times of rest.
func (l *Scheduler) MinStartTag(turn float64) float64 { return turn - l.burstAllowance() }

// flowOf gives the book that a tenant's work items are charged to.
func (l *Scheduler) flowOf(tenant []byte) (a *flow, hash uint64) {
	if a := l.namedFlows[string(tenant)]; a != nil {
		return a, 0
	}
	hash = xxh3.HashSeed(tenant, l.hashSeed)
	if a := l.heavyHitters[hash]; a != nil {
		return a, hash
	}
	// Two that meet in a group part when the groups are made anew.
	mixed := (hash ^ l.rehashSalt) * 0x9e3779b97f4a7c15
	return &l.sharedFlows[mixed>>32%uint64(len(l.sharedFlows))], hash
}

// weight is a tenant's part of the server's work against the others'. Those not named share one part, newcomers a
// bounded part of that: a fresh name buys nothing.
func (a *flow) weight() float64 {
	t := &a.scheduler.config
	switch a.kind {
	case namedFlow:
		return a.configuredWeight
	case heavyHitterFlow:
		return t.OthersWeight * (1 - t.NewcomerFraction) / float64(max(1, a.scheduler.activeHeavyHitters))
	}
	return t.OthersWeight * t.NewcomerFraction / float64(max(1, a.scheduler.activeSharedFlows))
}

// expectedRate is the core time a tenth that the tenant may count on: its part among the active ones, or what it gets where
// others leave theirs.
func (a *flow) expectedRate(gets float64) float64 {
	l, w := a.scheduler, a.weight()
	return max(gets, l.serviceRate*w/max(w, l.activeWeight), 1e-9)
}

// longTermRate is what it got in seconds rather than of late: what is promised must not follow a moment.
func (a *flow) longTermRate() float64 { return a.recentUsage * (1 - usageDecay) / measureInterval }

// advance moves the clocks on.
func (l *Scheduler) advance(now timeunit.Ticks) {
	if now > l.now {
		l.coreClock += float64(now-l.now) * min(1, float64(l.config.Cores)/float64(max(1, l.runningRequests)))
		l.now = now
	}
	if l.now-l.measuredAt >= measureInterval {
		l.measure()
	}
}

// measure is the beat: rates, who is active, who gets a book and who loses it, new groups.
func (l *Scheduler) measure() {
	beats := float64(l.now-l.measuredAt) / measureInterval
	span := float64(l.now - l.measuredAt)
	l.measuredAt = l.now
	if l.rejectedSinceMeasured { // only then the server did all that it could
		l.serviceRate = min(float64(l.config.Cores), max(l.serviceRate*rateDecay+l.workSinceMeasured/span*(1-rateDecay), float64(l.config.Cores)*minUsageFraction))
	} else {
		l.serviceRate = max(l.serviceRate, l.workSinceMeasured/span)
	}
	l.workSinceMeasured, l.rejectedSinceMeasured = 0, false
	fade := rateDecay
	for range min(int(beats), 20) - 1 {
		fade *= rateDecay
	}
	old := usageDecay
	for range min(int(beats), 400) - 1 {
		old *= usageDecay
	}
	for _, a := range l.individualFlows {
		a.settle(span, fade, old)
	}
	for i := range l.sharedFlows {
		l.sharedFlows[i].settle(span, fade, old)
	}
	l.candidates.decay(old)
	l.promoteCandidates()
	if l.now-l.rehashedAt >= l.config.RehashInterval {
		l.rehashSalt, l.rehashedAt = l.random.Uint64(), l.now
	}
	l.countActive()
}

func (a *flow) settle(span, fade, old float64) {
	a.recentRate = a.recentRate*fade + (a.localSinceMeasured+a.remoteSinceMeasured)/span*(1-fade)
	a.recentUsage = (a.recentUsage + a.localSinceMeasured) * old
	a.localSinceMeasured, a.remoteSinceMeasured = 0, 0
}

// countActive finds who is active: those that have something in hand or asked since two beats.
func (l *Scheduler) countActive() {
	l.activeHeavyHitters, l.activeSharedFlows, l.activeWeight = 0, 0, 0
	look := func(a *flow) {
		if a.active = a.openReservations > 0 || l.now-a.lastSeen < 2*measureInterval; a.active && a.kind == heavyHitterFlow {
			l.activeHeavyHitters++
		} else if a.active && a.kind == sharedFlow {
			l.activeSharedFlows++
		}
	}
	for _, a := range l.individualFlows {
		look(a)
	}
	for i := range l.sharedFlows {
		look(&l.sharedFlows[i])
	}
	for _, a := range l.individualFlows {
		if a.active {
			l.activeWeight += a.weight()
		}
	}
	for i := range l.sharedFlows {
		if a := &l.sharedFlows[i]; a.active {
			l.activeWeight += a.weight()
		}
	}
}
