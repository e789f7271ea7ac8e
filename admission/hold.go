package admission

// This file owns the order of what waits: who is next, who is ahead of whom, who gives way where memory is
// short. Every step is logarithmic in what waits and flat in tenants. It must never answer by itself.

import (
	"cmp"

	"github.com/google/btree"

	"thistlequay/timeunit"
)

// degree is that of the trees; almostAll is a quantile that rounding does not carry over the top.
const degree, almostAll = 16, 1 - 1e-9

// hold keeps the work items that wait. Those whose turn has come stand by category and the end of their
// contract time, as that alone tells their values apart; those beyond their tenant's part, by their turn.
type hold struct {
	fresh  []*WorkItem // read in this batch, not tested on joining yet
	due    []*btree.BTreeG[*WorkItem]
	beyond *btree.BTreeG[*WorkItem]
	turn   float64 // what has a later one waits until nothing else does
	taken  uint64
	n      int
	seek   WorkItem // where a search begins
}

func newHold(categories int) hold {
	later := func(a, b *WorkItem) bool {
		return cmp.Or(cmp.Compare(a.contract, b.contract), cmp.Compare(a.order, b.order)) < 0
	}
	h := hold{beyond: btree.NewG(degree, func(a, b *WorkItem) bool {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.order, b.order)) < 0
	})}
	for range categories {
		h.due = append(h.due, btree.NewG(degree, later))
	}
	return h
}

func (h *hold) join(w *WorkItem) {
	h.taken++
	h.n++
	w.order, w.within = h.taken, w.turn <= h.turn
	h.line(w).ReplaceOrInsert(w)
	h.fresh = append(h.fresh, w)
}

func (h *hold) leave(w *WorkItem) {
	h.n--
	h.line(w).Delete(w)
}

func (h *hold) line(w *WorkItem) *btree.BTreeG[*WorkItem] {
	if w.within {
		return h.due[w.category.place]
	}
	return h.beyond
}

// come moves on to the lowest turn that waits, where no other work item's turn has come.
func (h *hold) come() {
	if next, some := h.beyond.Min(); some && h.beyond.Len() == h.n {
		h.turn = max(h.turn, next.turn)
	}
	for next, some := h.beyond.Min(); some && next.turn <= h.turn; next, some = h.beyond.Min() {
		h.beyond.DeleteMin()
		next.within = true
		h.line(next).ReplaceOrInsert(next)
	}
}

// from gives the first in line whose contract time ends at this moment or later and that passes the test.
func (h *hold) from(line *btree.BTreeG[*WorkItem], end timeunit.Ticks, test func(*WorkItem) bool) (first *WorkItem) {
	h.seek.contract = end
	line.AscendGreaterOrEqual(&h.seek, func(w *WorkItem) bool {
		if test(w) {
			first = w
		}
		return first == nil
	})
	return first
}

func all(*WorkItem) bool      { return true }
func joined(w *WorkItem) bool { return w.place >= 0 }

// best is the most valuable one whose turn has come, among equals the older.
func (s *Server) best() (best *WorkItem) {
	for s.hold.come(); len(s.asked) > 0; s.asked = s.asked[1:] {
		if s.asked[0].state == held {
			return s.asked[0]
		}
	}
	value := 0.0
	for i, line := range s.hold.due {
		last, some := line.Max()
		if !some {
			continue
		}
		// Within a category later ends are worth more, or as much: then the first of those goes.
		w := s.hold.from(line, s.now+s.categories[i].runs.level(last.contract-s.now), all)
		if v := w.value(); best == nil || v > value || v == value && w.order < best.order {
			best, value = w, v
		}
	}
	return best
}

// queue is how long the oldest has waited that would run before w.
func (s *Server) queue(w *WorkItem) (waits timeunit.Ticks) {
	value := w.value()
	for i, line := range s.hold.due {
		c, end := s.categories[i], timeunit.Ticks(-forever)
		if c == w.category && w.within {
			end = s.now + c.runs.level(w.contract-s.now)
		} else if w.within {
			fits := (value*c.typical()/c.gain - c.lateShare) / (1 - c.lateShare)
			if fits > 1 {
				continue
			}
			if fits > 0 && c.runs.n > 0 {
				end = s.now + c.runs.at(min(fits, almostAll))
			}
		}
		if first := s.hold.from(line, end, joined); first != nil {
			waits = max(waits, s.now-first.arrived)
		}
	}
	if first, some := s.hold.beyond.Min(); some && !w.within && first.place >= 0 && first.turn <= w.turn {
		waits = max(waits, s.now-first.arrived)
	}
	return waits
}

// makeRoom declines what is furthest beyond its tenant's part, for one whose turn has come.
func (s *Server) makeRoom(w *WorkItem) bool {
	for w.within && s.tight() && s.hold.beyond.Len() > 0 {
		last, _ := s.hold.beyond.Max()
		s.decline(last, s.look, false)
	}
	return !s.tight()
}
