package admission

import (
	"container/heap"

	"thistlequay/timeunit"
)

const (
	// noDeadline is later than any time in use.
	noDeadline = timeunit.Ticks(1 << 60)

	// gaugeIntervalFraction is the time between two readings of the gauges, as a fraction of the shortest soft
	// deadline, while requests are queued or in flight.
	gaugeIntervalFraction = 1.0 / 40

	// notInHeap is the heap index of a request without a timer.
	notInHeap = -1
)

// timers holds at most one timer per request: the end of its time in the queue, its deadline, or the end of its
// idempotency entry. A single timer of the host serves all of them; setTimer sets it at the end of a batch. It may be
// due earlier than every timer held here: for a reading of the gauges, or for a timer that has since been stopped.
type timers struct {
	heap          deadlineHeap
	gaugeInterval timeunit.Ticks // time between two readings of the gauges, and before a failed step is retried
	hostTimerAt   timeunit.Ticks // when the host's timer fires; noDeadline if none is set
}

// set sets the timer of the request and replaces the one that the request had before, if any. It does not change the
// host's timer, which setTimer updates at the end of the batch.
func (t *timers) set(request *Request, at timeunit.Ticks) {
	t.stop(request)
	request.timerAt = at
	heap.Push(&t.heap, request)
}

// stop removes the timer of the request, if it has one. It does not change the host's timer either.
func (t *timers) stop(request *Request) {
	if request.heapIndex != notInHeap {
		heap.Remove(&t.heap, request.heapIndex)
	}
}

// fireTimers fires the timers that are due: idempotency entries end, queued requests that would probably be too late
// are rejected, and started requests that have reached their deadline are aborted.
func (s *Server) fireTimers() {
	for len(s.timers.heap) > 0 && s.timers.heap[0].timerAt <= s.now {
		request := heap.Pop(&s.timers.heap).(*Request)
		switch {
		case request.state == stateFinished:
			s.entries.count--
			s.memory.usedKB -= s.entries.sizeKB
		case request.state == stateQueued:
			s.limiter.current.dropped++
			s.reject(request, s.timers.gaugeInterval, false)
		case !request.isResolved():
			s.abort(request)
			s.stopUnneededRun(request)
		}
	}
}

// setTimer asks the host for the next batch at the time of the earliest timer or, if requests are queued or in flight,
// after gaugeInterval at the latest. It does nothing if the host's timer is already due at or before that time.
func (s *Server) setTimer() {
	next := noDeadline
	if len(s.timers.heap) > 0 {
		next = max(s.now+1, s.timers.heap[0].timerAt)
	}
	if s.queue.length > 0 || s.limiter.inFlight > 0 {
		next = min(next, s.now+s.timers.gaugeInterval)
	}
	if next < s.timers.hostTimerAt {
		s.timers.hostTimerAt = next
		s.host.SetTimer(next - s.now)
	}
}

// deadlineHeap implements heap.Interface, ordered by Request.timerAt.
type deadlineHeap []*Request

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h deadlineHeap) Less(i, j int) bool { return h[i].timerAt < h[j].timerAt }

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	request := x.(*Request)
	request.heapIndex = len(*h)
	*h = append(*h, request)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	request := (*h)[last]
	*h = (*h)[:last]
	request.heapIndex = notInHeap
	return request
}
