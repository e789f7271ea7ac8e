// Package deployment reads what the operators say of a deployment: the one object that the simulator's first
// message and the program's configuration share. It turns it into the figures that decisions use and keeps
// nothing else. It must never decide, and never act on which deployment it reads.
package deployment

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"thistlequay/admission"
)

// Terms are what one server is told when it starts.
type Terms struct {
	admission.Deployment
	Named   map[string]int // categories by name
	tenants map[string]bool
	rows    []func(*admission.Gauges) *float64
}

// most is more than any figure can mean: thirty years in milliseconds.
const most = 1e12

// Read makes Terms of the object. Keys that are not known here are passed over.
func Read(text []byte) (*Terms, error) {
	var env struct {
		Categories []struct {
			Effect, Name                        string
			HardLimit, LateWorth, OnTime, Worth float64
			Window                              float64
		}
		FamilyInfo struct {
			CallShare, CallsOver, EntryKb, KeepaliveMax float64
			Linger, MemoryKb, RunFactor                 float64
			Callers, Cores                              int
			Cold                                        bool
			Downstream, Halt, Say                       string
			Meters                                      []string
		}
		Limits struct {
			MaxRetryAfter float64
			RetryAfter    bool
		}
		Period  float64
		Servers int
		Tenants []struct{ Name string }
		Rules   struct {
			Cold, ColdFrom, DrainGrace, TipMultiple float64
		}
	}
	if err := json.Unmarshal(text, &env); err != nil {
		return nil, fmt.Errorf("the settings can't be read: %w", err)
	}
	info, rules := &env.FamilyInfo, &env.Rules
	if len(env.Categories) == 0 || info.Cores < 1 {
		return nil, errors.New("the settings name no category or no core")
	}
	figures := []float64{info.CallShare, info.CallsOver, info.EntryKb, info.KeepaliveMax, info.Linger,
		info.MemoryKb, info.RunFactor, float64(info.Callers), float64(info.Cores),
		float64(env.Servers), env.Limits.MaxRetryAfter, env.Period,
		rules.Cold, rules.ColdFrom, rules.DrainGrace, rules.TipMultiple}
	for _, c := range env.Categories {
		figures = append(figures, c.HardLimit, c.LateWorth, c.OnTime, c.Worth, c.Window)
	}
	if slices.Min(figures) < 0 || slices.Max(figures) > most {
		return nil, errors.New("a figure of the settings is out of range")
	}
	t := &Terms{Named: map[string]int{}, tenants: map[string]bool{}, Deployment: admission.Deployment{
		Callers: info.Callers, Servers: env.Servers, Cores: info.Cores,
		Memory: info.MemoryKb, RunFactor: info.RunFactor, EntryKb: info.EntryKb, Period: Up(env.Period),
		Grace: Down(rules.DrainGrace), Cold: info.Cold,
		ColdFrom: rules.ColdFrom, ColdFor: Up(rules.Cold), Crowd: rules.TipMultiple,
		SharedBelow: info.Downstream == "common", CallShare: info.CallShare,
		CallsOver: Down(info.CallsOver), Linger: Up(info.Linger), Tongue: tongues[info.Say],
		IdleMost: Down(info.KeepaliveMax), Stops: info.Halt == "drop"}}
	if env.Limits.RetryAfter {
		t.MaxAway = Down(env.Limits.MaxRetryAfter)
	}
	for i, c := range env.Categories {
		t.Named[c.Name] = i
		t.Categories = append(t.Categories, admission.Category{Gain: c.Worth, LateShare: c.LateWorth,
			Contract: Down(c.OnTime), Expiry: Down(c.HardLimit), Window: Up(c.Window),
			Effect: effects[c.Effect]})
	}
	for _, tenant := range env.Tenants {
		t.tenants[tenant.Name] = true
	}
	for _, meter := range info.Meters {
		t.rows = append(t.rows, meters[meter])
	}
	return t, nil
}

// Tenant says whether there is a tenant of this name; where none are told, any may be.
func (t *Terms) Tenant(name []byte) bool { return len(t.tenants) == 0 || t.tenants[string(name)] }

var tongues = map[string]admission.Tongue{
	"min_rank": admission.Rank, "tokens": admission.Allowed, "bias": admission.Odds,
}

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
func Down(ms float64) admission.Tenths { return admission.Tenths(math.Floor(ms*10 + 1e-6)) }
func Up(ms float64) admission.Tenths   { return admission.Tenths(math.Ceil(ms*10 - 1e-6)) }
