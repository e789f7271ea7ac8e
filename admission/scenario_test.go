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

// Runs the scenarios in testdata line by line; testdata/README.md describes the notation.
func TestScenarios(t *testing.T) {
	for _, file := range scenariofile.Files(t) {
		t.Run(scenariofile.Name(file), func(t *testing.T) { playScenario(t, file) })
	}
}

var idempotencyByName = map[string]Idempotency{
	"idempotent": Idempotent, "keyed": Keyed, "non-idempotent": NonIdempotent,
}

var outcomeByName = map[string]Outcome{
	"succeeded": Succeeded, "failed": Failed, "not-executed": NotExecuted, "indeterminate": Indeterminate,
	"aborted": Aborted, "never-started": NeverStarted,
}

// scenario is the host of the server in a scenario and records the commands of the server.
type scenario struct {
	*require.Assertions
	server             *Server
	now                timeunit.Ticks
	config             Config
	requests           map[string]*Request
	names              map[uint64]string
	commands           []string // since the last check
	lastLoad           string
	timers             []timeunit.Ticks
	history            *golden.History
	isBatchOpen        bool // whether a batch is open
	areCommandsChecked bool // whether the commands of the last batch were checked
}

func playScenario(t *testing.T, file string) {
	t.Helper()
	s := &scenario{Assertions: require.New(t), requests: map[string]*Request{}, names: map[uint64]string{},
		history: golden.NewHistory(), areCommandsChecked: true}
	s.config = Config{Routers: 1, DownstreamWindow: 50000, Cores: 2, MemoryKB: 1e6, RunMemoryFactor: 4, EntryKB: 1,
		BatchInterval: 10, DrainGrace: 1000, OverloadThreshold: 8, MaxRetryAfter: 10000, LoadReportMode: ReportLimit}
	for _, step := range scenariofile.Steps(t, file) {
		s.playLine(step.Words, step.Where)
	}
	s.True(s.areCommandsChecked, "%s: no => line after the last batch", file)
	s.history.Check(t, "scenario-"+filepath.Base(file))
}

func (s *scenario) playLine(words []string, where string) {
	switch words[0] {
	case "=>": // closes the batch
		if s.isBatchOpen {
			s.server.Dispatch()
		}
		s.isBatchOpen = false
		s.areCommandsChecked = true
		s.Equal(strings.Join(words[1:], " "), strings.Join(s.commands, " "), where)
		s.commands = nil
	case "reported":
		s.Equal(words[1], s.lastLoad, where)
	case "at":
		s.True(s.areCommandsChecked, "no => line for the batch before %s", where)
		s.now = s.ticks(words[1], where)
		if s.server == nil {
			s.server = New(s.config, recorder{s, s.history}, s.now)
		}
		s.advance()
		s.isBatchOpen = true
		s.areCommandsChecked = false
		if len(words) > 2 { // the first event may be on the same line
			s.playEvent(words[2:], where)
		}
	case "until":
		s.True(s.areCommandsChecked, "no => line for the batch before %s", where)
		s.playTimers(s.ticks(words[1], where), s.fields(words[2:], where))
		s.areCommandsChecked = false
	default:
		s.playEvent(words, where)
	}
}

// advance starts a batch.
func (s *scenario) advance() {
	s.history.Add(int64(s.now))
	s.server.Advance(s.now)
}

// playTimers fires all timers that are due by end, with the given gauges or, if there are none, with busy cores.
func (s *scenario) playTimers(end timeunit.Ticks, gauges map[string]float64) {
	if len(gauges) == 0 {
		gauges = map[string]float64{"utilization": 1, "runnable": s.server.cores.coreCount}
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
		fields := s.fields(words[1:], where)
		s.server.OnTimer(Gauges{CoreUtilization: fields["utilization"], RunnableRequests: fields["runnable"],
			IsStale: fields["stale"] == 1})
	default:
		s.playRequestEvent(words, where)
	}
}

func (s *scenario) playRequestEvent(words []string, where string) {
	request := s.requests[words[1]]
	s.NotNil(request, where)
	switch words[0] {
	case "cancel":
		request.Cancel()
	case "needs-call":
		request.NeedsCall()
	case "call-ended":
		s.Contains(outcomeByName, words[2], where)
		request.CallEnded(outcomeByName[words[2]], s.ticks(words[3], where))
	case "run-ended":
		s.Contains(outcomeByName, words[2], where)
		request.RunEnded(outcomeByName[words[2]], s.ticks(words[3], where))
	default:
		s.Fail("unknown event", where)
	}
}

func (s *scenario) configure(words []string, where string) {
	config := &s.config
	s.set(words, where, map[string]func(float64){
		"cores":       setInt(&config.Cores),
		"memory-kb":   setFloat(&config.MemoryKB),
		"entry-kb":    setFloat(&config.EntryKB),
		"max-entries": setInt(&config.MaxEntries),
		"can-stop":    setBool(&config.CanStopRuns),
		"limit": func(v float64) {
			config.SharedDependency = true
			config.DownstreamLimit = v
		},
		"abandoned": setMilliseconds(&config.AbandonedCallTime),
		"cold-speed": func(v float64) {
			config.StartsCold = true
			config.ColdSpeed = v
		},
		"warm-up":        setMilliseconds(&config.WarmUpTime),
		"servers":        setInt(&config.Servers),
		"routers":        setInt(&config.Routers),
		"idle-time":      setMilliseconds(&config.MaxIdleTime),
		"report":         func(v float64) { config.LoadReportMode = LoadReportMode(v) },
		"result-ttl":     setMilliseconds(&config.ResultTTL),
		"retries-marked": setBool(&config.RetriesMarked),
		"overload":       setFloat(&config.OverloadThreshold),
	})
}

func setInt(field *int) func(float64)       { return func(v float64) { *field = int(v) } }
func setFloat(field *float64) func(float64) { return func(v float64) { *field = v } }
func setBool(field *bool) func(float64)     { return func(v float64) { *field = v == 1 } }

func setMilliseconds(field *timeunit.Ticks) func(float64) {
	return func(v float64) { *field = ticksOf(v) }
}

func ticksOf(milliseconds float64) timeunit.Ticks { return timeunit.Ticks(milliseconds * 10) }

func (s *scenario) addCategory(idempotency string, words []string, where string) {
	s.Contains(idempotencyByName, idempotency, where)
	fields := s.fields(words, where)
	s.config.Categories = append(s.config.Categories, Category{
		Weight:              fields["weight"],
		LateValue:           fields["late-value"],
		DegradedValue:       fields["degraded-value"],
		SoftDeadline:        ticksOf(fields["soft"]),
		Deadline:            ticksOf(fields["deadline"]),
		DeduplicationWindow: ticksOf(fields["window"]),
		Idempotency:         idempotencyByName[idempotency],
	})
}

// enqueue enqueues requests; the name a1-9 stands for nine requests, a1 to a9.
func (s *scenario) enqueue(name string, words []string, where string) {
	names := []string{name}
	if stem, last, isRange := strings.Cut(name, "1-"); isRange {
		count, err := strconv.Atoi(last)
		s.NoError(err, where)
		names = nil
		for i := range count {
			names = append(names, stem+strconv.Itoa(i+1))
		}
	}
	arrival := Arrival{QueuedKB: 1}
	var fields []string
	for _, word := range words {
		if earlier, isRepeat := strings.CutPrefix(word, "repeats="); isRepeat {
			arrival.IsRepeat = true
			arrival.RepeatOf = s.requests[earlier]
		} else {
			fields = append(fields, word)
		}
	}
	s.set(fields, where, map[string]func(float64){
		"category":       setInt(&arrival.Category),
		"time-left":      setMilliseconds(&arrival.TimeLeft),
		"router":         setInt(&arrival.Router),
		"unread":         setMilliseconds(&arrival.UnreadTime),
		"kb":             setFloat(&arrival.QueuedKB),
		"start-tag":      setFloat(&arrival.StartTag),
		"expected-delay": setMilliseconds(&arrival.ExpectedDelay),
		"retry":          setBool(&arrival.IsRetry),
		"cacheable":      setBool(&arrival.Cacheable),
	})
	for _, name := range names {
		arrival.ID = uint64(len(s.names) + 1)
		s.names[arrival.ID] = name
		s.requests[name] = s.server.Enqueue(arrival)
	}
}

func (s *scenario) ticks(text, where string) timeunit.Ticks {
	milliseconds, err := strconv.ParseFloat(text, 64)
	s.NoError(err, where)
	return ticksOf(milliseconds)
}

func (s *scenario) set(words []string, where string, setters map[string]func(float64)) {
	for key, value := range s.fields(words, where) {
		s.Contains(setters, key, where)
		setters[key](value)
	}
}

func (s *scenario) fields(words []string, where string) map[string]float64 {
	fields := map[string]float64{}
	for _, word := range words {
		key, text, _ := strings.Cut(word, "=")
		value, err := strconv.ParseFloat(text, 64)
		s.NoError(err, where)
		fields[key] = value
	}
	return fields
}

func (s *scenario) recordCommand(command string, r *Request) {
	s.commands = append(s.commands, command+":"+s.names[r.ID])
}

func (s *scenario) Run(r *Request)                         { s.recordCommand("run", r) }
func (s *scenario) ShareResult(r *Request)                 { s.recordCommand("share", r) }
func (s *scenario) Abort(r *Request)                       { s.recordCommand("abort", r) }
func (s *scenario) StopRun(r *Request)                     { s.recordCommand("stop", r) }
func (s *scenario) KeepEntry(r *Request, _ timeunit.Ticks) { s.recordCommand("keep", r) }
func (s *scenario) DropEntry(r *Request)                   { s.recordCommand("drop", r) }
func (s *scenario) SkipCall(r *Request)                    { s.recordCommand("skip", r) }
func (s *scenario) Release(*Request)                       {}

func (s *scenario) StartCall(r *Request, until timeunit.Ticks) {
	s.recordCommand("call", r)
	if until < r.valuableUntil() { // abandoned before the answer has lost its value
		s.commands[len(s.commands)-1] += fmt.Sprint("<", float64(until-s.now)/10)
	}
}

func (s *scenario) Reject(r *Request, _ timeunit.Ticks, finalRejection bool) {
	if finalRejection {
		s.recordCommand("reject-final", r)
	} else {
		s.recordCommand("reject", r)
	}
}

func (s *scenario) CloseIdleConnections(after timeunit.Ticks) {
	if after > 0 { // only for scenarios that set idle-time
		s.commands = append(s.commands, fmt.Sprint("close-idle:", int64(after/10)))
	}
}

func (s *scenario) SetHealth(healthy, _ bool) {
	if !healthy {
		s.commands = append(s.commands, "unhealthy")
	}
}

func (s *scenario) ReportLoad(value float64) { s.lastLoad = strconv.FormatFloat(value, 'f', -1, 64) }

func (s *scenario) SetTimer(after timeunit.Ticks) {
	s.timers = append(s.timers, s.now+after)
	sort.Slice(s.timers, func(i, j int) bool { return s.timers[i] < s.timers[j] })
}
