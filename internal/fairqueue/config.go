package fairqueue

import "thistlequay/timeunit"

// Tenant is a tenant that the configuration names.
type Tenant struct {
	Name string

	// Weight is the tenant's share of the server's core time relative to the other weights. It must be above 0; only
	// the ratios between weights matter.
	Weight float64
}

// Config defines how a server's core time is divided among tenants. Every field must be set; internal/config checks the
// ranges when it reads the service file.
type Config struct {
	// Tenants are the named tenants. Each has its own flow, however much or little it uses.
	Tenants []Tenant

	// OthersWeight is the combined weight of all tenants that are not named. It must be above 0.
	OthersWeight float64

	// NewcomerFraction is the fraction of OthersWeight, above 0 and below 1, that goes to the shared flows. They hold
	// the tenants without a history of usage.
	NewcomerFraction float64

	// MaxHeavyHitters is the maximum number of tenants that are not named but have their own flow because they use the
	// most core time.
	MaxHeavyHitters int

	// SharedFlows is the number of flows into which all remaining tenants are hashed.
	SharedFlows int

	// Burst is how much unused capacity idle tenants can save up and then use at once, as a duration of the whole
	// server's work. It is split among the tenants by weight.
	Burst timeunit.Ticks

	// MinHistory is how long a tenant must have been sending requests before it can become a heavy hitter.
	MinHistory timeunit.Ticks

	// RehashInterval is the time after which tenants are redistributed over the shared flows.
	RehashInterval timeunit.Ticks

	// Cores is the server's number of CPU cores. Reconfigure does not change it.
	Cores int

	// SoftDeadlines are the soft deadlines, indexed by request category. A fixed fraction of each is the initial
	// estimate of the core time that a request of that category needs.
	SoftDeadlines []timeunit.Ticks
}

// totalWeight returns the sum of all weights.
func (c *Config) totalWeight() float64 {
	total := c.OthersWeight
	for _, tenant := range c.Tenants {
		total += tenant.Weight
	}
	return total
}
