package membership

import (
	"math"
	"slices"
)

// StateUpdate is what a member says of itself. Fields that a version does not know are passed over; absent ones mean nothing.
type StateUpdate struct {
	ID
	Sequence          uint64        `cbor:"3,keyasint"`           // of the words of one life
	Address           string        `cbor:"4,keyasint"`           // where it talks to peers
	Zone              string        `cbor:"5,keyasint,omitempty"` // of the installation
	Version           string        `cbor:"6,keyasint,omitempty"` // of the program
	SettingsDigest    uint32        `cbor:"7,keyasint,omitempty"` // digest of what it serves by
	State             State         `cbor:"8,keyasint"`           // up to Leaving
	ConcurrencyLimit  float64       `cbor:"9,keyasint,omitempty"`
	Load              float64       `cbor:"10,keyasint,omitempty"` // work items in hand
	AvailableCapacity float64       `cbor:"11,keyasint,omitempty"` // work items it could begin now
	IndexLatencyMs    float64       `cbor:"12,keyasint,omitempty"` // what calls took of late
	PausedMs          int64         `cbor:"13,keyasint,omitempty"` // how long it stood still, when it last did
	LoopLagMs         int64         `cbor:"14,keyasint,omitempty"` // how late its loop is
	Epoch             uint64        `cbor:"15,keyasint,omitempty"` // of the agreed fleet that it goes by
	Unreachable       []string      `cbor:"16,keyasint,omitempty"` // names that it cannot reach itself, at most MostMisses
	AgeMs             int64         `cbor:"17,keyasint,omitempty"` // how old the word was when it was passed on
	QuotaVoter        uint64        `cbor:"18,keyasint,omitempty"` // its number as a keeper of what is agreed on, 0 for none
	QuotaLog          uint64        `cbor:"19,keyasint,omitempty"` // of which log
	Usage             []TenantUsage `cbor:"20,keyasint,omitempty"` // what tenants were given, from the start; at most MostUsed
}

// TenantUsage is the core time that a named tenant was given in one life of a server, in tenths of a millisecond.
type TenantUsage struct {
	Tenant   string  `cbor:"1,keyasint"`
	CoreTime float64 `cbor:"2,keyasint"`
}

// MaxUsageEntries bounds the tenants in a word: those that were given most of late.
const MaxUsageEntries = 12

// MaxUnreachable bounds the names in a word.
const MaxUnreachable = 8

const (
	maxNameLength = 64
	maxMetric     = 1e9
	maxCoreTime   = 1e13 // tenths of a millisecond: thirty years of a core
)

// Sane says whether a word can be meant, and takes figures that cannot out of it.
func (w *StateUpdate) Sane() bool {
	if w.Name == "" || len(w.Name) > maxNameLength || len(w.Zone) > maxNameLength || len(w.Version) > maxNameLength || w.Incarnation == 0 ||
		w.State < StateJoining || w.State > StateDraining || w.AgeMs < 0 {
		return false
	}
	for _, f := range []*float64{&w.ConcurrencyLimit, &w.Load, &w.AvailableCapacity, &w.IndexLatencyMs} {
		if math.IsNaN(*f) || *f < 0 || *f > maxMetric {
			*f = 0
		}
	}
	w.PausedMs, w.LoopLagMs = max(0, w.PausedMs), max(0, w.LoopLagMs)
	w.Unreachable = w.Unreachable[:min(len(w.Unreachable), MaxUnreachable)]
	w.Usage = slices.DeleteFunc(w.Usage[:min(len(w.Usage), MaxUsageEntries)], func(u TenantUsage) bool {
		return u.Tenant == "" || len(u.Tenant) > maxNameLength || !(u.CoreTime >= 0 && u.CoreTime < maxCoreTime)
	})
	return true
}
