package config

import (
	"slices"

	"github.com/zeebo/xxh3"

	"thistlequay/internal/deployment"
	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/timeunit"
)

// hooksByName maps the hook names of the section to the hooks of the chain.
var hooksByName = map[string]chain.Hook{
	hookRead:   chain.HookRead,
	hookResult: chain.HookResult,
	hookTick:   chain.HookTick,
}

// actionsByName maps the action names of the section to the bits of a verdict.
var actionsByName = map[string]int{
	"nothing":            0,
	capabilityReject:     abi.ActionReject,
	capabilityCategorize: abi.ActionCategorize,
	capabilityTag:        abi.ActionTag,
	capabilityRewrite:    abi.ActionReplace,
}

// ProcessSpec returns the specification with which the plug-in process is started. state is the state that plug-ins
// stored in the previous process, by plug-in name and key. Only plug-ins with KeepState receive theirs.
func (p *Plugins) ProcessSpec(state map[string]map[string][]byte) plugin.HostSpec {
	spec := plugin.HostSpec{Workers: p.Workers, MemoryMB: p.MemoryMB}
	for i := range p.Entries {
		spec.Plugins = append(spec.Plugins, p.Entries[i].moduleConfig(state))
	}
	return spec
}

// moduleConfig returns the part of the process specification that describes this plug-in.
func (p *Plugin) moduleConfig(state map[string]map[string][]byte) plugin.ModuleConfig {
	module := plugin.ModuleConfig{
		Name:         p.Name,
		File:         p.File,
		SHA256:       p.SHA256,
		MemoryKB:     p.MemoryKB,
		MaxCodeKB:    p.CodeKB,
		MaxStateKB:   p.StateKB,
		StartTimeout: p.StartTimeout,
		Compile:      p.Engine == engineCompiler,
		Seed:         int64(xxh3.HashString(p.Name)),
	}
	for _, hook := range p.Hooks {
		module.Hooks[hooksByName[hook]] = true
	}
	if p.KeepState {
		module.State = state[p.Name]
	}
	for _, sample := range p.Samples {
		module.Samples = append(module.Samples, sample.pluginSample())
	}
	return module
}

// pluginSample returns the sample in the form that the plug-in process takes.
func (s *Sample) pluginSample() plugin.Sample {
	sample := plugin.Sample{
		Hook:           int(hooksByName[s.Hook]),
		Category:       s.Category,
		Tenant:         s.Tenant,
		Body:           s.Body,
		ExpectedStatus: s.ExpectedStatus,
	}
	if len(s.ExpectedActions) > 0 {
		actions := 0
		for _, action := range s.ExpectedActions {
			actions |= actionsByName[action]
		}
		sample.ExpectedActions = &actions
	}
	return sample
}

// Policies returns the policies of the plug-ins, in the order of the chain. The section must have been validated
// against the same platform settings.
func (p *Plugins) Policies(platform *deployment.Config) (policies []chain.Policy) {
	for i := range p.Entries {
		policies = append(policies, p.Entries[i].policy(platform))
	}
	return policies
}

// policy returns the policy that the chain applies to this plug-in.
func (p *Plugin) policy(platform *deployment.Config) chain.Policy {
	policy := chain.Policy{
		Name:                 p.Name,
		Categories:           categoryFlags(p.Categories, platform),
		TargetCategories:     categoryFlags(p.TargetCategories, platform),
		Tenants:              map[string]bool{},
		MayReject:            p.has(capabilityReject),
		MayTag:               p.has(capabilityTag),
		MayRewrite:           p.has(capabilityRewrite),
		CallTimeout:          timeunit.TicksOf(p.CallTimeout),
		MaxTimeFraction:      p.MaxTimeFraction,
		CoreFraction:         p.CoreFraction,
		TickInterval:         timeunit.TicksOf(p.TickInterval),
		FaultsByTenant:       p.FaultsByTenant,
		MaxConsecutiveFaults: p.MaxConsecutiveFaults,
		MaxFaultRate:         p.MaxFaultRate,
		MinQuarantine:        timeunit.TicksOf(p.Quarantine),
		MaxQuarantine:        timeunit.TicksOf(p.MaxQuarantine),
	}
	if len(p.Categories) == 0 {
		policy.Categories = slices.Repeat([]bool{true}, len(platform.Categories))
	}
	if p.FallbackPolicy == fallbackReject {
		policy.Fallback = chain.FallbackReject
	}
	for _, hook := range p.Hooks {
		policy.Hooks[hooksByName[hook]] = true
	}
	for _, name := range p.Tenants {
		policy.Tenants[name] = true
	}
	return policy
}

// categoryFlags returns a flag for each category of the platform's settings, set if the category is among the names.
func categoryFlags(names []string, platform *deployment.Config) []bool {
	flags := make([]bool, len(platform.Categories))
	for _, name := range names {
		flags[platform.CategoryIndex[name]] = true
	}
	return flags
}

// DiscardsState reports, by plug-in name, whether a new version of the plug-in starts without the stored state and the
// fault record of the previous version.
func (p *Plugins) DiscardsState() map[string]bool {
	discards := map[string]bool{}
	for _, entry := range p.Entries {
		discards[entry.Name] = !entry.KeepState
	}
	return discards
}
