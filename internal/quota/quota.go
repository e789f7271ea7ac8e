// Package quota divides cluster-wide limits among the servers of a cluster by granting leases. The sum of what all
// servers may use never exceeds the total of a limit at any instant, and capacity that one server does not use is
// leased to another.
//
// An Allocator manages the leases of one limit, and a LimitSet holds the allocators of all limits. Both are replicated
// state machines: every coordinator applies the same commands in the order of one consensus log (package
// internal/quota/coordinator). Only the elected leader proposes commands and answers requests. A LeaseHolder tracks the
// lease of one server on one limit.
//
// The package uses no sockets, disks, clocks or goroutines. Callers pass in the time and transport the messages.
// Nothing in the package is safe for concurrent use. Each time value is read from the clock of the process that uses
// it, and clocks of different processes are never compared. Two invariants always hold: the allocator never treats a
// lease as expired before it has expired on every clock, and a holder without a lease in force never uses more than its
// guaranteed minimum.
package quota

import "thistlequay/timeunit"

// Amount is a quantity of a limit in thousandths of its unit. It is an integer so that sums are exact.
type Amount int64

// Unit is one call in flight, or one call per second if LimitConfig.IsRate is set.
const Unit Amount = 1000

// LimitConfig describes one limit. Except for Total, it must be identical on all coordinators and servers. Validate
// checks the constraints.
type LimitConfig struct {
	// Total is the amount that all servers may use together. It must be positive and at least the sum of the guaranteed
	// minimums of all slots.
	Total Amount

	// GuaranteedMinimum is the amount that the server in each slot may always use without a lease. Only the part of
	// Total that exceeds the guaranteed minimums of all slots is leased. Zero guarantees nothing.
	GuaranteedMinimum Amount

	// Slots is the maximum number of servers that have a guaranteed minimum at the same time.
	Slots int

	// LeaseDuration is how long a lease is usable, counted from the time of the request. It must be positive.
	LeaseDuration timeunit.Milliseconds

	// GracePeriod is how long work that started under a lease may continue after the lease expires.
	GracePeriod timeunit.Milliseconds

	// ClockDrift is how much faster one clock may run than another, as a fraction. It must be below 0.5.
	ClockDrift float64

	// InitialAmount is the first lease of a newly started server, as far as capacity is available.
	InitialAmount Amount

	// Hysteresis is a fraction of the current lease. A lease stays unchanged, with few exceptions, while it differs
	// from its target by less than this fraction.
	Hysteresis float64

	// IsRate selects a limit on units per second instead of a limit on units in flight.
	IsRate bool

	// Granularity is the step size of leases: each leased amount is a multiple of it. Zero allows any amount.
	Granularity Amount
}

// guaranteedTotal returns the sum of the guaranteed minimums of all slots. This part of the total is never leased.
func (c *LimitConfig) guaranteedTotal() Amount { return Amount(c.Slots) * c.GuaranteedMinimum }

// maxLeaseSpan returns the longest time, on the leader's clock, that work under a lease may continue after the leader
// answered the request for that lease. It is the lease duration on the slowest clock plus the grace period.
func (c *LimitConfig) maxLeaseSpan() timeunit.Milliseconds {
	maxDuration := timeunit.Milliseconds(float64(c.LeaseDuration) * (1 + c.ClockDrift))
	return maxDuration + c.GracePeriod + 1
}

// roundDown returns the largest leasable amount that is at most the given amount.
func (c *LimitConfig) roundDown(amount Amount) Amount { return amount - amount%max(1, c.Granularity) }

// roundUp returns the smallest leasable amount that is at least the given amount.
func (c *LimitConfig) roundUp(amount Amount) Amount {
	return c.roundDown(amount + max(1, c.Granularity) - 1)
}
