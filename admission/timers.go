package admission

import (
	"container/heap"

	"thistlequay/timeunit"
)

const (
	// noDeadline is later than all times.
	noDeadline = timeunit.Ticks(1 << 60)

	// tickFraction is the time between two readings of the gauges, as a part of the shortest soft deadline,
	// while requests are queued or in flight; a ratio of our own.
	tickFraction = 1.0 / 40

	// notInHeap is the heap index of a request without a timer.
	notInHeap = -1
)

// timers holds one timer a request at most: the end of its stay in the queue, its deadline, or the end of its
// idempotency entry. The host knows only the earliest.
type timers struct {
	heap deadlineHeap
	tick timeunit.Ticks // time between two readings of the gauges, and between two attempts at what failed
	next timeunit.Ticks // what was asked of the host, noDeadline for nothing
}

// set gives the request a timer in place of any earlier one.
func (t *timers) set(request *Request, at timeunit.Ticks) {
	t.stop(request)
	request.checkAt = at
	heap.Push(&t.heap, request)
}

// stop takes the timer of the request away, if it has one.
func (t *timers) stop(request *Request) {
	if request.heapIndex != notInHeap {
		heap.Remove(&t.heap, request.heapIndex)
	}
}

// fireTimers acts on the timers that are due: entries end, queued requests have no fair chance any more,
// started ones have reached their deadline.
func (s *Server) fireTimers() {
	for len(s.timers.heap) > 0 && s.timers.heap[0].checkAt <= s.now {
		request := heap.Pop(&s.timers.heap).(*Request)
		switch {
		case request.state == stateFinished:
			s.entries.count--
			s.memory.usedKB -= s.entries.sizeKB
		case request.state == stateQueued:
			s.limiter.current.dropped++
			s.reject(request, s.timers.tick, false)
		case !request.isDone():
			s.abort(request)
			s.stopUnwanted(request)
		}
	}
}

// setTimer asks the host for the next batch in time, unless an earlier one is asked for already.
func (s *Server) setTimer() {
	next := noDeadline
	if len(s.timers.heap) > 0 {
		next = max(s.now+1, s.timers.heap[0].checkAt)
	}
	if s.queue.length > 0 || s.limiter.inFlight > 0 {
		next = min(next, s.now+s.timers.tick)
	}
	if next < s.timers.next {
		s.timers.next = next
		s.host.SetTimer(next - s.now)
	}
}

// deadlineHeap implements heap.Interface by Request.checkAt.
type deadlineHeap []*Request

// Len is for package heap.
func (h deadlineHeap) Len() int { return len(h) }

// Less is for package heap.
func (h deadlineHeap) Less(i, j int) bool { return h[i].checkAt < h[j].checkAt }

// Swap is for package heap.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push is for package heap.
func (h *deadlineHeap) Push(x any) {
	request := x.(*Request)
	request.heapIndex = len(*h)
	*h = append(*h, request)
}

// Pop is for package heap.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	request := (*h)[last]
	*h = (*h)[:last]
	request.heapIndex = notInHeap
	return request
}
