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

func (r recorder) Run(w *WorkItem) {
	r.history.Add(1, w.Door)
	r.Host.Run(w)
}

func (r recorder) Share(w *WorkItem) {
	r.history.Add(2, w.Door)
	r.Host.Share(w)
}

func (r recorder) Decline(w *WorkItem, stayAway timeunit.Ticks, nowhereElse bool) {
	r.history.Add(3, w.Door, int64(stayAway), nowhereElse)
	r.Host.Decline(w, stayAway, nowhereElse)
}

func (r recorder) BreakOff(w *WorkItem) {
	r.history.Add(4, w.Door)
	r.Host.BreakOff(w)
}

func (r recorder) Stop(w *WorkItem) {
	r.history.Add(5, w.Door)
	r.Host.Stop(w)
}

func (r recorder) Call(w *WorkItem, until timeunit.Ticks) {
	r.history.Add(6, w.Door, int64(until))
	r.Host.Call(w, until)
}

func (r recorder) Skip(w *WorkItem) {
	r.history.Add(7, w.Door)
	r.Host.Skip(w)
}

func (r recorder) Remember(w *WorkItem, span timeunit.Ticks) {
	r.history.Add(8, w.Door, int64(span))
	r.Host.Remember(w, span)
}

func (r recorder) Forget(w *WorkItem) {
	r.history.Add(9, w.Door)
	r.Host.Forget(w)
}

func (r recorder) Say(value float64) {
	r.history.Add(10, value)
	r.Host.Say(value)
}

func (r recorder) Health(good, fromStore bool) {
	r.history.Add(11, good, fromStore)
	r.Host.Health(good, fromStore)
}

func (r recorder) CloseIdle(after timeunit.Ticks) {
	r.history.Add(12, int64(after))
	r.Host.CloseIdle(after)
}

func (r recorder) Wake(after timeunit.Ticks) {
	r.history.Add(13, int64(after))
	r.Host.Wake(after)
}

func (r recorder) Over(w *WorkItem) {
	r.history.Add(14, w.Door)
	r.Host.Over(w)
}

// books adds all figures that a server shows of itself.
func (r recorder) books(s *Server) {
	b := s.Books()
	callsInFlight, waiting := s.Calls()
	r.history.Add(20, b.Held, b.Running, b.AtCalls, b.Calling, b.Lingering, b.Entries, b.Pool, b.CallsAllowed, b.CallsLeft,
		b.OnCores, int64(b.Unread), int64(b.Trip), int64(b.CallsLately), int64(b.CallsQuick), b.MemoryKb,
		s.Turn(), s.IsCold(), callsInFlight, waiting)
}

// learnt adds what a server would hand over to its next life.
func (r recorder) learnt(l Learnt) {
	r.history.Add(21, l.Pool, l.Quick)
	for i := range l.Runs {
		r.history.Add(l.Runs[i], l.Quiet[i])
	}
}

// scheduled is one request of a random schedule as its host sees it.
type scheduled struct {
	handle   *WorkItem
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
	deployment Deployment
	server     *Server
	now, wake  timeunit.Ticks
	marks      uint64
	live       map[uint64]*scheduled
	order      []uint64
	remembered []*WorkItem
}

func (s *schedule) pick(least, most int) int { return least + s.chance.Intn(most-least+1) }

func (s *schedule) span(least, most int) timeunit.Ticks { return timeunit.Ticks(s.pick(least, most)) }

func (s *schedule) oneIn(n int) bool { return s.chance.Intn(n) == 0 }

func (s *schedule) of(w *WorkItem) *scheduled { return s.live[w.Door] }

func (s *schedule) begin(w *WorkItem) {
	it := s.of(w)
	it.running, it.began = true, s.now
	it.next = s.now + s.span(1, 4000)
}

func (s *schedule) Run(w *WorkItem) { s.begin(w) }

func (s *schedule) Share(w *WorkItem) {
	s.of(w).sharing = true
	s.begin(w)
}

func (s *schedule) Decline(*WorkItem, timeunit.Ticks, bool) {}

func (s *schedule) BreakOff(w *WorkItem) { s.of(w).answered = true }
func (s *schedule) Stop(w *WorkItem)     { s.of(w).stopped = true }

func (s *schedule) Call(w *WorkItem, until timeunit.Ticks) {
	it := s.of(w)
	it.waiting, it.calling, it.called = false, true, s.now
	it.next = min(until, s.now+s.span(1, s.pick(1, 3000)))
}

func (s *schedule) Skip(w *WorkItem) {
	it := s.of(w)
	it.waiting, it.calling = false, false
	it.next = s.now + s.span(1, 2000)
}

func (s *schedule) Remember(w *WorkItem, _ timeunit.Ticks) { s.remembered = append(s.remembered, w) }

func (s *schedule) Forget(w *WorkItem) {
	s.remembered = slices.DeleteFunc(s.remembered, func(other *WorkItem) bool { return other == w })
}

func (s *schedule) Say(float64)               {}
func (s *schedule) Health(_, _ bool)          {}
func (s *schedule) CloseIdle(timeunit.Ticks)  {}
func (s *schedule) Wake(after timeunit.Ticks) { s.wake = s.now + after }
func (s *schedule) Over(w *WorkItem)          { delete(s.live, w.Door) }
func (s *schedule) fraction() float64         { return float64(s.pick(0, 4)) / 4 }
func (s *schedule) either(a, b int) int       { return []int{a, b}[s.chance.Intn(2)] }

// settings draws a deployment in which every defence may have to act.
func (s *schedule) settings() Deployment {
	d := Deployment{Callers: s.either(s.pick(1, 9), 400), Marked: s.oneIn(2), Servers: s.pick(1, 60), Cores: s.pick(1, 6),
		Memory: float64(s.either(s.pick(30, 300), 1_000_000)), RunFactor: float64(s.pick(1, 4)), EntryKb: float64(s.pick(0, 2)),
		Entries: s.either(0, s.pick(1, 40)), Period: s.span(5, 30), Grace: s.span(50, 3000), Fresh: s.span(0, 1) * s.span(1, 3000),
		Cold: s.oneIn(2), ColdFrom: 0.2, ColdFor: s.span(100, 20_000), Crowd: float64(s.pick(2, 9)),
		SharedBelow: s.oneIn(2), CallShare: float64(s.pick(1, 60)) / 10, CallsOver: s.span(5000, 50_000),
		Spread: s.chance.Float64(), Linger: s.span(10, 1000), Tongue: Tongue(s.pick(0, 3)),
		MaxAway: s.span(0, 1) * 10_000, IdleMost: s.span(0, 30_000), Stops: s.oneIn(2)}
	for range s.pick(1, 4) {
		contract := s.span(300, 6000)
		d.Categories = append(d.Categories, Category{Gain: float64(s.pick(1, 5)), LateShare: s.fraction() * 0.8,
			Poorer: s.fraction() * 0.7, Contract: contract, Expiry: contract * s.span(1, 3), Window: s.span(0, 20_000),
			Effect: Effect(s.pick(0, 2))})
	}
	return d
}

// arrive hands the server one request with random properties, a repeat of a remembered one among others.
func (s *schedule) arrive() {
	s.marks++
	a := Arrival{Category: s.chance.Intn(len(s.deployment.Categories)), Caller: s.chance.Intn(5), HeldKb: float64(s.pick(0, 12)),
		Again: s.oneIn(6), Reads: s.oneIn(2), Door: s.marks}
	category := s.deployment.Categories[a.Category]
	if s.oneIn(3) {
		a.Unread = s.span(0, int(category.Contract))
	}
	if s.oneIn(2) {
		a.Left = max(1, category.Expiry-a.Unread) // as first attempts mostly wait
		if s.oneIn(6) {
			a.Left = max(1, a.Left/s.span(1, 4))
		}
	}
	if s.oneIn(4) {
		a.Turn = s.server.Turn() + float64(s.pick(-3, 9))
		a.Behind = s.span(0, 3000)
	}
	if len(s.remembered) > 0 && s.oneIn(3) {
		a.Repeats = true
		if !s.oneIn(4) {
			a.Earlier = s.remembered[s.chance.Intn(len(s.remembered))]
		}
	}
	it := &scheduled{}
	s.live[a.Door] = it
	s.order = append(s.order, a.Door)
	s.record.history.Add(30, a.Category, a.Caller, a.HeldKb, a.Again, a.Reads, int64(a.Unread), int64(a.Left), a.Turn, int64(a.Behind))
	it.handle = s.server.Take(a)
}

// endCall ends the call of a request, well or not.
func (s *schedule) endCall(it *scheduled) {
	outcome := []Outcome{Well, Well, Well, Well, Badly, Unseen, Unknown}[s.chance.Intn(7)]
	it.calling, it.waiting = false, outcome != Well
	it.next = s.now + s.span(1, 2000)
	it.handle.CallEnded(outcome, s.now-it.called)
}

// step plays what is due of one request.
func (s *schedule) step(it *scheduled) {
	switch {
	case s.oneIn(150):
		it.handle.Gone()
	case !it.running:
	case it.waiting || it.calling && it.next > s.now:
		if it.answered && s.oneIn(3) {
			it.handle.RunEnded(Cut, s.now-it.began)
		}
	case it.calling:
		s.endCall(it)
	case it.stopped:
		it.handle.RunEnded(Cut, s.now-it.began)
	case it.next > s.now:
	case it.sharing: // it gets a result, or the host says that there is none
		it.handle.RunEnded([]Outcome{Well, Badly}[s.chance.Intn(2)], s.now-it.began)
	case s.oneIn(2) && !s.oneIn(3):
		it.waiting = true
		it.handle.AtCall()
	default:
		outcome := []Outcome{Well, Well, Well, Well, Badly, Cut, NeverBegun}[s.chance.Intn(7)]
		it.handle.RunEnded(outcome, s.now-it.began)
	}
}

// batch plays one batch of events and ends it.
func (s *schedule) batch(n, leaves int) {
	s.now += s.span(0, 1) * s.span(1, 400)
	s.record.history.Add(31, int64(s.now))
	s.server.At(s.now)
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
		s.server.Fleet(s.pick(0, 70))
	}
	if s.oneIn(40) {
		s.server.CallShare(float64(s.pick(0, 50)) / 10)
	}
	if s.oneIn(20) {
		s.server.Beside(float64(s.pick(0, 3)))
	}
	if n == leaves || n == leaves+5 {
		s.server.Leave(s.span(50, 8000))
	}
	if woken {
		s.wake = forever
		s.server.Woken(Gauges{CoreUse: s.chance.Float64(), OnCores: float64(s.pick(0, 3*s.deployment.Cores)), Stale: s.oneIn(9)})
	}
	s.server.Decide()
	s.record.books(s.server)
	s.order = slices.DeleteFunc(s.order, func(mark uint64) bool { return s.live[mark] == nil })
}

// life plays one life of a server that may begin with what an earlier one learnt.
func (s *schedule) life(learnt *Learnt, batches, leaves int) Learnt {
	s.live, s.order, s.remembered, s.wake = map[uint64]*scheduled{}, nil, nil, forever
	s.deployment.Learnt = learnt
	s.server = New(s.deployment, s.record, s.now)
	for n := range batches {
		s.batch(n, leaves)
	}
	l := s.server.Learnt()
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

// The same for the schedules of many servers with one dependency below (sum_test.go).
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
	l := Learnt{Pool: 3.5, Runs: [][]float64{{1, 2}, {3}}, Quiet: [][]float64{{4}, {5, 6}}, Quick: []float64{7, 0.25}}
	text, err := json.Marshal(l)
	require.NoError(t, err)
	golden.Check(t, "learnt.json", text)
	var read Learnt
	require.NoError(t, json.Unmarshal(text, &read))
	require.Equal(t, l, read)
}
