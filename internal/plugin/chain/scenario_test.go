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
	scenarioFaults = [...]string{
		FaultTimeout:      "timeout",
		FaultTrap:         "trap",
		FaultMalformed:    "malformed",
		FaultNotPermitted: "not-permitted",
		FaultProcessDied:  "process-died",
		FaultUnavailable:  "unavailable",
	}
	scenarioStates = [...]string{StateActive: "active", StateQuarantined: "quarantined", StateProbation: "probation"}
)

// scenarioCategories is the number of categories in a scenario.
const scenarioCategories = 3

// TestScenarios runs each scenario file in testdata, line by line. testdata/README.md describes the notation.
func TestScenarios(t *testing.T) {
	golden.CheckScenarios(t, "scenarios.txt", playScenario)
}

// scenario is the state of a running scenario.
type scenario struct {
	*require.Assertions
	policies    []Policy // policies of the plug-ins declared for the next chain
	chain       *Chain
	evaluations map[string]*Evaluation
	now         timeunit.Ticks
	history     *golden.History
	where       string // location of the current line, for failure messages
}

func playScenario(t *testing.T, file string, history *golden.History) {
	t.Helper()
	s := &scenario{Assertions: require.New(t), evaluations: map[string]*Evaluation{}, history: history}
	for _, step := range scenariofile.Steps(t, file) {
		s.where = step.Where
		s.step(step.Words)
	}
}

// number parses a number.
func (s *scenario) number(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	s.NoError(err, s.where)
	return value
}

// integer parses an integer.
func (s *scenario) integer(text string) int { return int(s.number(text)) }

// ticks parses a time in milliseconds.
func (s *scenario) ticks(text string) timeunit.Ticks {
	return timeunit.Ticks(s.number(text) * float64(timeunit.TicksPerMillisecond))
}

// step runs one line of a scenario.
func (s *scenario) step(words []string) {
	want := []string{}
	if arrow := slices.Index(words, "=>"); arrow >= 0 {
		want = words[arrow+1:]
		words = words[:arrow]
	}
	switch verb, args := words[0], words[1:]; verb {
	case "plugin":
		s.policies = append(s.policies, s.policy(args))
	case "chain":
		isNew := func(name string) bool { return slices.Contains(args, name) }
		s.chain = New(s.policies, s.chain, isNew, rand.New(rand.NewSource(1)), s.now)
		s.policies = nil
	case "at":
		s.now = s.ticks(args[0])
		if len(args) > 1 {
			s.step(slices.Concat(args[1:], []string{"=>"}, want))
		}
	case "read":
		s.begin(HookRead, args, want)
	case "result":
		s.begin(HookResult, args, want)
	case "verdict":
		e := s.evaluations[args[0]]
		fault, isFault, quarantined := e.ApplyVerdict(s.verdict(args[2:]), s.ticks(args[1]), s.now)
		s.history.Add(s.now, int(fault), isFault, quarantined)
		s.expect(e, fault, isFault, quarantined, want)
	case "fault":
		e := s.evaluations[args[0]]
		fault := Fault(slices.Index(scenarioFaults[:], args[1]))
		quarantined := e.RecordFault(fault, s.ticks(args[2]), s.now)
		s.history.Add(s.now, int(fault), quarantined)
		s.expect(e, fault, false, quarantined, want)
	case "state":
		s.Equal(args[1], scenarioStates[s.plugin(args[0]).State], s.where)
	case "open":
		s.Equal(args[0], strconv.Itoa(s.chain.OpenEvaluations), s.where)
	default:
		s.Fail("unknown step", s.where)
	}
}

// defaultPolicy returns a policy that applies at no hook and permits nothing.
func defaultPolicy(name string) Policy {
	return Policy{
		Name:                 name,
		Categories:           []bool{true, true, true},
		TargetCategories:     make([]bool, scenarioCategories),
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

// options parses arguments of the form KEY or KEY=VALUE, and passes each value to the setter for its key.
func (s *scenario) options(args []string, setters map[string]func(value string)) {
	for _, arg := range args {
		key, value, _ := strings.Cut(arg, "=")
		set, isKnown := setters[key]
		s.True(isKnown, "unknown option %s: %s", key, s.where)
		set(value)
	}
}

// policy parses NAME [OPTION...], where the options change the default policy.
func (s *scenario) policy(args []string) Policy {
	policy := defaultPolicy(args[0])
	s.options(args[1:], map[string]func(value string){
		"read":             func(string) { policy.Hooks[HookRead] = true },
		"result":           func(string) { policy.Hooks[HookResult] = true },
		"may-reject":       func(string) { policy.MayReject = true },
		"may-tag":          func(string) { policy.MayTag = true },
		"may-rewrite":      func(string) { policy.MayRewrite = true },
		"faults-by-tenant": func(string) { policy.FaultsByTenant = true },
		"fallback-reject":  func(string) { policy.Fallback = FallbackReject },
		"category": func(value string) {
			policy.Categories = make([]bool, scenarioCategories)
			policy.Categories[s.integer(value)] = true
		},
		"tenant":     func(value string) { policy.Tenants[value] = true },
		"to":         func(value string) { policy.TargetCategories[s.integer(value)] = true },
		"timeout":    func(value string) { policy.CallTimeout = s.ticks(value) },
		"fraction":   func(value string) { policy.MaxTimeFraction = s.number(value) },
		"core":       func(value string) { policy.CoreFraction = s.number(value) },
		"max-faults": func(value string) { policy.MaxConsecutiveFaults = s.integer(value) },
		"max-rate":   func(value string) { policy.MaxFaultRate = s.number(value) },
	})
	return policy
}

// begin parses NAME [category=N tenant=T left=MS fixed-category body=TEXT], begins the evaluation and checks its first
// step.
func (s *scenario) begin(hook Hook, args, want []string) {
	request := Request{Tenant: "acme", TimeLeft: 10_000}
	body := ""
	s.options(args[1:], map[string]func(value string){
		"category":       func(value string) { request.Category = s.integer(value) },
		"tenant":         func(value string) { request.Tenant = value },
		"left":           func(value string) { request.TimeLeft = s.ticks(value) },
		"fixed-category": func(string) { request.CategoryFixed = true },
		"body":           func(value string) { body = value },
	})
	evaluation := s.chain.Begin(hook, request, []byte(body), s.now)
	s.evaluations[args[0]] = evaluation
	s.next(evaluation, want)
}

// verdict parses [reject=STATUS to=CATEGORY tag=T replace=TEXT].
func (s *scenario) verdict(args []string) Verdict {
	verdict := Verdict{Category: NoCategory}
	s.options(args, map[string]func(value string){
		"reject": func(value string) {
			verdict.Reject = true
			verdict.Status = s.integer(value)
		},
		"to": func(value string) { verdict.Category = s.integer(value) },
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

// plugin returns the plug-in of the current chain with the given name, or nil if there is none.
func (s *scenario) plugin(name string) *Plugin {
	for _, plugin := range s.chain.Plugins {
		if plugin.Name == name {
			return plugin
		}
	}
	return nil
}

// expect checks whether the end of a call was a fault or led to a quarantine, and then continues the evaluation.
func (s *scenario) expect(e *Evaluation, fault Fault, isFault, quarantined bool, want []string) {
	got := []string{}
	if isFault {
		got = append(got, "fault:"+scenarioFaults[fault])
	}
	if quarantined {
		got = append(got, "quarantined")
	}
	s.GreaterOrEqual(len(want), len(got), s.where)
	s.Equal(want[:len(got)], got, s.where)
	s.next(e, want[len(got):])
}

// next continues an evaluation. It checks the plug-in to call next and the timeout of the call, or the result at the
// end of the evaluation.
func (s *scenario) next(e *Evaluation, want []string) {
	plugin, timeout := e.Next(s.now)
	addEvaluation(s.history, e, plugin, timeout, s.now)
	addPlugins(s.history, s.chain)
	if plugin != nil {
		milliseconds := float64(timeout) / float64(timeunit.TicksPerMillisecond)
		s.Equal(want, []string{"call:" + plugin.Name, fmt.Sprint(milliseconds)}, s.where)
		return
	}
	got := []string{"end"}
	if e.Rejected {
		s.Equal(want, append(got, fmt.Sprint("rejected:", e.Status)), s.where)
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
	s.Equal(want, got, s.where)
}
