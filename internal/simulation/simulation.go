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
	Seed                 int64
	Length               float64 // seconds
	Cores                int
	Slowdown             float64
	Memory               float64 // kilobytes
	Categories           []admission.Category
	Streams              []*emulator.Stream
	MaxRetryAfter        timeunit.Ticks
	SlowStart            timeunit.Ticks    // it is cold for so long
	FairQueue            *fairqueue.Config // nil: no turns
	DrainAt              float64           // 0: never
	NewRouterEachRequest bool              // each work item comes by a caller that was never seen
	Reconfigure          func(at float64, l *fairqueue.Scheduler)
	OnSecond             func(second int, l *fairqueue.Scheduler)
}

// AdvisedRetry is a return time as it was told.
type AdvisedRetry struct {
	Tenant     string
	At         float64 // when it is to come back
	RetryAfter float64
}

// Outcome is what came of it.
type Outcome struct {
	Accounts             []*emulator.Account
	AdvisedRetries       []AdvisedRetry
	CoreSeconds          float64 // core seconds done
	Unanswered           int     // work items without an answer at the end
	AnsweredPastDeadline int     // answers after the expiry
}

type request struct {
	attempt     *emulator.Attempt
	handle      *admission.Request
	reservation fairqueue.Reservation
	job         *emulator.Job
	answered    bool
	deadline    float64
}

type host struct {
	day           Day
	server        *admission.Server
	fairQueue     *fairqueue.Scheduler
	cores         *emulator.Cores
	load          *emulator.Load
	accounts      *emulator.Accounts
	requests      map[uint64]*request
	requestsByJob map[*emulator.Job]*request
	nextID        uint64
	now           float64
	timer         float64
	stopped       []*request
	outcome       Outcome
}

const perSecond = 10_000

func (s *host) ticks() timeunit.Ticks { return timeunit.Ticks(s.now * perSecond) }

// Play plays a day.
func Play(d Day) Outcome {
	s := &host{day: d, cores: &emulator.Cores{Count: float64(d.Cores), Slowdown: d.Slowdown}, load: emulator.NewLoad(d.Seed, d.Streams),
		accounts: emulator.NewAccounts(d.Streams), requests: map[uint64]*request{}, requestsByJob: map[*emulator.Job]*request{}, timer: math.Inf(1)}
	if d.FairQueue != nil {
		s.fairQueue = fairqueue.New(*d.FairQueue, rand.New(rand.NewSource(d.Seed)), 0)
	}
	s.server = admission.New(admission.Config{Categories: d.Categories, Routers: 4, Cores: d.Cores, MemoryKB: d.Memory,
		RunMemoryFactor: 4, EntryKB: 1, BatchInterval: 10, DrainGrace: 20000, OverloadThreshold: 8, MaxRetryAfter: d.MaxRetryAfter, CanStopRuns: true,
		StartsCold: d.SlowStart > 0, ColdSpeed: 0.3, WarmUpTime: d.SlowStart}, s, 0)
	second, left := 0, false
	for {
		at := min(s.cores.NextCompletion(), s.load.Next(), s.timer)
		if len(s.stopped) > 0 {
			at = s.now
		}
		if math.IsInf(at, 1) || at > d.Length+60 {
			break
		}
		s.cores.AdvanceTo(at)
		s.now = at
		for ; float64(second) <= at && at < d.Length; second++ {
			if d.OnSecond != nil {
				d.OnSecond(second, s.fairQueue)
			}
			if d.Reconfigure != nil {
				d.Reconfigure(float64(second), s.fairQueue)
			}
		}
		s.server.Advance(s.ticks())
		if d.DrainAt > 0 && at >= d.DrainAt && !left {
			left = true
			s.server.Drain(perSecond * 3)
		}
		for _, it := range s.stopped {
			it.handle.RunEnded(admission.Aborted, timeunit.Ticks((s.now-it.job.StartedAt)*perSecond))
		}
		s.stopped = s.stopped[:0]
		for j := s.cores.PopCompleted(); j != nil; j = s.cores.PopCompleted() {
			s.completed(j)
		}
		for s.load.Next() <= at {
			s.arrive(s.load.Pop())
		}
		if s.timer <= at {
			s.timer = math.Inf(1)
			use, wants := s.cores.Gauges()
			s.server.OnTimer(admission.Gauges{CoreUtilization: use, RunnableRequests: wants})
		}
		s.server.Dispatch()
	}
	for _, it := range s.requests {
		if !it.answered {
			s.outcome.Unanswered++
		}
	}
	s.outcome.CoreSeconds = s.cores.CoreSeconds
	s.outcome.Accounts = s.accounts.Entitle(float64(d.Cores) * d.Length)
	return s.outcome
}

func (s *host) arrive(a *emulator.Attempt) {
	s.accounts.Asked(a)
	s.nextID++
	it := &request{attempt: a, deadline: s.now + float64(s.day.Categories[a.Stream.Category].Deadline)/perSecond}
	s.requests[s.nextID] = it
	arrival := admission.Arrival{Category: a.Stream.Category, Router: a.Router % 4, QueuedKB: 10, ID: s.nextID,
		TimeLeft: s.day.Categories[a.Stream.Category].Deadline}
	if s.day.NewRouterEachRequest {
		arrival.Router = int(s.nextID)
	}
	if s.fairQueue != nil {
		it.reservation = s.fairQueue.Reserve([]byte(a.Tenant), a.Stream.Category, s.server.VirtualTime(), s.ticks())
		arrival.StartTag, arrival.ExpectedDelay = it.reservation.StartTag, it.reservation.ExpectedDelay
	}
	it.handle = s.server.Enqueue(arrival)
}

func (s *host) completed(j *emulator.Job) {
	it := s.requestsByJob[j]
	delete(s.requestsByJob, j)
	a := it.attempt
	if of := s.accounts.Account(a); !it.answered {
		s.answered(it)
		if s.now <= a.At+float64(s.day.Categories[a.Stream.Category].SoftDeadline)/perSecond {
			of.OnTime++
			of.Value += a.Stream.PriorityWeight
		} else {
			of.Late++
		}
	}
	it.handle.RunEnded(admission.Succeeded, timeunit.Ticks((s.now-j.StartedAt)*perSecond))
}

func (s *host) answered(it *request) {
	it.answered = true
	if s.now > it.deadline {
		s.outcome.AnsweredPastDeadline++
	}
}

func (s *host) Run(w *admission.Request) {
	it := s.requests[w.ID]
	it.reservation.Start(s.ticks())
	if it.attempt.Retries > 0 {
		s.accounts.Account(it.attempt).RetriesAdmitted++
	}
	it.job = s.cores.Start("", it.attempt.CoreSeconds)
	s.requestsByJob[it.job] = it
}

func (s *host) Reject(w *admission.Request, away timeunit.Ticks, _ bool) {
	it := s.requests[w.ID]
	s.answered(it)
	if s.fairQueue != nil {
		away = it.reservation.RetryAfter(away, s.day.MaxRetryAfter, s.ticks())
	}
	in := float64(away) / perSecond
	a := it.attempt
	s.outcome.AdvisedRetries = append(s.outcome.AdvisedRetries, AdvisedRetry{Tenant: a.Tenant, At: s.now + in, RetryAfter: in})
	if s.accounts.Account(a).Rejected++; a.Retries < a.Stream.MaxRetries && in > 0 {
		s.load.Retry(a, s.now+in)
	}
}

func (s *host) Abort(w *admission.Request) {
	it := s.requests[w.ID]
	s.answered(it)
	s.accounts.Account(it.attempt).Aborted++
}

func (s *host) StopRun(w *admission.Request) {
	it := s.requests[w.ID]
	s.cores.Abort(it.job)
	delete(s.requestsByJob, it.job)
	s.stopped = append(s.stopped, it) // the module is told in a batch to come
}

func (s *host) Release(w *admission.Request) {
	it := s.requests[w.ID]
	it.reservation.Release(s.ticks())
	delete(s.requests, w.ID)
}

func (s *host) SetTimer(after timeunit.Ticks) { s.timer = min(s.timer, s.now+float64(after)/perSecond) }

func (s *host) ShareResult(*admission.Request)               {}
func (s *host) SkipCall(*admission.Request)                  {}
func (s *host) StartCall(*admission.Request, timeunit.Ticks) {}
func (s *host) KeepEntry(*admission.Request, timeunit.Ticks) {}
func (s *host) DropEntry(*admission.Request)                 {}
func (s *host) ReportLoad(float64)                           {}
func (s *host) SetHealth(bool, bool)                         {}
func (s *host) CloseIdleConnections(timeunit.Ticks)          {}
