package server

import (
	"container/heap"
	"thistlequay/timeunit"
	"time"
)

// timer is a moment at which something is due. There is one timer for all.
type timer struct {
	deadline     timeunit.Ticks
	heapPosition int // in the heap plus one, 0 outside
	fire         func()
}

type deadlineHeap []*timer

func (l deadlineHeap) Len() int { return len(l) }

func (l deadlineHeap) Less(i, j int) bool { return l[i].deadline < l[j].deadline }

func (l deadlineHeap) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].heapPosition, l[j].heapPosition = i+1, j+1
}

func (l *deadlineHeap) Push(x any) { m := x.(*timer); *l = append(*l, m); m.heapPosition = len(*l) }

func (l *deadlineHeap) Pop() any {
	m := (*l)[len(*l)-1]
	*l, m.heapPosition = (*l)[:len(*l)-1], 0
	return m
}

func (a *Server) setTimer(m *timer, at timeunit.Ticks) {
	a.stopTimer(m)
	m.deadline = at
	heap.Push(&a.deadlines, m)
}

func (a *Server) stopTimer(m *timer) {
	if m.heapPosition > 0 {
		heap.Remove(&a.deadlines, m.heapPosition-1)
	}
}

// fireTimers is the timer.
func (a *Server) fireTimers() {
	a.armedFor = noDeadline
	if a.awaitingSockets() {
		return
	}
	if len(a.deadlines) > 0 {
		a.timerLateness.add(a.now - a.deadlines[0].deadline)
	}
	for len(a.deadlines) > 0 && a.deadlines[0].deadline <= a.now {
		heap.Pop(&a.deadlines).(*timer).fire()
	}
}

func (a *Server) armSystemTimer() {
	if a.systemTimer == nil || len(a.deadlines) == 0 || a.deadlines[0].deadline == a.armedFor {
		return
	}
	a.armedFor = a.deadlines[0].deadline
	a.systemTimer.Reset(time.Duration(max(0, a.armedFor-a.clock.now())) * (time.Millisecond / 10))
}
