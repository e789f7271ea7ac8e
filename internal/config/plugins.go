package config

// This file owns the section on plug-ins: what each may do and take. It must never read a module's bytes into the loop's
// process for longer than it takes to know its hash.

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"thistlequay/internal/deployment"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
	"thistlequay/internal/plugin/chain"
)

// Plugins is the section of docs/plugin/operating.md.
type Plugins struct {
	MemoryMB     int           `yaml:"memory_mb" min:"12" max:"4096"`
	Workers      int           `yaml:"workers" min:"1" max:"16"`
	ReadyTimeout time.Duration `yaml:"ready" min:"100ms" max:"2m"`
	Entries      []Plugin      `yaml:"list" need:"yes"`
}

// Plugin is one of them; its place in the list is its place in the order.
type Plugin struct {
	Name                 string        `yaml:"name" min:"1" need:"yes"`
	File                 string        `yaml:"file" min:"1" need:"yes"`
	SHA256               string        `yaml:"sha256"`
	Engine               string        `yaml:"engine" one:"interpreter compiler"`
	MemoryKB             int           `yaml:"memory_kb" min:"64" max:"1048576"`
	CodeKB               int           `yaml:"code_kb" min:"1" max:"65536"`
	StateKB              int           `yaml:"keep_kb" min:"0" max:"1024"`
	KeepState            bool          `yaml:"keep"`
	StartTimeout         time.Duration `yaml:"start" min:"1ms" max:"30s"`
	Hooks                []string      `yaml:"hooks" one:"read result tick" need:"yes"`
	Categories           []string      `yaml:"categories"`
	Tenants              []string      `yaml:"tenants"`
	Capabilities         []string      `yaml:"may" one:"decline categorise tag rewrite"`
	TargetCategories     []string      `yaml:"to"`
	CallTimeout          time.Duration `yaml:"call" min:"100us" max:"200ms"`
	MaxBudgetFraction    float64       `yaml:"share" over:"0" max:"0.5"`
	CoreFraction         float64       `yaml:"core" over:"0" max:"1"`
	TickInterval         time.Duration `yaml:"every" min:"10ms" max:"1h"`
	FallbackPolicy       string        `yaml:"otherwise" one:"pass decline"`
	FaultsByTenant       bool          `yaml:"faults_by_tenant"`
	MaxConsecutiveFaults int           `yaml:"faults_in_a_row" min:"1" max:"1000"`
	MaxFaultRate         float64       `yaml:"fault_rate" over:"0" max:"1"`
	Quarantine           time.Duration `yaml:"quarantine" min:"10ms" max:"1h"`
	MaxQuarantine        time.Duration `yaml:"longest_quarantine" min:"10ms" max:"24h"`
	Samples              []Sample      `yaml:"samples"`
}

// Sample is a request that a new version must answer first.
type Sample struct {
	Hook            string   `yaml:"hook" one:"read result tick"`
	Category        string   `yaml:"category"`
	Tenant          string   `yaml:"tenant"`
	Body            string   `yaml:"body"`
	ExpectedActions []string `yaml:"does" one:"nothing decline categorise tag rewrite"`
	ExpectedStatus  int      `yaml:"status" min:"0" max:"599"`
}

// SetDefaults is what the section has where it says nothing.
func (p *Plugins) SetDefaults() { *p = Plugins{MemoryMB: 32, Workers: 1, ReadyTimeout: 10 * time.Second} }

// SetDefaults fills in what one plug-in's entry does not say.
func (p *Plugin) SetDefaults() {
	*p = Plugin{Engine: "interpreter", MemoryKB: 1024, CodeKB: 512, StateKB: 16, KeepState: true, StartTimeout: time.Second,
		CallTimeout: 5 * time.Millisecond, MaxBudgetFraction: 0.1, CoreFraction: 0.1, TickInterval: time.Second, FallbackPolicy: "pass", MaxConsecutiveFaults: 5, MaxFaultRate: 0.5,
		Quarantine: time.Second, MaxQuarantine: 5 * time.Minute}
}

var hookPoints = map[string]chain.Hook{"read": chain.HookRead, "result": chain.HookResult, "tick": chain.HookTick}

var actionBits = map[string]int{"nothing": 0, "decline": abi.ActionReject, "categorise": abi.ActionCategorize, "tag": abi.ActionTag, "rewrite": abi.ActionReplace}

// validate finds what the section itself cannot mean, and pins each module to the bytes that lie there now.
func (p *Plugins) validate(file string) error {
	if p == nil {
		return nil
	}
	var l diagnostics.List
	if len(p.Entries) == 0 {
		l.Add("plugins.list", "at least one plug-in", "is empty")
	}
	named := map[string]bool{}
	for i := range p.Entries {
		one := &p.Entries[i]
		at := fmt.Sprintf("plugins.list[%d]", i)
		if named[one.Name] {
			l.Add(at+".name", "each name once", "%q stands twice", one.Name)
		}
		named[one.Name] = true
		if !filepath.IsAbs(one.File) {
			one.File = filepath.Join(filepath.Dir(file), one.File)
		}
		sum, err := fileSHA256(one.File, int64(one.CodeKB)<<10)
		switch {
		case err != nil:
			l.Add(at+".file", "", "%s", err)
		case one.SHA256 != "" && !strings.EqualFold(one.SHA256, sum):
			l.Add(at+".sha256", one.SHA256, "the file has %s", sum)
		}
		one.SHA256 = sum
		has := slices.Contains[[]string]
		if has(one.Capabilities, "decline") && !has(one.Hooks, "read") {
			l.Add(at+".may", "the hook read", "decline without it: what ran is never declined")
		}
		if has(one.Capabilities, "rewrite") && !has(one.Hooks, "result") {
			l.Add(at+".may", "the hook result", "rewrite without it")
		}
		if has(one.Capabilities, "categorise") != (len(one.TargetCategories) > 0) {
			l.Add(at+".to", "categories in `to` if and only if it may categorise", "has %d", len(one.TargetCategories))
		}
		if one.FallbackPolicy == "decline" && !has(one.Capabilities, "decline") {
			l.Add(at+".otherwise", "pass, or that it may decline", `"decline"`)
		}
		if one.MaxQuarantine < one.Quarantine {
			l.Add(at+".longest_quarantine", fmt.Sprintf("at least quarantine, %v", one.Quarantine), "%v", one.MaxQuarantine)
		}
	}
	return l.Err()
}

func fileSHA256(file string, most int64) (string, error) {
	in, err := os.Open(file)
	if err != nil {
		return "", err
	}
	defer in.Close()
	sum := sha256.New()
	n, err := io.Copy(sum, io.LimitReader(in, most+1))
	if err == nil && n > most {
		err = fmt.Errorf("has more than code_kb allows, %d", most>>10)
	}
	return hex.EncodeToString(sum.Sum(nil)), err
}

// validateAgainst holds the section against the platform's settings and the program's memory.
func (p *Plugins) validateAgainst(of *deployment.Config, memory int) (l diagnostics.List) {
	if p == nil {
		return nil
	}
	if half := memory >> 21; p.MemoryMB > half {
		l.Add("plugins.memory_mb", fmt.Sprintf("at most half of the program's memory, %d", half), "%d", p.MemoryMB)
	}
	for i, one := range p.Entries {
		at := fmt.Sprintf("plugins.list[%d]", i)
		for key, names := range map[string][]string{"categories": one.Categories, "to": one.TargetCategories} {
			for n, name := range names {
				if _, known := of.CategoryIndex[name]; !known {
					l.Add(fmt.Sprintf("%s.%s[%d]", at, key, n), "a category of the platform's settings", "%q is none", name)
				}
			}
		}
		for n, name := range one.Tenants {
			if !of.HasTenant([]byte(name)) {
				l.Add(fmt.Sprintf("%s.tenants[%d]", at, n), "a tenant of the platform's settings", "%q is none", name)
			}
		}
	}
	return l
}

// Tags says whether any plug-in may set tags, which stand for tenants in the fair queues.
func (p *Plugins) anyMayTag() bool {
	return p != nil && slices.ContainsFunc(p.Entries, func(one Plugin) bool { return slices.Contains(one.Capabilities, "tag") })
}

// ProcessSpec is what the process of plug-ins is told; kept is what they kept in the one before, by name.
func (p *Plugins) ProcessSpec(kept map[string]map[string][]byte) plugin.HostSpec {
	s := plugin.HostSpec{Workers: p.Workers, MemoryMB: p.MemoryMB}
	for _, one := range p.Entries {
		o := plugin.ModuleConfig{Name: one.Name, File: one.File, SHA256: one.SHA256, MemoryKB: one.MemoryKB, MaxCodeKB: one.CodeKB,
			MaxStateKB: one.StateKB, StartTimeout: one.StartTimeout, Compile: one.Engine == "compiler", Seed: int64(xxh3.HashString(one.Name))}
		for _, h := range one.Hooks {
			o.Hooks[hookPoints[h]] = true
		}
		if one.KeepState {
			o.State = kept[one.Name]
		}
		for _, of := range one.Samples {
			sample := plugin.Sample{Hook: int(hookPoints[of.Hook]), Category: of.Category, Tenant: of.Tenant, Body: of.Body, ExpectedStatus: of.ExpectedStatus}
			if len(of.ExpectedActions) > 0 {
				does := 0
				for _, word := range of.ExpectedActions {
					does |= actionBits[word]
				}
				sample.ExpectedActions = &does
			}
			o.Samples = append(o.Samples, sample)
		}
		s.Plugins = append(s.Plugins, o)
	}
	return s
}

// Grants is what each may do.
func (p *Plugins) Grants(of *deployment.Config) (all []chain.Policy) {
	for _, one := range p.Entries {
		g := chain.Policy{Name: one.Name, Categories: make([]bool, len(of.Categories)), TargetCategories: make([]bool, len(of.Categories)),
			Tenants: map[string]bool{}, CallTimeout: ticks(one.CallTimeout), MaxTimeFraction: one.MaxBudgetFraction, CoreFraction: one.CoreFraction, TickInterval: ticks(one.TickInterval),
			FaultsByTenant: one.FaultsByTenant, MaxConsecutiveFaults: one.MaxConsecutiveFaults, MaxFaultRate: one.MaxFaultRate, MinQuarantine: ticks(one.Quarantine), MaxQuarantine: ticks(one.MaxQuarantine)}
		if one.FallbackPolicy == "decline" {
			g.Fallback = chain.FallbackReject
		}
		for _, h := range one.Hooks {
			g.Hooks[hookPoints[h]] = true
		}
		for _, name := range one.Tenants {
			g.Tenants[name] = true
		}
		for _, name := range one.Categories {
			g.Categories[of.CategoryIndex[name]] = true
		}
		for i := range g.Categories {
			g.Categories[i] = g.Categories[i] || len(one.Categories) == 0
		}
		for _, name := range one.TargetCategories {
			g.TargetCategories[of.CategoryIndex[name]] = true
		}
		for _, may := range one.Capabilities {
			g.MayReject = g.MayReject || may == "decline"
			g.MayTag = g.MayTag || may == "tag"
			g.MayRewrite = g.MayRewrite || may == "rewrite"
		}
		all = append(all, g)
	}
	return all
}

// DiscardsState is the plug-ins whose memory and record do not pass to a new version.
func (p *Plugins) DiscardsState() map[string]bool {
	drop := map[string]bool{}
	for _, one := range p.Entries {
		drop[one.Name] = !one.KeepState
	}
	return drop
}
