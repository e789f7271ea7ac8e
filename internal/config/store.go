package config

// This file owns the section on what outlives the process. It must never open anything.

import (
	"path/filepath"
	"time"

	"thistlequay/internal/deployment"
	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
)

// Store is the section of docs/recovery/operating.md.
type Store struct {
	Directory  string        `yaml:"directory" min:"1" need:"yes"`
	Durability string        `yaml:"durability" one:"process machine"`
	MegaBytes  int           `yaml:"megabytes" min:"1" max:"65536"`
	Records    int           `yaml:"records" min:"100" max:"100000000"`
	SegmentKB  int           `yaml:"segment_kb" min:"16" max:"32768"`
	Doubt      time.Duration `yaml:"clock_doubt" min:"0s" max:"24h"`
	Fresh      bool          `yaml:"fresh"`
}

// Default is what the section has where it says nothing.
func (s *Store) Default() {
	*s = Store{Durability: "machine", MegaBytes: 256, Records: 1_000_000, SegmentKB: 4096, Doubt: time.Minute}
}

// Terms are what the store is opened with, for a program that can remember so many stamps.
func (s *Store) Terms(of *deployment.Terms, memory int) segmentlog.Terms {
	t := segmentlog.Terms{Mode: recovery.Machine, Bytes: int64(s.MegaBytes) << 20, Records: s.Records, Segment: int64(s.SegmentKB) << 10,
		Doubt: tenths(s.Doubt), Most: max(1, memory/recalledPart/recalledSize), Fresh: s.Fresh, Now: segmentlog.MachineClock}
	if s.Durability == "process" {
		t.Mode = recovery.Process
	}
	for _, c := range of.Categories {
		t.Window = max(t.Window, c.Window)
	}
	return t
}

const (
	recalledPart = 8       // one part in so many of the memory may go to stamps of earlier lives
	recalledSize = 5 << 10 // which take so much each at most
)

// Path is the directory, beside the file that names it unless it is a whole path.
func (s *Store) Path(file string) string {
	if filepath.IsAbs(s.Directory) {
		return s.Directory
	}
	return filepath.Join(filepath.Dir(file), s.Directory)
}
