package admission

import (
	"cmp"
	"math"

	"thistlequay/timeunit"
)

// idempotencyTable counts the idempotency entries that the host keeps. Entries of Keyed requests prevent a second run
// of a repeat within the deduplication window. Entries of cacheable requests allow others to share their results.
//
// All attempts with one idempotency key lead to at most one run. The entry of a Keyed request is kept from before the
// request can run until the deduplication window after its arrival has passed. It is dropped earlier only if the
// request provably never ran.
type idempotencyTable struct {
	count        int
	maxCount     int
	sizeKB       float64        // memory of one entry
	resultTTL    timeunit.Ticks // how long the result of a cacheable request is kept; 0 if it is not shared
	sharingCount int            // requests that wait for or receive the result of another request
}

func newIdempotencyTable(config *Config) idempotencyTable {
	return idempotencyTable{
		maxCount:  cmp.Or(config.MaxEntries, math.MaxInt),
		sizeKB:    config.EntryKB,
		resultTTL: config.ResultTTL,
	}
}

// SetMaxEntries replaces Config.MaxEntries; 0 means that only MemoryKB limits the number of entries.
func (s *Server) SetMaxEntries(count int) { s.entries.maxCount = cmp.Or(count, math.MaxInt) }

// hasRoomForEntry reports whether there is room for another entry.
func (s *Server) hasRoomForEntry() bool {
	return s.memory.hasRoomFor(s.entries.sizeKB) && s.entries.count < s.entries.maxCount
}

// shareOrReplace decides how a repeat relates to the earlier attempt. It returns true if the request shares the result
// of the earlier attempt, and false if the request may run itself. If the earlier attempt was started, a Keyed repeat
// shares its answer. If the earlier attempt is still queued, a Keyed repeat replaces it, since the client of the
// earlier attempt has mostly gone. A repeat that arrived before the queued attempt shares its answer, because another
// attempt may have run in between.
func (s *Server) shareOrReplace(request *Request, arrival *Arrival) bool {
	if !arrival.IsRepeat {
		return false
	}
	earlier := arrival.RepeatOf
	isKeyed := request.idempotency == Keyed
	replacesEarlier := isKeyed && earlier != nil && earlier.state == stateQueued &&
		request.arrivedAt >= earlier.arrivedAt
	mustShare := isKeyed && !replacesEarlier
	if !mustShare && !s.canShareResult(request, earlier) {
		if replacesEarlier {
			s.reject(earlier, 0, false)
		}
		return false
	}
	request.state = stateSharing
	s.entries.sharingCount++
	if earlier != nil {
		earlier.isAwaited = true
		if request.isCacheable && earlier.state == stateQueued {
			s.queue.awaited = append(s.queue.awaited, earlier)
		}
	}
	s.timers.set(request, request.deadline)
	mustWait := earlier != nil && earlier.state != stateFinished
	if mustWait && s.memory.isNearlyFull() { // no memory to keep it waiting
		s.abort(request)
	} else {
		s.host.ShareResult(request)
	}
	return true
}

// canShareResult reports whether a cacheable request may share the result of an earlier one. Sharing protects against
// many requests for the same data at once (hot keys, retry storms). Its cost is that requests fail together with the
// one whose result they share.
func (s *Server) canShareResult(request, earlier *Request) bool {
	if !request.isCacheable || s.memory.isNearlyFull() || s.drain.isAfterGracePeriod(request.arrivedAt) ||
		s.coresAreFull() {
		return false
	}
	if float64(s.entries.sharingCount) >= s.overloadLimit()/2 {
		return false
	}
	return earlier == nil || earlier.state != stateSharing && !earlier.isResolved()
}

// keepEntry makes the host keep the request's idempotency entry until the given time.
func (s *Server) keepEntry(request *Request, until timeunit.Ticks) {
	if request.entryUntil == 0 {
		s.entries.count++
		s.memory.usedKB += s.entries.sizeKB
	}
	request.entryUntil = max(s.now+1, until)
	s.host.KeepEntry(request, request.entryUntil-s.now)
}

// dropEntry drops the entry of a request that provably never ran, or whose result is of no use. Otherwise requests that
// cannot run would fill the table.
func (s *Server) dropEntry(request *Request) {
	if request.entryUntil > s.now {
		s.host.DropEntry(request)
		request.entryUntil = s.now
	}
}
