package server

import (
	"container/heap"

	"thistlequay/timeunit"
)

// timer calls fire on the event loop when its deadline has passed. The zero value is stopped; fire must be set first.
type timer struct {
	deadline     timeunit.Ticks
	heapPosition int // in the heap, counted from one; zero while the timer is stopped
	fire         func()
}

func (t *timer) isSet() bool { return t.heapPosition > 0 }

// deadlineHeap holds the timers that are set, the next to fire first. It implements heap.Interface.
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

// setTimer sets a timer, or sets it anew.
func (s *Server) setTimer(timer *timer, deadline timeunit.Ticks) {
	s.stopTimer(timer)
	timer.deadline = deadline
	heap.Push(&s.deadlines, timer)
}

// stopTimer stops a timer; one that is not set stays so.
func (s *Server) stopTimer(timer *timer) {
	if timer.isSet() {
		heap.Remove(&s.deadlines, timer.heapPosition-1)
	}
}

// fireTimers fires every timer that is due. The system timer calls it.
func (s *Server) fireTimers() {
	s.armedFor = noDeadline
	if s.awaitingSockets() {
		return
	}
	if len(s.deadlines) > 0 {
		late := s.now - s.deadlines[0].deadline
		s.timerLateness.add(late)
		s.lateness.add(s.now, late)
	}
	for len(s.deadlines) > 0 && s.deadlines[0].deadline <= s.now {
		heap.Pop(&s.deadlines).(*timer).fire()
	}
}

// armSystemTimer sets the system timer for the next deadline.
func (s *Server) armSystemTimer() {
	if s.systemTimer == nil || len(s.deadlines) == 0 || s.deadlines[0].deadline == s.armedFor {
		return
	}
	s.armedFor = s.deadlines[0].deadline
	s.systemTimer.Reset(max(0, s.armedFor-s.clock.now()).Duration())
}
