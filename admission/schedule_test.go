package admission

import (
	"math/rand"
	"slices"
	"testing"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// scheduledRequest is one request of a random schedule as the host sees it.
type scheduledRequest struct {
	handle        *Request
	isRunning     bool
	isSharing     bool
	needsCall     bool // waits for a call that is not started yet
	isCalling     bool
	isAnswered    bool
	isStopped     bool
	startedAt     timeunit.Ticks
	nextAt        timeunit.Ticks // when the current part of the run, or its call, ends
	callStartedAt timeunit.Ticks
}

// scheduleHost is a host that drives one server with random events in virtual time.
type scheduleHost struct {
	random      *rand.Rand
	recorder    recorder
	config      Config
	server      *Server
	now         timeunit.Ticks
	timer       timeunit.Ticks
	lastID      uint64
	active      map[uint64]*scheduledRequest
	activeIDs   []uint64
	entryOwners []*Request
}

// playRandomSchedule runs two incarnations of a server; the second starts with the warm-start state of the first.
func playRandomSchedule(_ *testing.T, seed int64, history *golden.History) {
	s := &scheduleHost{random: rand.New(rand.NewSource(seed))}
	s.recorder = recorder{s, history}
	s.config = s.randomConfig()
	batches := 150
	if seed%40 == 0 { // long enough for old samples to lose weight in histograms
		batches = 2000
	}
	state := s.playIncarnation(nil, batches, -1)
	s.playIncarnation(&state, batches, batches-50)
}

// playIncarnation runs the given number of batches, with a drain in batch drainBatch, and returns the server's
// warm-start state.
func (s *scheduleHost) playIncarnation(state *WarmStartState, batches, drainBatch int) WarmStartState {
	s.active = map[uint64]*scheduledRequest{}
	s.activeIDs = nil
	s.entryOwners = nil
	s.timer = noDeadline
	s.config.WarmStart = state
	s.server = New(s.config, s.recorder, s.now)
	for batch := range batches {
		s.playBatch(batch, drainBatch)
	}
	last := s.server.WarmStartState()
	s.recorder.addWarmStart(last)
	return last
}

// playBatch runs one batch of events and dispatches it.
func (s *scheduleHost) playBatch(batch, drainBatch int) {
	s.now += s.ticks(0, 1) * s.ticks(1, 400)
	s.recorder.history.Add(31, int64(s.now))
	s.server.Advance(s.now)
	timerIsDue := s.now >= s.timer
	for range s.pick(0, 3) * s.pick(0, 2) {
		s.enqueue()
	}
	for _, id := range s.activeIDs {
		if current := s.active[id]; current != nil {
			s.step(current)
		}
	}
	s.reconfigure()
	if batch == drainBatch || batch == drainBatch+5 {
		s.server.Drain(s.ticks(50, 8000))
	}
	if timerIsDue {
		s.timer = noDeadline
		s.server.OnTimer(Gauges{CoreUtilization: s.random.Float64(),
			RunnableRequests: float64(s.pick(0, 3*s.config.Cores)), IsStale: s.oneIn(9)})
	}
	s.server.Dispatch()
	s.recorder.addStats(s.server)
	s.activeIDs = slices.DeleteFunc(s.activeIDs, func(id uint64) bool { return s.active[id] == nil })
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
	config := Config{Routers: s.randomOf(s.pick(1, 9), 400), RetriesMarked: s.oneIn(2),
		Servers: s.pick(1, 60), Cores: s.pick(1, 6), MemoryKB: float64(s.randomOf(s.pick(30, 300), 1_000_000)),
		RunMemoryFactor: float64(s.pick(1, 4)), EntryKB: float64(s.pick(0, 2)),
		MaxEntries:    s.randomOf(0, s.pick(1, 40)),
		BatchInterval: s.ticks(5, 30), DrainGrace: s.ticks(50, 3000),
		ResultTTL:  s.ticks(0, 1) * s.ticks(1, 3000),
		StartsCold: s.oneIn(2), ColdSpeed: 0.2, WarmUpTime: s.ticks(100, 20_000),
		OverloadThreshold: float64(s.pick(2, 9)), SharedDependency: s.oneIn(2),
		DownstreamLimit: float64(s.pick(1, 60)) / 10, DownstreamWindow: s.ticks(5000, 50_000),
		TurnOffset: s.random.Float64(), AbandonedCallTime: s.ticks(10, 1000),
		LoadReportMode: LoadReportMode(s.pick(0, 3)), MaxRetryAfter: s.ticks(0, 1) * 10_000,
		MaxIdleTime: s.ticks(0, 30_000), CanStopRuns: s.oneIn(2)}
	for range s.pick(1, 4) {
		softDeadline := s.ticks(300, 6000)
		config.Categories = append(config.Categories, Category{Weight: float64(s.pick(1, 5)),
			LateValue: s.randomQuarter() * 0.8, DegradedValue: s.randomQuarter() * 0.7, SoftDeadline: softDeadline,
			Deadline: softDeadline * s.ticks(1, 3), DeduplicationWindow: s.ticks(0, 20_000),
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
		arrival.UnreadTime = s.ticks(0, int(category.SoftDeadline))
	}
	if s.oneIn(2) {
		arrival.TimeLeft = max(1, category.Deadline-arrival.UnreadTime) // the time left of most first attempts
		if s.oneIn(6) {
			arrival.TimeLeft = max(1, arrival.TimeLeft/s.ticks(1, 4))
		}
	}
	if s.oneIn(4) {
		arrival.StartTag = s.server.VirtualTime() + float64(s.pick(-3, 9))
		arrival.ExpectedDelay = s.ticks(0, 3000)
	}
	if len(s.entryOwners) > 0 && s.oneIn(3) {
		arrival.IsRepeat = true
		if !s.oneIn(4) {
			arrival.RepeatOf = s.entryOwners[s.random.Intn(len(s.entryOwners))]
		}
	}
	current := &scheduledRequest{}
	s.active[arrival.ID] = current
	s.activeIDs = append(s.activeIDs, arrival.ID)
	s.recorder.history.Add(30, arrival.Category, arrival.Router, arrival.QueuedKB, arrival.IsRetry, arrival.Cacheable,
		int64(arrival.UnreadTime), int64(arrival.TimeLeft), arrival.StartTag, int64(arrival.ExpectedDelay))
	current.handle = s.server.Enqueue(arrival)
}

// step performs the next event of one request if it is due.
func (s *scheduleHost) step(current *scheduledRequest) {
	switch {
	case s.oneIn(150):
		current.handle.Cancel()
	case !current.isRunning:
	case current.needsCall || current.isCalling && current.nextAt > s.now:
		if current.isAnswered && s.oneIn(3) {
			current.handle.RunEnded(Aborted, s.now-current.startedAt)
		}
	case current.isCalling:
		s.endCall(current)
	case current.isStopped:
		current.handle.RunEnded(Aborted, s.now-current.startedAt)
	case current.nextAt > s.now:
	case current.isSharing: // it receives a result, or the host reports that there is none
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
func (s *scheduleHost) endCall(current *scheduledRequest) {
	outcomes := []Outcome{Succeeded, Succeeded, Succeeded, Succeeded, Failed, NotExecuted, Indeterminate}
	outcome := outcomes[s.random.Intn(len(outcomes))]
	current.isCalling = false
	current.needsCall = outcome != Succeeded
	current.nextAt = s.now + s.ticks(1, 2000)
	current.handle.CallEnded(outcome, s.now-current.callStartedAt)
}

// start marks a request as running or sharing and draws the time of its next event.
func (s *scheduleHost) start(r *Request) {
	current := s.stateOf(r)
	current.isRunning = true
	current.startedAt = s.now
	current.nextAt = s.now + s.ticks(1, 4000)
}

func (s *scheduleHost) Run(r *Request) { s.start(r) }

func (s *scheduleHost) ShareResult(r *Request) {
	s.stateOf(r).isSharing = true
	s.start(r)
}

func (s *scheduleHost) StartCall(r *Request, until timeunit.Ticks) {
	current := s.stateOf(r)
	current.needsCall = false
	current.isCalling = true
	current.callStartedAt = s.now
	current.nextAt = min(until, s.now+s.ticks(1, s.pick(1, 3000)))
}

func (s *scheduleHost) SkipCall(r *Request) {
	current := s.stateOf(r)
	current.needsCall = false
	current.isCalling = false
	current.nextAt = s.now + s.ticks(1, 2000)
}

func (s *scheduleHost) DropEntry(r *Request) {
	s.entryOwners = slices.DeleteFunc(s.entryOwners, func(other *Request) bool { return other == r })
}

func (s *scheduleHost) Abort(r *Request)   { s.stateOf(r).isAnswered = true }
func (s *scheduleHost) StopRun(r *Request) { s.stateOf(r).isStopped = true }
func (s *scheduleHost) KeepEntry(r *Request, _ timeunit.Ticks) {
	s.entryOwners = append(s.entryOwners, r)
}
func (s *scheduleHost) SetTimer(after timeunit.Ticks) { s.timer = s.now + after }
func (s *scheduleHost) Release(r *Request)            { delete(s.active, r.ID) }

func (*scheduleHost) Reject(*Request, timeunit.Ticks, bool) {}
func (*scheduleHost) ReportLoad(float64)                    {}
func (*scheduleHost) SetHealth(_, _ bool)                   {}
func (*scheduleHost) CloseIdleConnections(timeunit.Ticks)   {}

func (s *scheduleHost) stateOf(r *Request) *scheduledRequest { return s.active[r.ID] }

// pick returns a random integer from low to high, both included.
func (s *scheduleHost) pick(low, high int) int { return low + s.random.Intn(high-low+1) }

// ticks returns a random time from low to high, both included.
func (s *scheduleHost) ticks(low, high int) timeunit.Ticks { return timeunit.Ticks(s.pick(low, high)) }

// oneIn returns true with a probability of one in n.
func (s *scheduleHost) oneIn(n int) bool { return s.random.Intn(n) == 0 }

// randomQuarter returns a random multiple of 1/4 from 0 to 1.
func (s *scheduleHost) randomQuarter() float64 { return float64(s.pick(0, 4)) / 4 }

// randomOf returns one of two values at random.
func (s *scheduleHost) randomOf(a, b int) int { return []int{a, b}[s.random.Intn(2)] }
