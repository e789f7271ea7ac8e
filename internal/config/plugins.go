package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"thistlequay/internal/deployment"
	"thistlequay/internal/diagnostics"
)

// Plugins is the section plugins, which configures the plug-in process and the chain of plug-ins.
// docs/plugin/operating.md describes its keys.
type Plugins struct {
	MemoryMB     int           `yaml:"memory_mb" min:"12" max:"4096"` // memory limit of the plug-in process
	Workers      int           `yaml:"workers" min:"1" max:"16"`
	ReadyTimeout time.Duration `yaml:"ready" min:"100ms" max:"2m"`
	Entries      []Plugin      `yaml:"list" need:"yes"`
}

// Plugin configures one plug-in: its module, its capabilities and its resource limits. Plug-ins are called in the order
// of the list.
type Plugin struct {
	Name   string `yaml:"name" min:"1" need:"yes"`
	File   string `yaml:"file" min:"1" need:"yes"`
	SHA256 string `yaml:"sha256"` // hex; if empty, validate sets the hash of the current file
	Engine string `yaml:"engine" one:"interpreter compiler"`

	// Limits of one instance of the module.
	MemoryKB     int           `yaml:"memory_kb" min:"64" max:"1048576"`
	CodeKB       int           `yaml:"code_kb" min:"1" max:"65536"`
	StateKB      int           `yaml:"keep_kb" min:"0" max:"1024"`
	KeepState    bool          `yaml:"keep"` // a new version takes over the stored state of the previous one
	StartTimeout time.Duration `yaml:"start" min:"1ms" max:"30s"`

	// The calls that the plug-in receives, and the verdicts that it may return.
	Hooks            []string `yaml:"hooks" one:"read result tick" need:"yes"`
	Categories       []string `yaml:"categories"` // categories of the requests it sees; if empty, all
	Tenants          []string `yaml:"tenants"`    // tenants whose requests it sees; if empty, all
	Capabilities     []string `yaml:"may" one:"decline categorise tag rewrite"`
	TargetCategories []string `yaml:"to"` // categories that it may move requests to

	// Time limits of its calls.
	CallTimeout     time.Duration `yaml:"call" min:"100us" max:"200ms"`
	MaxTimeFraction float64       `yaml:"share" over:"0" max:"0.5"` // of the request's remaining time
	CoreFraction    float64       `yaml:"core" over:"0" max:"1"`    // fraction of one core, averaged over a second
	TickInterval    time.Duration `yaml:"every" min:"10ms" max:"1h"`

	// The handling of faults.
	FallbackPolicy       string        `yaml:"otherwise" one:"pass decline"`
	FaultsByTenant       bool          `yaml:"faults_by_tenant"`
	MaxConsecutiveFaults int           `yaml:"faults_in_a_row" min:"1" max:"1000"`
	MaxFaultRate         float64       `yaml:"fault_rate" over:"0" max:"1"`
	Quarantine           time.Duration `yaml:"quarantine" min:"10ms" max:"1h"` // the first one; it doubles each time
	MaxQuarantine        time.Duration `yaml:"longest_quarantine" min:"10ms" max:"24h"`

	Samples []Sample `yaml:"samples"`
}

// Sample is a request that a new version of a plug-in must answer as expected before it sees real requests.
type Sample struct {
	Hook            string   `yaml:"hook" one:"read result tick"`
	Category        string   `yaml:"category"`
	Tenant          string   `yaml:"tenant"`
	Body            string   `yaml:"body"`
	ExpectedActions []string `yaml:"does" one:"nothing decline categorise tag rewrite"` // if empty, any action passes
	ExpectedStatus  int      `yaml:"status" min:"0" max:"599"`                          // if 0, any status passes
}

// Values that are accepted in the section: hooks, capabilities, an engine and a fallback policy.
const (
	hookRead   = "read"
	hookResult = "result"
	hookTick   = "tick"

	capabilityReject     = "decline"
	capabilityCategorize = "categorise"
	capabilityTag        = "tag"
	capabilityRewrite    = "rewrite"

	engineCompiler = "compiler"
	fallbackReject = "decline"
)

// SetDefaults implements diagnostics.Defaulter.
func (p *Plugins) SetDefaults() {
	*p = Plugins{MemoryMB: 32, Workers: 1, ReadyTimeout: 10 * time.Second}
}

// SetDefaults implements diagnostics.Defaulter.
func (p *Plugin) SetDefaults() {
	*p = Plugin{
		Engine:               "interpreter",
		MemoryKB:             1024,
		CodeKB:               512,
		StateKB:              16,
		KeepState:            true,
		StartTimeout:         time.Second,
		CallTimeout:          5 * time.Millisecond,
		MaxTimeFraction:      0.1,
		CoreFraction:         0.1,
		TickInterval:         time.Second,
		FallbackPolicy:       "pass",
		MaxConsecutiveFaults: 5,
		MaxFaultRate:         0.5,
		Quarantine:           time.Second,
		MaxQuarantine:        5 * time.Minute,
	}
}

// validate checks the section on its own. It also resolves the path of each module against the directory of the
// settings file and sets the hash of each module to that of the file's current content.
func (p *Plugins) validate(settingsFile string) (found diagnostics.List) {
	if p == nil {
		return nil
	}
	if len(p.Entries) == 0 {
		found.Add("plugins.list", "at least one plug-in", "is empty")
	}
	seen := map[string]bool{}
	for i := range p.Entries {
		entry := &p.Entries[i]
		path := fmt.Sprintf("plugins.list[%d]", i)
		if seen[entry.Name] {
			found.Add(path+".name", "each name once", "%q stands twice", entry.Name)
		}
		seen[entry.Name] = true
		entry.File = resolvePath(settingsFile, entry.File)
		entry.pinModule(&found, path)
		entry.validateCapabilities(&found, path)
		if entry.MaxQuarantine < entry.Quarantine {
			expected := fmt.Sprintf("at least quarantine, %v", entry.Quarantine)
			found.Add(path+".longest_quarantine", expected, "%v", entry.MaxQuarantine)
		}
	}
	return found
}

// pinModule sets the hash of the module's file, so that a file that changes later is not run with these settings. It
// adds a diagnostic if the settings contain a different hash.
func (p *Plugin) pinModule(found *diagnostics.List, path string) {
	sum, err := fileSHA256(p.File, p.CodeKB)
	switch {
	case err != nil:
		found.Add(path+".file", "", "%s", err)
	case p.SHA256 != "" && !strings.EqualFold(p.SHA256, sum):
		found.Add(path+".sha256", p.SHA256, "the file has %s", sum)
	}
	p.SHA256 = sum
}

// validateCapabilities checks that the plug-in's capabilities are consistent with its hooks, its target categories and
// its fallback policy.
func (p *Plugin) validateCapabilities(found *diagnostics.List, path string) {
	if p.has(capabilityReject) && !slices.Contains(p.Hooks, hookRead) {
		found.Add(path+".may", "the hook read", "decline without it: what ran is never declined")
	}
	if p.has(capabilityRewrite) && !slices.Contains(p.Hooks, hookResult) {
		found.Add(path+".may", "the hook result", "rewrite without it")
	}
	if p.has(capabilityCategorize) != (len(p.TargetCategories) > 0) {
		found.Add(path+".to", "categories in `to` if and only if it may categorise", "has %d", len(p.TargetCategories))
	}
	if p.FallbackPolicy == fallbackReject && !p.has(capabilityReject) {
		found.Add(path+".otherwise", "pass, or that it may decline", `"decline"`)
	}
}

// has reports whether the plug-in has a capability.
func (p *Plugin) has(capability string) bool { return slices.Contains(p.Capabilities, capability) }

// fileSHA256 returns the SHA-256 hash of a file in hex. It fails if the file is larger than maxKB kilobytes and reads
// no further than that, so that the server does not spend time on a file that is not a module.
func fileSHA256(path string, maxKB int) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err // it already contains the path
	}
	defer func() { _ = file.Close() }() // an error is harmless because the file was only read
	maxBytes := int64(maxKB) << 10
	sum := sha256.New()
	size, err := io.Copy(sum, io.LimitReader(file, maxBytes+1))
	if err == nil && size > maxBytes {
		err = fmt.Errorf("has more than code_kb allows, %d", maxKB)
	}
	return hex.EncodeToString(sum.Sum(nil)), err
}

// validateAgainst checks that the platform's settings contain the tenants and categories that the section names, and
// that the plug-in process gets at most half of the program's memory limit, given in bytes.
func (p *Plugins) validateAgainst(platform *deployment.Config, memoryBytes int) (found diagnostics.List) {
	if p == nil {
		return nil
	}
	if maxMB := memoryBytes >> 21; p.MemoryMB > maxMB {
		expected := fmt.Sprintf("at most half of the program's memory, %d", maxMB)
		found.Add("plugins.memory_mb", expected, "%d", p.MemoryMB)
	}
	for i := range p.Entries {
		entry := &p.Entries[i]
		path := fmt.Sprintf("plugins.list[%d]", i)
		validateCategories(&found, path+".categories", entry.Categories, platform)
		validateCategories(&found, path+".to", entry.TargetCategories, platform)
		for n, name := range entry.Tenants {
			if !platform.HasTenant([]byte(name)) {
				tenantPath := fmt.Sprintf("%s.tenants[%d]", path, n)
				found.Add(tenantPath, "a tenant of the platform's settings", "%q is none", name)
			}
		}
	}
	return found
}

// validateCategories adds a diagnostic for each name that is not a category of the platform's settings.
func validateCategories(found *diagnostics.List, path string, names []string, platform *deployment.Config) {
	for i, name := range names {
		if _, known := platform.CategoryIndex[name]; !known {
			found.Add(fmt.Sprintf("%s[%d]", path, i), "a category of the platform's settings", "%q is none", name)
		}
	}
}

// anyMayTag reports whether any plug-in may set tags. The fair queues treat a tag as a tenant, so if tags may be set,
// their settings may name tenants that the platform does not know.
func (p *Plugins) anyMayTag() bool {
	return p != nil && slices.ContainsFunc(p.Entries, func(entry Plugin) bool { return entry.has(capabilityTag) })
}
