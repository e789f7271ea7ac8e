package quota

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Validate reports the field that makes a limit invalid, tested at the boundary of the allowed range.
func TestValidateNamesTheField(t *testing.T) {
	valid := LimitConfig{
		Total: 10, GuaranteedMinimum: 2, Slots: 5, LeaseDuration: 1, ClockDrift: 0.49, Hysteresis: 0.99,
	}
	require.NoError(t, valid.Validate())
	for _, test := range []struct {
		field      string
		invalidate func(*LimitConfig)
	}{
		{"Total", func(c *LimitConfig) { c.Total = 0 }},
		{"Total", func(c *LimitConfig) { c.Total = 9 }},
		{"GuaranteedMinimum", func(c *LimitConfig) { c.GuaranteedMinimum = -1 }},
		{"Slots", func(c *LimitConfig) { c.Slots = -1 }},
		{"LeaseDuration", func(c *LimitConfig) { c.LeaseDuration = 0 }},
		{"GracePeriod", func(c *LimitConfig) { c.GracePeriod = -1 }},
		{"ClockDrift", func(c *LimitConfig) { c.ClockDrift = 0.5 }},
		{"ClockDrift", func(c *LimitConfig) { c.ClockDrift = math.NaN() }},
		{"InitialAmount", func(c *LimitConfig) { c.InitialAmount = -1 }},
		{"Hysteresis", func(c *LimitConfig) { c.Hysteresis = 1 }},
	} {
		config := valid
		test.invalidate(&config)
		var configError *ConfigError
		require.ErrorAs(t, config.Validate(), &configError, test.field)
		require.Equal(t, test.field, configError.Field)
	}
}
