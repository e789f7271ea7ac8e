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

// FairQueues is the section fair_queues, which configures how requests are scheduled fairly among tenants.
// docs/fairqueue/operating.md describes its keys.
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

// tenantSourceAccount is the value of FairQueues.TenantSource with which routers name the tenant of a request. With the
// other value, the tenant is determined from the client's network address.
const tenantSourceAccount = "account"

// Tenant assigns a tenant its own weight, which is its share of the server's work relative to the weights of others.
type Tenant struct {
	Name   string  `yaml:"name" min:"1" need:"yes"`
	Weight float64 `yaml:"share" over:"0" max:"1e6" need:"yes"`
}

// Network assigns the client addresses under a network prefix to a tenant.
type Network struct {
	Prefix Prefix `yaml:"prefix" need:"yes"`
	Tenant string `yaml:"tenant" min:"1" need:"yes"`
}

// Prefix is an IPv4 or IPv6 network prefix. A file contains it in prefix notation or as a single address.
type Prefix struct{ netip.Prefix }

var (
	errNotAPrefix  = errors.New("is no address and no prefix such as 10.1.0.0/16 or fd00::/8")
	errHostBitsSet = errors.New("has bits set beyond its length")
)

// UnmarshalText implements encoding.TextUnmarshaler. It rejects a prefix with host bits set, because that is usually a
// typing error.
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

// SetDefaults implements diagnostics.Defaulter. OthersWeight stays 0; SchedulerConfig replaces it by a value that
// depends on the weights of the named tenants.
func (f *FairQueues) SetDefaults() {
	*f = FairQueues{
		NewcomerFraction: 0.25,
		MaxHeavyHitters:  256,
		SharedFlows:      128,
		Burst:            200 * time.Millisecond,
		MinHistory:       5 * time.Second,
		RehashInterval:   30 * time.Second,
		TenantSource:     tenantSourceAccount,
		UnmatchedTenant:  "elsewhere",
	}
}

// validate checks the section on its own, without the platform's settings.
func (f *FairQueues) validate() (found diagnostics.List) {
	if f == nil {
		return nil
	}
	seenTenants := map[string]bool{}
	for i, tenant := range f.Tenants {
		if seenTenants[tenant.Name] {
			path := fmt.Sprintf("fair_queues.tenants[%d].name", i)
			found.Add(path, "each tenant once", "%q stands twice", tenant.Name)
		}
		seenTenants[tenant.Name] = true
	}
	if f.TenantSource == tenantSourceAccount && len(f.Networks)+len(f.TrustedProxies) > 0 {
		found.Add("fair_queues.networks", "by: network", "networks are told, but tenants go by account")
	}
	if f.TenantSource != tenantSourceAccount && len(f.Networks) == 0 {
		found.Add("fair_queues.by", "at least one network", "by: network without any")
	}
	seenPrefixes := map[netip.Prefix]bool{}
	for i, network := range f.Networks {
		prefix := tenancy.Normalize(network.Prefix.Prefix)
		if seenPrefixes[prefix] {
			path := fmt.Sprintf("fair_queues.networks[%d].prefix", i)
			found.Add(path, "each prefix once", "%s stands twice", network.Prefix)
		}
		seenPrefixes[prefix] = true
	}
	return found
}

// validateAgainst checks that the platform's settings contain each named tenant, so that routers can send its name.
func (f *FairQueues) validateAgainst(platform *deployment.Config) (found diagnostics.List) {
	if f == nil || f.TenantSource != tenantSourceAccount {
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

// SchedulerConfig returns the configuration of the fair scheduler, or nil if the section is absent. The server fills in
// the remaining fields (Cores and SoftDeadlines). A section that names no tenants and takes tenants from routers uses
// the weights of the platform's settings. If the key others is not set, all tenants without a weight together get the
// mean of the weights, or the whole server if no tenant has a weight.
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
	if len(config.Tenants) == 0 && f.TenantSource == tenantSourceAccount {
		config.Tenants = platform.TenantWeights
	}
	if config.OthersWeight == 0 {
		config.OthersWeight = meanWeight(config.Tenants)
	}
	return config
}

// meanWeight returns the mean weight of the tenants, or 1 if there are none.
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

// TenantTable returns the table that maps client networks to tenants. It returns nil if the section is absent or if
// routers name the tenant.
func (f *FairQueues) TenantTable() *tenancy.Table {
	if f == nil || f.TenantSource == tenantSourceAccount {
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
