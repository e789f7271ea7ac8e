package membership

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// StateUpdate is what a member publishes about itself. The numbered keys are the wire format: unknown keys are ignored,
// and a missing key means the zero value.
type StateUpdate struct {
	ID
	Sequence          uint64        `cbor:"3,keyasint"` // increases with each update of an incarnation
	Address           string        `cbor:"4,keyasint"` // where it listens for gossip
	Zone              string        `cbor:"5,keyasint,omitempty"`
	Version           string        `cbor:"6,keyasint,omitempty"`  // program version
	SettingsDigest    uint32        `cbor:"7,keyasint,omitempty"`  // digest of the settings in use
	State             State         `cbor:"8,keyasint"`            // at most StateDraining
	ConcurrencyLimit  float64       `cbor:"9,keyasint,omitempty"`  // maximum number of concurrent requests
	Load              float64       `cbor:"10,keyasint,omitempty"` // requests running or queued
	AvailableCapacity float64       `cbor:"11,keyasint,omitempty"` // requests it could start now
	IndexLatencyMs    float64       `cbor:"12,keyasint,omitempty"` // recent latency of calls to the index
	PausedMs          int64         `cbor:"13,keyasint,omitempty"` // length of its last pause, while that is recent
	LoopLagMs         int64         `cbor:"14,keyasint,omitempty"` // event loop lag
	Epoch             uint64        `cbor:"15,keyasint,omitempty"` // epoch of the Configuration that it acts on
	Unreachable       []string      `cbor:"16,keyasint,omitempty"` // names it cannot reach, at most MaxUnreachable
	AgeMs             int64         `cbor:"17,keyasint,omitempty"` // age of the update when it was passed on
	QuotaVoter        uint64        `cbor:"18,keyasint,omitempty"` // its voter number in the quota log, 0 if none
	QuotaLog          uint64        `cbor:"19,keyasint,omitempty"` // number of that log
	Usage             []TenantUsage `cbor:"20,keyasint,omitempty"` // of the most active tenants, up to MaxUsageEntries
}

// TenantUsage is the core time that a tenant has used on one incarnation of a server since its start.
type TenantUsage struct {
	Tenant   string  `cbor:"1,keyasint"`
	CoreTime float64 `cbor:"2,keyasint"` // in ticks of 100 us
}

// Limits on the lists in a StateUpdate, which keep it small enough for one packet.
const (
	MaxUsageEntries = 12
	MaxUnreachable  = 8
)

// Limits on the values in a StateUpdate. A greater value cannot be genuine.
const (
	maxNameLength = 64 // bytes, of every text except the address
	maxMetric     = 1e9
	maxCoreTime   = 1e13 // ticks of 100 us, about thirty years of one core
)

// ErrInvalidUpdate is wrapped by every error that StateUpdate.Validate returns.
var ErrInvalidUpdate = errors.New("invalid state update")

// These errors are created once, so that a hostile peer that sends invalid updates causes no allocations.
var (
	errUpdateName        = fmt.Errorf("%w: the name must be 1 to %d bytes long", ErrInvalidUpdate, maxNameLength)
	errUpdateZone        = fmt.Errorf("%w: the zone is longer than %d bytes", ErrInvalidUpdate, maxNameLength)
	errUpdateVersion     = fmt.Errorf("%w: the version is longer than %d bytes", ErrInvalidUpdate, maxNameLength)
	errUpdateIncarnation = fmt.Errorf("%w: the incarnation is 0", ErrInvalidUpdate)
	errUpdateState       = fmt.Errorf("%w: no member reports this state about itself", ErrInvalidUpdate)
	errUpdateAge         = fmt.Errorf("%w: the age is negative", ErrInvalidUpdate)
)

// Validate returns an error that wraps ErrInvalidUpdate if an update must be rejected as a whole. It accepts values
// that are merely implausible; sanitize replaces those.
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

// sanitize replaces implausible metrics by 0, truncates lists that are too long and removes implausible usage entries.
func (u *StateUpdate) sanitize() {
	u.ConcurrencyLimit = sanitizeMetric(u.ConcurrencyLimit)
	u.Load = sanitizeMetric(u.Load)
	u.AvailableCapacity = sanitizeMetric(u.AvailableCapacity)
	u.IndexLatencyMs = sanitizeMetric(u.IndexLatencyMs)
	u.PausedMs = max(0, u.PausedMs)
	u.LoopLagMs = max(0, u.LoopLagMs)
	u.Unreachable = u.Unreachable[:min(len(u.Unreachable), MaxUnreachable)]
	u.Usage = slices.DeleteFunc(u.Usage[:min(len(u.Usage), MaxUsageEntries)], TenantUsage.isImplausible)
}

func sanitizeMetric(value float64) float64 {
	if math.IsNaN(value) || value < 0 || value > maxMetric {
		return 0
	}
	return value
}

func (t TenantUsage) isImplausible() bool {
	isTimePlausible := t.CoreTime >= 0 && t.CoreTime < maxCoreTime // also false for NaN
	return t.Tenant == "" || len(t.Tenant) > maxNameLength || !isTimePlausible
}
