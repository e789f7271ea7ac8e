package admission

// This file owns the order of what waits: who is next, who is ahead of whom, who gives way where memory is
// short. Every step is logarithmic in what waits and flat in tenants. It must never answer by itself.

import (
	"cmp"

	"github.com/google/btree"

	"thistlequay/timeunit"
)

// treeDegree is that of the trees; almostAll is a quantile that rounding does not carry over the top.
const treeDegree, almostOne = 16, 1 - 1e-9

// requestQueue keeps the work items that wait. Those whose turn has come stand by category and the end of their
// contract time, as that alone tells their values apart; those beyond their tenant's part, by their turn.
type requestQueue struct {
	arrivals     []*Request // read in this batch, not tested on joining yet
	eligible     []*btree.BTreeG[*Request]
	byStartTag   *btree.BTreeG[*Request]
	virtualTime  float64 // what has a later one waits until nothing else does
	lastSequence uint64
	length       int
	pivot        Request // where a search begins
}

func newRequestQueue(categories int) requestQueue {
	later := func(a, b *Request) bool {
		return cmp.Or(cmp.Compare(a.softDeadline, b.softDeadline), cmp.Compare(a.sequence, b.sequence)) < 0
	}
	h := requestQueue{byStartTag: btree.NewG(treeDegree, func(a, b *Request) bool {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.sequence, b.sequence)) < 0
	})}
	for range categories {
		h.eligible = append(h.eligible, btree.NewG(treeDegree, later))
	}
	return h
}

func (h *requestQueue) add(w *Request) {
	h.lastSequence++
	h.length++
	w.sequence, w.eligible = h.lastSequence, w.startTag <= h.virtualTime
	h.treeOf(w).ReplaceOrInsert(w)
	h.arrivals = append(h.arrivals, w)
}

func (h *requestQueue) remove(w *Request) {
	h.length--
	h.treeOf(w).Delete(w)
}

func (h *requestQueue) treeOf(w *Request) *btree.BTreeG[*Request] {
	if w.eligible {
		return h.eligible[w.category.index]
	}
	return h.byStartTag
}

// advance moves on to the lowest turn that waits, where no other work item's turn has come.
func (h *requestQueue) advance() {
	if next, some := h.byStartTag.Min(); some && h.byStartTag.Len() == h.length {
		h.virtualTime = max(h.virtualTime, next.startTag)
	}
	for next, some := h.byStartTag.Min(); some && next.startTag <= h.virtualTime; next, some = h.byStartTag.Min() {
		h.byStartTag.DeleteMin()
		next.eligible = true
		h.treeOf(next).ReplaceOrInsert(next)
	}
}

// first gives the first in line whose contract time ends at this moment or later and that passes the test.
func (h *requestQueue) first(line *btree.BTreeG[*Request], end timeunit.Ticks, test func(*Request) bool) (first *Request) {
	h.pivot.softDeadline = end
	line.AscendGreaterOrEqual(&h.pivot, func(w *Request) bool {
		if test(w) {
			first = w
		}
		return first == nil
	})
	return first
}

func anyRequest(*Request) bool    { return true }
func wasAdmitted(w *Request) bool { return w.heapIndex >= 0 }

// mostValuable is the most valuable one whose turn has come, among equals the older.
func (s *Server) mostValuable() (best *Request) {
	for s.queue.advance(); len(s.awaited) > 0; s.awaited = s.awaited[1:] {
		if s.awaited[0].state == stateQueued {
			return s.awaited[0]
		}
	}
	value := 0.0
	for i, line := range s.queue.eligible {
		last, some := line.Max()
		if !some {
			continue
		}
		// Within a category later ends are worth more, or as much: then the first of those goes.
		w := s.queue.first(line, s.now+s.categories[i].runTimes.equivalent(last.softDeadline-s.now), anyRequest)
		if v := w.value(); best == nil || v > value || v == value && w.sequence < best.sequence {
			best, value = w, v
		}
	}
	return best
}

// queueingDelay is how long the oldest has waited that would run before w.
func (s *Server) queueingDelay(w *Request) (waits timeunit.Ticks) {
	value := w.value()
	for i, line := range s.queue.eligible {
		c, end := s.categories[i], timeunit.Ticks(-forever)
		if c == w.category && w.eligible {
			end = s.now + c.runTimes.equivalent(w.softDeadline-s.now)
		} else if w.eligible {
			fits := (value*c.typicalRunTime()/c.weight - c.lateValue) / (1 - c.lateValue)
			if fits > 1 {
				continue
			}
			if fits > 0 && c.runTimes.total > 0 {
				end = s.now + c.runTimes.quantile(min(fits, almostOne))
			}
		}
		if first := s.queue.first(line, end, wasAdmitted); first != nil {
			waits = max(waits, s.now-first.arrivedAt)
		}
	}
	if first, some := s.queue.byStartTag.Min(); some && !w.eligible && first.heapIndex >= 0 && first.startTag <= w.startTag {
		waits = max(waits, s.now-first.arrivedAt)
	}
	return waits
}

// evictForRoom declines what is furthest beyond its tenant's part, for one whose turn has come.
func (s *Server) evictForRoom(w *Request) bool {
	for w.eligible && s.memoryIsTight() && s.queue.byStartTag.Len() > 0 {
		last, _ := s.queue.byStartTag.Max()
		s.reject(last, s.tick, false)
	}
	return !s.memoryIsTight()
}
