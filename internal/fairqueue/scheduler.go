// Package fairqueue divides a server's core time among tenants by weight. It gives each request a virtual start tag, by
// which the admission queue orders requests, accounts the core time that requests really used, and tells rejected ones
// when their tenant can expect capacity again.
//
// The algorithm is start-time fair queueing (Goyal, Vin and Cheng, 1996). The start tag of a request is the finish tag
// of its flow, which is the core time charged to the flow over the flow's weight, but lies no further behind the
// server's virtual time than a burst allowance. A request is charged an expected cost when it arrives and its measured
// cost when it ends.
//
// A flow is the state kept for one named tenant, for one heavy hitter among the tenants that are not named, or for all
// tenants that hash into one shared flow.
//
// The package reads no clock, does no I/O and starts no goroutine: time and randomness are passed in. A Scheduler
// belongs to one goroutine, the event loop. It never decides what is admitted, started or rejected; that is the
// admission package's task.
package fairqueue

import (
	"iter"
	"math/rand"

	"github.com/zeebo/xxh3"

	"thistlequay/timeunit"
)

// How rates and usage are measured. The figures were chosen by trials in the simulator.
const (
	// measureInterval is the time between two measurements, 250 ms in ticks.
	measureInterval = 2_500

	// rateDecay is the part of a measured rate that is left after one interval.
	rateDecay = 0.75

	// usageDecay is the part of a flow's usage that is left after one interval: half after about four seconds.
	usageDecay = 0.96

	// Beyond so many intervals without a measurement nothing of a rate or of a usage is left worth computing.
	maxRateDecayIntervals  = 20
	maxUsageDecayIntervals = 400

	// activeIntervals is how many intervals after its last request a flow without an open reservation counts as active.
	activeIntervals = 2

	// minUsageFraction of a core's work in one interval is the usage below which a flow is not kept for its own sake.
	minUsageFraction = 1.0 / 256
)

// Scheduler is the state of fair queueing on one server.
type Scheduler struct {
	config Config
	random *rand.Rand
	now    timeunit.Ticks

	// virtualTime is the highest start tag that the server has started, as the admission package reported it last.
	virtualTime float64

	namedFlows   map[string]*flow
	heavyHitters map[uint64]*flow // by hash, so that a flow costs the same memory whatever the name
	sharedFlows  []flow

	// individualFlows are the named flows and the heavy hitters in a fixed order, so that no decision depends on the
	// order of a map.
	individualFlows []*flow

	candidates    candidateTable
	remoteServers map[string]*remoteServer

	hashSeed   uint64 // of the hash that tells tenants apart
	rehashSalt uint64 // of the hash that puts tenants into shared flows
	rehashedAt timeunit.Ticks

	// coreClock is the core time that one request would have had which ran since the start. It advances slower than the
	// wall clock while more requests run than there are cores (processor sharing).
	coreClock       float64
	runningRequests int // that need a core

	typicalCosts []float64 // running mean of the core time of a request, by category

	measuredAt            timeunit.Ticks
	workSinceMeasured     float64 // core time accounted since measuredAt
	rejectedSinceMeasured bool
	serviceRate           float64 // core time per tick that the server delivers while it rejects requests

	totalWeight        float64
	activeWeight       float64
	activeHeavyHitters int
	activeSharedFlows  int
}

// New returns a scheduler. The hash that tells tenants apart and the spreading of retries draw from random.
func New(config Config, random *rand.Rand, now timeunit.Ticks) *Scheduler {
	s := &Scheduler{
		random:        random,
		now:           now,
		measuredAt:    now,
		rehashedAt:    now,
		namedFlows:    map[string]*flow{},
		heavyHitters:  map[uint64]*flow{},
		remoteServers: map[string]*remoteServer{},
		hashSeed:      random.Uint64(),
		rehashSalt:    random.Uint64(),
		candidates:    newCandidateTable(maxCandidates),
		serviceRate:   float64(config.Cores),
	}
	for _, deadline := range config.SoftDeadlines {
		s.typicalCosts = append(s.typicalCosts, max(1, float64(deadline)*initialCostFraction))
	}
	s.applyConfig(config)
	return s
}

// Reconfigure changes everything but the number of cores and the categories. Tenants that stay named keep their flows;
// reservations of tenants that are no longer named end on the flows that they began on.
func (s *Scheduler) Reconfigure(config Config, now timeunit.Ticks) {
	s.advance(now)
	config.Cores = s.config.Cores
	s.applyConfig(config)
}

func (s *Scheduler) applyConfig(config Config) {
	before := s.namedFlows
	s.config = config
	s.totalWeight = config.totalWeight()
	s.individualFlows = nil
	s.nameTenants(before)
	if len(s.sharedFlows) != config.SharedFlows {
		s.sharedFlows = make([]flow, config.SharedFlows)
		for i := range s.sharedFlows {
			s.sharedFlows[i] = *s.newFlow(sharedFlow)
		}
	}
	for _, flow := range before {
		flow.active = false // those that are still named are counted again below
	}
	s.keepHeaviest()
	s.countActive()
}

// nameTenants gives each configured tenant its flow: the one it had before, or a new one that goes on from the finish
// tag that the tenant had as a heavy hitter.
func (s *Scheduler) nameTenants(before map[string]*flow) {
	s.namedFlows = map[string]*flow{}
	for _, tenant := range s.config.Tenants {
		flow := before[tenant.Name]
		if flow == nil {
			flow = s.newFlow(namedFlow)
		}
		flow.configuredWeight = tenant.Weight
		s.namedFlows[tenant.Name] = flow
		s.individualFlows = append(s.individualFlows, flow)
		hash := xxh3.HashStringSeed(tenant.Name, s.hashSeed)
		if heavy := s.heavyHitters[hash]; heavy != nil {
			flow.finishTag = heavy.finishTag
			delete(s.heavyHitters, hash)
		}
	}
}

// keepHeaviest lists the heavy hitters behind the named flows, the heaviest first, and drops those beyond the limit.
func (s *Scheduler) keepHeaviest() {
	heaviest := make([]*flow, 0, len(s.heavyHitters))
	for _, flow := range s.heavyHitters {
		heaviest = append(heaviest, flow)
	}
	sortByUsage(heaviest)
	for i, flow := range heaviest {
		if i < s.config.MaxHeavyHitters {
			s.individualFlows = append(s.individualFlows, flow)
		} else {
			delete(s.heavyHitters, flow.tenantHash)
		}
	}
}

// flowOf returns the flow that a tenant's requests are charged to, and the tenant's hash if it is not a named one.
func (s *Scheduler) flowOf(tenant []byte) (flow *flow, hash uint64) {
	if flow := s.namedFlows[string(tenant)]; flow != nil {
		return flow, 0
	}
	hash = xxh3.HashSeed(tenant, s.hashSeed)
	if flow := s.heavyHitters[hash]; flow != nil {
		return flow, hash
	}
	// The salt changes at each rehash, so that two tenants which share a flow do not share it for good.
	mixed := (hash ^ s.rehashSalt) * fibonacciMultiplier
	return &s.sharedFlows[mixed>>32%uint64(len(s.sharedFlows))], hash
}

// fibonacciMultiplier is 2^64 over the golden ratio (Knuth's multiplicative hashing).
const fibonacciMultiplier = 0x9e3779b97f4a7c15

// allFlows yields every flow, in an order that does not change between two changes of the set.
func (s *Scheduler) allFlows() iter.Seq[*flow] {
	return func(yield func(*flow) bool) {
		for _, flow := range s.individualFlows {
			if !yield(flow) {
				return
			}
		}
		for i := range s.sharedFlows {
			if !yield(&s.sharedFlows[i]) {
				return
			}
		}
	}
}

// burstAllowance is how far behind the virtual time a finish tag may lie: the tag distance of a burst if every tenant
// took part in it.
func (s *Scheduler) burstAllowance() float64 {
	return float64(s.config.Burst) * float64(s.config.Cores) / s.totalWeight
}

// MinStartTag is the start tag of a flow that used nothing of late, at the given virtual time: no more than a burst is
// saved up while a tenant rests.
func (s *Scheduler) MinStartTag(virtualTime float64) float64 { return virtualTime - s.burstAllowance() }

// advance moves the clocks on to now and measures when an interval is over.
func (s *Scheduler) advance(now timeunit.Ticks) {
	if now > s.now {
		corePerRequest := min(1, float64(s.config.Cores)/float64(max(1, s.runningRequests)))
		s.coreClock += float64(now-s.now) * corePerRequest
		s.now = now
	}
	if s.now-s.measuredAt >= measureInterval {
		s.measure()
	}
}

// measure ends an interval, which is longer than measureInterval if nothing happened meanwhile: it updates rates and
// usage, chooses the heavy hitters, rehashes the shared flows when that is due, and counts the active flows.
func (s *Scheduler) measure() {
	span := float64(s.now - s.measuredAt)
	s.measuredAt = s.now
	s.measureServiceRate(span)
	intervals := int(span / measureInterval)
	rateLeft := decay(rateDecay, min(intervals, maxRateDecayIntervals))
	usageLeft := decay(usageDecay, min(intervals, maxUsageDecayIntervals))
	for flow := range s.allFlows() {
		flow.measure(span, rateLeft, usageLeft)
	}
	s.candidates.decay(usageLeft)
	s.promoteCandidates()
	if s.now-s.rehashedAt >= s.config.RehashInterval {
		s.rehashSalt = s.random.Uint64()
		s.rehashedAt = s.now
	}
	s.countActive()
}

// decay is what is left after so many intervals, at least one, where left is left after one.
func decay(left float64, intervals int) float64 {
	total := left
	for range intervals - 1 {
		total *= left
	}
	return total
}

// measureServiceRate takes the work of an interval into the service rate. Only an interval in which requests were
// rejected shows what the server can do; any other shows that it can do at least as much.
func (s *Scheduler) measureServiceRate(span float64) {
	rate := s.workSinceMeasured / span
	if s.rejectedSinceMeasured {
		cores := float64(s.config.Cores)
		s.serviceRate = min(cores, max(s.serviceRate*rateDecay+rate*(1-rateDecay), cores*minUsageFraction))
	} else {
		s.serviceRate = max(s.serviceRate, rate)
	}
	s.workSinceMeasured = 0
	s.rejectedSinceMeasured = false
}

// countActive finds the active flows: those with an open reservation, and those that had a request of late.
func (s *Scheduler) countActive() {
	s.activeHeavyHitters = 0
	s.activeSharedFlows = 0
	for flow := range s.allFlows() {
		flow.active = flow.openReservations > 0 || s.now-flow.lastSeen < activeIntervals*measureInterval
		if flow.active {
			s.countKind(flow)
		}
	}
	// Weights depend on the counts, so they can only be added up now.
	s.activeWeight = 0
	for flow := range s.allFlows() {
		if flow.active {
			s.activeWeight += flow.weight()
		}
	}
}

// activate counts a flow as active before the next measurement does.
func (s *Scheduler) activate(flow *flow) {
	flow.active = true
	s.countKind(flow)
	s.activeWeight += flow.weight()
}

func (s *Scheduler) countKind(flow *flow) {
	switch flow.kind {
	case heavyHitterFlow:
		s.activeHeavyHitters++
	case sharedFlow:
		s.activeSharedFlows++
	}
}

// Stats are figures on a scheduler for logs.
type Stats struct {
	HeavyHitters      int
	ActiveSharedFlows int
	ServiceRate       float64 // cores' worth of work that the server delivers while it rejects requests
	Candidates        int     // tenants that may become heavy hitters
}

// Stats returns the figures of now.
func (s *Scheduler) Stats() Stats {
	return Stats{
		HeavyHitters:      len(s.heavyHitters),
		ActiveSharedFlows: s.activeSharedFlows,
		ServiceRate:       s.serviceRate,
		Candidates:        len(s.candidates.entries),
	}
}
