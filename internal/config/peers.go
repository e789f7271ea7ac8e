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

// Peers is the section of docs/membership/operating.md.
type Peers struct {
	Listen    string   `yaml:"listen" min:"1" need:"yes"`
	Advertise string   `yaml:"advertise"`
	First     []string `yaml:"first"`
	Founders  []string `yaml:"founders"`
	Fleet     string   `yaml:"fleet" min:"1" need:"yes"`
	Servers   int      `yaml:"servers" min:"1" max:"4096" need:"yes"`
	Zone      string   `yaml:"zone"`
	KeyFile   string   `yaml:"key_file" min:"1" need:"yes"`
	Status    string   `yaml:"status"`
}

// Default is what the section has where it says nothing.
func (p *Peers) Default() { *p = Peers{} }

const (
	mostPeers    = 64
	mostKeyBytes = 64 << 10
	mostKeys     = 8
)

func (p *Peers) check() error {
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
	for path, address := range map[string]string{"advertise": p.Advertise, "status": p.Status} {
		if address != "" {
			at(path, address)
		}
	}
	for i, address := range p.First[:min(len(p.First), mostPeers)] {
		at(fmt.Sprintf("first[%d]", i), address)
	}
	if len(p.First) > mostPeers {
		l.Add("peers.first", fmt.Sprintf("%d at most", mostPeers), "%d addresses", len(p.First))
	}
	if len(p.Founders) > 15 || len(p.Founders)%2 == 0 && len(p.Founders) > 0 {
		l.Add("peers.founders", "an odd number of names, 15 at most", "%d names", len(p.Founders))
	}
	for i, name := range p.Founders {
		if name == "" || slices.Index(p.Founders, name) < i {
			l.Add(fmt.Sprintf("peers.founders[%d]", i), "each name once", "%q stands twice or is empty", name)
		}
	}
	if len(p.Founders) > p.Servers {
		l.Add("peers.servers", "at least the founders", "%d servers with %d founders", p.Servers, len(p.Founders))
	}
	return l.Or()
}

// Keys reads the key file, which lies beside the file that names it unless it is a whole path: a key a line in base64, of 16,
// 24 or 32 bytes. The first is spoken under, all are understood.
func (p *Peers) Keys(file string) (keys [][]byte, err error) {
	path := p.KeyFile
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(file), path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var l diagnostics.List
	if len(text) > mostKeyBytes {
		return nil, diagnostics.List{{File: path, What: "is too long", Want: "64 KiB at most"}}
	}
	for i, line := range bytes.Split(text, []byte{'\n'}) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		key, err := base64.StdEncoding.AppendDecode(nil, line)
		if err != nil || len(key) != 16 && len(key) != 24 && len(key) != 32 {
			l = append(l, diagnostics.Fault{File: path, Line: i + 1, Column: 1, What: "is no key", Want: "16, 24 or 32 bytes in base64"})
			continue
		}
		keys = append(keys, key)
	}
	if len(l) == 0 && (len(keys) == 0 || len(keys) > mostKeys) {
		l = append(l, diagnostics.Fault{File: path, What: fmt.Sprintf("%d keys", len(keys)), Want: fmt.Sprintf("1 to %d", mostKeys)})
	}
	return keys, l.Or()
}
