// Package deployment reads what the operators say of a deployment: the one JSON object that the simulator's first
// message and the program's configuration share. It turns the object into the figures that decisions use and keeps
// nothing else.
//
// It must never decide anything, and never act on which deployment it reads.
package deployment

import (
	"math"

	"thistlequay/admission"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/fairqueue"
	"thistlequay/timeunit"
)

// Config is what one server is told of its deployment when it starts. It is not changed afterwards, but for the
// fields of the admission.Config in it that the caller adds.
type Config struct {
	admission.Config

	// CategoryIndex is each category's place in Categories, by its name.
	CategoryIndex map[string]int

	// PauseKeepsMemory says that a run which was stopped keeps its memory until its request is over.
	PauseKeepsMemory bool

	// TenantWeights are the tenants that have a weight in the fair queues, in the order of the settings.
	TenantWeights []fairqueue.Tenant

	tenantNames map[string]bool // all tenants; empty where the settings name none

	// gaugeFields has, for each figure of a gauge reading, the field it goes into; nil for one that is not used.
	gaugeFields []func(*admission.Gauges) *float64
}

// Read reads the object. Keys that are not known are passed over: they bear on parts that this program does not have.
// A value that bears on a rule and is not known, and figures that can't all be meant, are errors: a diagnostics.List,
// with paths but, where the text is JSON of the right types, without lines; diagnostics.LocateJSON adds those.
func Read(text []byte) (*Config, error) {
	var read settings
	if err := diagnostics.DecodeJSON(text, &read); err != nil {
		return nil, err
	}
	if err := read.Validate(); err != nil {
		return nil, err
	}
	return read.config(), nil
}

// HasTenant reports whether the settings name a tenant; where they name none, any name is one.
func (c *Config) HasTenant(name []byte) bool {
	return len(c.tenantNames) == 0 || c.tenantNames[string(name)]
}

// GaugesFromRow converts a gauge reading, whose figures stand in the order that the settings gave. Figures that are
// missing at its end are 0.
func (c *Config) GaugesFromRow(row []float64) (gauges admission.Gauges) {
	count := min(len(row), len(c.gaugeFields))
	for i, field := range c.gaugeFields[:count] {
		if field != nil {
			*field(&gauges) = row[i]
		}
	}
	return gauges
}

// roundingError is what a whole number of ticks may be off by, in ticks, after arithmetic in floating point.
const roundingError = 1e-6

// RoundDown converts milliseconds to ticks, down: for points on a clock and time left, so that nothing is answered
// late.
func RoundDown(milliseconds float64) timeunit.Ticks {
	return timeunit.Ticks(math.Floor(milliseconds*float64(timeunit.TicksPerMillisecond) + roundingError))
}

// RoundUp converts milliseconds to ticks, up: for spans that have passed.
func RoundUp(milliseconds float64) timeunit.Ticks {
	return timeunit.Ticks(math.Ceil(milliseconds*float64(timeunit.TicksPerMillisecond) - roundingError))
}
