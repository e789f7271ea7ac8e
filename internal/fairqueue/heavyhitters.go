package fairqueue

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// Parameters of the selection of heavy hitters.
const (
	// maxCandidates is the capacity of the candidate table.
	maxCandidates = 256

	// evictionFactor is the minimum ratio of a candidate's proven usage to the usage of the lightest heavy hitter for
	// the candidate to replace it.
	evictionFactor = 2
)

// candidate is a tenant in a shared flow that may become a heavy hitter.
type candidate struct {
	hash         uint64
	firstSeen    timeunit.Ticks
	lastSeen     timeunit.Ticks
	usage        float64 // core time in ticks, decaying exponentially; includes overestimate
	overestimate float64 // part of usage inherited from the candidate that this one replaced
}

// candidateTable tracks the usage of tenants without their own flow in a table of fixed size. It implements the
// Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005): if the table is full, a new tenant replaces the
// candidate with the least usage and inherits its usage. The inherited part is recorded as the overestimate and does
// not count as proven usage of the new tenant.
type candidateTable struct {
	entries []candidate
	index   map[uint64]int // position in entries by tenant hash
}

func newCandidateTable(size int) candidateTable {
	return candidateTable{entries: make([]candidate, 0, size), index: make(map[uint64]int, size)}
}

// observe records that a tenant sent a request, and adds the tenant to the table if it is not in it.
func (t *candidateTable) observe(hash uint64, now timeunit.Ticks) {
	if i, known := t.index[hash]; known {
		t.entries[i].lastSeen = now
		return
	}
	added := candidate{hash: hash, firstSeen: now, lastSeen: now}
	if len(t.entries) < cap(t.entries) {
		t.index[hash] = len(t.entries)
		t.entries = append(t.entries, added)
		return
	}
	place := t.lightest()
	replaced := t.entries[place]
	added.usage = replaced.usage
	added.overestimate = replaced.usage
	delete(t.index, replaced.hash)
	t.index[hash] = place
	t.entries[place] = added
}

// lightest returns the position of the candidate with the least usage. Among candidates with equal usage it picks the
// one seen least recently.
func (t *candidateTable) lightest() int {
	place := 0
	least := &t.entries[0]
	for i := range t.entries {
		c := &t.entries[i]
		if c.usage < least.usage || c.usage == least.usage && c.lastSeen < least.lastSeen {
			place = i
			least = c
		}
	}
	return place
}

// charge adds core time to a candidate's usage. It does nothing if the tenant is no longer a candidate.
func (t *candidateTable) charge(hash uint64, coreTime float64) {
	if i, known := t.index[hash]; known {
		t.entries[i].usage += coreTime
	}
}

// decay multiplies the usage of all candidates by left.
func (t *candidateTable) decay(left float64) {
	for i := range t.entries {
		t.entries[i].usage *= left
		t.entries[i].overestimate *= left
	}
}

// remove deletes the candidate at the given position and moves the last candidate there.
func (t *candidateTable) remove(place int) {
	last := len(t.entries) - 1
	delete(t.index, t.entries[place].hash)
	if place < last {
		t.entries[place] = t.entries[last]
		t.index[t.entries[place].hash] = place
	}
	t.entries = t.entries[:last]
}

// sortByUsage sorts the flows of heavy hitters by recent usage, highest first.
func sortByUsage(flows []*flow) {
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(b.recentUsage, a.recentUsage), cmp.Compare(a.tenantHash, b.tenantHash))
	})
}

// promoteCandidates removes the flows of heavy hitters whose recent usage is negligible. It then gives a flow to each
// candidate that has a history and enough proven usage, as far as MaxHeavyHitters and evictHeavyHitter allow.
func (s *Scheduler) promoteCandidates() {
	const minUsage = minUsageFraction * measureInterval
	s.individualFlows = slices.DeleteFunc(s.individualFlows, func(flow *flow) bool {
		if flow.kind != heavyHitterFlow || flow.openReservations > 0 || flow.recentUsage >= minUsage {
			return false
		}
		delete(s.heavyHitters, flow.tenantHash)
		return true
	})
	for i := len(s.candidates.entries) - 1; i >= 0; i-- {
		candidate := s.candidates.entries[i]
		proven := candidate.usage - candidate.overestimate
		hasHistory := s.now-candidate.firstSeen >= s.config.MinHistory &&
			s.now-candidate.lastSeen <= s.config.MinHistory
		if !hasHistory || proven < minUsage {
			continue
		}
		if len(s.heavyHitters) < s.config.MaxHeavyHitters || s.evictHeavyHitter(proven) {
			s.promote(candidate, proven)
			s.candidates.remove(i)
		}
	}
}

// promote gives a candidate its own flow. The flow's finish tag starts at the virtual time, without a burst allowance,
// because the tenant has already used core time on its shared flow.
func (s *Scheduler) promote(candidate candidate, provenUsage float64) {
	flow := s.newFlow(heavyHitterFlow)
	flow.tenantHash = candidate.hash
	flow.finishTag = s.virtualTime
	flow.recentUsage = provenUsage
	flow.lastSeen = candidate.lastSeen
	s.heavyHitters[candidate.hash] = flow
	s.individualFlows = append(s.individualFlows, flow)
}

// evictHeavyHitter removes the lightest heavy hitter without an open reservation if the candidate's usage is at least
// evictionFactor times as high. It reports whether it removed one.
func (s *Scheduler) evictHeavyHitter(candidateUsage float64) bool {
	lightest := -1
	for i, flow := range s.individualFlows {
		if flow.kind != heavyHitterFlow || flow.openReservations > 0 {
			continue
		}
		if lightest < 0 || flow.recentUsage < s.individualFlows[lightest].recentUsage {
			lightest = i
		}
	}
	if lightest < 0 || s.individualFlows[lightest].recentUsage*evictionFactor > candidateUsage {
		return false
	}
	delete(s.heavyHitters, s.individualFlows[lightest].tenantHash)
	s.individualFlows = slices.Delete(s.individualFlows, lightest, lightest+1)
	return true
}
