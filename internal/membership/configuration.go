package membership

import (
	"errors"
	"fmt"
	"slices"

	"thistlequay/timeunit"
)

// Voter is an incarnation that votes, with its address. Another incarnation at that address proves that this one has
// ended.
type Voter struct {
	ID
	Address string `cbor:"3,keyasint"`
}

// Configuration is the cluster configuration on which the members agree. There is one for each epoch.
type Configuration struct {
	Epoch         uint64                `cbor:"1,keyasint"` // 0 if there is none yet
	Voters        []Voter               `cbor:"2,keyasint"`
	MemberCount   int                   `cbor:"3,keyasint"` // members alive and not draining when it was proposed
	LeaseDuration timeunit.Milliseconds `cbor:"4,keyasint"` // duration of a lease grant
	// GenesisEpoch is the epoch of the first configuration in the unbroken sequence that leads to this one.
	GenesisEpoch uint64 `cbor:"5,keyasint,omitempty"`
}

// Limits on a configuration received from another server.
const (
	maxVoters        = 15
	maxLeaseDuration = 60 * timeunit.MillisecondsPerSecond
)

// ErrInvalidConfiguration is wrapped by every error that Configuration.Validate returns.
var ErrInvalidConfiguration = errors.New("invalid cluster configuration")

// These errors are created once, so that a hostile peer that sends invalid configurations causes no allocations.
var (
	errConfigurationNil    = fmt.Errorf("%w: it is missing", ErrInvalidConfiguration)
	errConfigurationEpoch  = fmt.Errorf("%w: the epoch is 0", ErrInvalidConfiguration)
	errConfigurationVoters = fmt.Errorf("%w: the number of voters must be 1 to %d", ErrInvalidConfiguration, maxVoters)
	errConfigurationSize   = fmt.Errorf("%w: it has more voters than members", ErrInvalidConfiguration)
	errConfigurationLease  = fmt.Errorf("%w: the lease must last 1 to %d ms", ErrInvalidConfiguration, maxLeaseDuration)
)

// Validate returns an error that wraps ErrInvalidConfiguration if a configuration from another server must be ignored.
// A nil configuration is invalid.
func (c *Configuration) Validate() error {
	switch {
	case c == nil:
		return errConfigurationNil
	case c.Epoch == 0:
		return errConfigurationEpoch
	case len(c.Voters) == 0 || len(c.Voters) > maxVoters:
		return errConfigurationVoters
	case c.MemberCount < len(c.Voters):
		return errConfigurationSize
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

// quorum returns the number of voters that form a majority.
func (c *Configuration) quorum() int { return len(c.Voters)/2 + 1 }
