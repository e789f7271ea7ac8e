// Package quota divides the limits of a whole cluster among its servers by leases, so that the sum of what the
// servers may use never exceeds the total of a limit, at any instant, and so that capacity which one server does not
// use goes to another.
//
// An Allocator keeps the leases of one limit, a LimitSet the allocators of all limits. They are replicated state
// machines: every coordinator applies the same commands in the order of one consensus log (package
// internal/quota/coordinator); only the elected leader proposes commands and answers requests. A LeaseHolder is one
// server's side of one limit.
//
// The package knows no socket, disk, clock or goroutine. Callers pass the time in and carry the messages; nothing
// here is safe for concurrent use. Times are by the clock of the process that uses them, and clocks of two processes
// are never compared. Two things must always hold: the allocator never counts a lease as expired before it is so on
// every clock, and a holder never uses more than its guaranteed minimum without a lease in force.
package quota

import "thistlequay/timeunit"

// Amount is a part of a limit in thousandths of its unit. It is a whole number, so that sums are exact.
type Amount int64

// Unit is one call in flight, or one call per second where LimitConfig.IsRate is set.
const Unit Amount = 1000

// LimitConfig describes one limit. All coordinators and all servers must have the same one, except for Total. See
// Validate.
type LimitConfig struct {
	// Total is what all servers together may use. It must be positive and cover the guaranteed minimum of all slots.
	Total Amount

	// GuaranteedMinimum is what the server in each slot may use without a lease, for ever. Only the part of Total
	// that is left when the minimum of every slot is taken off is leased. Zero guarantees nothing.
	GuaranteedMinimum Amount

	// Slots is the number of servers that may exist at once and have a guaranteed minimum.
	Slots int

	// LeaseDuration is how long a lease is usable, counted from when it was requested. It must be positive.
	LeaseDuration timeunit.Milliseconds

	// GracePeriod is how long work that was started under a lease may outlast it.
	GracePeriod timeunit.Milliseconds

	// ClockDrift is how much faster one clock may run than another, as a fraction below 0.5.
	ClockDrift float64

	// InitialAmount is the first lease of a server that just started, as far as there is room.
	InitialAmount Amount

	// Hysteresis is the fraction of a lease below which a difference between lease and target changes nothing.
	Hysteresis float64

	// IsRate tells a limit of units per second from a limit of units in flight.
	IsRate bool

	// Granularity is what leases are whole multiples of. With zero any amount is leased.
	Granularity Amount
}

// guaranteedTotal is the sum of the guaranteed minimums. It is never leased.
func (c *LimitConfig) guaranteedTotal() Amount { return Amount(c.Slots) * c.GuaranteedMinimum }

// maxLeaseSpan is the longest time, by the leader's clock, for which work under a lease may go on after the leader
// answered the request for it: the duration by the slowest clock, and the grace period.
func (c *LimitConfig) maxLeaseSpan() timeunit.Milliseconds {
	byAnyClock := timeunit.Milliseconds(float64(c.LeaseDuration) * (1 + c.ClockDrift))
	return byAnyClock + c.GracePeriod + 1
}

// roundDown gives the largest amount that can be leased and is at most the given one.
func (c *LimitConfig) roundDown(amount Amount) Amount { return amount - amount%max(1, c.Granularity) }

// roundUp gives the smallest amount that can be leased and is at least the given one.
func (c *LimitConfig) roundUp(amount Amount) Amount {
	return c.roundDown(amount + max(1, c.Granularity) - 1)
}
