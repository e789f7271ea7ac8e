package config

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"net"
	"os"

	"thistlequay/internal/diagnostics"
)

// Gossip is the section peers, which configures gossip among the servers of a fleet. docs/membership/operating.md
// describes its keys.
type Gossip struct {
	Listen          string   `yaml:"listen" min:"1" need:"yes"`
	Advertise       string   `yaml:"advertise"` // if empty, Listen is advertised
	SeedAddresses   []string `yaml:"first"`
	InitialVoters   []string `yaml:"founders"`
	FleetName       string   `yaml:"fleet" min:"1" need:"yes"`
	ExpectedServers int      `yaml:"servers" min:"1" max:"4096" need:"yes"`
	Zone            string   `yaml:"zone"`
	KeyFile         string   `yaml:"key_file" min:"1" need:"yes"`
	StatusAddress   string   `yaml:"status"` // if empty, the status is not served
}

// Maximum lengths of the lists in the section.
const (
	maxSeedAddresses = 64
	maxInitialVoters = 15
)

// Limits of the key file.
const (
	maxKeyFileBytes = 64 << 10
	maxKeys         = 8
)

// SetDefaults implements diagnostics.Defaulter. All optional keys default to empty values.
func (g *Gossip) SetDefaults() { *g = Gossip{} }

// validate checks the section on its own, without reading the key file.
func (g *Gossip) validate() (found diagnostics.List) {
	if g == nil {
		return nil
	}
	validateAddress(&found, "peers.listen", g.Listen)
	if g.Advertise != "" {
		validateAddress(&found, "peers.advertise", g.Advertise)
	}
	if g.StatusAddress != "" {
		validateAddress(&found, "peers.status", g.StatusAddress)
	}
	for i, address := range g.SeedAddresses[:min(len(g.SeedAddresses), maxSeedAddresses)] {
		validateAddress(&found, fmt.Sprintf("peers.first[%d]", i), address)
	}
	if count := len(g.SeedAddresses); count > maxSeedAddresses {
		found.Add("peers.first", fmt.Sprintf("%d at most", maxSeedAddresses), "%d addresses", count)
	}
	voters := len(g.InitialVoters)
	// An even number of voters tolerates no more failures than the odd number below it.
	if voters > maxInitialVoters || voters%2 == 0 && voters > 0 {
		expected := fmt.Sprintf("an odd number of names, %d at most", maxInitialVoters)
		found.Add("peers.founders", expected, "%d names", voters)
	}
	validateNames(&found, "peers.founders", g.InitialVoters)
	if voters > g.ExpectedServers {
		found.Add("peers.servers", "at least the founders", "%d servers with %d founders", g.ExpectedServers, voters)
	}
	return found
}

// validateAddress adds a diagnostic if an address is not an IP address with a port. Host names are not resolved.
func validateAddress(found *diagnostics.List, path, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		found.Add(path, "an address such as 127.0.0.1:7946", "%q is none; names are not looked up", address)
	}
}

// LoadKeys reads the encryption keys from the key file. A relative path of the key file is relative to the directory of
// the settings file. The key file contains one key of 16, 24 or 32 bytes per line, in base64; empty lines and lines
// that begin with # are ignored. The first key encrypts messages, and all of them decrypt.
func (g *Gossip) LoadKeys(settingsFile string) (keys [][]byte, err error) {
	path := resolvePath(settingsFile, g.KeyFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err // it already contains the path
	}
	if len(text) > maxKeyFileBytes {
		return nil, diagnostics.List{{File: path, Problem: "is too long", Expected: "64 KiB at most"}}
	}
	var found diagnostics.List
	for i, line := range bytes.Split(text, []byte{'\n'}) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		key, err := base64.StdEncoding.AppendDecode(nil, line)
		if err != nil || !isAESKeySize(len(key)) {
			found = append(found, diagnostics.Diagnostic{
				File: path, Line: i + 1, Column: 1, Problem: "is no key", Expected: "16, 24 or 32 bytes in base64",
			})
			continue
		}
		keys = append(keys, key)
	}
	if len(found) == 0 && (len(keys) == 0 || len(keys) > maxKeys) {
		found = append(found, diagnostics.Diagnostic{
			File:     path,
			Problem:  fmt.Sprintf("%d keys", len(keys)),
			Expected: fmt.Sprintf("1 to %d", maxKeys),
		})
	}
	return keys, found.Err()
}

func isAESKeySize(size int) bool { return size == 16 || size == 24 || size == 32 }
