package config

import (
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"thistlequay/internal/deployment"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// Quota is the section shares, on limits that the servers of a fleet share; docs/quota/operating.md describes its keys.
type Quota struct {
	Revision                 int           `yaml:"revision" min:"1" max:"1000000000"`
	MaxCalls                 int           `yaml:"calls" min:"1" max:"1000000" need:"yes"`
	CallsPerSecond           int           `yaml:"calls_a_second" min:"0" max:"10000000"` // 0: not limited
	Slots                    int           `yaml:"slots" min:"1" max:"4096" need:"yes"`
	GuaranteedCalls          int           `yaml:"floor" min:"0" max:"1000000"`          // of each slot
	GuaranteedCallsPerSecond int           `yaml:"floor_a_second" min:"0" max:"1000000"` // of each slot
	LongestCall              time.Duration `yaml:"longest_call" min:"1ms" max:"60s"`
	ClockDrift               float64       `yaml:"clock_drift" min:"0" max:"0.25"`
	Coordinators             []string      `yaml:"keepers"`
	Directory                string        `yaml:"directory"`
	StartFresh               bool          `yaml:"fresh"`
}

// SetDefaults implements diagnostics.Defaulter.
func (q *Quota) SetDefaults() {
	*q = Quota{
		Revision:                 1,
		GuaranteedCalls:          1,
		GuaranteedCallsPerSecond: 1,
		LongestCall:              500 * time.Millisecond,
		ClockDrift:               0.1,
	}
}

// LimitNames are the names of the limits that Quota.Limits returns, in its order.
var LimitNames = []string{"calls", "calls_a_second"}

func (q *Quota) validate(gossip *Gossip) (found diagnostics.List) {
	if q == nil {
		return nil
	}
	if gossip == nil {
		found.Add("shares", "a section peers", "servers that share must know each other")
	}
	if q.MaxCalls < q.Slots*max(1, q.GuaranteedCalls) {
		found.Add("shares.calls", "at least a call, and the floor, for each slot",
			"%d calls for %d slots with a floor of %d", q.MaxCalls, q.Slots, q.GuaranteedCalls)
	}
	if q.CallsPerSecond > 0 && q.CallsPerSecond < q.Slots*q.GuaranteedCallsPerSecond {
		found.Add("shares.calls_a_second", "at least the floor for each slot",
			"%d calls a second for %d slots with a floor of %d", q.CallsPerSecond, q.Slots, q.GuaranteedCallsPerSecond)
	}
	if gossip != nil && q.Slots < gossip.ExpectedServers {
		found.Add("shares.slots", "at least the servers of the fleet",
			"%d slots for %d servers", q.Slots, gossip.ExpectedServers)
	}
	return append(found, q.validateCoordinators()...)
}

func (q *Quota) validateCoordinators() (found diagnostics.List) {
	count := len(q.Coordinators)
	if count != 0 && count != 3 && count != 5 {
		found.Add("shares.keepers", "three or five names, or none", "%d names", count)
	}
	validateNames(&found, "shares.keepers", q.Coordinators)
	if (q.Directory == "") != (count == 0) {
		found.Add("shares.keepers", "keepers and directory together, or neither",
			"a log lasts only where its keepers are named and each has a directory that lasts: "+
				"one that forgot its votes could vote twice")
	}
	if q.StartFresh && q.Directory == "" {
		found.Add("shares.fresh", "a directory", "nothing lasts, so each log is a first one")
	}
	return found
}

// validateAgainst checks that there is something to share: parts of what each server has for itself can't be granted.
func (q *Quota) validateAgainst(platform *deployment.Config) (found diagnostics.List) {
	if q != nil && !platform.SharedDependency {
		found.Add("shares.calls", "a dependency that all servers share",
			"each server has its own, by the platform's settings")
	}
	return found
}

// A lease lasts longer in a larger fleet, so that the requests a second that coordinators get stay the same.
const (
	minLeaseDuration     = 2 * time.Second
	leaseDurationPerSlot = 20 * time.Millisecond
)

const (
	// hysteresis is how far a server's demand must be from its lease, as a part of it, to move anything.
	hysteresis = 0.1

	// initialRateDivisor: the first lease of a newcomer is a quarter of an even part of the rate.
	initialRateDivisor = 4
)

// Limits returns what the section shares, in the order of LimitNames; a limit that it does not set is left out.
func (q *Quota) Limits() []quota.LimitConfig {
	lease := max(minLeaseDuration, leaseDurationPerSlot*time.Duration(q.Slots))
	calls := quota.LimitConfig{
		Total:             quota.Amount(q.MaxCalls) * quota.Unit,
		GuaranteedMinimum: quota.Amount(q.GuaranteedCalls) * quota.Unit,
		Slots:             q.Slots,
		LeaseDuration:     timeunit.MillisecondsOf(lease),
		GracePeriod:       timeunit.MillisecondsOf(q.LongestCall),
		ClockDrift:        q.ClockDrift,
		InitialAmount:     quota.Unit,
		Hysteresis:        hysteresis,
		Granularity:       quota.Unit,
	}
	if q.CallsPerSecond == 0 {
		return []quota.LimitConfig{calls}
	}
	rate := calls
	rate.IsRate = true
	rate.Total = quota.Amount(q.CallsPerSecond) * quota.Unit
	rate.GuaranteedMinimum = quota.Amount(q.GuaranteedCallsPerSecond) * quota.Unit
	rate.InitialAmount = rate.Total / quota.Amount(initialRateDivisor*q.Slots)
	rate.Granularity = 0 // any amount will do
	rate.GracePeriod = 0 // a call counts when it begins
	return []quota.LimitConfig{calls, rate}
}

// Totals returns the totals of the limits. They may change while servers run, under a later revision.
func (q *Quota) Totals() (totals []quota.Amount) {
	for _, limit := range q.Limits() {
		totals = append(totals, limit.Total)
	}
	return totals
}

// Digest returns a hash of everything but totals and revision. Servers with different digests must not share with each
// other, also with those of other versions of this program: what goes into the hash must stay as it is.
func (q *Quota) Digest() uint32 {
	text := fmt.Sprint(q.Slots, q.GuaranteedCalls, q.GuaranteedCallsPerSecond, q.LongestCall, q.ClockDrift,
		q.CallsPerSecond > 0, q.Coordinators)
	return uint32(xxh3.HashString(text))
}

// DirectoryPath returns the directory, which lies beside the settings file that names it unless its path is absolute.
func (q *Quota) DirectoryPath(settingsFile string) string {
	return besideFile(settingsFile, q.Directory)
}
