package admission

import (
	"cmp"
	"math"

	"thistlequay/timeunit"
)

// idempotencyTable counts the idempotency entries that the host keeps: of Keyed requests, so that a repeat
// never runs a second time within the deduplication window, and of cacheable ones, so that others can share
// their results.
//
// At most one run comes of all attempts with one key. An entry is kept before its request can run, until the
// window after its arrival has passed; it is dropped early only if the request provably never ran.
type idempotencyTable struct {
	count     int
	maxCount  int
	sizeKB    float64        // memory of an entry
	resultTTL timeunit.Ticks // how long the result of a cacheable request is kept, 0 for not at all
	sharing   int            // requests that wait for the result of another or take it
}

func newIdempotencyTable(config *Config) idempotencyTable {
	return idempotencyTable{
		maxCount:  cmp.Or(config.MaxEntries, math.MaxInt),
		sizeKB:    config.EntryKB,
		resultTTL: config.ResultTTL,
	}
}

// hasEntryRoom says that there is room for another entry.
func (s *Server) hasEntryRoom() bool {
	return s.memory.hasRoomFor(s.entries.sizeKB) && s.entries.count < s.entries.maxCount
}

// shareOrReplace has a repeat share the result of the attempt before it and returns true; or it makes room for
// the repeat to run itself and returns false. A later attempt shares the answer of a run that was started, or
// takes the place of one that is queued, whose client has mostly gone. Had it arrived before that one,
// another may have run in between.
func (s *Server) shareOrReplace(request *Request, arrival *Arrival) bool {
	if !arrival.IsRepeat {
		return false
	}
	earlier := arrival.RepeatOf
	isKeyed := request.category.Idempotency == Keyed
	takesPlace := isKeyed && earlier != nil && earlier.state == stateQueued && request.arrivedAt >= earlier.arrivedAt
	mustShare := isKeyed && !takesPlace
	if !mustShare && !s.canShareResult(request, earlier) {
		if takesPlace {
			s.reject(earlier, 0, false)
		}
		return false
	}
	request.state = stateSharing
	s.entries.sharing++
	if earlier != nil {
		earlier.awaited = true
		if request.cacheable && earlier.state == stateQueued {
			s.queue.awaited = append(s.queue.awaited, earlier)
		}
	}
	s.timers.set(request, request.deadline)
	if s.memory.isTight() { // no room to wait in
		s.abort(request)
	} else {
		s.host.ShareResult(request)
	}
	return true
}

// canShareResult says whether a cacheable request may have the result of an earlier one. This guards against
// what many ask for at one moment (hot keys, storms of retries). It harms those that share with one that
// fails or is rejected.
func (s *Server) canShareResult(request, earlier *Request) bool {
	if !request.cacheable || s.memory.isTight() || s.drain.hasEndedFor(request.arrivedAt) || s.coresAreFull() {
		return false
	}
	if float64(s.entries.sharing) >= s.overloadLimit()/2 {
		return false
	}
	return earlier == nil || earlier.state != stateSharing && !earlier.isDone()
}

// keepEntry has the host keep the request's idempotency entry up to this moment.
func (s *Server) keepEntry(request *Request, until timeunit.Ticks) {
	if request.entryUntil == 0 {
		s.entries.count++
		s.memory.usedKB += s.entries.sizeKB
	}
	request.entryUntil = max(s.now+1, until)
	s.host.KeepEntry(request, request.entryUntil-s.now)
}

// dropEntry drops the entry of a request that provably never ran, or whose result is of no use. Otherwise
// requests that cannot run would fill the table.
func (s *Server) dropEntry(request *Request) {
	if request.entryUntil > s.now {
		s.host.DropEntry(request)
		request.entryUntil = s.now
	}
}
