package fairqueue

// This file owns who gets a book of its own: candidates are counted in a table of fixed size, as Metwally's
// Space-Saving does, and the heaviest with a history take the place of the lightest. It must never grow.

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// candidate is one that may deserve a book.
type candidate struct {
	hash         uint64
	firstSeen    timeunit.Ticks
	lastSeen     timeunit.Ticks
	usage        float64 // with what it took over
	overestimate float64 // from the one whose place it has
}

type candidateTable struct {
	entries []candidate
	index   map[uint64]int
}

func newCandidateTable(n int) candidateTable {
	return candidateTable{entries: make([]candidate, 0, n), index: make(map[uint64]int, n)}
}

// observe gives a tenant a place, that of the one that has used least where all are taken.
func (s *candidateTable) observe(hash uint64, now timeunit.Ticks) {
	if i, known := s.index[hash]; known {
		s.entries[i].lastSeen = now
		return
	}
	fresh := candidate{hash: hash, firstSeen: now, lastSeen: now}
	if len(s.entries) < cap(s.entries) {
		s.index[hash] = len(s.entries)
		s.entries = append(s.entries, fresh)
		return
	}
	least := 0
	for i := range s.entries {
		if c, l := &s.entries[i], &s.entries[least]; c.usage < l.usage || c.usage == l.usage && c.lastSeen < l.lastSeen {
			least = i
		}
	}
	fresh.usage, fresh.overestimate = s.entries[least].usage, s.entries[least].usage
	delete(s.index, s.entries[least].hash)
	s.index[hash], s.entries[least] = least, fresh
}

func (s *candidateTable) charge(hash uint64, work float64) {
	if i, known := s.index[hash]; known {
		s.entries[i].usage += work
	}
}

func (s *candidateTable) decay(left float64) {
	for i := range s.entries {
		s.entries[i].usage *= left
		s.entries[i].overestimate *= left
	}
}

func (s *candidateTable) remove(i int) {
	last := len(s.entries) - 1
	delete(s.index, s.entries[i].hash)
	if i < last {
		s.entries[i] = s.entries[last]
		s.index[s.entries[i].hash] = i
	}
	s.entries = s.entries[:last]
}

func sortByUsage(books []*flow) {
	slices.SortFunc(books, func(a, b *flow) int {
		return cmp.Or(cmp.Compare(b.recentUsage, a.recentUsage), cmp.Compare(a.tenantHash, b.tenantHash))
	})
}

// promoteCandidates gives books to candidates with a history and takes them from those that have used next to nothing.
func (l *Scheduler) promoteCandidates() {
	least := minUsageFraction * measureInterval
	l.individualFlows = slices.DeleteFunc(l.individualFlows, func(a *flow) bool {
		if a.kind != heavyHitterFlow || a.openReservations > 0 || a.recentUsage >= least {
			return false
		}
		delete(l.heavyHitters, a.tenantHash)
		return true
	})
	for i := len(l.candidates.entries) - 1; i >= 0; i-- {
		c := l.candidates.entries[i]
		proven := c.usage - c.overestimate
		if l.now-c.firstSeen < l.config.MinHistory || l.now-c.lastSeen > l.config.MinHistory || proven < least {
			continue
		}
		if len(l.heavyHitters) >= l.config.MaxHeavyHitters && !l.evictHeavyHitter(proven) {
			continue
		}
		a := l.newFlow(heavyHitterFlow)
		// What it had in its group's time is not forgotten: it starts no further back than now.
		a.tenantHash, a.finishTag, a.recentUsage, a.lastSeen = c.hash, l.virtualTime, proven, c.lastSeen
		l.heavyHitters[c.hash] = a
		l.individualFlows = append(l.individualFlows, a)
		l.candidates.remove(i)
	}
}

// evictHeavyHitter takes the book of the lightest, if it has nothing in hand and used far less than the one that comes.
func (l *Scheduler) evictHeavyHitter(used float64) bool {
	least := -1
	for i, a := range l.individualFlows {
		if a.kind == heavyHitterFlow && a.openReservations == 0 && (least < 0 || a.recentUsage < l.individualFlows[least].recentUsage) {
			least = i
		}
	}
	if least < 0 || l.individualFlows[least].recentUsage*evictionFactor > used {
		return false
	}
	delete(l.heavyHitters, l.individualFlows[least].tenantHash)
	l.individualFlows = slices.Delete(l.individualFlows, least, least+1)
	return true
}

// Stats are what the books look like, for logs.
type Stats struct {
	HeavyHitters      int     // of tenants not named
	ActiveSharedFlows int     // that are active
	ServiceRate       float64 // cores' worth of work that the server gets done
	Candidates        int     // candidates for a book
}

// Stats tells them.
func (l *Scheduler) Stats() Stats {
	return Stats{HeavyHitters: len(l.heavyHitters), ActiveSharedFlows: l.activeSharedFlows, ServiceRate: l.serviceRate, Candidates: len(l.candidates.entries)}
}
