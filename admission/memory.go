package admission

// memoryMargin is the part of the memory up to which runs are started and idempotency entries are kept.
// Requests are queued up to half way between that and all of it, so that there is room to queue while nothing
// can start.
const memoryMargin = 0.9

// memoryAccount counts the memory, in kilobytes, that the package answers for: queued requests, running ones
// and idempotency entries. This guards against a server that dies of what it admitted.
type memoryAccount struct {
	usedKB    float64
	maxKB     float64
	runFactor float64 // memory of a running request as a multiple of that of a queued one
}

// isTight says that there is no room to queue another request.
func (m *memoryAccount) isTight() bool { return m.usedKB > m.maxKB*(1+memoryMargin)/2 }

// runExtra is the memory that a queued request of this size takes in addition once it runs.
func (m *memoryAccount) runExtra(queuedKB float64) float64 { return queuedKB * (m.runFactor - 1) }

// hasRoomFor says that so much more may be used for a run or an entry.
func (m *memoryAccount) hasRoomFor(moreKB float64) bool {
	return m.usedKB+moreKB <= m.maxKB*memoryMargin
}

// ReserveMemory counts memory, in kilobytes, of requests that were read and are not enqueued yet, for
// instance while plug-ins look at them. A negative amount gives it back.
func (s *Server) ReserveMemory(kb float64) { s.memory.usedKB += kb }

// evictForRoom rejects the queued requests furthest beyond their tenants' parts until there is room to queue
// r, if r itself is eligible. It returns whether there is room.
func (s *Server) evictForRoom(request *Request) bool {
	for request.eligible && s.memory.isTight() && s.queue.byStartTag.Len() > 0 {
		last, _ := s.queue.byStartTag.Max()
		s.reject(last, s.timers.tick, false)
	}
	return !s.memory.isTight()
}
