package membership

import "thistlequay/timeunit"

// Config holds the parameters of a View and its Agreement. DefaultConfig sets every field that has no meaningful zero
// value.
type Config struct {
	// Self identifies this incarnation of this server.
	Self ID
	// Zone is the failure domain of this server. Voters are spread across zones. It may be empty.
	Zone string
	// Founders are the names of the servers that must all agree on the first configuration. If it is empty, no
	// configuration is ever formed.
	Founders []string
	// InitialSize is the number of servers that the cluster is initially meant to have. The first configuration needs
	// more than half of them.
	InitialSize int
	// LeaseDuration is the minimum duration of a voter's lease grant.
	LeaseDuration timeunit.Milliseconds
	// MaxClockDrift is the largest fraction by which one server's clock may run faster than another's.
	MaxClockDrift float64
	// StabilityWindow is how long a new configuration must have been needed before it is proposed, and how long a
	// member that joined or left must have been in its new state before it changes the effective size.
	StabilityWindow timeunit.Milliseconds
	// MaxMembers limits the number of members that are kept. State updates of further members are rejected.
	MaxMembers int
	// Retention is how long members that failed or left remain in the view.
	Retention timeunit.Milliseconds
	// MaxVoters limits the number of voters in a configuration.
	MaxVoters int
	// FlapThreshold is the number of state changes within FlapWindow at which a member counts as flapping.
	FlapThreshold int
	// FlapWindow is the period in which FlapThreshold state changes must occur.
	FlapWindow timeunit.Milliseconds
	// FlapHold is how long after its last state change a flapping member counts as it did before.
	FlapHold timeunit.Milliseconds
}

// DefaultConfig returns the Config for a cluster at one location; docs/membership/design.md gives the reasons for the
// values.
func DefaultConfig(self ID) Config {
	return Config{
		Self:            self,
		InitialSize:     1,
		LeaseDuration:   1500,
		MaxClockDrift:   0.1,
		StabilityWindow: 2 * timeunit.MillisecondsPerSecond,
		MaxMembers:      4096,
		Retention:       60 * timeunit.MillisecondsPerSecond,
		MaxVoters:       7,
		FlapThreshold:   3,
		FlapWindow:      30 * timeunit.MillisecondsPerSecond,
		FlapHold:        10 * timeunit.MillisecondsPerSecond,
	}
}
