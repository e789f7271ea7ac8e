package config

// This file owns the section on the talk among servers, and the file of its keys. It must never open a socket.

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"

	"thistlequay/internal/diagnostics"
)

// Gossip is the section of docs/membership/operating.md.
type Gossip struct {
	Listen          string   `yaml:"listen" min:"1" need:"yes"`
	Advertise       string   `yaml:"advertise"`
	SeedAddresses   []string `yaml:"first"`
	InitialVoters   []string `yaml:"founders"`
	FleetName       string   `yaml:"fleet" min:"1" need:"yes"`
	ExpectedServers int      `yaml:"servers" min:"1" max:"4096" need:"yes"`
	Zone            string   `yaml:"zone"`
	KeyFile         string   `yaml:"key_file" min:"1" need:"yes"`
	StatusAddress   string   `yaml:"status"`
}

// SetDefaults is what the section has where it says nothing.
func (p *Gossip) SetDefaults() { *p = Gossip{} }

const (
	maxSeedAddresses = 64
	maxKeyFileBytes  = 64 << 10
	maxKeys          = 8
)

func (p *Gossip) validate() error {
	if p == nil {
		return nil
	}
	var l diagnostics.List
	at := func(path, address string) {
		if host, _, err := net.SplitHostPort(address); err != nil || net.ParseIP(host) == nil {
			l.Add("peers."+path, "an address such as 127.0.0.1:7946", "%q is none; names are not looked up", address)
		}
	}
	at("listen", p.Listen)
	for path, address := range map[string]string{"advertise": p.Advertise, "status": p.StatusAddress} {
		if address != "" {
			at(path, address)
		}
	}
	for i, address := range p.SeedAddresses[:min(len(p.SeedAddresses), maxSeedAddresses)] {
		at(fmt.Sprintf("first[%d]", i), address)
	}
	if len(p.SeedAddresses) > maxSeedAddresses {
		l.Add("peers.first", fmt.Sprintf("%d at most", maxSeedAddresses), "%d addresses", len(p.SeedAddresses))
	}
	if len(p.InitialVoters) > 15 || len(p.InitialVoters)%2 == 0 && len(p.InitialVoters) > 0 {
		l.Add("peers.founders", "an odd number of names, 15 at most", "%d names", len(p.InitialVoters))
	}
	for i, name := range p.InitialVoters {
		if name == "" || slices.Index(p.InitialVoters, name) < i {
			l.Add(fmt.Sprintf("peers.founders[%d]", i), "each name once", "%q stands twice or is empty", name)
		}
	}
	if len(p.InitialVoters) > p.ExpectedServers {
		l.Add("peers.servers", "at least the founders", "%d servers with %d founders", p.ExpectedServers, len(p.InitialVoters))
	}
	return l.Err()
}

// LoadKeys reads the key file, which lies beside the file that names it unless it is a whole path: a key a line in base64, of 16,
// 24 or 32 bytes. The first is spoken under, all are understood.
func (p *Gossip) LoadKeys(file string) (keys [][]byte, err error) {
	path := p.KeyFile
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(file), path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var l diagnostics.List
	if len(text) > maxKeyFileBytes {
		return nil, diagnostics.List{{File: path, Problem: "is too long", Expected: "64 KiB at most"}}
	}
	for i, line := range bytes.Split(text, []byte{'\n'}) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		key, err := base64.StdEncoding.AppendDecode(nil, line)
		if err != nil || len(key) != 16 && len(key) != 24 && len(key) != 32 {
			l = append(l, diagnostics.Diagnostic{File: path, Line: i + 1, Column: 1, Problem: "is no key", Expected: "16, 24 or 32 bytes in base64"})
			continue
		}
		keys = append(keys, key)
	}
	if len(l) == 0 && (len(keys) == 0 || len(keys) > maxKeys) {
		l = append(l, diagnostics.Diagnostic{File: path, Problem: fmt.Sprintf("%d keys", len(keys)), Expected: fmt.Sprintf("1 to %d", maxKeys)})
	}
	return keys, l.Err()
}
