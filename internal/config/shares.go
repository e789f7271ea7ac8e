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

// Shares is the section of docs/quota/operating.md.
type Shares struct {
	Revision  int           `yaml:"revision" min:"1" max:"1000000000"`
	Calls     int           `yaml:"calls" min:"1" max:"1000000" need:"yes"`
	Rate      int           `yaml:"calls_a_second" min:"0" max:"10000000"`
	Slots     int           `yaml:"slots" min:"1" max:"4096" need:"yes"`
	Floor     int           `yaml:"floor" min:"0" max:"1000000"`
	RateFloor int           `yaml:"floor_a_second" min:"0" max:"1000000"`
	Longest   time.Duration `yaml:"longest_call" min:"1ms" max:"60s"`
	Drift     float64       `yaml:"clock_drift" min:"0" max:"0.25"`
	Keepers   []string      `yaml:"keepers"`
	Directory string        `yaml:"directory"`
	Fresh     bool          `yaml:"fresh"`
}

// Default is what the section has where it says nothing.
func (s *Shares) Default() {
	*s = Shares{Revision: 1, Floor: 1, RateFloor: 1, Longest: 500 * time.Millisecond, Drift: 0.1}
}

// SharedLimits are the names of what is shared, in the order of Limits.
var SharedLimits = []string{"calls", "calls_a_second"}

func (s *Shares) check(peers *Peers) error {
	if s == nil {
		return nil
	}
	var l diagnostics.List
	if peers == nil {
		l.Add("shares", "a section peers", "servers that share must know each other")
	}
	if s.Calls < s.Slots*max(1, s.Floor) {
		l.Add("shares.calls", "at least a call, and the floor, for each slot", "%d calls for %d slots with a floor of %d", s.Calls, s.Slots, s.Floor)
	}
	if s.Rate > 0 && s.Rate < s.Slots*s.RateFloor {
		l.Add("shares.calls_a_second", "at least the floor for each slot", "%d calls a second for %d slots with a floor of %d", s.Rate, s.Slots, s.RateFloor)
	}
	if peers != nil && s.Slots < peers.Servers {
		l.Add("shares.slots", "at least the servers of the fleet", "%d slots for %d servers", s.Slots, peers.Servers)
	}
	if n := len(s.Keepers); n != 0 && n != 3 && n != 5 {
		l.Add("shares.keepers", "three or five names, or none", "%d names", n)
	}
	for i, name := range s.Keepers {
		if name == "" || slices.Index(s.Keepers, name) < i {
			l.Add(fmt.Sprintf("shares.keepers[%d]", i), "each name once", "%q stands twice or is empty", name)
		}
	}
	if (s.Directory == "") != (len(s.Keepers) == 0) {
		l.Add("shares.keepers", "keepers and directory together, or neither",
			"a log lasts only where its keepers are named and each has a directory that lasts: one that forgot its votes could vote twice")
	}
	if s.Fresh && s.Directory == "" {
		l.Add("shares.fresh", "a directory", "nothing lasts, so each log is a first one")
	}
	return l.Or()
}

// against: parts of what each server has for itself are not to be granted.
func (s *Shares) against(of *deployment.Terms) (l diagnostics.List) {
	if s != nil && !of.SharedBelow {
		l.Add("shares.calls", "a dependency that all servers share", "each server has its own, by the platform's settings")
	}
	return l
}

const (
	lengthLeast = 2 * time.Second
	lengthEach  = 20 * time.Millisecond // for each slot: what keepers are asked stays flat
)

// Limits are what the section shares, in the order of SharedLimits; a limit that it does not name is not among them.
func (s *Shares) Limits() (limits []quota.Terms) {
	length := timeunit.Milliseconds(max(lengthLeast, lengthEach*time.Duration(s.Slots)).Milliseconds())
	calls := quota.Terms{Whole: quota.Amount(s.Calls) * quota.Unit, Floor: quota.Amount(s.Floor) * quota.Unit, Slots: s.Slots, Length: length,
		Linger: timeunit.Milliseconds(s.Longest.Milliseconds()), Drift: s.Drift, Least: quota.Unit, Still: 0.1, Grain: quota.Unit}
	limits = append(limits, calls)
	if s.Rate > 0 {
		rate := calls
		rate.Whole, rate.Floor = quota.Amount(s.Rate)*quota.Unit, quota.Amount(s.RateFloor)*quota.Unit
		rate.Least, rate.Grain, rate.Rate, rate.Linger = rate.Whole/quota.Amount(4*s.Slots), 0, true, 0
		limits = append(limits, rate)
	}
	return limits
}

// Wholes are those of the limits; they may change in service, with a later revision.
func (s *Shares) Wholes() (wholes []quota.Amount) {
	for _, l := range s.Limits() {
		wholes = append(wholes, l.Whole)
	}
	return wholes
}

// Digest tells sections apart whose servers must not share with each other.
func (s *Shares) Digest() uint32 {
	return uint32(xxh3.HashString(fmt.Sprint(s.Slots, s.Floor, s.RateFloor, s.Longest, s.Drift, s.Rate > 0, s.Keepers)))
}

// Path is the directory, beside the file that names it unless it is a whole path.
func (s *Shares) Path(file string) string {
	if filepath.IsAbs(s.Directory) {
		return s.Directory
	}
	return filepath.Join(filepath.Dir(file), s.Directory)
}
