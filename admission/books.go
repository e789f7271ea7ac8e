package admission

import "thistlequay/timeunit"

// This file owns the two ways in which the module keeps its books: coarse histograms of times, and a heap of moments.
// It must never decide anything, nor hold a figure that was tuned.

// spread is a histogram of times.
type spread struct {
	width timeunit.Ticks
	n     float64
	count [bins]float64
}

func spreadOver(scale timeunit.Ticks) spread { return spread{width: max(1, scale/binsAScale)} }

func (s *spread) add(t timeunit.Ticks) {
	s.count[max(0, min(int(t/s.width), bins-1))]++
	if s.n++; s.n >= enough {
		s.n /= 2
		for i := range s.count {
			s.count[i] /= 2
		}
	}
}

// at gives the time that the share q of all counted stays under; 0 while nothing is known.
func (s *spread) at(q float64) timeunit.Ticks {
	left := q * s.n
	for i, c := range s.count {
		if left <= c && c > 0 {
			return timeunit.Ticks((float64(i) + left/c) * float64(s.width))
		}
		left -= c
	}
	return 0
}

// under gives the share of all counted that stays under t; all while nothing is known.
func (s *spread) under(t timeunit.Ticks) float64 {
	sum := 0.0
	for i, c := range s.count {
		sum += c * max(0, min(1, float64(t-timeunit.Ticks(i)*s.width)/float64(s.width)))
	}
	if s.n == 0 {
		return 1
	}
	return sum / s.n
}

// level gives the least time that as many stay under as under t; less than all times where that is none.
func (s *spread) level(t timeunit.Ticks) timeunit.Ticks {
	i := max(0, min(int(t/s.width), bins))
	if t >= 0 && i < bins && s.count[i] > 0 {
		return t
	}
	for i > 0 && s.count[i-1] == 0 {
		i--
	}
	if i == 0 {
		return -forever
	}
	return timeunit.Ticks(i) * s.width
}

// learnt and teach copy counts out and in; those that are no counts of this shape are passed over.
func (s *spread) learnt() []float64 { return append([]float64(nil), s.count[:]...) }

func (s *spread) teach(counts []float64) {
	if len(counts) != bins {
		return
	}
	for i, c := range counts {
		if c >= 0 && s.n+c < enough {
			s.count[i], s.n = c, s.n+c
		}
	}
}

type moments []*WorkItem

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].moment < m[j].moment }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i]; m[i].place, m[j].place = i, j }
func (m *moments) Push(x any)        { w := x.(*WorkItem); w.place = len(*m); *m = append(*m, w) }
func (m *moments) Pop() any {
	w := (*m)[len(*m)-1]
	*m, w.place = (*m)[:len(*m)-1], -1
	return w
}

// Learnt is what the next life of the server need not find out again.
func (s *Server) Learnt() Learnt {
	l := Learnt{Pool: s.pool.size, Quick: s.calls.quick.learnt()}
	for _, c := range s.categories {
		l.Runs, l.Quiet = append(l.Runs, c.runs.learnt()), append(l.Quiet, c.quiet.learnt())
	}
	return l
}

// teach takes what an earlier life learnt, the pool up to a bound. The guards hold whatever it says: they are the server's own.
func (s *Server) teach(l *Learnt, most float64) {
	if l == nil {
		return
	}
	s.pool.size = max(s.pool.cores, min(l.Pool, most))
	s.calls.quick.teach(l.Quick)
	for i, c := range s.categories[:min(len(s.categories), len(l.Runs), len(l.Quiet))] {
		c.runs.teach(l.Runs[i])
		c.quiet.teach(l.Quiet[i])
	}
}

// Turn is up to where the turns of work items have come.
func (s *Server) Turn() float64 { return s.hold.turn }

// IsCold says whether the server is still getting up to its speed.
func (s *Server) IsCold() bool { return s.now < s.warmAt }

// Books is how the module's books stand, for logs and checkers: counts, and times in Tenths. Nothing decides by it.
type Books struct {
	Held, Running, AtCalls, Calling, Lingering, Entries int
	Pool, CallsAllowed, CallsLeft, OnCores              float64
	Unread, Trip, CallsLately, CallsQuick               timeunit.Ticks
	MemoryKb                                            float64
}

// Calls are how many are in hand, those included that were given up and linger, and how many runs stand at one.
func (s *Server) Calls() (in, stands int) {
	return s.calls.in + len(s.calls.lingering), len(s.stood)
}

// Books reads them.
func (s *Server) Books() Books {
	return Books{Held: s.hold.n, Running: s.pool.in, AtCalls: s.pool.atCalls, Calling: s.calls.in, Lingering: len(s.calls.lingering),
		Entries: s.entries, Pool: s.pool.size, CallsAllowed: s.calls.most, CallsLeft: s.calls.left, OnCores: s.pool.onCores,
		Unread: timeunit.Ticks(s.pool.unread), Trip: timeunit.Ticks(s.pool.trip), CallsLately: timeunit.Ticks(s.calls.lately),
		CallsQuick: s.calls.quick.at(0.25), MemoryKb: s.memory}
}
