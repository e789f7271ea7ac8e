package config

// This file owns the section on the shares of a fleet's limits. It must never open anything.

import (
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"thistlequay/internal/deployment"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// Quota is the section of docs/quota/operating.md.
type Quota struct {
	Revision                 int           `yaml:"revision" min:"1" max:"1000000000"`
	MaxCalls                 int           `yaml:"calls" min:"1" max:"1000000" need:"yes"`
	CallsPerSecond           int           `yaml:"calls_a_second" min:"0" max:"10000000"`
	Slots                    int           `yaml:"slots" min:"1" max:"4096" need:"yes"`
	GuaranteedCalls          int           `yaml:"floor" min:"0" max:"1000000"`
	GuaranteedCallsPerSecond int           `yaml:"floor_a_second" min:"0" max:"1000000"`
	LongestCall              time.Duration `yaml:"longest_call" min:"1ms" max:"60s"`
	ClockDrift               float64       `yaml:"clock_drift" min:"0" max:"0.25"`
	Coordinators             []string      `yaml:"keepers"`
	Directory                string        `yaml:"directory"`
	StartFresh               bool          `yaml:"fresh"`
}

// SetDefaults is what the section has where it says nothing.
func (s *Quota) SetDefaults() {
	*s = Quota{Revision: 1, GuaranteedCalls: 1, GuaranteedCallsPerSecond: 1, LongestCall: 500 * time.Millisecond, ClockDrift: 0.1}
}

// LimitNames are the names of what is shared, in the order of Limits.
var LimitNames = []string{"calls", "calls_a_second"}

func (s *Quota) validate(peers *Gossip) error {
	if s == nil {
		return nil
	}
	var l diagnostics.List
	if peers == nil {
		l.Add("shares", "a section peers", "servers that share must know each other")
	}
	if s.MaxCalls < s.Slots*max(1, s.GuaranteedCalls) {
		l.Add("shares.calls", "at least a call, and the floor, for each slot", "%d calls for %d slots with a floor of %d", s.MaxCalls, s.Slots, s.GuaranteedCalls)
	}
	if s.CallsPerSecond > 0 && s.CallsPerSecond < s.Slots*s.GuaranteedCallsPerSecond {
		l.Add("shares.calls_a_second", "at least the floor for each slot", "%d calls a second for %d slots with a floor of %d", s.CallsPerSecond, s.Slots, s.GuaranteedCallsPerSecond)
	}
	if peers != nil && s.Slots < peers.ExpectedServers {
		l.Add("shares.slots", "at least the servers of the fleet", "%d slots for %d servers", s.Slots, peers.ExpectedServers)
	}
	if n := len(s.Coordinators); n != 0 && n != 3 && n != 5 {
		l.Add("shares.keepers", "three or five names, or none", "%d names", n)
	}
	for i, name := range s.Coordinators {
		if name == "" || slices.Index(s.Coordinators, name) < i {
			l.Add(fmt.Sprintf("shares.keepers[%d]", i), "each name once", "%q stands twice or is empty", name)
		}
	}
	if (s.Directory == "") != (len(s.Coordinators) == 0) {
		l.Add("shares.keepers", "keepers and directory together, or neither",
			"a log lasts only where its keepers are named and each has a directory that lasts: one that forgot its votes could vote twice")
	}
	if s.StartFresh && s.Directory == "" {
		l.Add("shares.fresh", "a directory", "nothing lasts, so each log is a first one")
	}
	return l.Err()
}

// validateAgainst: parts of what each server has for itself are not to be granted.
func (s *Quota) validateAgainst(of *deployment.Config) (l diagnostics.List) {
	if s != nil && !of.SharedDependency {
		l.Add("shares.calls", "a dependency that all servers share", "each server has its own, by the platform's settings")
	}
	return l
}

const (
	minLeaseDuration     = 2 * time.Second
	leaseDurationPerSlot = 20 * time.Millisecond // for each slot: what keepers are asked stays flat
)

// Limits are what the section shares, in the order of SharedLimits; a limit that it does not name is not among them.
func (s *Quota) Limits() (limits []quota.LimitConfig) {
	length := timeunit.Milliseconds(max(minLeaseDuration, leaseDurationPerSlot*time.Duration(s.Slots)).Milliseconds())
	calls := quota.LimitConfig{Total: quota.Amount(s.MaxCalls) * quota.Unit, GuaranteedMinimum: quota.Amount(s.GuaranteedCalls) * quota.Unit, Slots: s.Slots, LeaseDuration: length,
		GracePeriod: timeunit.Milliseconds(s.LongestCall.Milliseconds()), ClockDrift: s.ClockDrift, InitialAmount: quota.Unit, Hysteresis: 0.1, Granularity: quota.Unit}
	limits = append(limits, calls)
	if s.CallsPerSecond > 0 {
		rate := calls
		rate.Total, rate.GuaranteedMinimum = quota.Amount(s.CallsPerSecond)*quota.Unit, quota.Amount(s.GuaranteedCallsPerSecond)*quota.Unit
		rate.InitialAmount, rate.Granularity, rate.IsRate, rate.GracePeriod = rate.Total/quota.Amount(4*s.Slots), 0, true, 0
		limits = append(limits, rate)
	}
	return limits
}

// Totals are those of the limits; they may change in service, with a later revision.
func (s *Quota) Totals() (wholes []quota.Amount) {
	for _, l := range s.Limits() {
		wholes = append(wholes, l.Total)
	}
	return wholes
}

// Digest tells sections apart whose servers must not share with each other.
func (s *Quota) Digest() uint32 {
	return uint32(xxh3.HashString(fmt.Sprint(s.Slots, s.GuaranteedCalls, s.GuaranteedCallsPerSecond, s.LongestCall, s.ClockDrift, s.CallsPerSecond > 0, s.Coordinators)))
}

// DirectoryPath is the directory, beside the file that names it unless it is a whole path.
func (s *Quota) DirectoryPath(file string) string {
	if filepath.IsAbs(s.Directory) {
		return s.Directory
	}
	return filepath.Join(filepath.Dir(file), s.Directory)
}
