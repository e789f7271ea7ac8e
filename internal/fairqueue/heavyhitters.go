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
	entries   []candidate
	positions map[uint64]int // position in entries by tenant hash
}

func newCandidateTable(size int) candidateTable {
	return candidateTable{entries: make([]candidate, 0, size), positions: make(map[uint64]int, size)}
}

// observe records that a tenant sent a request, and adds the tenant to the table if it is not in it.
func (t *candidateTable) observe(hash uint64, now timeunit.Ticks) {
	if i, known := t.positions[hash]; known {
		t.entries[i].lastSeen = now
		return
	}
	newCandidate := candidate{hash: hash, firstSeen: now, lastSeen: now}
	if len(t.entries) < cap(t.entries) {
		t.positions[hash] = len(t.entries)
		t.entries = append(t.entries, newCandidate)
		return
	}
	position := t.lightestPosition()
	replaced := t.entries[position]
	newCandidate.usage = replaced.usage
	newCandidate.overestimate = replaced.usage
	delete(t.positions, replaced.hash)
	t.positions[hash] = position
	t.entries[position] = newCandidate
}

// lightestPosition returns the position of the candidate with the least usage. Among candidates with equal usage it
// picks the one seen least recently.
func (t *candidateTable) lightestPosition() int {
	position := 0
	lightest := &t.entries[0]
	for i := range t.entries {
		c := &t.entries[i]
		if c.usage < lightest.usage || c.usage == lightest.usage && c.lastSeen < lightest.lastSeen {
			position = i
			lightest = c
		}
	}
	return position
}

// charge adds core time to a candidate's usage. It does nothing if the tenant is no longer a candidate.
func (t *candidateTable) charge(hash uint64, coreTime float64) {
	if i, known := t.positions[hash]; known {
		t.entries[i].usage += coreTime
	}
}

// scaleUsage multiplies the usage of all candidates by retained.
func (t *candidateTable) scaleUsage(retained float64) {
	for i := range t.entries {
		t.entries[i].usage *= retained
		t.entries[i].overestimate *= retained
	}
}

// remove deletes the candidate at the given position and moves the last candidate there.
func (t *candidateTable) remove(position int) {
	last := len(t.entries) - 1
	delete(t.positions, t.entries[position].hash)
	if position < last {
		t.entries[position] = t.entries[last]
		t.positions[t.entries[position].hash] = position
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
		provenUsage := candidate.usage - candidate.overestimate
		hasHistory := s.now-candidate.firstSeen >= s.config.MinHistory &&
			s.now-candidate.lastSeen <= s.config.MinHistory
		if !hasHistory || provenUsage < minUsage {
			continue
		}
		if len(s.heavyHitters) < s.config.MaxHeavyHitters || s.evictHeavyHitter(provenUsage) {
			s.promote(candidate, provenUsage)
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
