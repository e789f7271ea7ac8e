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

// Terms are what one file sets. Its zero value is what holds without a file: all is off.
type Terms struct {
	FairQueues *FairQueues `yaml:"fair_queues"`
	Plugins    *Plugins    `yaml:"plugins"`
	Store      *Store      `yaml:"store"`
	Peers      *Peers      `yaml:"peers"`
	Shares     *Shares     `yaml:"shares"`
	file       string
	places     diagnostics.Places
}

// FairQueues is the section of docs/fairqueue/operating.md.
type FairQueues struct {
	Tenants   []Tenant      `yaml:"tenants"`
	Others    float64       `yaml:"others" over:"0" max:"1e6"`
	Newcomers float64       `yaml:"newcomers" over:"0" under:"1"`
	Books     int           `yaml:"books" min:"0" max:"4096"`
	Groups    int           `yaml:"groups" min:"1" max:"4096"`
	Burst     time.Duration `yaml:"burst" min:"1ms" max:"60s"`
	History   time.Duration `yaml:"history" min:"100ms" max:"1h"`
	Reshuffle time.Duration `yaml:"reshuffle" min:"1s" max:"24h"`
	By        string        `yaml:"by" one:"account network"`
	Networks  []Network     `yaml:"networks"`
	Unmatched string        `yaml:"unmatched" min:"1"`
	Fronts    []Prefix      `yaml:"trusted_fronts"`
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
		return errNoPrefix
	}
	if p.Prefix != p.Prefix.Masked() {
		return errBits
	}
	return nil
}

type plain string

func (p plain) Error() string { return string(p) }

const (
	errNoPrefix = plain("is no address and no prefix such as 10.1.0.0/16 or fd00::/8")
	errBits     = plain("has bits set beyond its length")
)

const mostBytes = 4 << 20 // of the file

// Default is what a section has where it says nothing.
func (f *FairQueues) Default() {
	*f = FairQueues{Newcomers: 0.25, Books: 256, Groups: 128, Burst: 200 * time.Millisecond,
		History: 5 * time.Second, Reshuffle: 30 * time.Second, By: "account", Unmatched: "elsewhere"}
}

// Read reads a file; without a name all is off.
func Read(file string) (*Terms, error) {
	t := &Terms{}
	if file == "" {
		return t, nil
	}
	in, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	text, err := io.ReadAll(io.LimitReader(in, mostBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > mostBytes {
		return nil, diagnostics.List{{File: file, What: "is too long", Want: "4 MiB at most"}}
	}
	t.file = file
	if t.places, err = diagnostics.YAML(bytes.NewReader(text), t); err != nil {
		return nil, diagnostics.Of(err).In(file)
	}
	var l diagnostics.List
	for _, err := range []error{t.FairQueues.check(), t.Plugins.check(file), t.Peers.check(), t.Shares.check(t.Peers)} {
		l = append(l, diagnostics.Of(err)...)
	}
	if len(l) > 0 {
		return nil, t.places.Locate(l).In(file)
	}
	return t, nil
}

func (f *FairQueues) check() error {
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
	if f.By == "account" && len(f.Networks)+len(f.Fronts) > 0 {
		l.Add("fair_queues.networks", "by: network", "networks are told, but tenants go by account")
	}
	if f.By == "network" && len(f.Networks) == 0 {
		l.Add("fair_queues.by", "at least one network", "by: network without any")
	}
	seen := map[netip.Prefix]bool{}
	for i, n := range f.Networks {
		if p := tenancy.Plain(n.Prefix.Prefix); seen[p] {
			l.Add(fmt.Sprintf("fair_queues.networks[%d].prefix", i), "each prefix once", "%s stands twice", n.Prefix)
		} else {
			seen[p] = true
		}
	}
	return l.Or()
}

// Against checks the sections against the platform's settings and the program's memory in bytes: they go together only
// if both can be meant.
func (t *Terms) Against(of *deployment.Terms, memory int) error {
	l := append(t.Plugins.against(of, memory), t.Shares.against(of)...)
	if f := t.FairQueues; f != nil && f.By == "account" && !t.Plugins.tags() {
		for i, tenant := range f.Tenants {
			if !of.Tenant([]byte(tenant.Name)) {
				l.Add(fmt.Sprintf("fair_queues.tenants[%d].name", i), "a tenant of the platform's settings", "%q is none", tenant.Name)
			}
		}
	}
	return t.places.Locate(l).In(t.file).Or()
}

// Ledger makes the ledger's terms, but for what the server has. Without tenants of its own the section takes the shares that the platform's settings
// tell; others have the mean of the shares where nothing is said, or all where nobody is named.
func (f *FairQueues) Ledger(of *deployment.Terms) *fairqueue.Terms {
	if f == nil {
		return nil
	}
	t := &fairqueue.Terms{Others: f.Others, Newcomers: f.Newcomers, Books: f.Books, Groups: f.Groups, Burst: tenths(f.Burst),
		History: tenths(f.History), Reshuffle: tenths(f.Reshuffle)}
	for _, tenant := range f.Tenants {
		t.Tenants = append(t.Tenants, fairqueue.Tenant{Name: tenant.Name, Share: tenant.Share})
	}
	if len(t.Tenants) == 0 && f.By == "account" {
		t.Tenants = of.Shares
	}
	if t.Others == 0 {
		t.Others = 1
		sum := 0.0
		for _, tenant := range t.Tenants {
			sum += tenant.Share
		}
		if sum > 0 {
			t.Others = sum / float64(len(t.Tenants))
		}
	}
	return t
}

func tenths(d time.Duration) timeunit.Ticks { return timeunit.Ticks(d / (100 * time.Microsecond)) }

// Tenancy makes what tells whose a request is.
func (f *FairQueues) Tenancy() *tenancy.Table {
	if f == nil || f.By == "account" {
		return nil
	}
	t := tenancy.New(f.Unmatched)
	for _, n := range f.Networks {
		t.Add(n.Prefix.Prefix, n.Tenant)
	}
	for _, p := range f.Fronts {
		t.Trust(p.Prefix)
	}
	return t
}
