package admission

import (
	"fmt"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	scenariofile "thistlequay/internal/scenario"
	"thistlequay/timeunit"
)

// A scenario in testdata is played line by line; README.md there has the notation.
func TestScenarios(t *testing.T) {
	for _, file := range scenariofile.Files(t) {
		t.Run(scenariofile.Name(file), func(t *testing.T) { playScenario(t, file) })
	}
}

var idempotencyWords = map[string]Idempotency{
	"idempotent": Idempotent, "keyed": Keyed, "non-idempotent": NonIdempotent,
}

var outcomeWords = map[string]Outcome{
	"succeeded": Succeeded, "failed": Failed, "not-executed": NotExecuted, "indeterminate": Indeterminate,
	"aborted": Aborted, "never-started": NeverStarted,
}

// scenario is the host that a scenario's server talks to: it notes what it is told to do.
type scenario struct {
	*require.Assertions
	server   *Server
	now      timeunit.Ticks
	config   Config
	requests map[string]*Request
	names    map[uint64]string
	done     []string // since the last check
	reported string
	timers   []timeunit.Ticks
	history  *golden.History
	open     bool // a batch is open
	checked  bool // what the last batch did was checked
}

func playScenario(t *testing.T, file string) {
	s := &scenario{Assertions: require.New(t), requests: map[string]*Request{}, names: map[uint64]string{},
		history: golden.NewHistory(), checked: true}
	s.config = Config{Routers: 1, DownstreamWindow: 50000, Cores: 2, MemoryKB: 1e6, RunMemoryFactor: 4, EntryKB: 1,
		BatchInterval: 10, DrainGrace: 1000, OverloadThreshold: 8, MaxRetryAfter: 10000, LoadReportMode: ReportLimit}
	for _, step := range scenariofile.Steps(t, file) {
		s.playLine(step.Words, step.Where)
	}
	s.True(s.checked, "%s ends without =>", file)
	golden.Check(t, "scenario-"+filepath.Base(file), []byte(s.history.String()+"\n"))
}

func (s *scenario) playLine(words []string, where string) {
	switch words[0] {
	case "=>": // closes the batch
		if s.open {
			s.server.Dispatch()
		}
		s.open = false
		s.checked = true
		s.Equal(strings.Join(words[1:], " "), strings.Join(s.done, " "), where)
		s.done = nil
	case "reported":
		s.Equal(words[1], s.reported, where)
	case "at":
		s.True(s.checked, "no => before %s", where)
		s.now = s.ticks(words[1], where)
		if s.server == nil {
			s.server = New(s.config, recorder{s, s.history}, s.now)
		}
		s.advance()
		s.open = true
		s.checked = false
		if len(words) > 2 { // the first event may stand on the same line
			s.playEvent(words[2:], where)
		}
	case "until":
		s.True(s.checked, "no => before %s", where)
		s.playTimers(s.ticks(words[1], where), s.fields(words[2:], where))
		s.checked = false
	default:
		s.playEvent(words, where)
	}
}

// advance opens a batch.
func (s *scenario) advance() {
	s.history.Add(int64(s.now))
	s.server.Advance(s.now)
}

// playTimers plays all timers that are due by then, with the gauges given or else busy cores without excess.
func (s *scenario) playTimers(end timeunit.Ticks, gauges map[string]float64) {
	if len(gauges) == 0 {
		gauges = map[string]float64{"utilization": 1, "runnable": s.server.cores.cores}
	}
	for len(s.timers) > 0 && s.timers[0] <= end {
		s.now = s.timers[0]
		s.timers = s.timers[1:]
		s.advance()
		s.server.OnTimer(Gauges{CoreUtilization: gauges["utilization"], RunnableRequests: gauges["runnable"]})
		s.server.Dispatch()
	}
	s.now = end
}

func (s *scenario) playEvent(words []string, where string) {
	switch words[0] {
	case "server":
		s.configure(words[1:], where)
	case "category":
		s.addCategory(words[1], words[2:], where)
	case "enqueue":
		s.enqueue(words[1], words[2:], where)
	case "drain":
		s.server.Drain(s.ticks(words[1], where))
	case "timer":
		f := s.fields(words[1:], where)
		s.server.OnTimer(Gauges{CoreUtilization: f["utilization"], RunnableRequests: f["runnable"],
			IsStale: f["stale"] == 1})
	default:
		s.playRequestEvent(words, where)
	}
}

func (s *scenario) playRequestEvent(words []string, where string) {
	r := s.requests[words[1]]
	s.NotNil(r, where)
	switch words[0] {
	case "cancel":
		r.Cancel()
	case "needs-call":
		r.NeedsCall()
	case "call-ended":
		s.Contains(outcomeWords, words[2], where)
		r.CallEnded(outcomeWords[words[2]], s.ticks(words[3], where))
	case "run-ended":
		s.Contains(outcomeWords, words[2], where)
		r.RunEnded(outcomeWords[words[2]], s.ticks(words[3], where))
	default:
		s.Fail("unknown line", where)
	}
}

func (s *scenario) configure(words []string, where string) {
	c := &s.config
	s.set(words, where, map[string]func(float64){
		"cores":          func(v float64) { c.Cores = int(v) },
		"memory-kb":      func(v float64) { c.MemoryKB = v },
		"entry-kb":       func(v float64) { c.EntryKB = v },
		"max-entries":    func(v float64) { c.MaxEntries = int(v) },
		"can-stop":       func(v float64) { c.CanStopRuns = v == 1 },
		"limit":          func(v float64) { c.SharedDependency, c.DownstreamLimit = true, v },
		"abandoned":      func(v float64) { c.AbandonedCallTime = timeunit.Ticks(v * 10) },
		"cold-speed":     func(v float64) { c.StartsCold, c.ColdSpeed = true, v },
		"warm-up":        func(v float64) { c.WarmUpTime = timeunit.Ticks(v * 10) },
		"servers":        func(v float64) { c.Servers = int(v) },
		"routers":        func(v float64) { c.Routers = int(v) },
		"idle-time":      func(v float64) { c.MaxIdleTime = timeunit.Ticks(v * 10) },
		"report":         func(v float64) { c.LoadReportMode = LoadReportMode(v) },
		"result-ttl":     func(v float64) { c.ResultTTL = timeunit.Ticks(v * 10) },
		"retries-marked": func(v float64) { c.RetriesMarked = v == 1 },
		"overload":       func(v float64) { c.OverloadThreshold = v },
	})
}

func (s *scenario) addCategory(idempotency string, words []string, where string) {
	s.Contains(idempotencyWords, idempotency, where)
	f := s.fields(words, where)
	s.config.Categories = append(s.config.Categories, Category{Weight: f["weight"], LateValue: f["late-value"],
		DegradedValue: f["degraded-value"], SoftDeadline: timeunit.Ticks(f["soft"] * 10),
		Deadline: timeunit.Ticks(f["deadline"] * 10), DeduplicationWindow: timeunit.Ticks(f["window"] * 10),
		Idempotency: idempotencyWords[idempotency]})
}

// enqueue enqueues requests; several names may be given as a1-9.
func (s *scenario) enqueue(name string, words []string, where string) {
	names := []string{name}
	if stem, last, isRange := strings.Cut(name, "1-"); isRange {
		n, err := strconv.Atoi(last)
		s.NoError(err, where)
		names = nil
		for i := 1; i <= n; i++ {
			names = append(names, stem+strconv.Itoa(i))
		}
	}
	a := Arrival{QueuedKB: 1}
	var fields []string
	for _, word := range words {
		if earlier, isRepeat := strings.CutPrefix(word, "repeats="); isRepeat {
			a.IsRepeat = true
			a.RepeatOf = s.requests[earlier]
		} else {
			fields = append(fields, word)
		}
	}
	s.set(fields, where, map[string]func(float64){
		"category":       func(v float64) { a.Category = int(v) },
		"time-left":      func(v float64) { a.TimeLeft = timeunit.Ticks(v * 10) },
		"router":         func(v float64) { a.Router = int(v) },
		"unread":         func(v float64) { a.UnreadTime = timeunit.Ticks(v * 10) },
		"kb":             func(v float64) { a.QueuedKB = v },
		"start-tag":      func(v float64) { a.StartTag = v },
		"expected-delay": func(v float64) { a.ExpectedDelay = timeunit.Ticks(v * 10) },
		"retry":          func(v float64) { a.IsRetry = v == 1 },
		"cacheable":      func(v float64) { a.Cacheable = v == 1 },
	})
	for _, name := range names {
		a.ID = uint64(len(s.names) + 1)
		s.names[a.ID] = name
		s.requests[name] = s.server.Enqueue(a)
	}
}

func (s *scenario) ticks(ms, where string) timeunit.Ticks {
	v, err := strconv.ParseFloat(ms, 64)
	s.NoError(err, where)
	return timeunit.Ticks(v * 10)
}

func (s *scenario) set(words []string, where string, setters map[string]func(float64)) {
	for key, v := range s.fields(words, where) {
		s.Contains(setters, key, where)
		setters[key](v)
	}
}

func (s *scenario) fields(words []string, where string) map[string]float64 {
	f := map[string]float64{}
	for _, word := range words {
		key, text, _ := strings.Cut(word, "=")
		v, err := strconv.ParseFloat(text, 64)
		s.NoError(err, where)
		f[key] = v
	}
	return f
}

func (s *scenario) note(what string, r *Request) { s.done = append(s.done, what+":"+s.names[r.ID]) }

func (s *scenario) Run(r *Request)                         { s.note("run", r) }
func (s *scenario) ShareResult(r *Request)                 { s.note("share", r) }
func (s *scenario) Abort(r *Request)                       { s.note("abort", r) }
func (s *scenario) StopRun(r *Request)                     { s.note("stop", r) }
func (s *scenario) KeepEntry(r *Request, _ timeunit.Ticks) { s.note("keep", r) }
func (s *scenario) DropEntry(r *Request)                   { s.note("drop", r) }
func (s *scenario) SkipCall(r *Request)                    { s.note("skip", r) }
func (s *scenario) Release(*Request)                       {}

func (s *scenario) StartCall(r *Request, until timeunit.Ticks) {
	s.note("call", r)
	if until < r.valuableUntil() { // it is given up before its answer is worth nothing
		s.done[len(s.done)-1] += fmt.Sprint("<", float64(until-s.now)/10)
	}
}

func (s *scenario) Reject(r *Request, _ timeunit.Ticks, finalRejection bool) {
	if finalRejection {
		s.note("reject-final", r)
	} else {
		s.note("reject", r)
	}
}

func (s *scenario) CloseIdleConnections(after timeunit.Ticks) {
	if after > 0 { // told in this scenario
		s.done = append(s.done, fmt.Sprint("close-idle:", int64(after/10)))
	}
}

func (s *scenario) SetHealth(healthy, _ bool) {
	if !healthy {
		s.done = append(s.done, "unhealthy")
	}
}

func (s *scenario) ReportLoad(value float64) { s.reported = strconv.FormatFloat(value, 'f', -1, 64) }

func (s *scenario) SetTimer(after timeunit.Ticks) {
	s.timers = append(s.timers, s.now+after)
	sort.Slice(s.timers, func(i, j int) bool { return s.timers[i] < s.timers[j] })
}
