package membership

import (
	"slices"
	"thistlequay/timeunit"
)

// Voter is a life and its address: another life there proves that this one is over.
type Voter struct {
	ID
	Address string `cbor:"3,keyasint"`
}

// Configuration is what was agreed upon.
type Configuration struct {
	Epoch         uint64                `cbor:"1,keyasint"` // 0: none yet
	Voters        []Voter               `cbor:"2,keyasint"`
	MemberCount   int                   `cbor:"3,keyasint"`           // members when it was agreed on
	LeaseDuration timeunit.Milliseconds `cbor:"4,keyasint"`           // how long support holds in it
	GenesisEpoch  uint64                `cbor:"5,keyasint,omitempty"` // the epoch of the fleet that this one came from without a break
}

func (f *Configuration) hasVoter(id ID) bool {
	return slices.ContainsFunc(f.Voters, func(v Voter) bool { return v.ID == id })
}

func (f *Configuration) equal(g *Configuration) bool {
	return f.Epoch == g.Epoch && f.MemberCount == g.MemberCount && f.LeaseDuration == g.LeaseDuration && f.GenesisEpoch == g.GenesisEpoch && slices.Equal(f.Voters, g.Voters)
}

// sane says whether a fleet that was heard of can be meant.
func (f *Configuration) sane() bool {
	return f != nil && f.Epoch > 0 && len(f.Voters) > 0 && len(f.Voters) <= maxVoters && f.MemberCount >= len(f.Voters) && f.LeaseDuration > 0 && f.LeaseDuration <= maxLeaseDuration
}

const (
	maxVoters             = 15
	maxLeaseDuration      = 60 * timeunit.MillisecondsPerSecond
	leaseRequestsPerLease = 3 // support is asked for so often in a lease
)
