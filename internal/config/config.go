// Package config reads our own settings: one YAML file with a section for each subsystem; a subsystem whose section is
// absent is off. It converts the sections into what the subsystems take.
//
// It must never read the platform's configuration (that is internal/deployment), and never apply half a file: Read and
// Config.ValidateAgainst tell everything that is wrong at once, with positions, and the caller keeps what it had.
package config

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"thistlequay/internal/deployment"
	"thistlequay/internal/diagnostics"
)

// Config is what one file sets. Its zero value is what holds without a file: all sections are nil, everything is off.
type Config struct {
	FairQueues *FairQueues `yaml:"fair_queues"`
	Plugins    *Plugins    `yaml:"plugins"`
	Store      *Store      `yaml:"store"`
	Gossip     *Gossip     `yaml:"peers"`
	Quota      *Quota      `yaml:"shares"`

	path      string // of the file
	positions diagnostics.Positions
}

// maxFileBytes bounds the file, so that a wrong name can't make the program read without end.
const maxFileBytes = 4 << 20

// Read reads and checks a file; for an empty path all is off. The error is a diagnostics.List if the file could be
// read.
func Read(path string) (*Config, error) {
	config := &Config{path: path}
	if path == "" {
		return config, nil
	}
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	config.positions, err = diagnostics.DecodeYAML(bytes.NewReader(text), config)
	if err != nil {
		return nil, diagnostics.FromError(err).InFile(path)
	}
	var found diagnostics.List
	found = append(found, config.FairQueues.validate()...)
	found = append(found, config.Plugins.validate(path)...)
	found = append(found, config.Gossip.validate()...)
	found = append(found, config.Quota.validate(config.Gossip)...)
	if len(found) > 0 {
		return nil, config.positions.Locate(found).InFile(path)
	}
	return config, nil
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err // names the file
	}
	defer func() { _ = file.Close() }() // it was only read
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFileBytes {
		return nil, diagnostics.List{{File: path, Problem: "is too long", Expected: "4 MiB at most"}}
	}
	return text, nil
}

// ValidateAgainst checks the sections against the platform's settings and the program's memory in bytes: they go
// together only if both can be meant. The error is a diagnostics.List.
func (c *Config) ValidateAgainst(platform *deployment.Config, memoryBytes int) error {
	found := c.Plugins.validateAgainst(platform, memoryBytes)
	found = append(found, c.Quota.validateAgainst(platform)...)
	// Tags of plug-ins stand for tenants: where there may be some, any name can be one.
	if !c.Plugins.anyMayTag() {
		found = append(found, c.FairQueues.validateAgainst(platform)...)
	}
	return c.positions.Locate(found).InFile(c.path).Err()
}

// besideFile returns a path that a file names: one that is not absolute is relative to the folder of the file.
func besideFile(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// validateNames adds a diagnostic for each name that is empty or stands in the list before.
func validateNames(found *diagnostics.List, path string, names []string) {
	for i, name := range names {
		if name == "" || slices.Index(names, name) < i {
			found.Add(fmt.Sprintf("%s[%d]", path, i), "each name once", "%q stands twice or is empty", name)
		}
	}
}
