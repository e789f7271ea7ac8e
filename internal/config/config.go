// Package config reads the server's service file: a YAML file with one section for each optional subsystem. A subsystem
// without a section is disabled. The package converts each section to the configuration type of its subsystem.
//
// It does not read the platform's configuration, which internal/deployment does. A file is applied as a whole or not at
// all: Read and Config.ValidateAgainst report all errors together, with their positions, and the caller then keeps the
// configuration that it already had.
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

// Config holds the sections of one service file. The zero value is the configuration without a file: all sections are
// nil, and every subsystem is disabled.
type Config struct {
	FairQueues *FairQueues `yaml:"fair_queues"`
	Plugins    *Plugins    `yaml:"plugins"`
	Store      *Store      `yaml:"store"`
	Gossip     *Gossip     `yaml:"peers"`
	Quota      *Quota      `yaml:"shares"`

	path      string // the path of the file, for diagnostics
	positions diagnostics.Positions
}

// maxFileBytes is the maximum size of the service file. Without a limit, a wrong path such as that of a device could
// make the program read without end.
const maxFileBytes = 4 << 20

// Read reads and validates a service file. An empty path yields the zero configuration, in which every subsystem is
// disabled. If the file was readable but is not valid, the error is a diagnostics.List.
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
		return nil, err // it already contains the path
	}
	defer func() { _ = file.Close() }() // an error is harmless because the file was only read
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFileBytes {
		return nil, diagnostics.List{{File: path, Problem: "is too long", Expected: "4 MiB at most"}}
	}
	return text, nil
}

// ValidateAgainst checks that the sections are consistent with the platform's settings and with the program's memory
// limit, in bytes. The error is a diagnostics.List.
func (c *Config) ValidateAgainst(platform *deployment.Config, memoryBytes int) error {
	found := c.Plugins.validateAgainst(platform, memoryBytes)
	found = append(found, c.Quota.validateAgainst(platform)...)
	// The fair queues treat a tag that a plug-in sets as a tenant. If any plug-in may set tags, a tenant name that the
	// platform does not know can still occur.
	if !c.Plugins.anyMayTag() {
		found = append(found, c.FairQueues.validateAgainst(platform)...)
	}
	return c.positions.Locate(found).InFile(c.path).Err()
}

// resolvePath resolves a path that stands in a file. A relative path is relative to the directory of that file.
func resolvePath(file, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(file), path)
}

// validateNames adds a diagnostic for each name that is empty or repeats an earlier name of the list.
func validateNames(found *diagnostics.List, path string, names []string) {
	for i, name := range names {
		if name == "" || slices.Index(names, name) < i {
			found.Add(fmt.Sprintf("%s[%d]", path, i), "each name once", "%q stands twice or is empty", name)
		}
	}
}
