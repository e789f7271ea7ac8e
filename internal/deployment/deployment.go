// Package deployment reads the settings of a deployment, which operators write: one JSON object, which has the same
// form in the simulator's first message and in the platform's configuration file. The package converts the object to
// the values on which decisions are based and keeps nothing else.
//
// It makes no decisions itself and treats all deployments alike.
package deployment

import (
	"math"

	"thistlequay/admission"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

// Config holds the settings of a deployment in the form that a server uses. It is not modified after Read, except for
// those fields of the embedded admission.Config that the caller sets.
type Config struct {
	admission.Config

	// CategoryIndex maps the name of each category to its index in Categories.
	CategoryIndex map[string]int

	// PauseKeepsMemory reports whether a stopped run keeps its memory until its request has ended.
	PauseKeepsMemory bool

	// TenantWeights lists the tenants that have a weight in the fair queues, in the order of the settings.
	TenantWeights []fairqueue.Tenant

	tenantNames map[string]bool // all tenants; empty if the settings name none

	// gaugeFields has an entry for each value of a gauge reading, which selects the field that stores the value. It is
	// nil for a value that is not used.
	gaugeFields []func(*admission.Gauges) *float64
}

// Read reads and validates the settings. Unknown keys are ignored, because they concern parts that this program does
// not have. Numbers out of range, contradictory values, and unknown values of keys that accept a fixed set of values
// are errors.
//
// The error is a diagnostics.List. Its diagnostics have lines only if diagnostics.DecodeJSON found them; for the
// others, which have paths, diagnostics.LocateJSON adds the lines.
func Read(text []byte) (*Config, error) {
	var parsed settings
	if err := diagnostics.DecodeJSON(text, &parsed); err != nil {
		return nil, err
	}
	if err := parsed.Validate(); err != nil {
		return nil, err
	}
	return parsed.config(), nil
}

// HasTenant reports whether the settings contain a tenant. If they name no tenants at all, any name is a tenant.
func (c *Config) HasTenant(name []byte) bool {
	return len(c.tenantNames) == 0 || c.tenantNames[string(name)]
}

// GaugesFromRow converts a gauge reading, whose values are in the order that the settings define. Values that are
// missing at the end of the row count as 0.
func (c *Config) GaugesFromRow(row []float64) (gauges admission.Gauges) {
	count := min(len(row), len(c.gaugeFields))
	for i, field := range c.gaugeFields[:count] {
		if field != nil {
			*field(&gauges) = row[i]
		}
	}
	return gauges
}

// roundingError is the maximum error, in ticks, that floating-point arithmetic causes in a whole number of ticks.
const roundingError = 1e-6

// RoundDown converts milliseconds to ticks and rounds down. It is for points in time and remaining times, so that no
// request is answered late.
func RoundDown(milliseconds float64) timeunit.Ticks {
	return timeunit.Ticks(math.Floor(milliseconds*float64(timeunit.TicksPerMillisecond) + roundingError))
}

// RoundUp converts milliseconds to ticks and rounds up. It is for durations that must have passed.
func RoundUp(milliseconds float64) timeunit.Ticks {
	return timeunit.Ticks(math.Ceil(milliseconds*float64(timeunit.TicksPerMillisecond) - roundingError))
}
