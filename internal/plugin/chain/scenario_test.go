package chain

import (
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	scenariofile "thistlequay/internal/scenario"
	"thistlequay/timeunit"
)

// Names of faults and states in the scenario files.
var (
	scenarioFaultNames = [...]string{
		FaultTimeout:      "timeout",
		FaultTrap:         "trap",
		FaultMalformed:    "malformed",
		FaultNotPermitted: "not-permitted",
		FaultProcessDied:  "process-died",
		FaultUnavailable:  "unavailable",
	}
	stateNames = [...]string{StateActive: "active", StateQuarantined: "quarantined", StateProbation: "probation"}
)

// scenarioCategoryCount is the number of categories in a scenario.
const scenarioCategoryCount = 3

// TestScenarios runs each scenario file in testdata, line by line. testdata/README.md describes the notation.
func TestScenarios(t *testing.T) {
	golden.CheckScenarios(t, "scenarios.txt", runScenario)
}

// scenario is the state of a running scenario.
type scenario struct {
	*require.Assertions
	pendingPolicies []Policy // policies of the plug-ins declared for the next chain
	chain           *Chain
	evaluations     map[string]*Evaluation
	now             timeunit.Ticks
	history         *golden.History
	location        string // location of the current line, for failure messages
}

func runScenario(t *testing.T, file string, history *golden.History) {
	t.Helper()
	s := &scenario{Assertions: require.New(t), evaluations: map[string]*Evaluation{}, history: history}
	for _, step := range scenariofile.Steps(t, file) {
		s.location = step.Where
		s.runStep(step.Words)
	}
}

// parseNumber parses a number.
func (s *scenario) parseNumber(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	s.NoError(err, s.location)
	return value
}

// parseInteger parses an integer.
func (s *scenario) parseInteger(text string) int { return int(s.parseNumber(text)) }

// parseTicks parses a time in milliseconds.
func (s *scenario) parseTicks(text string) timeunit.Ticks {
	return timeunit.Ticks(s.parseNumber(text) * float64(timeunit.TicksPerMillisecond))
}

// runStep runs one line of a scenario.
func (s *scenario) runStep(words []string) {
	want := []string{}
	if arrow := slices.Index(words, "=>"); arrow >= 0 {
		want = words[arrow+1:]
		words = words[:arrow]
	}
	switch verb, args := words[0], words[1:]; verb {
	case "plugin":
		s.pendingPolicies = append(s.pendingPolicies, s.parsePolicy(args))
	case "chain":
		isNew := func(name string) bool { return slices.Contains(args, name) }
		s.chain = New(s.pendingPolicies, s.chain, isNew, rand.New(rand.NewSource(1)), s.now)
		s.pendingPolicies = nil
	case "at":
		s.now = s.parseTicks(args[0])
		if len(args) > 1 {
			s.runStep(slices.Concat(args[1:], []string{"=>"}, want))
		}
	case "read":
		s.beginEvaluation(HookRead, args, want)
	case "result":
		s.beginEvaluation(HookResult, args, want)
	case "verdict":
		e := s.evaluations[args[0]]
		fault, isFault, isQuarantined := e.ApplyVerdict(s.parseVerdict(args[2:]), s.parseTicks(args[1]), s.now)
		s.history.Add(s.now, int(fault), isFault, isQuarantined)
		s.expectCallResult(e, fault, isFault, isQuarantined, want)
	case "fault":
		e := s.evaluations[args[0]]
		fault := Fault(slices.Index(scenarioFaultNames[:], args[1]))
		isQuarantined := e.RecordFault(fault, s.parseTicks(args[2]), s.now)
		s.history.Add(s.now, int(fault), isQuarantined)
		s.expectCallResult(e, fault, false, isQuarantined, want)
	case "state":
		s.Equal(args[1], stateNames[s.findPlugin(args[0]).State], s.location)
	case "open":
		s.Equal(args[0], strconv.Itoa(s.chain.OpenEvaluations), s.location)
	default:
		s.Fail("unknown step", s.location)
	}
}

// defaultPolicy returns a policy that applies at no hook and permits nothing.
func defaultPolicy(name string) Policy {
	return Policy{
		Name:                 name,
		Categories:           []bool{true, true, true},
		TargetCategories:     make([]bool, scenarioCategoryCount),
		Tenants:              map[string]bool{},
		CallTimeout:          50,
		MaxTimeFraction:      0.5,
		CoreFraction:         1,
		MaxConsecutiveFaults: 3,
		MaxFaultRate:         1,
		MinQuarantine:        1_000,
		MaxQuarantine:        10_000,
	}
}

// parseOptions parses arguments of the form KEY or KEY=VALUE, and passes each value to the setter for its key.
func (s *scenario) parseOptions(args []string, setters map[string]func(value string)) {
	for _, arg := range args {
		key, value, _ := strings.Cut(arg, "=")
		setter, isKnown := setters[key]
		s.True(isKnown, "unknown option %s: %s", key, s.location)
		setter(value)
	}
}

// parsePolicy parses NAME [OPTION...], where the options change the default policy.
func (s *scenario) parsePolicy(args []string) Policy {
	policy := defaultPolicy(args[0])
	s.parseOptions(args[1:], map[string]func(value string){
		"read":             func(string) { policy.Hooks[HookRead] = true },
		"result":           func(string) { policy.Hooks[HookResult] = true },
		"may-reject":       func(string) { policy.MayReject = true },
		"may-tag":          func(string) { policy.MayTag = true },
		"may-rewrite":      func(string) { policy.MayRewrite = true },
		"faults-by-tenant": func(string) { policy.FaultsByTenant = true },
		"fallback-reject":  func(string) { policy.Fallback = FallbackReject },
		"category": func(value string) {
			policy.Categories = make([]bool, scenarioCategoryCount)
			policy.Categories[s.parseInteger(value)] = true
		},
		"tenant":     func(value string) { policy.Tenants[value] = true },
		"to":         func(value string) { policy.TargetCategories[s.parseInteger(value)] = true },
		"timeout":    func(value string) { policy.CallTimeout = s.parseTicks(value) },
		"fraction":   func(value string) { policy.MaxTimeFraction = s.parseNumber(value) },
		"core":       func(value string) { policy.CoreFraction = s.parseNumber(value) },
		"max-faults": func(value string) { policy.MaxConsecutiveFaults = s.parseInteger(value) },
		"max-rate":   func(value string) { policy.MaxFaultRate = s.parseNumber(value) },
	})
	return policy
}

// beginEvaluation parses NAME [category=N tenant=T left=MS fixed-category body=TEXT], begins the evaluation and checks
// its first step.
func (s *scenario) beginEvaluation(hook Hook, args, want []string) {
	request := Request{Tenant: "acme", TimeLeft: 10_000}
	body := ""
	s.parseOptions(args[1:], map[string]func(value string){
		"category":       func(value string) { request.Category = s.parseInteger(value) },
		"tenant":         func(value string) { request.Tenant = value },
		"left":           func(value string) { request.TimeLeft = s.parseTicks(value) },
		"fixed-category": func(string) { request.CategoryFixed = true },
		"body":           func(value string) { body = value },
	})
	evaluation := s.chain.Begin(hook, request, []byte(body), s.now)
	s.evaluations[args[0]] = evaluation
	s.expectNext(evaluation, want)
}

// parseVerdict parses [reject=STATUS to=CATEGORY tag=T replace=TEXT].
func (s *scenario) parseVerdict(args []string) Verdict {
	verdict := Verdict{Category: NoCategory}
	s.parseOptions(args, map[string]func(value string){
		"reject": func(value string) {
			verdict.Reject = true
			verdict.Status = s.parseInteger(value)
		},
		"to": func(value string) { verdict.Category = s.parseInteger(value) },
		"tag": func(value string) {
			verdict.HasTag = true
			verdict.Tag = value
		},
		"replace": func(value string) {
			verdict.Replace = true
			verdict.Body = []byte(value)
		},
	})
	return verdict
}

// findPlugin returns the plug-in of the current chain with the given name, or nil if there is none.
func (s *scenario) findPlugin(name string) *Plugin {
	for _, plugin := range s.chain.Plugins {
		if plugin.Name == name {
			return plugin
		}
	}
	return nil
}

// expectCallResult checks whether the end of a call was a fault or led to a quarantine, and then continues the
// evaluation.
func (s *scenario) expectCallResult(e *Evaluation, fault Fault, isFault, isQuarantined bool, want []string) {
	got := []string{}
	if isFault {
		got = append(got, "fault:"+scenarioFaultNames[fault])
	}
	if isQuarantined {
		got = append(got, "quarantined")
	}
	s.GreaterOrEqual(len(want), len(got), s.location)
	s.Equal(want[:len(got)], got, s.location)
	s.expectNext(e, want[len(got):])
}

// expectNext continues an evaluation. It checks the plug-in to call next and the timeout of the call, or the result at
// the end of the evaluation.
func (s *scenario) expectNext(e *Evaluation, want []string) {
	plugin, timeout := e.Next(s.now)
	addEvaluation(s.history, e, plugin, timeout, s.now)
	addPlugins(s.history, s.chain)
	if plugin != nil {
		milliseconds := float64(timeout) / float64(timeunit.TicksPerMillisecond)
		s.Equal(want, []string{"call:" + plugin.Name, fmt.Sprint(milliseconds)}, s.location)
		return
	}
	got := []string{"end"}
	if e.Rejected {
		s.Equal(want, append(got, fmt.Sprint("rejected:", e.Status)), s.location)
		return
	}
	if e.Category != e.request.Category {
		got = append(got, fmt.Sprint("to:", e.Category))
	}
	if e.Tag != "" {
		got = append(got, "tag:"+e.Tag)
	}
	if e.Rewritten {
		got = append(got, "body:"+string(e.Body))
	}
	s.Equal(want, got, s.location)
}
