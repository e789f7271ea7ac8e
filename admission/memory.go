package admission

// memoryMargin is the part of the memory that may be used to start runs and to keep idempotency entries. Requests are
// queued until half of the rest is used too, so that there is room to queue while nothing can start.
const memoryMargin = 0.9

// memoryAccount tracks the memory, in kilobytes, of queued requests, running requests and idempotency entries. It
// protects the server from running out of memory because of the requests that it admitted.
type memoryAccount struct {
	usedKB    float64
	maxKB     float64
	runFactor float64 // memory of a running request as a multiple of that of a queued one
}

// isNearlyFull reports whether there is no room to queue another request.
func (m *memoryAccount) isNearlyFull() bool { return m.usedKB > m.maxKB*(1+memoryMargin)/2 }

// extraKB returns the memory that a queued request needs in addition once it runs.
func (m *memoryAccount) extraKB(queuedKB float64) float64 { return queuedKB * (m.runFactor - 1) }

// hasRoomFor reports whether additionalKB can be used for a run or an entry.
func (m *memoryAccount) hasRoomFor(additionalKB float64) bool {
	return m.usedKB+additionalKB <= m.maxKB*memoryMargin
}

// ReserveMemory accounts for the memory, in kilobytes, of requests that were read and are not enqueued yet, for example
// while plug-ins evaluate them. A negative amount releases memory.
func (s *Server) ReserveMemory(kb float64) { s.memory.usedKB += kb }

// evictToMakeRoom rejects queued requests, those furthest beyond their tenants' fair shares first, until there is room
// to queue request. It evicts nothing unless request is eligible, and reports whether there is room.
func (s *Server) evictToMakeRoom(request *Request) bool {
	for request.isEligible && s.memory.isNearlyFull() && s.queue.byStartTag.Len() > 0 {
		furthest, _ := s.queue.byStartTag.Max()
		s.reject(furthest, s.timers.gaugeInterval, false)
	}
	return !s.memory.isNearlyFull()
}
