// Package service reads our own settings: one YAML file, a section a subsystem, an absent section is off. It turns
// them into what the subsystems take. It must never read the platform's configuration, nor apply half a file.
package config

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"thistlequay/internal/deployment"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/fairqueue"
	"thistlequay/internal/tenancy"
	"thistlequay/timeunit"
)

// Config are what one file sets. Its zero value is what holds without a file: all is off.
type Config struct {
	FairQueues *FairQueues `yaml:"fair_queues"`
	Plugins    *Plugins    `yaml:"plugins"`
	Store      *Store      `yaml:"store"`
	Gossip     *Gossip     `yaml:"peers"`
	Quota      *Quota      `yaml:"shares"`
	path       string
	positions  diagnostics.Positions
}

// FairQueues is the section of docs/fairqueue/operating.md.
type FairQueues struct {
	Tenants           []Tenant      `yaml:"tenants"`
	DefaultShare      float64       `yaml:"others" over:"0" max:"1e6"`
	NewcomerFraction  float64       `yaml:"newcomers" over:"0" under:"1"`
	MaxTrackedTenants int           `yaml:"books" min:"0" max:"4096"`
	HashGroups        int           `yaml:"groups" min:"1" max:"4096"`
	Burst             time.Duration `yaml:"burst" min:"1ms" max:"60s"`
	MinHistory        time.Duration `yaml:"history" min:"100ms" max:"1h"`
	ReshuffleInterval time.Duration `yaml:"reshuffle" min:"1s" max:"24h"`
	TenantSource      string        `yaml:"by" one:"account network"`
	Networks          []Network     `yaml:"networks"`
	UnmatchedTenant   string        `yaml:"unmatched" min:"1"`
	TrustedProxies    []Prefix      `yaml:"trusted_fronts"`
}

// Tenant has a share of the server's work against the others.
type Tenant struct {
	Name  string  `yaml:"name" min:"1" need:"yes"`
	Share float64 `yaml:"share" over:"0" max:"1e6" need:"yes"`
}

// Network says whose the addresses under a prefix are.
type Network struct {
	Prefix Prefix `yaml:"prefix" need:"yes"`
	Tenant string `yaml:"tenant" min:"1" need:"yes"`
}

// Prefix is an address or a prefix, of either family.
type Prefix struct{ netip.Prefix }

// UnmarshalText reads it. Bits beyond the prefix must not be set: such a prefix is mostly a slip.
func (p *Prefix) UnmarshalText(text []byte) (err error) {
	if a, errAddress := netip.ParseAddr(string(text)); errAddress == nil {
		p.Prefix = netip.PrefixFrom(a, a.BitLen())
	} else if p.Prefix, err = netip.ParsePrefix(string(text)); err != nil {
		return errNotAPrefix
	}
	if p.Prefix != p.Prefix.Masked() {
		return errHostBitsSet
	}
	return nil
}

type constantError string

func (p constantError) Error() string { return string(p) }

const (
	errNotAPrefix  = constantError("is no address and no prefix such as 10.1.0.0/16 or fd00::/8")
	errHostBitsSet = constantError("has bits set beyond its length")
)

const maxFileBytes = 4 << 20 // of the file

// SetDefaults is what a section has where it says nothing.
func (f *FairQueues) SetDefaults() {
	*f = FairQueues{NewcomerFraction: 0.25, MaxTrackedTenants: 256, HashGroups: 128, Burst: 200 * time.Millisecond,
		MinHistory: 5 * time.Second, ReshuffleInterval: 30 * time.Second, TenantSource: "account", UnmatchedTenant: "elsewhere"}
}

// Read reads a file; without a name all is off.
func Read(file string) (*Config, error) {
	t := &Config{}
	if file == "" {
		return t, nil
	}
	in, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	text, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFileBytes {
		return nil, diagnostics.List{{File: file, Problem: "is too long", Expected: "4 MiB at most"}}
	}
	t.path = file
	if t.positions, err = diagnostics.DecodeYAML(bytes.NewReader(text), t); err != nil {
		return nil, diagnostics.FromError(err).InFile(file)
	}
	var l diagnostics.List
	for _, err := range []error{t.FairQueues.validate(), t.Plugins.validate(file), t.Gossip.validate(), t.Quota.validate(t.Gossip)} {
		l = append(l, diagnostics.FromError(err)...)
	}
	if len(l) > 0 {
		return nil, t.positions.Locate(l).InFile(file)
	}
	return t, nil
}

func (f *FairQueues) validate() error {
	if f == nil {
		return nil
	}
	var l diagnostics.List
	named := map[string]bool{}
	for i, t := range f.Tenants {
		if named[t.Name] {
			l.Add(fmt.Sprintf("fair_queues.tenants[%d].name", i), "each tenant once", "%q stands twice", t.Name)
		}
		named[t.Name] = true
	}
	if f.TenantSource == "account" && len(f.Networks)+len(f.TrustedProxies) > 0 {
		l.Add("fair_queues.networks", "by: network", "networks are told, but tenants go by account")
	}
	if f.TenantSource == "network" && len(f.Networks) == 0 {
		l.Add("fair_queues.by", "at least one network", "by: network without any")
	}
	seen := map[netip.Prefix]bool{}
	for i, n := range f.Networks {
		if p := tenancy.Normalize(n.Prefix.Prefix); seen[p] {
			l.Add(fmt.Sprintf("fair_queues.networks[%d].prefix", i), "each prefix once", "%s stands twice", n.Prefix)
		} else {
			seen[p] = true
		}
	}
	return l.Err()
}

// ValidateAgainst checks the sections against the platform's settings and the program's memory in bytes: they go together only
// if both can be meant.
func (t *Config) ValidateAgainst(of *deployment.Config, memory int) error {
	l := append(t.Plugins.validateAgainst(of, memory), t.Quota.validateAgainst(of)...)
	if f := t.FairQueues; f != nil && f.TenantSource == "account" && !t.Plugins.anyMayTag() {
		for i, tenant := range f.Tenants {
			if !of.HasTenant([]byte(tenant.Name)) {
				l.Add(fmt.Sprintf("fair_queues.tenants[%d].name", i), "a tenant of the platform's settings", "%q is none", tenant.Name)
			}
		}
	}
	return t.positions.Locate(l).InFile(t.path).Err()
}

// SchedulerConfig makes the ledger's terms, but for what the server has. Without tenants of its own the section takes the shares that the platform's settings
// tell; others have the mean of the shares where nothing is said, or all where nobody is named.
func (f *FairQueues) SchedulerConfig(of *deployment.Config) *fairqueue.Config {
	if f == nil {
		return nil
	}
	t := &fairqueue.Config{OthersWeight: f.DefaultShare, NewcomerFraction: f.NewcomerFraction, MaxHeavyHitters: f.MaxTrackedTenants, SharedFlows: f.HashGroups, Burst: ticks(f.Burst),
		MinHistory: ticks(f.MinHistory), RehashInterval: ticks(f.ReshuffleInterval)}
	for _, tenant := range f.Tenants {
		t.Tenants = append(t.Tenants, fairqueue.Tenant{Name: tenant.Name, Weight: tenant.Share})
	}
	if len(t.Tenants) == 0 && f.TenantSource == "account" {
		t.Tenants = of.TenantWeights
	}
	if t.OthersWeight == 0 {
		t.OthersWeight = 1
		sum := 0.0
		for _, tenant := range t.Tenants {
			sum += tenant.Weight
		}
		if sum > 0 {
			t.OthersWeight = sum / float64(len(t.Tenants))
		}
	}
	return t
}

func ticks(d time.Duration) timeunit.Ticks { return timeunit.Ticks(d / (100 * time.Microsecond)) }

// TenantTable makes what tells whose a request is.
func (f *FairQueues) TenantTable() *tenancy.Table {
	if f == nil || f.TenantSource == "account" {
		return nil
	}
	t := tenancy.New(f.UnmatchedTenant)
	for _, n := range f.Networks {
		t.AddNetwork(n.Prefix.Prefix, n.Tenant)
	}
	for _, p := range f.TrustedProxies {
		t.TrustProxies(p.Prefix)
	}
	return t
}
