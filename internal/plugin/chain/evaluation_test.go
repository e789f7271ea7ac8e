package chain

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// isAlwaysNew is an isNew function for New that treats every plug-in as new, so that no circuit breaker is kept.
func isAlwaysNew(string) bool { return true }

// FuzzEvaluations checks that, whatever verdicts plug-ins give, an evaluation ends, has only effects that a policy
// permits, and stays within its time.
func FuzzEvaluations(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) { runEvaluations(t, seed, golden.NewHistory()) })
}

// randomizer generates the random parts of a schedule. The order of its random draws determines the schedule that a
// seed produces, so changing the order invalidates the golden file.
type randomizer struct{ *rand.Rand }

func (r randomizer) randomBool() bool { return r.Intn(2) == 0 }

func (r randomizer) policy(name string) Policy {
	return Policy{
		Name:                 name,
		Hooks:                [3]bool{r.randomBool(), r.randomBool(), r.randomBool()},
		Categories:           []bool{r.randomBool(), r.randomBool(), r.randomBool()},
		TargetCategories:     []bool{r.randomBool(), r.randomBool(), r.randomBool()},
		MayReject:            r.randomBool(),
		MayTag:               r.randomBool(),
		MayRewrite:           r.randomBool(),
		CallTimeout:          50,
		MaxTimeFraction:      r.Float64(),
		CoreFraction:         r.Float64(),
		Fallback:             FallbackPolicy(r.Intn(2)),
		FaultsByTenant:       r.randomBool(),
		MaxConsecutiveFaults: 1 + r.Intn(3),
		MaxFaultRate:         r.Float64(),
		MinQuarantine:        100,
		MaxQuarantine:        1000,
	}
}

func (r randomizer) request() Request {
	return Request{
		Category:      r.Intn(3),
		Tenant:        fmt.Sprint(r.Intn(3)),
		TimeLeft:      timeunit.Ticks(r.Intn(5000)),
		CategoryFixed: r.randomBool(),
	}
}

func (r randomizer) body() []byte { return []byte("0123456789"[:r.Intn(10)]) }

func (r randomizer) verdict() Verdict {
	return Verdict{
		Reject:   r.randomBool(),
		Status:   r.Intn(700),
		Category: r.Intn(6) - 2,
		HasTag:   r.randomBool(),
		Tag:      "x",
		Replace:  r.randomBool(),
		Body:     r.body(),
	}
}

// runEvaluations runs a hundred evaluations with random verdicts and faults through a random chain, checks each, and
// adds their steps and results to history.
func runEvaluations(t *testing.T, seed int64, history *golden.History) {
	t.Helper()
	random := randomizer{rand.New(rand.NewSource(seed))}
	var policies []Policy
	for i := range 1 + random.Intn(3) {
		policies = append(policies, random.policy(fmt.Sprint(i)))
	}
	chain := New(policies, nil, isAlwaysNew, random.Rand, 0)
	now := timeunit.Ticks(0)
	for range 100 {
		now += timeunit.Ticks(random.Intn(100))
		hook := Hook(random.Intn(2))
		request := random.request()
		body := random.body()
		evaluation := chain.Begin(hook, request, body, now)
		permitted := permissions{categories: make([]bool, 3)}
		now = runCalls(t, random, evaluation, &permitted, now, history)
		addEvaluation(history, evaluation, nil, 0, now)
		addPlugins(history, chain)
		if evaluation.Rejected {
			byPlugin := permitted.reject && evaluation.Status >= 400 && evaluation.Status < 500
			require.Equal(t, HookRead, hook)
			require.True(t, byPlugin || evaluation.Status == statusUnavailable, "status %d", evaluation.Status)
		}
		if evaluation.Category != request.Category {
			require.Equal(t, HookRead, hook)
			require.False(t, request.CategoryFixed)
			require.True(t, permitted.categories[evaluation.Category], "category %d", evaluation.Category)
		}
		require.True(t, evaluation.Tag == "" || permitted.tag, "the tag was set without permission")
		if evaluation.Rewritten {
			require.Equal(t, HookResult, hook)
			require.True(t, permitted.rewrite, "the result was rewritten without permission")
			require.Less(t, len(evaluation.Body), len(body))
		}
	}
	require.Zero(t, chain.OpenEvaluations)
}

// permissions is the union of the actions that the called plug-ins may take.
type permissions struct {
	reject     bool
	tag        bool
	rewrite    bool
	categories []bool
}

func (p *permissions) add(policy *Policy) {
	p.reject = p.reject || policy.MayReject
	p.tag = p.tag || policy.MayTag
	p.rewrite = p.rewrite || policy.MayRewrite
	for i := range policy.TargetCategories {
		p.categories[i] = p.categories[i] || policy.TargetCategories[i]
	}
}

// runCalls runs an evaluation to its end, ending each call with a random verdict or fault. It returns the time at
// which the evaluation ended.
func runCalls(
	t *testing.T, random randomizer, evaluation *Evaluation, permitted *permissions, now timeunit.Ticks,
	history *golden.History,
) timeunit.Ticks {
	t.Helper()
	deadline := now + evaluation.Request().TimeLeft/2
	for {
		plugin, timeout := evaluation.Next(now)
		if plugin == nil {
			return now
		}
		addEvaluation(history, evaluation, plugin, timeout, now)
		require.Positive(t, timeout)
		require.LessOrEqual(t, timeout, plugin.CallTimeout)
		require.LessOrEqual(t, now+timeout, deadline+1)
		permitted.add(&plugin.Policy)
		elapsed := timeunit.Ticks(random.Intn(int(timeout) + 1))
		now += elapsed
		if random.randomBool() {
			isQuarantined := evaluation.RecordFault(Fault(random.Intn(faultCount)), elapsed, now)
			history.Add(isQuarantined)
			continue
		}
		fault, isFault, isQuarantined := evaluation.ApplyVerdict(random.verdict(), elapsed, now)
		history.Add(int(fault), isFault, isQuarantined)
	}
}

// TestFaultStringIsItsNameInLogs checks the names of the faults that operators see in logs.
func TestFaultStringIsItsNameInLogs(t *testing.T) {
	names := []string{"late", "trap", "nonsense", "beyond its grant", "its process died", "absent"}
	require.Len(t, names, faultCount)
	for i, name := range names {
		require.Equal(t, name, Fault(i).String())
	}
}

// BenchmarkEvaluation measures an evaluation in which only one of the loaded plug-ins is called.
func BenchmarkEvaluation(b *testing.B) {
	for _, pluginCount := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("loaded=", pluginCount), func(b *testing.B) {
			var policies []Policy
			for i := range pluginCount {
				policy := defaultPolicy(fmt.Sprint(i))
				policy.Hooks[HookRead] = true
				policy.Categories[0] = i == pluginCount/2
				policies = append(policies, policy)
			}
			chain := New(policies, nil, isAlwaysNew, rand.New(rand.NewSource(1)), 0)
			now := timeunit.Ticks(0)
			request := Request{Tenant: "acme", TimeLeft: 10_000}
			for b.Loop() {
				now += 10
				evaluation := chain.Begin(HookRead, request, nil, now)
				for plugin, _ := evaluation.Next(now); plugin != nil; plugin, _ = evaluation.Next(now) {
					evaluation.ApplyVerdict(Verdict{Category: NoCategory}, 0, now)
				}
			}
		})
	}
}
