package membership

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// StateUpdate is what a member publishes about itself. Numbered keys are the wire format: a version passes over keys
// that it does not know, and an absent key means the zero value.
type StateUpdate struct {
	ID
	Sequence          uint64        `cbor:"3,keyasint"` // grows with each update of one incarnation
	Address           string        `cbor:"4,keyasint"` // where it listens for gossip
	Zone              string        `cbor:"5,keyasint,omitempty"`
	Version           string        `cbor:"6,keyasint,omitempty"`  // of the program
	SettingsDigest    uint32        `cbor:"7,keyasint,omitempty"`  // of the settings that it serves by
	State             State         `cbor:"8,keyasint"`            // StateDraining at most
	ConcurrencyLimit  float64       `cbor:"9,keyasint,omitempty"`  // requests that may run at once
	Load              float64       `cbor:"10,keyasint,omitempty"` // requests running or queued
	AvailableCapacity float64       `cbor:"11,keyasint,omitempty"` // requests that it could start now
	IndexLatencyMs    float64       `cbor:"12,keyasint,omitempty"` // recent latency of calls to the index
	PausedMs          int64         `cbor:"13,keyasint,omitempty"` // length of its last pause, while that is recent
	LoopLagMs         int64         `cbor:"14,keyasint,omitempty"` // how late its event loop runs
	Epoch             uint64        `cbor:"15,keyasint,omitempty"` // of the Configuration that it acts on
	Unreachable       []string      `cbor:"16,keyasint,omitempty"` // names that it cannot reach, at most MaxUnreachable
	AgeMs             int64         `cbor:"17,keyasint,omitempty"` // age of the update when it was passed on
	QuotaVoter        uint64        `cbor:"18,keyasint,omitempty"` // its voter number in the quota log, 0 for none
	QuotaLog          uint64        `cbor:"19,keyasint,omitempty"` // the number of that log
	Usage             []TenantUsage `cbor:"20,keyasint,omitempty"` // at most MaxUsageEntries, the most active tenants
}

// TenantUsage is the core time that a tenant got on one incarnation of a server since its start.
type TenantUsage struct {
	Tenant   string  `cbor:"1,keyasint"`
	CoreTime float64 `cbor:"2,keyasint"` // in ticks of 100 us
}

// Bounds on the lists in a StateUpdate, so that it fits into one packet.
const (
	MaxUsageEntries = 12
	MaxUnreachable  = 8
)

// Bounds on the values in a StateUpdate: whatever exceeds them was not meant.
const (
	maxNameLength = 64 // bytes, of every text but the address
	maxMetric     = 1e9
	maxCoreTime   = 1e13 // ticks of 100 us: thirty years of one core
)

// ErrInvalidUpdate is wrapped by every error of StateUpdate.Validate.
var ErrInvalidUpdate = errors.New("invalid state update")

// The reasons are made once: a hostile peer that sends invalid updates should not cost allocations.
var (
	errUpdateName        = fmt.Errorf("%w: the name must have 1 to %d bytes", ErrInvalidUpdate, maxNameLength)
	errUpdateZone        = fmt.Errorf("%w: the zone is longer than %d bytes", ErrInvalidUpdate, maxNameLength)
	errUpdateVersion     = fmt.Errorf("%w: the version is longer than %d bytes", ErrInvalidUpdate, maxNameLength)
	errUpdateIncarnation = fmt.Errorf("%w: the incarnation is 0", ErrInvalidUpdate)
	errUpdateState       = fmt.Errorf("%w: a state that no member reports of itself", ErrInvalidUpdate)
	errUpdateAge         = fmt.Errorf("%w: the age is negative", ErrInvalidUpdate)
)

// Validate says why an update must be rejected as a whole; the error wraps ErrInvalidUpdate. Values that are merely
// implausible are left to sanitize.
func (u *StateUpdate) Validate() error {
	switch {
	case u.Name == "" || len(u.Name) > maxNameLength:
		return errUpdateName
	case len(u.Zone) > maxNameLength:
		return errUpdateZone
	case len(u.Version) > maxNameLength:
		return errUpdateVersion
	case u.Incarnation == 0:
		return errUpdateIncarnation
	case u.State < StateJoining || u.State > StateDraining:
		return errUpdateState
	case u.AgeMs < 0:
		return errUpdateAge
	}
	return nil
}

// sanitize replaces implausible metrics by 0 and shortens lists that are too long.
func (u *StateUpdate) sanitize() {
	u.ConcurrencyLimit = plausibleMetric(u.ConcurrencyLimit)
	u.Load = plausibleMetric(u.Load)
	u.AvailableCapacity = plausibleMetric(u.AvailableCapacity)
	u.IndexLatencyMs = plausibleMetric(u.IndexLatencyMs)
	u.PausedMs = max(0, u.PausedMs)
	u.LoopLagMs = max(0, u.LoopLagMs)
	u.Unreachable = u.Unreachable[:min(len(u.Unreachable), MaxUnreachable)]
	u.Usage = slices.DeleteFunc(u.Usage[:min(len(u.Usage), MaxUsageEntries)], TenantUsage.isImplausible)
}

func plausibleMetric(value float64) float64 {
	if math.IsNaN(value) || value < 0 || value > maxMetric {
		return 0
	}
	return value
}

func (t TenantUsage) isImplausible() bool {
	isTimePlausible := t.CoreTime >= 0 && t.CoreTime < maxCoreTime // false for NaN too
	return t.Tenant == "" || len(t.Tenant) > maxNameLength || !isTimePlausible
}
