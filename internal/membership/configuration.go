package membership

import (
	"errors"
	"fmt"
	"slices"

	"thistlequay/timeunit"
)

// Voter is an incarnation that votes, with its address: another incarnation there proves that this one is over.
type Voter struct {
	ID
	Address string `cbor:"3,keyasint"`
}

// Configuration is what the members agree on, one for each epoch.
type Configuration struct {
	Epoch         uint64                `cbor:"1,keyasint"` // 0: none yet
	Voters        []Voter               `cbor:"2,keyasint"`
	MemberCount   int                   `cbor:"3,keyasint"` // members that were alive when it was proposed
	LeaseDuration timeunit.Milliseconds `cbor:"4,keyasint"` // how long a lease grant holds in it
	// GenesisEpoch is the epoch of the configuration that this one descends from without a break.
	GenesisEpoch uint64 `cbor:"5,keyasint,omitempty"`
}

// Bounds on a configuration that another server sends.
const (
	maxVoters        = 15
	maxLeaseDuration = 60 * timeunit.MillisecondsPerSecond
)

// ErrInvalidConfiguration is wrapped by every error of Configuration.Validate.
var ErrInvalidConfiguration = errors.New("invalid cluster configuration")

// The reasons are made once: a hostile peer that sends invalid configurations should not cost allocations.
var (
	errConfigurationAbsent = fmt.Errorf("%w: there is none", ErrInvalidConfiguration)
	errConfigurationEpoch  = fmt.Errorf("%w: the epoch is 0", ErrInvalidConfiguration)
	errConfigurationVoters = fmt.Errorf("%w: it must have 1 to %d voters", ErrInvalidConfiguration, maxVoters)
	errConfigurationCount  = fmt.Errorf("%w: it counts fewer members than voters", ErrInvalidConfiguration)
	errConfigurationLease  = fmt.Errorf("%w: the lease must last 1 to %d ms", ErrInvalidConfiguration, maxLeaseDuration)
)

// Validate says why a configuration from another server must be passed over; the error wraps ErrInvalidConfiguration.
// A nil configuration is invalid.
func (c *Configuration) Validate() error {
	switch {
	case c == nil:
		return errConfigurationAbsent
	case c.Epoch == 0:
		return errConfigurationEpoch
	case len(c.Voters) == 0 || len(c.Voters) > maxVoters:
		return errConfigurationVoters
	case c.MemberCount < len(c.Voters):
		return errConfigurationCount
	case c.LeaseDuration <= 0 || c.LeaseDuration > maxLeaseDuration:
		return errConfigurationLease
	}
	return nil
}

func (c *Configuration) hasVoter(id ID) bool {
	return slices.ContainsFunc(c.Voters, func(voter Voter) bool { return voter.ID == id })
}

func (c *Configuration) equal(other *Configuration) bool {
	return c.Epoch == other.Epoch && c.MemberCount == other.MemberCount && c.LeaseDuration == other.LeaseDuration &&
		c.GenesisEpoch == other.GenesisEpoch && slices.Equal(c.Voters, other.Voters)
}

// quorum returns how many voters are a majority.
func (c *Configuration) quorum() int { return len(c.Voters)/2 + 1 }
