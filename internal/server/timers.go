package server

import (
	"container/heap"

	"thistlequay/timeunit"
)

// timer calls fire on the event loop once its deadline has passed. The zero value is a stopped timer; fire must be set
// before the timer is.
type timer struct {
	deadline     timeunit.Ticks
	heapPosition int // index in the heap plus one; 0 if the timer is stopped
	fire         func()
}

func (t *timer) isSet() bool { return t.heapPosition > 0 }

// deadlineHeap is a heap of the timers that are set, ordered by deadline. It implements heap.Interface.
type deadlineHeap []*timer

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapPosition = i + 1
	h[j].heapPosition = j + 1
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	added := x.(*timer)
	*h = append(*h, added)
	added.heapPosition = len(*h)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	removed := (*h)[last]
	*h = (*h)[:last]
	removed.heapPosition = 0
	return removed
}

// setTimer sets a timer. If the timer is already set, its deadline is replaced.
func (s *Server) setTimer(timer *timer, deadline timeunit.Ticks) {
	s.stopTimer(timer)
	timer.deadline = deadline
	heap.Push(&s.deadlines, timer)
}

// stopTimer stops a timer. It has no effect on a timer that is not set.
func (s *Server) stopTimer(timer *timer) {
	if timer.isSet() {
		heap.Remove(&s.deadlines, timer.heapPosition-1)
	}
}

// fireTimers fires all timers that are due. It is called when the system timer fires.
func (s *Server) fireTimers() {
	s.systemTimerDeadline = noDeadline
	if s.deferAfterPause() {
		return
	}
	if len(s.deadlines) > 0 {
		late := s.now - s.deadlines[0].deadline
		s.timerLateness.add(late)
		s.peakLateness.add(s.now, late)
	}
	for len(s.deadlines) > 0 && s.deadlines[0].deadline <= s.now {
		heap.Pop(&s.deadlines).(*timer).fire()
	}
}

// armSystemTimer sets the system timer for the earliest deadline.
func (s *Server) armSystemTimer() {
	if s.systemTimer == nil || len(s.deadlines) == 0 || s.deadlines[0].deadline == s.systemTimerDeadline {
		return
	}
	s.systemTimerDeadline = s.deadlines[0].deadline
	s.systemTimer.Reset(max(0, s.systemTimerDeadline-s.clock.now()).Duration())
}
