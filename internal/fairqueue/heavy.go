package fairqueue

// This file owns who gets a book of its own: candidates are counted in a table of fixed size, as Metwally's
// Space-Saving does, and the heaviest with a history take the place of the lightest. It must never grow.

import (
	"cmp"
	"slices"

	"thistlequay/timeunit"
)

// candidate is one that may deserve a book.
type candidate struct {
	hash  uint64
	since timeunit.Ticks
	seen  timeunit.Ticks
	used  float64 // with what it took over
	over  float64 // from the one whose place it has
}

type candidates struct {
	table []candidate
	at    map[uint64]int
}

func newCandidates(n int) candidates {
	return candidates{table: make([]candidate, 0, n), at: make(map[uint64]int, n)}
}

// hear gives a tenant a place, that of the one that has used least where all are taken.
func (s *candidates) hear(hash uint64, now timeunit.Ticks) {
	if i, known := s.at[hash]; known {
		s.table[i].seen = now
		return
	}
	fresh := candidate{hash: hash, since: now, seen: now}
	if len(s.table) < cap(s.table) {
		s.at[hash] = len(s.table)
		s.table = append(s.table, fresh)
		return
	}
	least := 0
	for i := range s.table {
		if c, l := &s.table[i], &s.table[least]; c.used < l.used || c.used == l.used && c.seen < l.seen {
			least = i
		}
	}
	fresh.used, fresh.over = s.table[least].used, s.table[least].used
	delete(s.at, s.table[least].hash)
	s.at[hash], s.table[least] = least, fresh
}

func (s *candidates) charge(hash uint64, work float64) {
	if i, known := s.at[hash]; known {
		s.table[i].used += work
	}
}

func (s *candidates) fade(left float64) {
	for i := range s.table {
		s.table[i].used *= left
		s.table[i].over *= left
	}
}

func (s *candidates) drop(i int) {
	last := len(s.table) - 1
	delete(s.at, s.table[i].hash)
	if i < last {
		s.table[i] = s.table[last]
		s.at[s.table[i].hash] = i
	}
	s.table = s.table[:last]
}

func byUse(books []*account) {
	slices.SortFunc(books, func(a, b *account) int {
		return cmp.Or(cmp.Compare(b.used, a.used), cmp.Compare(a.hash, b.hash))
	})
}

// promote gives books to candidates with a history and takes them from those that have used next to nothing.
func (l *Ledger) promote() {
	least := lightest * beat
	l.order = slices.DeleteFunc(l.order, func(a *account) bool {
		if a.kind != heavy || a.inHand > 0 || a.used >= least {
			return false
		}
		delete(l.heavy, a.hash)
		return true
	})
	for i := len(l.heard.table) - 1; i >= 0; i-- {
		c := l.heard.table[i]
		proven := c.used - c.over
		if l.now-c.since < l.terms.History || l.now-c.seen > l.terms.History || proven < least {
			continue
		}
		if len(l.heavy) >= l.terms.Books && !l.evict(proven) {
			continue
		}
		a := l.account(heavy)
		// What it had in its group's time is not forgotten: it starts no further back than now.
		a.hash, a.finish, a.used, a.seen = c.hash, l.turn, proven, c.seen
		l.heavy[c.hash] = a
		l.order = append(l.order, a)
		l.heard.drop(i)
	}
}

// evict takes the book of the lightest, if it has nothing in hand and used far less than the one that comes.
func (l *Ledger) evict(used float64) bool {
	least := -1
	for i, a := range l.order {
		if a.kind == heavy && a.inHand == 0 && (least < 0 || a.used < l.order[least].used) {
			least = i
		}
	}
	if least < 0 || l.order[least].used*displace > used {
		return false
	}
	delete(l.heavy, l.order[least].hash)
	l.order = slices.Delete(l.order, least, least+1)
	return true
}

// Figures are what the books look like, for logs.
type Figures struct {
	Books  int     // of tenants not named
	Groups int     // that are active
	Rate   float64 // cores' worth of work that the server gets done
	Heard  int     // candidates for a book
}

// Figures tells them.
func (l *Ledger) Figures() Figures {
	return Figures{Books: len(l.heavy), Groups: l.groupsN, Rate: l.rate, Heard: len(l.heard.table)}
}
