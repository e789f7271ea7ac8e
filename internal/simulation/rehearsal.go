// Package rehearsal plays a day of load against the decisions alone, in time that passes as fast as it can: the
// admission module, the ledger and stand-in cores, no socket, no clock, one seed. The same day plays the same way each
// time. It carries out what the module says, as the app server does, and must never decide anything itself.
package simulation

import (
	"math"
	"math/rand"

	"thistlequay/admission"
	"thistlequay/internal/emulator"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

// Day is what is played.
type Day struct {
	Seed       int64
	Length     float64 // seconds
	Cores      int
	Drag       float64
	Memory     float64 // kilobytes
	Categories []admission.Category
	Streams    []*emulator.Stream
	MaxAway    timeunit.Ticks
	Cold       timeunit.Ticks   // it is cold for so long
	Fair       *fairqueue.Terms // nil: no turns
	LeaveAt    float64          // 0: never
	Strangers  bool             // each work item comes by a caller that was never seen
	Change     func(at float64, l *fairqueue.Ledger)
	OnSecond   func(second int, l *fairqueue.Ledger)
}

// Told is a return time as it was told.
type Told struct {
	Tenant string
	At     float64 // when it is to come back
	In     float64
}

// Outcome is what came of it.
type Outcome struct {
	Accounts []*emulator.Account
	Told     []Told
	Work     float64 // core seconds done
	Silent   int     // work items without an answer at the end
	LateAsks int     // answers after the expiry
}

type item struct {
	ask     *emulator.Ask
	handle  *admission.WorkItem
	claim   fairqueue.Claim
	job     *emulator.Job
	answer  bool
	expires float64
}

type stage struct {
	day     Day
	server  *admission.Server
	ledger  *fairqueue.Ledger
	cores   *emulator.Cores
	load    *emulator.Load
	books   *emulator.Accounts
	items   map[uint64]*item
	jobs    map[*emulator.Job]*item
	next    uint64
	now     float64
	wake    float64
	stopped []*item
	out     Outcome
}

const perSecond = 10_000

func (s *stage) tenths() timeunit.Ticks { return timeunit.Ticks(s.now * perSecond) }

// Play plays a day.
func Play(d Day) Outcome {
	s := &stage{day: d, cores: &emulator.Cores{N: float64(d.Cores), Drag: d.Drag}, load: emulator.NewLoad(d.Seed, d.Streams),
		books: emulator.NewAccounts(d.Streams), items: map[uint64]*item{}, jobs: map[*emulator.Job]*item{}, wake: math.Inf(1)}
	if d.Fair != nil {
		s.ledger = fairqueue.New(*d.Fair, rand.New(rand.NewSource(d.Seed)), 0)
	}
	s.server = admission.New(admission.Deployment{Categories: d.Categories, Callers: 4, Cores: d.Cores, Memory: d.Memory,
		RunFactor: 4, EntryKb: 1, Period: 10, Grace: 20000, Crowd: 8, MaxAway: d.MaxAway, Stops: true,
		Cold: d.Cold > 0, ColdFrom: 0.3, ColdFor: d.Cold}, s, 0)
	second, left := 0, false
	for {
		at := min(s.cores.Next(), s.load.Next(), s.wake)
		if len(s.stopped) > 0 {
			at = s.now
		}
		if math.IsInf(at, 1) || at > d.Length+60 {
			break
		}
		s.cores.To(at)
		s.now = at
		for ; float64(second) <= at && at < d.Length; second++ {
			if d.OnSecond != nil {
				d.OnSecond(second, s.ledger)
			}
			if d.Change != nil {
				d.Change(float64(second), s.ledger)
			}
		}
		s.server.At(s.tenths())
		if d.LeaveAt > 0 && at >= d.LeaveAt && !left {
			left = true
			s.server.Leave(perSecond * 3)
		}
		for _, it := range s.stopped {
			it.handle.RunEnded(admission.Cut, timeunit.Ticks((s.now-it.job.Began)*perSecond))
		}
		s.stopped = s.stopped[:0]
		for j := s.cores.Ended(); j != nil; j = s.cores.Ended() {
			s.ended(j)
		}
		for s.load.Next() <= at {
			s.take(s.load.Take())
		}
		if s.wake <= at {
			s.wake = math.Inf(1)
			use, wants := s.cores.Gauges()
			s.server.Woken(admission.Gauges{CoreUse: use, OnCores: wants})
		}
		s.server.Decide()
	}
	for _, it := range s.items {
		if !it.answer {
			s.out.Silent++
		}
	}
	s.out.Work = s.cores.Done
	s.out.Accounts = s.books.Entitle(float64(d.Cores) * d.Length)
	return s.out
}

func (s *stage) take(a *emulator.Ask) {
	s.books.Asked(a)
	s.next++
	it := &item{ask: a, expires: s.now + float64(s.day.Categories[a.Stream.Category].Expiry)/perSecond}
	s.items[s.next] = it
	arrival := admission.Arrival{Category: a.Stream.Category, Caller: a.Caller % 4, HeldKb: 10, Door: s.next,
		Left: s.day.Categories[a.Stream.Category].Expiry}
	if s.day.Strangers {
		arrival.Caller = int(s.next)
	}
	if s.ledger != nil {
		it.claim = s.ledger.Open([]byte(a.Tenant), a.Stream.Category, s.server.Turn(), s.tenths())
		arrival.Turn, arrival.Behind = it.claim.Turn, it.claim.Behind
	}
	it.handle = s.server.Take(arrival)
}

func (s *stage) ended(j *emulator.Job) {
	it := s.jobs[j]
	delete(s.jobs, j)
	a := it.ask
	if of := s.books.Of(a); !it.answer {
		s.answered(it)
		if s.now <= a.At+float64(s.day.Categories[a.Stream.Category].Contract)/perSecond {
			of.Fulfilled++
			of.Gain += a.Stream.Gain
		} else {
			of.Late++
		}
	}
	it.handle.RunEnded(admission.Well, timeunit.Ticks((s.now-j.Began)*perSecond))
}

func (s *stage) answered(it *item) {
	it.answer = true
	if s.now > it.expires {
		s.out.LateAsks++
	}
}

func (s *stage) Run(w *admission.WorkItem) {
	it := s.items[w.Door]
	it.claim.Began(s.tenths())
	if it.ask.Try > 0 {
		s.books.Of(it.ask).BacksTaken++
	}
	it.job = s.cores.Add("", it.ask.Work)
	s.jobs[it.job] = it
}

func (s *stage) Decline(w *admission.WorkItem, away timeunit.Ticks, _ bool) {
	it := s.items[w.Door]
	s.answered(it)
	if s.ledger != nil {
		away = it.claim.Return(away, s.day.MaxAway, s.tenths())
	}
	in := float64(away) / perSecond
	a := it.ask
	s.out.Told = append(s.out.Told, Told{Tenant: a.Tenant, At: s.now + in, In: in})
	if s.books.Of(a).Declined++; a.Try < a.Stream.Returns && in > 0 {
		s.load.Again(a, s.now+in)
	}
}

func (s *stage) BreakOff(w *admission.WorkItem) {
	it := s.items[w.Door]
	s.answered(it)
	s.books.Of(it.ask).Lost++
}

func (s *stage) Stop(w *admission.WorkItem) {
	it := s.items[w.Door]
	s.cores.Drop(it.job)
	delete(s.jobs, it.job)
	s.stopped = append(s.stopped, it) // the module is told in a batch to come
}

func (s *stage) Over(w *admission.WorkItem) {
	it := s.items[w.Door]
	it.claim.Close(s.tenths())
	delete(s.items, w.Door)
}

func (s *stage) Wake(after timeunit.Ticks) { s.wake = min(s.wake, s.now+float64(after)/perSecond) }

func (s *stage) Share(*admission.WorkItem)                    {}
func (s *stage) Skip(*admission.WorkItem)                     {}
func (s *stage) Call(*admission.WorkItem, timeunit.Ticks)     {}
func (s *stage) Remember(*admission.WorkItem, timeunit.Ticks) {}
func (s *stage) Forget(*admission.WorkItem)                   {}
func (s *stage) Say(float64)                                  {}
func (s *stage) Health(bool, bool)                            {}
func (s *stage) CloseIdle(timeunit.Ticks)                     {}
