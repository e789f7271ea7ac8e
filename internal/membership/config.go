package membership

import "thistlequay/timeunit"

// Config says how a View and its Agreement behave. DefaultConfig gives values for every field that has no meaningful
// zero.
type Config struct {
	// Self is this incarnation of this server.
	Self ID
	// Zone is the failure domain of this server; voters are spread over zones. May be empty.
	Zone string
	// Founders are the server names that must all agree on the first configuration. Without any there never is one.
	Founders []string
	// InitialSize is how many servers the cluster is meant to have at first; more than half form the first
	// configuration.
	InitialSize int
	// LeaseDuration is the shortest time for which a voter's lease grant holds.
	LeaseDuration timeunit.Milliseconds
	// MaxClockDrift is how much faster one server's clock may run than another's, as a fraction.
	MaxClockDrift float64
	// StabilityWindow is how long a view must have stood before a new configuration is proposed for it, and before a
	// member that came or went changes the effective size.
	StabilityWindow timeunit.Milliseconds
	// MaxMembers bounds the members that are kept; state updates of further ones are rejected.
	MaxMembers int
	// Retention is how long members that failed or left stay in the view.
	Retention timeunit.Milliseconds
	// MaxVoters bounds the voters of a configuration.
	MaxVoters int
	// FlapThreshold is the number of state changes within FlapWindow from which on a member is flapping.
	FlapThreshold int
	// FlapWindow is the time within which those changes happen.
	FlapWindow timeunit.Milliseconds
	// FlapHold is how long after its last change a flapping member counts as it did before.
	FlapHold timeunit.Milliseconds
}

// DefaultConfig returns the configuration for a cluster in one place; docs/membership/design.md has the reasons.
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
