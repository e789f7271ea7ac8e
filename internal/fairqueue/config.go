package fairqueue

import "thistlequay/timeunit"

// Tenant is a tenant known by name.
type Tenant struct {
	Name string

	// Weight is the tenant's share of the server's work relative to the other weights; above 0. Only ratios count.
	Weight float64
}

// Config says how a server's work is divided. Every field must be set; internal/config checks the ranges when it reads
// the service file.
type Config struct {
	// Tenants are the tenants that have a flow of their own whatever they use.
	Tenants []Tenant

	// OthersWeight is the weight of all tenants that are not named, together; above 0.
	OthersWeight float64

	// NewcomerFraction is the part of OthersWeight, above 0 and under 1, for tenants without a history.
	NewcomerFraction float64

	// MaxHeavyHitters is the largest number of tenants that are not named but tracked one by one: those that use most.
	MaxHeavyHitters int

	// SharedFlows is the number of flows that all remaining tenants are hashed into.
	SharedFlows int

	// Burst is the time's worth of the whole server's work that may be used at once after a rest, split by weight.
	Burst timeunit.Ticks

	// MinHistory is how long a tenant must have been sending requests before it can become a heavy hitter.
	MinHistory timeunit.Ticks

	// RehashInterval is the time after which tenants are hashed into the shared flows anew.
	RehashInterval timeunit.Ticks

	// Cores is the number of the server's cores. Reconfigure does not change it.
	Cores int

	// SoftDeadlines are the soft deadlines by request category. A small part of each is the first estimate of what a
	// request of the category costs.
	SoftDeadlines []timeunit.Ticks
}

// totalWeight is the sum of all weights.
func (c *Config) totalWeight() float64 {
	sum := c.OthersWeight
	for _, tenant := range c.Tenants {
		sum += tenant.Weight
	}
	return sum
}
