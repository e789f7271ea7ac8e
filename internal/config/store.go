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
	Directory        string        `yaml:"directory" min:"1" need:"yes"`
	Durability       string        `yaml:"durability" one:"process machine"`
	MaxMegabytes     int           `yaml:"megabytes" min:"1" max:"65536"`
	MaxRecords       int           `yaml:"records" min:"100" max:"100000000"`
	SegmentKB        int           `yaml:"segment_kb" min:"16" max:"32768"`
	ClockUncertainty time.Duration `yaml:"clock_doubt" min:"0s" max:"24h"`
	StartFresh       bool          `yaml:"fresh"`
}

// SetDefaults is what the section has where it says nothing.
func (s *Store) SetDefaults() {
	*s = Store{Durability: "machine", MaxMegabytes: 256, MaxRecords: 1_000_000, SegmentKB: 4096, ClockUncertainty: time.Minute}
}

// LogConfig are what the store is opened with, for a program that can remember so many stamps.
func (s *Store) LogConfig(of *deployment.Config, memory int) segmentlog.Config {
	t := segmentlog.Config{Durability: recovery.DurabilityMachine, MaxBytes: int64(s.MaxMegabytes) << 20, MaxRecords: s.MaxRecords, SegmentBytes: int64(s.SegmentKB) << 10,
		ClockUncertainty: ticks(s.ClockUncertainty), MaxOutcomes: max(1, memory/restoredMemoryPart/restoredEntryBytes), AllowEmpty: s.StartFresh, Now: segmentlog.MachineClock}
	if s.Durability == "process" {
		t.Durability = recovery.DurabilityProcess
	}
	for _, c := range of.Categories {
		t.MaxWindow = max(t.MaxWindow, c.DeduplicationWindow)
	}
	return t
}

const (
	restoredMemoryPart = 8       // one part in so many of the memory may go to stamps of earlier lives
	restoredEntryBytes = 5 << 10 // which take so much each at most
)

// DirectoryPath is the directory, beside the file that names it unless it is a whole path.
func (s *Store) DirectoryPath(file string) string {
	if filepath.IsAbs(s.Directory) {
		return s.Directory
	}
	return filepath.Join(filepath.Dir(file), s.Directory)
}
