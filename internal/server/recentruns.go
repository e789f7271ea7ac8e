package server

import "thistlequay/timeunit"

const (
	// recentRunMemoryDivisor sets the memory for the identifiers of recent runs to 1/64 of the memory limit.
	recentRunMemoryDivisor = 64

	// recentRunBytes is an upper bound on the memory of one identifier.
	recentRunBytes = 128
)

// recentRuns remembers the identifiers of requests that were started, so that none of them runs again when it comes
// again. Each is remembered for as long as an idempotency entry of its category would be kept. If there are too many,
// the oldest is forgotten.
type recentRuns struct {
	forgetAt map[uint64]timeunit.Ticks // by identifier
	order    []recentRun               // oldest first; from first on
	first    int
	max      int // maximum number of identifiers
}

// recentRun is an element of recentRuns.order. It is outdated if the identifier was forgotten and added again.
type recentRun struct {
	id       uint64
	forgetAt timeunit.Ticks
}

// init makes the table ready for a process whose memory limit is memoryBytes.
func (r *recentRuns) init(memoryBytes int) {
	r.forgetAt = map[uint64]timeunit.Ticks{}
	r.max = max(1, memoryBytes/recentRunMemoryDivisor/recentRunBytes)
}

// add remembers the identifier of a request that is started, until the given time.
func (r *recentRuns) add(id uint64, now, until timeunit.Ticks) {
	r.forgetAt[id] = until
	r.order = append(r.order, recentRun{id, until})
	r.forgetOld(now)
}

// remove forgets the identifier of a request whose run provably never started.
func (r *recentRuns) remove(id uint64) { delete(r.forgetAt, id) }

// contains reports whether a request with the identifier was started recently.
func (r *recentRuns) contains(id uint64, now timeunit.Ticks) bool { return r.forgetAt[id] > now }

// forgetOld forgets the oldest identifiers, as long as their time is over or there are too many.
func (r *recentRuns) forgetOld(now timeunit.Ticks) {
	for r.first < len(r.order) {
		oldest := r.order[r.first]
		if oldest.forgetAt > now && len(r.order)-r.first <= r.max {
			break
		}
		if r.forgetAt[oldest.id] == oldest.forgetAt {
			delete(r.forgetAt, oldest.id)
		}
		r.first++
	}
	if r.first > len(r.order)/2 { // compact
		r.order = r.order[:copy(r.order, r.order[r.first:])]
		r.first = 0
	}
}
