// Package fairqueue divides a server's core time among tenants by weight. It gives each tenant's next request a virtual
// start tag, by which the admission queue orders tenants. It accounts for the core time that requests actually used,
// and computes when the client of a rejected request should retry.
//
// The algorithm is start-time fair queueing (Goyal, Vin and Cheng, 1996). The start tag of a request is the finish tag
// of its flow, but at most a burst allowance behind the server's virtual time. The finish tag advances by the core time
// charged to the flow divided by the flow's weight. A request is charged an expected cost when its start tag is
// reached; when it ends, its measured cost replaces the expected one. A queued request is not charged. Its start tag is
// that of its flow, so it moves with everything that the flow is charged or given back meanwhile.
//
// A flow holds the state of one named tenant, of one heavy hitter among the tenants that are not named, or of all
// tenants that hash into one shared flow.
//
// The package reads no clock, does no I/O and starts no goroutines: time and randomness are passed in. A Scheduler must
// be used by only one goroutine, the event loop. It never decides which requests are admitted, started or rejected; the
// admission package does.
package fairqueue

import (
	"iter"
	"math/rand"

	"github.com/zeebo/xxh3"

	"thistlequay/timeunit"
)

// Parameters of the measurement of rates and usage. The values were chosen by trials in the simulator.
const (
	// measureInterval is the minimum time between two measurements, 250 ms in ticks.
	measureInterval = 2_500

	// rateDecay is the fraction of a measured rate that is retained after one interval.
	rateDecay = 0.75

	// usageDecay is the fraction of a flow's usage that is retained after one interval. Usage halves in about 4 s.
	usageDecay = 0.96

	// maxRateDecayIntervals and maxUsageDecayIntervals limit the number of intervals for which the decay is computed
	// after a long time without a measurement. What is retained after that many intervals is negligible.
	maxRateDecayIntervals  = 20
	maxUsageDecayIntervals = 400

	// activeIntervals is the number of intervals for which a flow without an open reservation still counts as active
	// after its last request.
	activeIntervals = 2

	// minUsageFraction is the usage below which a tenant that is not named gets or keeps no flow of its own, as a
	// fraction of the work of one core in one interval. It is also the lower bound of the service rate, as a fraction
	// of the server's cores.
	minUsageFraction = 1.0 / 256
)

// Scheduler holds the state of fair queueing on one server.
type Scheduler struct {
	config Config
	random *rand.Rand
	now    timeunit.Ticks

	// virtualTime is the highest start tag among the requests that the server has started, as the admission package
	// last reported it.
	virtualTime float64

	namedFlows   map[string]*flow
	heavyHitters map[uint64]*flow // by tenant hash, so that memory use does not depend on the length of names
	sharedFlows  []flow

	// individualFlows holds the named flows and the flows of heavy hitters in a fixed order, so that no decision
	// depends on map iteration order.
	individualFlows []*flow

	candidates    candidateTable
	remoteServers map[string]*remoteServer

	// contendedServers is the number of servers at which several named tenants are served, this one included, at the
	// last measurement.
	contendedServers int

	hashSeed   uint64 // seed of the hash that identifies tenants
	rehashSalt uint64 // salt of the hash that selects a tenant's shared flow
	rehashedAt timeunit.Ticks

	// coreClock is the core time, in ticks, that a request would have received if it had run since the scheduler was
	// created. It assumes processor sharing: the clock advances more slowly than wall-clock time while there are more
	// running requests than cores.
	coreClock       float64
	runningRequests int // started requests that need a core, so not the suspended ones

	typicalCosts []float64 // moving average of the core time of a request in ticks, indexed by category

	measuredAt               timeunit.Ticks
	usageSinceMeasured       float64 // core time in ticks accounted since measuredAt
	hasRejectedSinceMeasured bool
	serviceRate              float64 // core time per tick that the server can deliver, see updateServiceRate

	totalWeight        float64
	activeWeight       float64
	activeHeavyHitters int
	activeSharedFlows  int
}

// New returns a scheduler. random provides the seeds of the tenant hashes and the spread of retry times.
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

		contendedServers: 1,
	}
	for _, deadline := range config.SoftDeadlines {
		s.typicalCosts = append(s.typicalCosts, max(1, float64(deadline)*initialCostFraction))
	}
	s.applyConfig(config)
	return s
}

// Reconfigure replaces the configuration except for the number of cores and the categories. Tenants that stay named
// keep their flows. An open reservation of a tenant that is no longer named stays with the flow on which it was opened.
func (s *Scheduler) Reconfigure(config Config, now timeunit.Ticks) {
	s.advance(now)
	config.Cores = s.config.Cores
	s.applyConfig(config)
}

// applyConfig sets the configuration and creates, keeps or removes flows to match it.
func (s *Scheduler) applyConfig(config Config) {
	previousFlows := s.namedFlows
	s.config = config
	s.totalWeight = config.totalWeight()
	s.individualFlows = nil
	s.assignNamedFlows(previousFlows)
	if len(s.sharedFlows) != config.SharedFlows {
		s.sharedFlows = make([]flow, config.SharedFlows)
		for i := range s.sharedFlows {
			s.sharedFlows[i] = *s.newFlow(sharedFlow)
		}
	}
	for _, flow := range previousFlows {
		flow.isActive = false // recountActiveFlows sets it again for the flows that are still named
	}
	s.trimHeavyHitters()
	s.recountActiveFlows()
}

// assignNamedFlows gives each configured tenant its previous flow, or a new one if it had none. If the tenant was a
// heavy hitter, its flow continues from the heavy hitter's finish tag.
func (s *Scheduler) assignNamedFlows(previousFlows map[string]*flow) {
	s.namedFlows = map[string]*flow{}
	for _, tenant := range s.config.Tenants {
		flow := previousFlows[tenant.Name]
		if flow == nil {
			flow = s.newFlow(namedFlow)
		}
		flow.configuredWeight = tenant.Weight
		s.namedFlows[tenant.Name] = flow
		s.individualFlows = append(s.individualFlows, flow)
		hash := xxh3.HashStringSeed(tenant.Name, s.hashSeed)
		if heavyHitter := s.heavyHitters[hash]; heavyHitter != nil {
			flow.finishTag = heavyHitter.finishTag
			delete(s.heavyHitters, hash)
		}
	}
}

// trimHeavyHitters appends the heavy hitters to individualFlows, highest usage first, and removes those beyond
// MaxHeavyHitters.
func (s *Scheduler) trimHeavyHitters() {
	heavyHitters := make([]*flow, 0, len(s.heavyHitters))
	for _, flow := range s.heavyHitters {
		heavyHitters = append(heavyHitters, flow)
	}
	sortByUsage(heavyHitters)
	for i, flow := range heavyHitters {
		if i < s.config.MaxHeavyHitters {
			s.individualFlows = append(s.individualFlows, flow)
		} else {
			delete(s.heavyHitters, flow.tenantHash)
		}
	}
}

// flowOf returns the flow to which a tenant's requests are charged, and the tenant's hash or 0 if the tenant is named.
func (s *Scheduler) flowOf(tenant []byte) (flow *flow, hash uint64) {
	if flow := s.namedFlows[string(tenant)]; flow != nil {
		return flow, 0
	}
	hash = xxh3.HashSeed(tenant, s.hashSeed)
	if flow := s.heavyHitters[hash]; flow != nil {
		return flow, hash
	}
	// The salt changes at each rehash, so that two tenants do not share a flow permanently.
	saltedHash := (hash ^ s.rehashSalt) * fibonacciMultiplier
	return &s.sharedFlows[saltedHash>>32%uint64(len(s.sharedFlows))], hash
}

// fibonacciMultiplier is 2^64 divided by the golden ratio (Knuth's multiplicative hashing).
const fibonacciMultiplier = 0x9e3779b97f4a7c15

// allFlows yields every flow, in an order that stays the same until the set of flows changes.
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

// burstAllowance returns how far a start tag may be behind the virtual time. It is the distance by which the tags would
// advance if all tenants together used the whole burst.
func (s *Scheduler) burstAllowance() float64 {
	return float64(s.config.Burst) * float64(s.config.Cores) / s.totalWeight
}

// MinStartTag returns the lowest start tag of a request at the given virtual time, which is that of a flow without
// recent usage. It limits the capacity that an idle tenant saves up to one burst.
func (s *Scheduler) MinStartTag(virtualTime float64) float64 { return virtualTime - s.burstAllowance() }

// advance advances the clocks to now and takes a measurement if an interval has passed.
func (s *Scheduler) advance(now timeunit.Ticks) {
	if now > s.now {
		coreShare := min(1, float64(s.config.Cores)/float64(max(1, s.runningRequests)))
		s.coreClock += float64(now-s.now) * coreShare
		s.now = now
	}
	if s.now-s.measuredAt >= measureInterval {
		s.endInterval()
	}
}

// endInterval ends the current interval, which is longer than measureInterval if the scheduler was not called in time.
// It updates rates and usage, selects the heavy hitters, rehashes the shared flows when that is due, and recounts the
// active flows.
func (s *Scheduler) endInterval() {
	elapsedTicks := float64(s.now - s.measuredAt)
	s.measuredAt = s.now
	s.updateServiceRate(elapsedTicks)
	s.contendedServers = s.countContendedServers()
	s.chargePending(elapsedTicks)
	intervals := int(elapsedTicks / measureInterval)
	rateRetained := compoundDecay(rateDecay, min(intervals, maxRateDecayIntervals))
	usageRetained := compoundDecay(usageDecay, min(intervals, maxUsageDecayIntervals))
	for flow := range s.allFlows() {
		flow.updateUsage(elapsedTicks, rateRetained, usageRetained)
	}
	s.candidates.scaleUsage(usageRetained)
	s.promoteCandidates()
	if s.now-s.rehashedAt >= s.config.RehashInterval {
		s.rehashSalt = s.random.Uint64()
		s.rehashedAt = s.now
	}
	s.recountActiveFlows()
}

// compoundDecay returns the fraction that remains after the given number of intervals, at least one, if the fraction
// retained remains after each.
func compoundDecay(retained float64, intervals int) float64 {
	total := retained
	for range intervals - 1 {
		total *= retained
	}
	return total
}

// updateServiceRate updates the service rate with the work done in an interval of elapsedTicks ticks. Only an interval
// in which requests were rejected shows how much the server can deliver. Any other interval gives only a lower bound.
func (s *Scheduler) updateServiceRate(elapsedTicks float64) {
	rate := s.usageSinceMeasured / elapsedTicks
	if s.hasRejectedSinceMeasured {
		cores := float64(s.config.Cores)
		s.serviceRate = min(cores, max(s.serviceRate*rateDecay+rate*(1-rateDecay), cores*minUsageFraction))
	} else {
		s.serviceRate = max(s.serviceRate, rate)
	}
	s.usageSinceMeasured = 0
	s.hasRejectedSinceMeasured = false
}

// recountActiveFlows determines which flows are active and adds up their weights. A flow is active if it has an open
// reservation or had a request within the last activeIntervals intervals.
func (s *Scheduler) recountActiveFlows() {
	s.activeHeavyHitters = 0
	s.activeSharedFlows = 0
	for flow := range s.allFlows() {
		flow.isActive = flow.openReservations > 0 || s.now-flow.lastSeen < activeIntervals*measureInterval
		if flow.isActive {
			s.incrementActiveCount(flow)
		}
	}
	// The weights depend on the final counts, so they are added up in a second pass.
	s.activeWeight = 0
	for flow := range s.allFlows() {
		if flow.isActive {
			s.activeWeight += flow.weight()
		}
	}
}

// activate marks a flow as active immediately instead of at the next measurement.
func (s *Scheduler) activate(flow *flow) {
	flow.isActive = true
	s.incrementActiveCount(flow)
	s.activeWeight += flow.weight()
}

// incrementActiveCount increments the count of active flows of the given flow's kind.
func (s *Scheduler) incrementActiveCount(flow *flow) {
	switch flow.kind {
	case heavyHitterFlow:
		s.activeHeavyHitters++
	case sharedFlow:
		s.activeSharedFlows++
	}
}

// Stats holds statistics of a scheduler for logs.
type Stats struct {
	HeavyHitters      int
	ActiveSharedFlows int
	ServiceRate       float64 // work that the server can deliver, in cores, measured while it rejects requests
	Candidates        int     // tenants that may become heavy hitters
}

// Stats returns the current statistics.
func (s *Scheduler) Stats() Stats {
	return Stats{
		HeavyHitters:      len(s.heavyHitters),
		ActiveSharedFlows: s.activeSharedFlows,
		ServiceRate:       s.serviceRate,
		Candidates:        len(s.candidates.entries),
	}
}
