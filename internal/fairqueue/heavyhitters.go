package fairqueue

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// How heavy hitters are chosen.
const (
	// maxCandidates is the size of the table of candidates.
	maxCandidates = 256

	// evictionFactor is how many times the usage of the lightest heavy hitter a candidate must have to replace it.
	evictionFactor = 2
)

// candidate is a tenant that may become a heavy hitter.
type candidate struct {
	hash         uint64
	firstSeen    timeunit.Ticks
	lastSeen     timeunit.Ticks
	usage        float64 // core time, decaying; includes overestimate
	overestimate float64 // usage taken over from the candidate whose place this one has
}

// candidateTable counts the usage of the tenants without a flow of their own, in a table of fixed size: the
// Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005). A new tenant in a full table takes the place and the
// count of the candidate with the least usage; the count taken over is noted as the overestimate, which proves
// nothing.
type candidateTable struct {
	entries []candidate
	index   map[uint64]int // from hash to place in entries
}

func newCandidateTable(size int) candidateTable {
	return candidateTable{entries: make([]candidate, 0, size), index: make(map[uint64]int, size)}
}

// observe notes a request of a tenant.
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

// lightest is the place of the candidate with the least usage, among equals of the one not seen for longest.
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

// charge adds core time to a candidate's usage, if the tenant is still one.
func (t *candidateTable) charge(hash uint64, coreTime float64) {
	if i, known := t.index[hash]; known {
		t.entries[i].usage += coreTime
	}
}

// decay leaves the given part of all usage.
func (t *candidateTable) decay(left float64) {
	for i := range t.entries {
		t.entries[i].usage *= left
		t.entries[i].overestimate *= left
	}
}

// remove removes the candidate at a place; the last one takes the place.
func (t *candidateTable) remove(place int) {
	last := len(t.entries) - 1
	delete(t.index, t.entries[place].hash)
	if place < last {
		t.entries[place] = t.entries[last]
		t.index[t.entries[place].hash] = place
	}
	t.entries = t.entries[:last]
}

// sortByUsage sorts flows of heavy hitters, the heaviest first.
func sortByUsage(flows []*flow) {
	slices.SortFunc(flows, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(b.recentUsage, a.recentUsage), cmp.Compare(a.tenantHash, b.tenantHash))
	})
}

// promoteCandidates takes the flows of heavy hitters that have used next to nothing, and gives a flow to each candidate
// with a history and proven usage.
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

// promote gives a candidate a flow of its own. Its finish tag starts at the virtual time and not a burst before it:
// what the tenant used on its shared flow is not forgotten.
func (s *Scheduler) promote(candidate candidate, provenUsage float64) {
	flow := s.newFlow(heavyHitterFlow)
	flow.tenantHash = candidate.hash
	flow.finishTag = s.virtualTime
	flow.recentUsage = provenUsage
	flow.lastSeen = candidate.lastSeen
	s.heavyHitters[candidate.hash] = flow
	s.individualFlows = append(s.individualFlows, flow)
}

// evictHeavyHitter drops the lightest heavy hitter without an open reservation, if it used far less than the candidate
// that needs its place. It reports whether it did.
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
