package admission

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// recorder passes what a server tells its host on to another host and adds each of it to a history: a number that
// stands for the method, the host's mark of the request and all arguments. Floating-point figures are added as printed
// exactly, so the golden files hold for machines that round each product by itself (amd64).
type recorder struct {
	Host
	history *golden.History
}

func (r recorder) Run(w *Request) {
	r.history.Add(1, w.ID)
	r.Host.Run(w)
}

func (r recorder) ShareResult(w *Request) {
	r.history.Add(2, w.ID)
	r.Host.ShareResult(w)
}

func (r recorder) Reject(w *Request, stayAway timeunit.Ticks, nowhereElse bool) {
	r.history.Add(3, w.ID, int64(stayAway), nowhereElse)
	r.Host.Reject(w, stayAway, nowhereElse)
}

func (r recorder) Abort(w *Request) {
	r.history.Add(4, w.ID)
	r.Host.Abort(w)
}

func (r recorder) StopRun(w *Request) {
	r.history.Add(5, w.ID)
	r.Host.StopRun(w)
}

func (r recorder) StartCall(w *Request, until timeunit.Ticks) {
	r.history.Add(6, w.ID, int64(until))
	r.Host.StartCall(w, until)
}

func (r recorder) SkipCall(w *Request) {
	r.history.Add(7, w.ID)
	r.Host.SkipCall(w)
}

func (r recorder) KeepEntry(w *Request, span timeunit.Ticks) {
	r.history.Add(8, w.ID, int64(span))
	r.Host.KeepEntry(w, span)
}

func (r recorder) DropEntry(w *Request) {
	r.history.Add(9, w.ID)
	r.Host.DropEntry(w)
}

func (r recorder) ReportLoad(value float64) {
	r.history.Add(10, value)
	r.Host.ReportLoad(value)
}

func (r recorder) SetHealth(good, fromStore bool) {
	r.history.Add(11, good, fromStore)
	r.Host.SetHealth(good, fromStore)
}

func (r recorder) CloseIdleConnections(after timeunit.Ticks) {
	r.history.Add(12, int64(after))
	r.Host.CloseIdleConnections(after)
}

func (r recorder) SetTimer(after timeunit.Ticks) {
	r.history.Add(13, int64(after))
	r.Host.SetTimer(after)
}

func (r recorder) Release(w *Request) {
	r.history.Add(14, w.ID)
	r.Host.Release(w)
}

// books adds all figures that a server shows of itself.
func (r recorder) books(s *Server) {
	b := s.Stats()
	callsInFlight, waiting := s.DownstreamCalls()
	r.history.Add(20, b.Queued, b.Running, b.WaitingAtCalls, b.CallsInFlight, b.AbandonedCalls, b.Entries, b.Limit, b.DownstreamLimit, b.DownstreamCredit,
		b.RunnableRequests, int64(b.UnreadTime), int64(b.RoundTrip), int64(b.CallTime), int64(b.QuickCallTime), b.MemoryKB,
		s.VirtualTime(), s.IsWarmingUp(), callsInFlight, waiting)
}

// learnt adds what a server would hand over to its next life.
func (r recorder) learnt(l WarmStartState) {
	r.history.Add(21, l.Limit, l.QuickCallTimes)
	for i := range l.RunTimes {
		r.history.Add(l.RunTimes[i], l.QuietRunTimes[i])
	}
}

// scheduled is one request of a random schedule as its host sees it.
type scheduled struct {
	handle   *Request
	running  bool
	sharing  bool
	waiting  bool // at a call that is not made yet
	calling  bool
	answered bool
	stopped  bool
	began    timeunit.Ticks
	next     timeunit.Ticks // end of the run's present part, or of its call
	called   timeunit.Ticks
}

// schedule is a host that drives one server by random events in virtual time.
type schedule struct {
	chance     *rand.Rand
	record     recorder
	deployment Config
	server     *Server
	now, wake  timeunit.Ticks
	marks      uint64
	live       map[uint64]*scheduled
	order      []uint64
	remembered []*Request
}

func (s *schedule) pick(least, most int) int { return least + s.chance.Intn(most-least+1) }

func (s *schedule) span(least, most int) timeunit.Ticks { return timeunit.Ticks(s.pick(least, most)) }

func (s *schedule) oneIn(n int) bool { return s.chance.Intn(n) == 0 }

func (s *schedule) of(w *Request) *scheduled { return s.live[w.ID] }

func (s *schedule) begin(w *Request) {
	it := s.of(w)
	it.running, it.began = true, s.now
	it.next = s.now + s.span(1, 4000)
}

func (s *schedule) Run(w *Request) { s.begin(w) }

func (s *schedule) ShareResult(w *Request) {
	s.of(w).sharing = true
	s.begin(w)
}

func (s *schedule) Reject(*Request, timeunit.Ticks, bool) {}

func (s *schedule) Abort(w *Request)   { s.of(w).answered = true }
func (s *schedule) StopRun(w *Request) { s.of(w).stopped = true }

func (s *schedule) StartCall(w *Request, until timeunit.Ticks) {
	it := s.of(w)
	it.waiting, it.calling, it.called = false, true, s.now
	it.next = min(until, s.now+s.span(1, s.pick(1, 3000)))
}

func (s *schedule) SkipCall(w *Request) {
	it := s.of(w)
	it.waiting, it.calling = false, false
	it.next = s.now + s.span(1, 2000)
}

func (s *schedule) KeepEntry(w *Request, _ timeunit.Ticks) { s.remembered = append(s.remembered, w) }

func (s *schedule) DropEntry(w *Request) {
	s.remembered = slices.DeleteFunc(s.remembered, func(other *Request) bool { return other == w })
}

func (s *schedule) ReportLoad(float64)                  {}
func (s *schedule) SetHealth(_, _ bool)                 {}
func (s *schedule) CloseIdleConnections(timeunit.Ticks) {}
func (s *schedule) SetTimer(after timeunit.Ticks)       { s.wake = s.now + after }
func (s *schedule) Release(w *Request)                  { delete(s.live, w.ID) }
func (s *schedule) fraction() float64                   { return float64(s.pick(0, 4)) / 4 }
func (s *schedule) either(a, b int) int                 { return []int{a, b}[s.chance.Intn(2)] }

// settings draws a deployment in which every defence may have to act.
func (s *schedule) settings() Config {
	d := Config{Routers: s.either(s.pick(1, 9), 400), RetriesMarked: s.oneIn(2), Servers: s.pick(1, 60), Cores: s.pick(1, 6),
		MemoryKB: float64(s.either(s.pick(30, 300), 1_000_000)), RunMemoryFactor: float64(s.pick(1, 4)), EntryKB: float64(s.pick(0, 2)),
		MaxEntries: s.either(0, s.pick(1, 40)), BatchInterval: s.span(5, 30), DrainGrace: s.span(50, 3000), ResultTTL: s.span(0, 1) * s.span(1, 3000),
		StartsCold: s.oneIn(2), ColdSpeed: 0.2, WarmUpTime: s.span(100, 20_000), OverloadThreshold: float64(s.pick(2, 9)),
		SharedDependency: s.oneIn(2), DownstreamLimit: float64(s.pick(1, 60)) / 10, DownstreamWindow: s.span(5000, 50_000),
		TurnOffset: s.chance.Float64(), AbandonedCallTime: s.span(10, 1000), LoadReportMode: LoadReportMode(s.pick(0, 3)),
		MaxRetryAfter: s.span(0, 1) * 10_000, MaxIdleTime: s.span(0, 30_000), CanStopRuns: s.oneIn(2)}
	for range s.pick(1, 4) {
		contract := s.span(300, 6000)
		d.Categories = append(d.Categories, Category{Weight: float64(s.pick(1, 5)), LateValue: s.fraction() * 0.8,
			DegradedValue: s.fraction() * 0.7, SoftDeadline: contract, Deadline: contract * s.span(1, 3), DeduplicationWindow: s.span(0, 20_000),
			Idempotency: Idempotency(s.pick(0, 2))})
	}
	return d
}

// arrive hands the server one request with random properties, a repeat of a remembered one among others.
func (s *schedule) arrive() {
	s.marks++
	a := Arrival{Category: s.chance.Intn(len(s.deployment.Categories)), Router: s.chance.Intn(5), QueuedKB: float64(s.pick(0, 12)),
		IsRetry: s.oneIn(6), Cacheable: s.oneIn(2), ID: s.marks}
	category := s.deployment.Categories[a.Category]
	if s.oneIn(3) {
		a.UnreadTime = s.span(0, int(category.SoftDeadline))
	}
	if s.oneIn(2) {
		a.TimeLeft = max(1, category.Deadline-a.UnreadTime) // as first attempts mostly wait
		if s.oneIn(6) {
			a.TimeLeft = max(1, a.TimeLeft/s.span(1, 4))
		}
	}
	if s.oneIn(4) {
		a.StartTag = s.server.VirtualTime() + float64(s.pick(-3, 9))
		a.ExpectedDelay = s.span(0, 3000)
	}
	if len(s.remembered) > 0 && s.oneIn(3) {
		a.IsRepeat = true
		if !s.oneIn(4) {
			a.RepeatOf = s.remembered[s.chance.Intn(len(s.remembered))]
		}
	}
	it := &scheduled{}
	s.live[a.ID] = it
	s.order = append(s.order, a.ID)
	s.record.history.Add(30, a.Category, a.Router, a.QueuedKB, a.IsRetry, a.Cacheable, int64(a.UnreadTime), int64(a.TimeLeft), a.StartTag, int64(a.ExpectedDelay))
	it.handle = s.server.Enqueue(a)
}

// endCall ends the call of a request, well or not.
func (s *schedule) endCall(it *scheduled) {
	outcome := []Outcome{Succeeded, Succeeded, Succeeded, Succeeded, Failed, NotExecuted, Indeterminate}[s.chance.Intn(7)]
	it.calling, it.waiting = false, outcome != Succeeded
	it.next = s.now + s.span(1, 2000)
	it.handle.CallEnded(outcome, s.now-it.called)
}

// step plays what is due of one request.
func (s *schedule) step(it *scheduled) {
	switch {
	case s.oneIn(150):
		it.handle.Cancel()
	case !it.running:
	case it.waiting || it.calling && it.next > s.now:
		if it.answered && s.oneIn(3) {
			it.handle.RunEnded(Aborted, s.now-it.began)
		}
	case it.calling:
		s.endCall(it)
	case it.stopped:
		it.handle.RunEnded(Aborted, s.now-it.began)
	case it.next > s.now:
	case it.sharing: // it gets a result, or the host says that there is none
		it.handle.RunEnded([]Outcome{Succeeded, Failed}[s.chance.Intn(2)], s.now-it.began)
	case s.oneIn(2) && !s.oneIn(3):
		it.waiting = true
		it.handle.NeedsCall()
	default:
		outcome := []Outcome{Succeeded, Succeeded, Succeeded, Succeeded, Failed, Aborted, NeverStarted}[s.chance.Intn(7)]
		it.handle.RunEnded(outcome, s.now-it.began)
	}
}

// batch plays one batch of events and ends it.
func (s *schedule) batch(n, leaves int) {
	s.now += s.span(0, 1) * s.span(1, 400)
	s.record.history.Add(31, int64(s.now))
	s.server.Advance(s.now)
	woken := s.now >= s.wake
	for range s.pick(0, 3) * s.pick(0, 2) {
		s.arrive()
	}
	for _, mark := range s.order {
		if it := s.live[mark]; it != nil {
			s.step(it)
		}
	}
	if s.oneIn(40) {
		s.server.SetFleetSize(s.pick(0, 70))
	}
	if s.oneIn(40) {
		s.server.SetDownstreamLimit(float64(s.pick(0, 50)) / 10)
	}
	if s.oneIn(20) {
		s.server.ReserveMemory(float64(s.pick(0, 3)))
	}
	if n == leaves || n == leaves+5 {
		s.server.Drain(s.span(50, 8000))
	}
	if woken {
		s.wake = noDeadline
		s.server.OnTimer(Gauges{CoreUtilization: s.chance.Float64(), RunnableRequests: float64(s.pick(0, 3*s.deployment.Cores)), IsStale: s.oneIn(9)})
	}
	s.server.Dispatch()
	s.record.books(s.server)
	s.order = slices.DeleteFunc(s.order, func(mark uint64) bool { return s.live[mark] == nil })
}

// life plays one life of a server that may begin with what an earlier one learnt.
func (s *schedule) life(learnt *WarmStartState, batches, leaves int) WarmStartState {
	s.live, s.order, s.remembered, s.wake = map[uint64]*scheduled{}, nil, nil, noDeadline
	s.deployment.WarmStart = learnt
	s.server = New(s.deployment, s.record, s.now)
	for n := range batches {
		s.batch(n, leaves)
	}
	l := s.server.WarmStartState()
	s.record.learnt(l)
	return l
}

// randomSchedule plays two lives of a server; the second begins with what the first learnt.
func randomSchedule(seed int64, history *golden.History) {
	s := &schedule{chance: rand.New(rand.NewSource(seed))}
	s.record = recorder{s, history}
	s.deployment = s.settings()
	batches := 150
	if seed%40 == 0 { // long enough for histograms to fade
		batches = 2000
	}
	learnt := s.life(nil, batches, -1)
	s.life(&learnt, batches, batches-50)
}

// Decisions in random schedules, two lives of a server each, are those that were recorded. Any change of a decision,
// of an order of events or of the rounding of a figure moves a line.
func TestDecisionsOfRandomSchedulesAreAsRecorded(t *testing.T) {
	var lines strings.Builder
	for group := range 40 {
		history := golden.NewHistory()
		for seed := range 10 {
			randomSchedule(int64(group*10+seed), history)
		}
		fmt.Fprintf(&lines, "seeds %d to %d %s\n", group*10, group*10+9, history)
	}
	golden.Check(t, "random-schedules.txt", []byte(lines.String()))
}

// The same for the schedules of many servers with one dependency below (dependency_test.go).
func TestDecisionsOnSharedDependencyAreAsRecorded(t *testing.T) {
	var lines strings.Builder
	for _, servers := range []int{1, 8, 20} {
		for _, n := range []float64{3, 10, 40} {
			history := golden.NewHistory()
			for seed := range 4 {
				b := newBelow(int64(seed))
				b.history = history
				b.play(servers, n, seed%2 == 1)
				history.Add(b.most)
			}
			fmt.Fprintf(&lines, "servers=%d n=%.0f %s\n", servers, n, history)
		}
	}
	golden.Check(t, "shared-dependency.txt", []byte(lines.String()))
}

// The text that a stored hash of the settings is made of.
func TestStoredFormOfSettingsIsAsRecorded(t *testing.T) {
	var lines strings.Builder
	for seed := range int64(20) {
		s := &schedule{chance: rand.New(rand.NewSource(seed))}
		d := s.settings()
		lines.WriteString(d.StoredForm() + "\n")
	}
	golden.Check(t, "settings.txt", []byte(lines.String()))
}

// The keys under which warm-start figures are stored, and that they are read again.
func TestStoredFormOfLearntFiguresIsAsRecorded(t *testing.T) {
	l := WarmStartState{Limit: 3.5, RunTimes: [][]float64{{1, 2}, {3}}, QuietRunTimes: [][]float64{{4}, {5, 6}}, QuickCallTimes: []float64{7, 0.25}}
	text, err := json.Marshal(l)
	require.NoError(t, err)
	golden.Check(t, "learnt.json", text)
	var read WarmStartState
	require.NoError(t, json.Unmarshal(text, &read))
	require.Equal(t, l, read)
}
