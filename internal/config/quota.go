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

// Quota is the section shares, which configures the limits that the servers of a fleet share. docs/quota/operating.md
// describes its keys.
type Quota struct {
	Revision                 int           `yaml:"revision" min:"1" max:"1000000000"`
	MaxCalls                 int           `yaml:"calls" min:"1" max:"1000000" need:"yes"`
	CallsPerSecond           int           `yaml:"calls_a_second" min:"0" max:"10000000"` // 0 means no limit
	Slots                    int           `yaml:"slots" min:"1" max:"4096" need:"yes"`
	GuaranteedCalls          int           `yaml:"floor" min:"0" max:"1000000"`          // per slot
	GuaranteedCallsPerSecond int           `yaml:"floor_a_second" min:"0" max:"1000000"` // per slot
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

// LimitNames are the names of the limits that Quota.Limits returns, in the same order.
var LimitNames = []string{"calls", "calls_a_second"}

// validate checks the section on its own and against the section peers, without which quotas cannot work.
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

// validateCoordinators checks the coordinators and where they store their state. A log is durable only if its
// coordinators are named and each of them keeps its state in a directory: a coordinator that forgets its votes after a
// restart could vote twice.
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

// validateAgainst checks that all servers call the same downstream dependency. If each server has its own dependency,
// there is no common capacity to divide.
func (q *Quota) validateAgainst(platform *deployment.Config) (found diagnostics.List) {
	if q != nil && !platform.SharedDependency {
		found.Add("shares.calls", "a dependency that all servers share",
			"each server has its own, by the platform's settings")
	}
	return found
}

// The lease duration grows with the number of slots, so that the coordinators receive the same number of requests per
// second in a large fleet.
const (
	minLeaseDuration     = 2 * time.Second
	leaseDurationPerSlot = 20 * time.Millisecond
)

const (
	// hysteresis is the difference between a server's demand and its lease, as a fraction of the lease, below which the
	// lease is not changed.
	hysteresis = 0.1

	// initialRateDivisor makes the first lease of a newly started server a quarter of the rate per slot.
	initialRateDivisor = 4
)

// Limits returns the configuration of each limit, in the order of LimitNames. The limit on calls per second is omitted
// if the section does not set it.
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
	rate.Granularity = 0 // a rate may be divided into any amounts
	rate.GracePeriod = 0 // a call counts against the rate only when it starts, so that its duration does not matter
	return []quota.LimitConfig{calls, rate}
}

// Totals returns the totals of the limits, in the order of LimitNames. They can be changed while servers run, under a
// later revision.
func (q *Quota) Totals() (totals []quota.Amount) {
	for _, limit := range q.Limits() {
		totals = append(totals, limit.Total)
	}
	return totals
}

// Digest returns a hash of all settings of the section except the totals, the revision and the storage. Servers with
// different digests must not share limits. The input of the hash must not change, because servers of different program
// versions compare their digests too.
func (q *Quota) Digest() uint32 {
	text := fmt.Sprint(q.Slots, q.GuaranteedCalls, q.GuaranteedCallsPerSecond, q.LongestCall, q.ClockDrift,
		q.CallsPerSecond > 0, q.Coordinators)
	return uint32(xxh3.HashString(text))
}

// DirectoryPath returns the path of the directory for the coordinator's state. A relative path is relative to the
// directory of the settings file.
func (q *Quota) DirectoryPath(settingsFile string) string {
	return resolvePath(settingsFile, q.Directory)
}
