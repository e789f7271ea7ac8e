package membership

import "thistlequay/timeunit"

// Config are what a view goes by. All are spans in milliseconds but where another unit is named.
type Config struct {
	Self            ID
	Zone            string
	Founders        []string              // names of which all must agree before there is a first fleet
	InitialSize     int                   // servers the installation is meant to have at first: more than half make a fleet
	LeaseDuration   timeunit.Milliseconds // how long a voter's support holds
	MaxClockDrift   float64               // how much faster one clock may run than another, as a part
	StabilityWindow timeunit.Milliseconds // how long a view must stand before a fleet is agreed on it
	MaxMembers      int                   // members that are kept; the rest are passed over
	Retention       timeunit.Milliseconds // what is gone is shown for so long
	MaxVoters       int                   // of a fleet, at most
	FlapThreshold   int                   // changes within SwingIn from which on a member flaps
	FlapWindow      timeunit.Milliseconds
	FlapHold        timeunit.Milliseconds // how long it counts as it did, from its last change
}

// DefaultConfig are those of a fleet in one place: reasons in docs/membership/design.md.
func DefaultConfig(me ID) Config {
	return Config{Self: me, InitialSize: 1, LeaseDuration: 1500, MaxClockDrift: 0.1, StabilityWindow: 2 * timeunit.MillisecondsPerSecond, MaxMembers: 4096, Retention: 60 * timeunit.MillisecondsPerSecond, MaxVoters: 7,
		FlapThreshold: 3, FlapWindow: 30 * timeunit.MillisecondsPerSecond, FlapHold: 10 * timeunit.MillisecondsPerSecond}
}
