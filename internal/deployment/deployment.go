// Package deployment reads what the operators say of a deployment: the one object that the simulator's first
// message and the program's configuration share. It turns it into the figures that decisions use and keeps
// nothing else. It must never decide, and never act on which deployment it reads.
package deployment

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"thistlequay/admission"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

// Config are what one server is told when it starts.
type Config struct {
	admission.Config
	CategoryIndex    map[string]int     // categories by name
	PauseKeepsMemory bool               // stopped work keeps its memory until its request is over
	TenantWeights    []fairqueue.Tenant // of the tenants that are told with one
	tenantNames      map[string]bool
	gaugeFields      []func(*admission.Gauges) *float64
}

// maxFigure is more than any figure can mean: thirty years in milliseconds.
const maxFigure = 1e12

// Read makes Terms of the object. Keys that are not known here are passed over; a word that bears on a rule and is not
// known, and figures that can't all be meant, are faults with their paths (faults.List).
func Read(text []byte) (*Config, error) {
	var env struct {
		Categories []struct {
			Effect, Name                        string
			HardLimit, LateWorth, OnTime, Worth float64
			Window                              *float64
		}
		FamilyInfo struct {
			CallShare, CallsOver, EntryKb, KeepaliveMax float64
			Fresh                                       float64
			ClassSkipWorth                              []float64
			Linger, MemoryKb, RunFactor                 float64
			Callers, Cores                              int
			Cold                                        bool
			Downstream, Halt, Say                       string
			Meters                                      []string
		}
		Clients struct{ MarksRetry bool }
		Limits  struct {
			MaxRetryAfter float64
			RetryAfter    bool
		}
		Period  float64
		Servers int
		Tenants []struct {
			Name  string
			Share float64
		}
		Rules struct {
			Cold, ColdFrom, DrainGrace, TipMultiple float64
		}
	}
	if err := diagnostics.DecodeJSON(text, &env); err != nil {
		return nil, err
	}
	info, rules := &env.FamilyInfo, &env.Rules
	var l diagnostics.List
	if len(env.Categories) == 0 {
		l.Add("Categories", "at least one category", "there is none")
	}
	if info.Cores < 1 {
		l.Add("FamilyInfo.Cores", "at least one core", "%d", info.Cores)
	}
	figure := func(path string, v float64) {
		if !(v >= 0 && v <= maxFigure) {
			l.Add(path, "from 0 to 1e12", "%v is out of range", v)
		}
	}
	word := func(path, v string, known []string) {
		if v != "" && !slices.Contains(known, v) {
			l.Add(path, "one of "+strings.Join(known, ", "), "%q is not known", v)
		}
	}
	for path, v := range map[string]float64{"CallShare": info.CallShare, "CallsOver": info.CallsOver, "EntryKb": info.EntryKb,
		"KeepaliveMax": info.KeepaliveMax, "Linger": info.Linger, "Fresh": info.Fresh, "MemoryKb": info.MemoryKb, "RunFactor": info.RunFactor,
		"Callers": float64(info.Callers), "Cores": float64(info.Cores)} {
		figure("FamilyInfo."+path, v)
	}
	for path, v := range map[string]float64{"Servers": float64(env.Servers), "Limits.MaxRetryAfter": env.Limits.MaxRetryAfter,
		"Period": env.Period, "Rules.Cold": rules.Cold, "Rules.ColdFrom": rules.ColdFrom, "Rules.DrainGrace": rules.DrainGrace,
		"Rules.TipMultiple": rules.TipMultiple} {
		figure(path, v)
	}
	names := map[string]bool{}
	for i, c := range env.Categories {
		at := fmt.Sprintf("Categories[%d]", i)
		for path, v := range map[string]float64{"HardLimit": c.HardLimit, "LateWorth": c.LateWorth, "OnTime": c.OnTime,
			"Worth": c.Worth, "Window": windowOrZero(c.Window)} {
			figure(at+"."+path, v)
		}
		if word(at+".Effect", c.Effect, effectNames); c.Effect == "" {
			l.Add(at+".Effect", "one of "+strings.Join(effectNames, ", "), "is missing")
		}
		if names[c.Name] && c.Name != "" {
			l.Add(at+".Name", "each name once", "%q stands twice", c.Name)
		}
		names[c.Name] = true
		if c.OnTime > c.HardLimit && c.OnTime <= maxFigure {
			l.Add(at+".OnTime", fmt.Sprintf("at most HardLimit, %v", c.HardLimit), "%v: the answer is wanted within more than its caller waits", c.OnTime)
		}
		if c.LateWorth > 1 {
			l.Add(at+".LateWorth", "from 0 to 1", "%v is out of range", c.LateWorth)
		}
		if c.Effect == "by_key" && c.Window == nil { // one of 0 can be meant: no repeat comes
			l.Add(at+".Window", "how long a repeat may come", "by_key without a window")
		}
	}
	for i, v := range info.ClassSkipWorth {
		if !(v >= 0 && v <= 1) {
			l.Add(fmt.Sprintf("FamilyInfo.ClassSkipWorth[%d]", i), "from 0 to 1", "%v is out of range", v)
		}
	}
	word("FamilyInfo.Halt", info.Halt, []string{"silent", "drop", "pause"})
	word("FamilyInfo.Downstream", info.Downstream, []string{"silent", "common", "next_hop"})
	word("FamilyInfo.Say", info.Say, append([]string{"silent"}, slices.Sorted(maps.Keys(loadReportModes))...))
	tenants := map[string]bool{}
	for i, tenant := range env.Tenants {
		if tenants[tenant.Name] {
			l.Add(fmt.Sprintf("Tenants[%d].Name", i), "each name once", "%q stands twice", tenant.Name)
		}
		tenants[tenant.Name] = true
		figure(fmt.Sprintf("Tenants[%d].Share", i), tenant.Share)
	}
	if len(l) > 0 {
		slices.SortStableFunc(l, func(a, b diagnostics.Diagnostic) int { return strings.Compare(a.Path, b.Path) })
		return nil, l
	}
	t := &Config{CategoryIndex: map[string]int{}, PauseKeepsMemory: info.Halt == "pause", tenantNames: map[string]bool{}, Config: admission.Config{
		Routers: info.Callers, RetriesMarked: env.Clients.MarksRetry, Servers: env.Servers, Cores: info.Cores,
		MemoryKB: info.MemoryKb, RunMemoryFactor: info.RunFactor, EntryKB: info.EntryKb, BatchInterval: RoundUp(env.Period),
		DrainGrace: RoundDown(rules.DrainGrace), ResultTTL: RoundDown(info.Fresh), StartsCold: info.Cold,
		ColdSpeed: rules.ColdFrom, WarmUpTime: RoundUp(rules.Cold), OverloadThreshold: rules.TipMultiple,
		SharedDependency: info.Downstream == "common", DownstreamLimit: info.CallShare,
		DownstreamWindow: RoundDown(info.CallsOver), AbandonedCallTime: RoundUp(info.Linger), LoadReportMode: loadReportModes[info.Say],
		MaxIdleTime: RoundDown(info.KeepaliveMax), CanStopRuns: info.Halt == "drop" || info.Halt == "pause"}} // the module stops only what is answered or gone
	if env.Limits.RetryAfter {
		t.MaxRetryAfter = RoundDown(env.Limits.MaxRetryAfter)
	}
	for i, c := range env.Categories {
		t.CategoryIndex[c.Name] = i
		t.Categories = append(t.Categories, admission.Category{Weight: c.Worth, LateValue: c.LateWorth,
			SoftDeadline: RoundDown(c.OnTime), Deadline: RoundDown(c.HardLimit), DeduplicationWindow: RoundUp(windowOrZero(c.Window)),
			Idempotency: effects[c.Effect], DegradedValue: valueAt(info.ClassSkipWorth, i)})
	}
	for _, tenant := range env.Tenants {
		if t.tenantNames[tenant.Name] = true; tenant.Share > 0 {
			t.TenantWeights = append(t.TenantWeights, fairqueue.Tenant{Name: tenant.Name, Weight: tenant.Share})
		}
	}
	for _, meter := range info.Meters {
		t.gaugeFields = append(t.gaugeFields, gaugeSelectors[meter])
	}
	return t, nil
}

// valueAt is the figure of a category in a list by their places, 0 where there is none.
func valueAt(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

// windowOrZero is how long a repeat may come; only by_key has to say.
func windowOrZero(told *float64) float64 {
	if told == nil {
		return 0
	}
	return *told
}

// HasTenant says whether there is a tenant of this name; where none are told, any may be.
func (t *Config) HasTenant(name []byte) bool {
	return len(t.tenantNames) == 0 || t.tenantNames[string(name)]
}

var loadReportModes = map[string]admission.LoadReportMode{
	"min_rank": admission.ReportRank, "tokens": admission.ReportLimit, "bias": admission.ReportProbability,
}

var effectNames = []string{"repeatable", "by_key", "once"}

var effects = map[string]admission.Idempotency{"by_key": admission.Keyed, "once": admission.NonIdempotent}

var gaugeSelectors = map[string]func(*admission.Gauges) *float64{
	"core_use": func(g *admission.Gauges) *float64 { return &g.CoreUtilization },
	"on_cores": func(g *admission.Gauges) *float64 { return &g.RunnableRequests },
}

// GaugesFromRow makes gauges of a row of meters, which stand in the order that the settings gave.
func (t *Config) GaugesFromRow(row []float64) (g admission.Gauges) {
	for i, field := range t.gaugeFields[:min(len(row), len(t.gaugeFields))] {
		if field != nil {
			*field(&g) = row[i]
		}
	}
	return g
}

// The two ways to round milliseconds to tenths: down for clocks and time left, so that nothing is answered
// late; up for spans that have passed.
func RoundDown(ms float64) timeunit.Ticks { return timeunit.Ticks(math.Floor(ms*10 + 1e-6)) }
func RoundUp(ms float64) timeunit.Ticks   { return timeunit.Ticks(math.Ceil(ms*10 - 1e-6)) }
