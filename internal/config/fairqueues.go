package config

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"thistlequay/internal/deployment"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/tenancy"
	"thistlequay/timeunit"
)

// FairQueues is the section fair_queues; docs/fairqueue/operating.md describes its keys.
type FairQueues struct {
	Tenants          []Tenant      `yaml:"tenants"`
	OthersWeight     float64       `yaml:"others" over:"0" max:"1e6"`
	NewcomerFraction float64       `yaml:"newcomers" over:"0" under:"1"`
	MaxHeavyHitters  int           `yaml:"books" min:"0" max:"4096"`
	SharedFlows      int           `yaml:"groups" min:"1" max:"4096"`
	Burst            time.Duration `yaml:"burst" min:"1ms" max:"60s"`
	MinHistory       time.Duration `yaml:"history" min:"100ms" max:"1h"`
	RehashInterval   time.Duration `yaml:"reshuffle" min:"1s" max:"24h"`
	TenantSource     string        `yaml:"by" one:"account network"`
	Networks         []Network     `yaml:"networks"`
	UnmatchedTenant  string        `yaml:"unmatched" min:"1"`
	TrustedProxies   []Prefix      `yaml:"trusted_fronts"`
}

// byAccount is the TenantSource where routers name the tenant; otherwise the client's network tells it.
const byAccount = "account"

// Tenant is one with a weight of its own: its part of the server's work against the others'.
type Tenant struct {
	Name   string  `yaml:"name" min:"1" need:"yes"`
	Weight float64 `yaml:"share" over:"0" max:"1e6" need:"yes"`
}

// Network says whose the client addresses under a prefix are.
type Network struct {
	Prefix Prefix `yaml:"prefix" need:"yes"`
	Tenant string `yaml:"tenant" min:"1" need:"yes"`
}

// Prefix is a network prefix of either address family. It is written as a prefix or as a single address.
type Prefix struct{ netip.Prefix }

var (
	errNotAPrefix  = errors.New("is no address and no prefix such as 10.1.0.0/16 or fd00::/8")
	errHostBitsSet = errors.New("has bits set beyond its length")
)

// UnmarshalText implements encoding.TextUnmarshaler. Bits beyond the length must not be set: such a prefix is mostly a
// slip.
func (p *Prefix) UnmarshalText(text []byte) error {
	if address, err := netip.ParseAddr(string(text)); err == nil {
		p.Prefix = netip.PrefixFrom(address, address.BitLen())
	} else {
		p.Prefix, err = netip.ParsePrefix(string(text))
		if err != nil {
			return errNotAPrefix
		}
	}
	if p.Prefix != p.Masked() {
		return errHostBitsSet
	}
	return nil
}

// SetDefaults implements diagnostics.Defaulter. OthersWeight stays 0, which SchedulerConfig replaces.
func (f *FairQueues) SetDefaults() {
	*f = FairQueues{
		NewcomerFraction: 0.25,
		MaxHeavyHitters:  256,
		SharedFlows:      128,
		Burst:            200 * time.Millisecond,
		MinHistory:       5 * time.Second,
		RehashInterval:   30 * time.Second,
		TenantSource:     byAccount,
		UnmatchedTenant:  "elsewhere",
	}
}

func (f *FairQueues) validate() (found diagnostics.List) {
	if f == nil {
		return nil
	}
	named := map[string]bool{}
	for i, tenant := range f.Tenants {
		if named[tenant.Name] {
			path := fmt.Sprintf("fair_queues.tenants[%d].name", i)
			found.Add(path, "each tenant once", "%q stands twice", tenant.Name)
		}
		named[tenant.Name] = true
	}
	if f.TenantSource == byAccount && len(f.Networks)+len(f.TrustedProxies) > 0 {
		found.Add("fair_queues.networks", "by: network", "networks are told, but tenants go by account")
	}
	if f.TenantSource != byAccount && len(f.Networks) == 0 {
		found.Add("fair_queues.by", "at least one network", "by: network without any")
	}
	seen := map[netip.Prefix]bool{}
	for i, network := range f.Networks {
		prefix := tenancy.Normalize(network.Prefix.Prefix)
		if seen[prefix] {
			path := fmt.Sprintf("fair_queues.networks[%d].prefix", i)
			found.Add(path, "each prefix once", "%s stands twice", network.Prefix)
		}
		seen[prefix] = true
	}
	return found
}

// validateAgainst checks that routers can name the tenants.
func (f *FairQueues) validateAgainst(platform *deployment.Config) (found diagnostics.List) {
	if f == nil || f.TenantSource != byAccount {
		return nil
	}
	for i, tenant := range f.Tenants {
		if !platform.HasTenant([]byte(tenant.Name)) {
			path := fmt.Sprintf("fair_queues.tenants[%d].name", i)
			found.Add(path, "a tenant of the platform's settings", "%q is none", tenant.Name)
		}
	}
	return found
}

// SchedulerConfig returns the configuration of the fair scheduler, without the fields that the server knows; nil if the
// section is absent. A section without tenants of its own takes the weights of the platform's settings. Tenants without
// a weight have together the mean of the weights where nothing is said, or everything where no tenant is named.
func (f *FairQueues) SchedulerConfig(platform *deployment.Config) *fairqueue.Config {
	if f == nil {
		return nil
	}
	config := &fairqueue.Config{
		OthersWeight:     f.OthersWeight,
		NewcomerFraction: f.NewcomerFraction,
		MaxHeavyHitters:  f.MaxHeavyHitters,
		SharedFlows:      f.SharedFlows,
		Burst:            timeunit.TicksOf(f.Burst),
		MinHistory:       timeunit.TicksOf(f.MinHistory),
		RehashInterval:   timeunit.TicksOf(f.RehashInterval),
	}
	for _, tenant := range f.Tenants {
		config.Tenants = append(config.Tenants, fairqueue.Tenant{Name: tenant.Name, Weight: tenant.Weight})
	}
	if len(config.Tenants) == 0 && f.TenantSource == byAccount {
		config.Tenants = platform.TenantWeights
	}
	if config.OthersWeight == 0 {
		config.OthersWeight = meanWeight(config.Tenants)
	}
	return config
}

// meanWeight returns the mean weight of the tenants, 1 where there is none.
func meanWeight(tenants []fairqueue.Tenant) float64 {
	sum := 0.0
	for _, tenant := range tenants {
		sum += tenant.Weight
	}
	if sum <= 0 {
		return 1
	}
	return sum / float64(len(tenants))
}

// TenantTable returns the table that tells the tenant of a request by the client's network; nil where the section is
// absent or routers name the tenant.
func (f *FairQueues) TenantTable() *tenancy.Table {
	if f == nil || f.TenantSource == byAccount {
		return nil
	}
	table := tenancy.New(f.UnmatchedTenant)
	for _, network := range f.Networks {
		table.AddNetwork(network.Prefix.Prefix, network.Tenant)
	}
	for _, proxy := range f.TrustedProxies {
		table.TrustProxies(proxy.Prefix)
	}
	return table
}
