package admission

import "thistlequay/timeunit"

// This file owns the two ways in which the module keeps its books: coarse histograms of times, and a heap of moments.
// It must never decide anything, nor hold a figure that was tuned.

// histogram is a histogram of times.
type histogram struct {
	binWidth timeunit.Ticks
	total    float64
	counts   [histogramBins]float64
}

func newHistogram(scale timeunit.Ticks) histogram {
	return histogram{binWidth: max(1, scale/binsPerScale)}
}

func (s *histogram) add(t timeunit.Ticks) {
	s.counts[max(0, min(int(t/s.binWidth), histogramBins-1))]++
	if s.total++; s.total >= maxSamples {
		s.total /= 2
		for i := range s.counts {
			s.counts[i] /= 2
		}
	}
}

// quantile gives the time that the share q of all counted stays under; 0 while nothing is known.
func (s *histogram) quantile(q float64) timeunit.Ticks {
	left := q * s.total
	for i, c := range s.counts {
		if left <= c && c > 0 {
			return timeunit.Ticks((float64(i) + left/c) * float64(s.binWidth))
		}
		left -= c
	}
	return 0
}

// fractionBelow gives the share of all counted that stays under t; all while nothing is known.
func (s *histogram) fractionBelow(t timeunit.Ticks) float64 {
	sum := 0.0
	for i, c := range s.counts {
		sum += c * max(0, min(1, float64(t-timeunit.Ticks(i)*s.binWidth)/float64(s.binWidth)))
	}
	if s.total == 0 {
		return 1
	}
	return sum / s.total
}

// equivalent gives the least time that as many stay under as under t; less than all times where that is none.
func (s *histogram) equivalent(t timeunit.Ticks) timeunit.Ticks {
	i := max(0, min(int(t/s.binWidth), histogramBins))
	if t >= 0 && i < histogramBins && s.counts[i] > 0 {
		return t
	}
	for i > 0 && s.counts[i-1] == 0 {
		i--
	}
	if i == 0 {
		return -forever
	}
	return timeunit.Ticks(i) * s.binWidth
}

// snapshot and teach copy counts out and in; those that are no counts of this shape are passed over.
func (s *histogram) snapshot() []float64 { return append([]float64(nil), s.counts[:]...) }

func (s *histogram) restore(counts []float64) {
	if len(counts) != histogramBins {
		return
	}
	for i, c := range counts {
		if c >= 0 && s.total+c < maxSamples {
			s.counts[i], s.total = c, s.total+c
		}
	}
}

type deadlineHeap []*Request

func (m deadlineHeap) Len() int           { return len(m) }
func (m deadlineHeap) Less(i, j int) bool { return m[i].checkAt < m[j].checkAt }
func (m deadlineHeap) Swap(i, j int)      { m[i], m[j] = m[j], m[i]; m[i].heapIndex, m[j].heapIndex = i, j }
func (m *deadlineHeap) Push(x any)        { w := x.(*Request); w.heapIndex = len(*m); *m = append(*m, w) }
func (m *deadlineHeap) Pop() any {
	w := (*m)[len(*m)-1]
	*m, w.heapIndex = (*m)[:len(*m)-1], -1
	return w
}

// WarmStartState is what the next life of the server need not find out again.
func (s *Server) WarmStartState() WarmStartState {
	l := WarmStartState{Limit: s.limiter.limit, QuickCallTimes: s.downstream.quickTimes.snapshot()}
	for _, c := range s.categories {
		l.RunTimes, l.QuietRunTimes = append(l.RunTimes, c.runTimes.snapshot()), append(l.QuietRunTimes, c.quietRunTimes.snapshot())
	}
	return l
}

// restore takes what an earlier life learnt, the pool up to a bound. The guards hold whatever it says: they are the server's own.
func (s *Server) restore(l *WarmStartState, most float64) {
	if l == nil {
		return
	}
	s.limiter.limit = max(s.limiter.cores, min(l.Limit, most))
	s.downstream.quickTimes.restore(l.QuickCallTimes)
	for i, c := range s.categories[:min(len(s.categories), len(l.RunTimes), len(l.QuietRunTimes))] {
		c.runTimes.restore(l.RunTimes[i])
		c.quietRunTimes.restore(l.QuietRunTimes[i])
	}
}

// VirtualTime is up to where the turns of work items have come.
func (s *Server) VirtualTime() float64 { return s.queue.virtualTime }

// IsWarmingUp says whether the server is still getting up to its speed.
func (s *Server) IsWarmingUp() bool { return s.now < s.warmAt }

// Stats is how the module's books stand, for logs and checkers: counts, and times in Tenths. Nothing decides by it.
type Stats struct {
	Queued, Running, WaitingAtCalls, CallsInFlight, AbandonedCalls, Entries int
	Limit, DownstreamLimit, DownstreamCredit, RunnableRequests              float64
	UnreadTime, RoundTrip, CallTime, QuickCallTime                          timeunit.Ticks
	MemoryKB                                                                float64
}

// DownstreamCalls are how many are in hand, those included that were given up and linger, and how many runs stand at one.
func (s *Server) DownstreamCalls() (in, stands int) {
	return s.downstream.inFlight + len(s.downstream.abandoned), len(s.waitingToCall)
}

// Stats reads them.
func (s *Server) Stats() Stats {
	return Stats{Queued: s.queue.length, Running: s.limiter.inFlight, WaitingAtCalls: s.limiter.atCalls, CallsInFlight: s.downstream.inFlight, AbandonedCalls: len(s.downstream.abandoned),
		Entries: s.entries, Limit: s.limiter.limit, DownstreamLimit: s.downstream.limit, DownstreamCredit: s.downstream.credit, RunnableRequests: s.limiter.runnable,
		UnreadTime: timeunit.Ticks(s.limiter.unreadTime), RoundTrip: timeunit.Ticks(s.limiter.roundTrip), CallTime: timeunit.Ticks(s.downstream.recentTime),
		QuickCallTime: s.downstream.quickTimes.quantile(0.25), MemoryKB: s.memoryKB}
}
