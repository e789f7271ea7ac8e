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
	MemoryMB int           `yaml:"memory_mb" min:"12" max:"4096"`
	Workers  int           `yaml:"workers" min:"1" max:"16"`
	Ready    time.Duration `yaml:"ready" min:"100ms" max:"2m"`
	List     []Plugin      `yaml:"list" need:"yes"`
}

// Plugin is one of them; its place in the list is its place in the order.
type Plugin struct {
	Name       string        `yaml:"name" min:"1" need:"yes"`
	File       string        `yaml:"file" min:"1" need:"yes"`
	SHA256     string        `yaml:"sha256"`
	Engine     string        `yaml:"engine" one:"interpreter compiler"`
	MemoryKB   int           `yaml:"memory_kb" min:"64" max:"1048576"`
	CodeKB     int           `yaml:"code_kb" min:"1" max:"65536"`
	KeepKB     int           `yaml:"keep_kb" min:"0" max:"1024"`
	Keep       bool          `yaml:"keep"`
	Start      time.Duration `yaml:"start" min:"1ms" max:"30s"`
	Hooks      []string      `yaml:"hooks" one:"read result tick" need:"yes"`
	Categories []string      `yaml:"categories"`
	Tenants    []string      `yaml:"tenants"`
	May        []string      `yaml:"may" one:"decline categorise tag rewrite"`
	To         []string      `yaml:"to"`
	Call       time.Duration `yaml:"call" min:"100us" max:"200ms"`
	Share      float64       `yaml:"share" over:"0" max:"0.5"`
	Core       float64       `yaml:"core" over:"0" max:"1"`
	Every      time.Duration `yaml:"every" min:"10ms" max:"1h"`
	Otherwise  string        `yaml:"otherwise" one:"pass decline"`
	Alone      bool          `yaml:"faults_by_tenant"`
	Row        int           `yaml:"faults_in_a_row" min:"1" max:"1000"`
	Rate       float64       `yaml:"fault_rate" over:"0" max:"1"`
	Wait       time.Duration `yaml:"quarantine" min:"10ms" max:"1h"`
	Longest    time.Duration `yaml:"longest_quarantine" min:"10ms" max:"24h"`
	Samples    []Sample      `yaml:"samples"`
}

// Sample is a request that a new version must answer first.
type Sample struct {
	Hook     string   `yaml:"hook" one:"read result tick"`
	Category string   `yaml:"category"`
	Tenant   string   `yaml:"tenant"`
	Body     string   `yaml:"body"`
	Does     []string `yaml:"does" one:"nothing decline categorise tag rewrite"`
	Status   int      `yaml:"status" min:"0" max:"599"`
}

// Default is what the section has where it says nothing.
func (p *Plugins) Default() { *p = Plugins{MemoryMB: 32, Workers: 1, Ready: 10 * time.Second} }

// defaults fills in what one plug-in's entry does not say.
func (p *Plugin) Default() {
	*p = Plugin{Engine: "interpreter", MemoryKB: 1024, CodeKB: 512, KeepKB: 16, Keep: true, Start: time.Second,
		Call: 5 * time.Millisecond, Share: 0.1, Core: 0.1, Every: time.Second, Otherwise: "pass", Row: 5, Rate: 0.5,
		Wait: time.Second, Longest: 5 * time.Minute}
}

var hookNames = map[string]chain.Point{"read": chain.Read, "result": chain.Result, "tick": chain.Tick}

var doings = map[string]int{"nothing": 0, "decline": abi.Declines, "categorise": abi.Categorises, "tag": abi.Tags, "rewrite": abi.Replaces}

// check finds what the section itself cannot mean, and pins each module to the bytes that lie there now.
func (p *Plugins) check(file string) error {
	if p == nil {
		return nil
	}
	var l diagnostics.List
	if len(p.List) == 0 {
		l.Add("plugins.list", "at least one plug-in", "is empty")
	}
	named := map[string]bool{}
	for i := range p.List {
		one := &p.List[i]
		at := fmt.Sprintf("plugins.list[%d]", i)
		if named[one.Name] {
			l.Add(at+".name", "each name once", "%q stands twice", one.Name)
		}
		named[one.Name] = true
		if !filepath.IsAbs(one.File) {
			one.File = filepath.Join(filepath.Dir(file), one.File)
		}
		sum, err := hash(one.File, int64(one.CodeKB)<<10)
		switch {
		case err != nil:
			l.Add(at+".file", "", "%s", err)
		case one.SHA256 != "" && !strings.EqualFold(one.SHA256, sum):
			l.Add(at+".sha256", one.SHA256, "the file has %s", sum)
		}
		one.SHA256 = sum
		has := slices.Contains[[]string]
		if has(one.May, "decline") && !has(one.Hooks, "read") {
			l.Add(at+".may", "the hook read", "decline without it: what ran is never declined")
		}
		if has(one.May, "rewrite") && !has(one.Hooks, "result") {
			l.Add(at+".may", "the hook result", "rewrite without it")
		}
		if has(one.May, "categorise") != (len(one.To) > 0) {
			l.Add(at+".to", "categories in `to` if and only if it may categorise", "has %d", len(one.To))
		}
		if one.Otherwise == "decline" && !has(one.May, "decline") {
			l.Add(at+".otherwise", "pass, or that it may decline", `"decline"`)
		}
		if one.Longest < one.Wait {
			l.Add(at+".longest_quarantine", fmt.Sprintf("at least quarantine, %v", one.Wait), "%v", one.Longest)
		}
	}
	return l.Or()
}

func hash(file string, most int64) (string, error) {
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

// against holds the section against the platform's settings and the program's memory.
func (p *Plugins) against(of *deployment.Terms, memory int) (l diagnostics.List) {
	if p == nil {
		return nil
	}
	if half := memory >> 21; p.MemoryMB > half {
		l.Add("plugins.memory_mb", fmt.Sprintf("at most half of the program's memory, %d", half), "%d", p.MemoryMB)
	}
	for i, one := range p.List {
		at := fmt.Sprintf("plugins.list[%d]", i)
		for key, names := range map[string][]string{"categories": one.Categories, "to": one.To} {
			for n, name := range names {
				if _, known := of.Named[name]; !known {
					l.Add(fmt.Sprintf("%s.%s[%d]", at, key, n), "a category of the platform's settings", "%q is none", name)
				}
			}
		}
		for n, name := range one.Tenants {
			if !of.Tenant([]byte(name)) {
				l.Add(fmt.Sprintf("%s.tenants[%d]", at, n), "a tenant of the platform's settings", "%q is none", name)
			}
		}
	}
	return l
}

// Tags says whether any plug-in may set tags, which stand for tenants in the fair queues.
func (p *Plugins) tags() bool {
	return p != nil && slices.ContainsFunc(p.List, func(one Plugin) bool { return slices.Contains(one.May, "tag") })
}

// Spec is what the process of plug-ins is told; kept is what they kept in the one before, by name.
func (p *Plugins) Spec(kept map[string]map[string][]byte) plugin.Spec {
	s := plugin.Spec{Workers: p.Workers, MemoryMB: p.MemoryMB}
	for _, one := range p.List {
		o := plugin.One{Name: one.Name, File: one.File, SHA256: one.SHA256, MemoryKB: one.MemoryKB, CodeKB: one.CodeKB,
			KeepKB: one.KeepKB, Start: one.Start, Compile: one.Engine == "compiler", Seed: int64(xxh3.HashString(one.Name))}
		for _, h := range one.Hooks {
			o.Hooks[hookNames[h]] = true
		}
		if one.Keep {
			o.Keep = kept[one.Name]
		}
		for _, of := range one.Samples {
			sample := plugin.Sample{Hook: int(hookNames[of.Hook]), Category: of.Category, Tenant: of.Tenant, Body: of.Body, Status: of.Status}
			if len(of.Does) > 0 {
				does := 0
				for _, word := range of.Does {
					does |= doings[word]
				}
				sample.Does = &does
			}
			o.Samples = append(o.Samples, sample)
		}
		s.Plugins = append(s.Plugins, o)
	}
	return s
}

// Grants is what each may do.
func (p *Plugins) Grants(of *deployment.Terms) (all []chain.Grant) {
	for _, one := range p.List {
		g := chain.Grant{Name: one.Name, Categories: make([]bool, len(of.Categories)), To: make([]bool, len(of.Categories)),
			Tenants: map[string]bool{}, Call: tenths(one.Call), Share: one.Share, Core: one.Core, Every: tenths(one.Every),
			Alone: one.Alone, Row: one.Row, Rate: one.Rate, Wait: tenths(one.Wait), Longest: tenths(one.Longest)}
		if one.Otherwise == "decline" {
			g.Otherwise = chain.Decline
		}
		for _, h := range one.Hooks {
			g.At[hookNames[h]] = true
		}
		for _, name := range one.Tenants {
			g.Tenants[name] = true
		}
		for _, name := range one.Categories {
			g.Categories[of.Named[name]] = true
		}
		for i := range g.Categories {
			g.Categories[i] = g.Categories[i] || len(one.Categories) == 0
		}
		for _, name := range one.To {
			g.To[of.Named[name]] = true
		}
		for _, may := range one.May {
			g.Declines = g.Declines || may == "decline"
			g.Tags = g.Tags || may == "tag"
			g.Rewrites = g.Rewrites || may == "rewrite"
		}
		all = append(all, g)
	}
	return all
}

// Drop is the plug-ins whose memory and record do not pass to a new version.
func (p *Plugins) Drop() map[string]bool {
	drop := map[string]bool{}
	for _, one := range p.List {
		drop[one.Name] = !one.Keep
	}
	return drop
}
