package config

import (
	"time"

	"thistlequay/internal/deployment"
	"thistlequay/internal/recovery"
	"thistlequay/internal/segmentlog"
	"thistlequay/timeunit"
)

// Store is the section store, which configures the log that crash recovery reads. docs/recovery/operating.md describes
// its keys.
type Store struct {
	Directory        string        `yaml:"directory" min:"1" need:"yes"`
	Durability       string        `yaml:"durability" one:"process machine"`
	MaxMegabytes     int           `yaml:"megabytes" min:"1" max:"65536"`
	MaxRecords       int           `yaml:"records" min:"100" max:"100000000"`
	SegmentKB        int           `yaml:"segment_kb" min:"16" max:"32768"`
	ClockUncertainty time.Duration `yaml:"clock_doubt" min:"0s" max:"24h"`
	StartFresh       bool          `yaml:"fresh"`
}

// durabilityProcess is the value of Store.Durability with which records survive a crash of the process, but not of the
// machine.
const durabilityProcess = "process"

// SetDefaults implements diagnostics.Defaulter.
func (s *Store) SetDefaults() {
	*s = Store{
		Durability:       "machine",
		MaxMegabytes:     256,
		MaxRecords:       1_000_000,
		SegmentKB:        4096,
		ClockUncertainty: time.Minute,
	}
}

// LogConfig returns the configuration of the log for a program whose memory limit is memoryBytes.
func (s *Store) LogConfig(platform *deployment.Config, memoryBytes int) segmentlog.Config {
	config := segmentlog.Config{
		Durability:       recovery.DurabilityMachine,
		MaxBytes:         int64(s.MaxMegabytes) << 20,
		MaxRecords:       s.MaxRecords,
		SegmentBytes:     int64(s.SegmentKB) << 10,
		ClockUncertainty: timeunit.TicksOf(s.ClockUncertainty),
		MaxOutcomes:      deployment.MaxIdempotencyEntries(memoryBytes),
		AllowEmpty:       s.StartFresh,
		Now:              segmentlog.MachineClock,
	}
	if s.Durability == durabilityProcess {
		config.Durability = recovery.DurabilityProcess
	}
	for _, category := range platform.Categories {
		config.MaxWindow = max(config.MaxWindow, category.DeduplicationWindow)
	}
	return config
}

// DirectoryPath returns the path of the log's directory. A relative path is relative to the directory of the settings
// file.
func (s *Store) DirectoryPath(settingsFile string) string {
	return resolvePath(settingsFile, s.Directory)
}
