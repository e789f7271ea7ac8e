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

// Terms are what one server is told when it starts.
type Terms struct {
	admission.Deployment
	Named   map[string]int     // categories by name
	Pauses  bool               // stopped work keeps its memory until its request is over
	Shares  []fairqueue.Tenant // of the tenants that are told with one
	tenants map[string]bool
	rows    []func(*admission.Gauges) *float64
}

// most is more than any figure can mean: thirty years in milliseconds.
const most = 1e12

// Read makes Terms of the object. Keys that are not known here are passed over; a word that bears on a rule and is not
// known, and figures that can't all be meant, are faults with their paths (faults.List).
func Read(text []byte) (*Terms, error) {
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
	if err := diagnostics.JSON(text, &env); err != nil {
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
		if !(v >= 0 && v <= most) {
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
			"Worth": c.Worth, "Window": window(c.Window)} {
			figure(at+"."+path, v)
		}
		if word(at+".Effect", c.Effect, effectWords); c.Effect == "" {
			l.Add(at+".Effect", "one of "+strings.Join(effectWords, ", "), "is missing")
		}
		if names[c.Name] && c.Name != "" {
			l.Add(at+".Name", "each name once", "%q stands twice", c.Name)
		}
		names[c.Name] = true
		if c.OnTime > c.HardLimit && c.OnTime <= most {
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
	word("FamilyInfo.Say", info.Say, append([]string{"silent"}, slices.Sorted(maps.Keys(tongues))...))
	tenants := map[string]bool{}
	for i, tenant := range env.Tenants {
		if tenants[tenant.Name] {
			l.Add(fmt.Sprintf("Tenants[%d].Name", i), "each name once", "%q stands twice", tenant.Name)
		}
		tenants[tenant.Name] = true
		figure(fmt.Sprintf("Tenants[%d].Share", i), tenant.Share)
	}
	if len(l) > 0 {
		slices.SortStableFunc(l, func(a, b diagnostics.Fault) int { return strings.Compare(a.Path, b.Path) })
		return nil, l
	}
	t := &Terms{Named: map[string]int{}, Pauses: info.Halt == "pause", tenants: map[string]bool{}, Deployment: admission.Deployment{
		Callers: info.Callers, Marked: env.Clients.MarksRetry, Servers: env.Servers, Cores: info.Cores,
		Memory: info.MemoryKb, RunFactor: info.RunFactor, EntryKb: info.EntryKb, Period: Up(env.Period),
		Grace: Down(rules.DrainGrace), Fresh: Down(info.Fresh), Cold: info.Cold,
		ColdFrom: rules.ColdFrom, ColdFor: Up(rules.Cold), Crowd: rules.TipMultiple,
		SharedBelow: info.Downstream == "common", CallShare: info.CallShare,
		CallsOver: Down(info.CallsOver), Linger: Up(info.Linger), Tongue: tongues[info.Say],
		IdleMost: Down(info.KeepaliveMax), Stops: info.Halt == "drop" || info.Halt == "pause"}} // the module stops only what is answered or gone
	if env.Limits.RetryAfter {
		t.MaxAway = Down(env.Limits.MaxRetryAfter)
	}
	for i, c := range env.Categories {
		t.Named[c.Name] = i
		t.Categories = append(t.Categories, admission.Category{Gain: c.Worth, LateShare: c.LateWorth,
			Contract: Down(c.OnTime), Expiry: Down(c.HardLimit), Window: Up(window(c.Window)),
			Effect: effects[c.Effect], Poorer: at(info.ClassSkipWorth, i)})
	}
	for _, tenant := range env.Tenants {
		if t.tenants[tenant.Name] = true; tenant.Share > 0 {
			t.Shares = append(t.Shares, fairqueue.Tenant{Name: tenant.Name, Share: tenant.Share})
		}
	}
	for _, meter := range info.Meters {
		t.rows = append(t.rows, meters[meter])
	}
	return t, nil
}

// at is the figure of a category in a list by their places, 0 where there is none.
func at(list []float64, i int) float64 {
	if i < len(list) {
		return list[i]
	}
	return 0
}

// window is how long a repeat may come; only by_key has to say.
func window(told *float64) float64 {
	if told == nil {
		return 0
	}
	return *told
}

// Tenant says whether there is a tenant of this name; where none are told, any may be.
func (t *Terms) Tenant(name []byte) bool { return len(t.tenants) == 0 || t.tenants[string(name)] }

var tongues = map[string]admission.Tongue{
	"min_rank": admission.Rank, "tokens": admission.Allowed, "bias": admission.Odds,
}

var effectWords = []string{"repeatable", "by_key", "once"}

var effects = map[string]admission.Effect{"by_key": admission.Stamped, "once": admission.OneShot}

var meters = map[string]func(*admission.Gauges) *float64{
	"core_use": func(g *admission.Gauges) *float64 { return &g.CoreUse },
	"on_cores": func(g *admission.Gauges) *float64 { return &g.OnCores },
}

// Gauges makes gauges of a row of meters, which stand in the order that the settings gave.
func (t *Terms) Gauges(row []float64) (g admission.Gauges) {
	for i, field := range t.rows[:min(len(row), len(t.rows))] {
		if field != nil {
			*field(&g) = row[i]
		}
	}
	return g
}

// The two ways to round milliseconds to tenths: down for clocks and time left, so that nothing is answered
// late; up for spans that have passed.
func Down(ms float64) timeunit.Ticks { return timeunit.Ticks(math.Floor(ms*10 + 1e-6)) }
func Up(ms float64) timeunit.Ticks   { return timeunit.Ticks(math.Ceil(ms*10 - 1e-6)) }
