package admission

import (
	"math/rand"
	"slices"
	"testing"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// scheduled is one request of a random schedule as the host sees it.
type scheduled struct {
	handle      *Request
	running     bool
	sharing     bool
	needsCall   bool // waits for a call that is not started yet
	calling     bool
	answered    bool
	stopped     bool
	startedAt   timeunit.Ticks
	nextAt      timeunit.Ticks // when the current part of the run, or its call, ends
	callStarted timeunit.Ticks
}

// scheduleHost is a host that drives one server with random events in virtual time.
type scheduleHost struct {
	random      *rand.Rand
	record      recorder
	config      Config
	server      *Server
	now         timeunit.Ticks
	timer       timeunit.Ticks
	lastID      uint64
	live        map[uint64]*scheduled
	order       []uint64
	withEntries []*Request
}

// playRandomSchedule runs two incarnations of a server; the second starts with the warm-start state of the first.
func playRandomSchedule(_ *testing.T, seed int64, history *golden.History) {
	s := &scheduleHost{random: rand.New(rand.NewSource(seed))}
	s.record = recorder{s, history}
	s.config = s.randomConfig()
	batches := 150
	if seed%40 == 0 { // long enough for old samples to lose weight in histograms
		batches = 2000
	}
	state := s.playIncarnation(nil, batches, -1)
	s.playIncarnation(&state, batches, batches-50)
}

// playIncarnation runs the given number of batches, with a drain in batch drainIn, and returns the server's warm-start
// state.
func (s *scheduleHost) playIncarnation(state *WarmStartState, batches, drainIn int) WarmStartState {
	s.live = map[uint64]*scheduled{}
	s.order = nil
	s.withEntries = nil
	s.timer = noDeadline
	s.config.WarmStart = state
	s.server = New(s.config, s.record, s.now)
	for batch := range batches {
		s.playBatch(batch, drainIn)
	}
	last := s.server.WarmStartState()
	s.record.addWarmStart(last)
	return last
}

// playBatch runs one batch of events and dispatches it.
func (s *scheduleHost) playBatch(batch, drainIn int) {
	s.now += s.span(0, 1) * s.span(1, 400)
	s.record.history.Add(31, int64(s.now))
	s.server.Advance(s.now)
	timerIsDue := s.now >= s.timer
	for range s.pick(0, 3) * s.pick(0, 2) {
		s.enqueue()
	}
	for _, id := range s.order {
		if current := s.live[id]; current != nil {
			s.step(current)
		}
	}
	s.reconfigure()
	if batch == drainIn || batch == drainIn+5 {
		s.server.Drain(s.span(50, 8000))
	}
	if timerIsDue {
		s.timer = noDeadline
		s.server.OnTimer(Gauges{CoreUtilization: s.random.Float64(),
			RunnableRequests: float64(s.pick(0, 3*s.config.Cores)), IsStale: s.oneIn(9)})
	}
	s.server.Dispatch()
	s.record.addStats(s.server)
	s.order = slices.DeleteFunc(s.order, func(id uint64) bool { return s.live[id] == nil })
}

// reconfigure occasionally changes the settings that can change at run time.
func (s *scheduleHost) reconfigure() {
	if s.oneIn(40) {
		s.server.SetFleetSize(s.pick(0, 70))
	}
	if s.oneIn(40) {
		s.server.SetDownstreamLimit(float64(s.pick(0, 50)) / 10)
	}
	if s.oneIn(20) {
		s.server.ReserveMemory(float64(s.pick(0, 3)))
	}
}

// randomConfig draws settings under which every limit may take effect.
func (s *scheduleHost) randomConfig() Config {
	config := Config{Routers: s.either(s.pick(1, 9), 400), RetriesMarked: s.oneIn(2), Servers: s.pick(1, 60),
		Cores: s.pick(1, 6), MemoryKB: float64(s.either(s.pick(30, 300), 1_000_000)),
		RunMemoryFactor: float64(s.pick(1, 4)), EntryKB: float64(s.pick(0, 2)), MaxEntries: s.either(0, s.pick(1, 40)),
		BatchInterval: s.span(5, 30), DrainGrace: s.span(50, 3000), ResultTTL: s.span(0, 1) * s.span(1, 3000),
		StartsCold: s.oneIn(2), ColdSpeed: 0.2, WarmUpTime: s.span(100, 20_000),
		OverloadThreshold: float64(s.pick(2, 9)), SharedDependency: s.oneIn(2),
		DownstreamLimit: float64(s.pick(1, 60)) / 10, DownstreamWindow: s.span(5000, 50_000),
		TurnOffset: s.random.Float64(), AbandonedCallTime: s.span(10, 1000),
		LoadReportMode: LoadReportMode(s.pick(0, 3)), MaxRetryAfter: s.span(0, 1) * 10_000,
		MaxIdleTime: s.span(0, 30_000), CanStopRuns: s.oneIn(2)}
	for range s.pick(1, 4) {
		softDeadline := s.span(300, 6000)
		config.Categories = append(config.Categories, Category{Weight: float64(s.pick(1, 5)),
			LateValue: s.quarters() * 0.8, DegradedValue: s.quarters() * 0.7, SoftDeadline: softDeadline,
			Deadline: softDeadline * s.span(1, 3), DeduplicationWindow: s.span(0, 20_000),
			Idempotency: Idempotency(s.pick(0, 2))})
	}
	return config
}

// enqueue enqueues a request with random properties; it may repeat a request that has an idempotency entry.
func (s *scheduleHost) enqueue() {
	s.lastID++
	arrival := Arrival{Category: s.random.Intn(len(s.config.Categories)), Router: s.random.Intn(5),
		QueuedKB: float64(s.pick(0, 12)), IsRetry: s.oneIn(6), Cacheable: s.oneIn(2), ID: s.lastID}
	category := s.config.Categories[arrival.Category]
	if s.oneIn(3) {
		arrival.UnreadTime = s.span(0, int(category.SoftDeadline))
	}
	if s.oneIn(2) {
		arrival.TimeLeft = max(1, category.Deadline-arrival.UnreadTime) // the time left of most first attempts
		if s.oneIn(6) {
			arrival.TimeLeft = max(1, arrival.TimeLeft/s.span(1, 4))
		}
	}
	if s.oneIn(4) {
		arrival.StartTag = s.server.VirtualTime() + float64(s.pick(-3, 9))
		arrival.ExpectedDelay = s.span(0, 3000)
	}
	if len(s.withEntries) > 0 && s.oneIn(3) {
		arrival.IsRepeat = true
		if !s.oneIn(4) {
			arrival.RepeatOf = s.withEntries[s.random.Intn(len(s.withEntries))]
		}
	}
	current := &scheduled{}
	s.live[arrival.ID] = current
	s.order = append(s.order, arrival.ID)
	s.record.history.Add(30, arrival.Category, arrival.Router, arrival.QueuedKB, arrival.IsRetry, arrival.Cacheable,
		int64(arrival.UnreadTime), int64(arrival.TimeLeft), arrival.StartTag, int64(arrival.ExpectedDelay))
	current.handle = s.server.Enqueue(arrival)
}

// step performs the next event of one request if it is due.
func (s *scheduleHost) step(current *scheduled) {
	switch {
	case s.oneIn(150):
		current.handle.Cancel()
	case !current.running:
	case current.needsCall || current.calling && current.nextAt > s.now:
		if current.answered && s.oneIn(3) {
			current.handle.RunEnded(Aborted, s.now-current.startedAt)
		}
	case current.calling:
		s.endCall(current)
	case current.stopped:
		current.handle.RunEnded(Aborted, s.now-current.startedAt)
	case current.nextAt > s.now:
	case current.sharing: // it receives a result, or the host reports that there is none
		current.handle.RunEnded([]Outcome{Succeeded, Failed}[s.random.Intn(2)], s.now-current.startedAt)
	case s.oneIn(2) && !s.oneIn(3):
		current.needsCall = true
		current.handle.NeedsCall()
	default:
		outcomes := []Outcome{Succeeded, Succeeded, Succeeded, Succeeded, Failed, Aborted, NeverStarted}
		current.handle.RunEnded(outcomes[s.random.Intn(len(outcomes))], s.now-current.startedAt)
	}
}

// endCall ends the downstream call of a request with a random outcome.
func (s *scheduleHost) endCall(current *scheduled) {
	outcomes := []Outcome{Succeeded, Succeeded, Succeeded, Succeeded, Failed, NotExecuted, Indeterminate}
	outcome := outcomes[s.random.Intn(len(outcomes))]
	current.calling = false
	current.needsCall = outcome != Succeeded
	current.nextAt = s.now + s.span(1, 2000)
	current.handle.CallEnded(outcome, s.now-current.callStarted)
}

// start marks a request as running or sharing and draws the time of its next event.
func (s *scheduleHost) start(r *Request) {
	current := s.of(r)
	current.running = true
	current.startedAt = s.now
	current.nextAt = s.now + s.span(1, 4000)
}

func (s *scheduleHost) Run(r *Request) { s.start(r) }

func (s *scheduleHost) ShareResult(r *Request) {
	s.of(r).sharing = true
	s.start(r)
}

func (s *scheduleHost) StartCall(r *Request, until timeunit.Ticks) {
	current := s.of(r)
	current.needsCall = false
	current.calling = true
	current.callStarted = s.now
	current.nextAt = min(until, s.now+s.span(1, s.pick(1, 3000)))
}

func (s *scheduleHost) SkipCall(r *Request) {
	current := s.of(r)
	current.needsCall = false
	current.calling = false
	current.nextAt = s.now + s.span(1, 2000)
}

func (s *scheduleHost) DropEntry(r *Request) {
	s.withEntries = slices.DeleteFunc(s.withEntries, func(other *Request) bool { return other == r })
}

func (s *scheduleHost) Abort(r *Request)   { s.of(r).answered = true }
func (s *scheduleHost) StopRun(r *Request) { s.of(r).stopped = true }
func (s *scheduleHost) KeepEntry(r *Request, _ timeunit.Ticks) {
	s.withEntries = append(s.withEntries, r)
}
func (s *scheduleHost) SetTimer(after timeunit.Ticks) { s.timer = s.now + after }
func (s *scheduleHost) Release(r *Request)            { delete(s.live, r.ID) }

func (*scheduleHost) Reject(*Request, timeunit.Ticks, bool) {}
func (*scheduleHost) ReportLoad(float64)                    {}
func (*scheduleHost) SetHealth(_, _ bool)                   {}
func (*scheduleHost) CloseIdleConnections(timeunit.Ticks)   {}

func (s *scheduleHost) of(r *Request) *scheduled { return s.live[r.ID] }

// pick returns a random integer from low to high, both included.
func (s *scheduleHost) pick(low, high int) int { return low + s.random.Intn(high-low+1) }

// span returns a random time from low to high, both included.
func (s *scheduleHost) span(low, high int) timeunit.Ticks { return timeunit.Ticks(s.pick(low, high)) }

// oneIn returns true with a probability of one in n.
func (s *scheduleHost) oneIn(n int) bool { return s.random.Intn(n) == 0 }

// quarters returns a random multiple of 1/4 from 0 to 1.
func (s *scheduleHost) quarters() float64 { return float64(s.pick(0, 4)) / 4 }

// either returns one of two values at random.
func (s *scheduleHost) either(a, b int) int { return []int{a, b}[s.random.Intn(2)] }
