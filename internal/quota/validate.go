package quota

import "fmt"

// ConfigError reports the field that makes a LimitConfig invalid.
type ConfigError struct {
	Field  string
	Reason string
}

func (e *ConfigError) Error() string { return fmt.Sprintf("limit: %s %s", e.Field, e.Reason) }

// Validate checks that the limit can be enforced, for example that the guaranteed minimums of all slots fit into the
// total. It returns a *ConfigError for the first invalid field, or nil.
func (c *LimitConfig) Validate() error {
	for _, check := range []struct {
		isValid bool
		field   string
		reason  string
	}{
		{c.Total > 0, "Total", "is not positive"},
		{c.GuaranteedMinimum >= 0, "GuaranteedMinimum", "is negative"},
		{c.Slots >= 0, "Slots", "is negative"},
		{c.guaranteedTotal() <= c.Total, "Total", "is less than the guaranteed minimum of all slots"},
		{c.LeaseDuration > 0, "LeaseDuration", "is not positive"},
		{c.GracePeriod >= 0, "GracePeriod", "is negative"},
		{c.ClockDrift >= 0 && c.ClockDrift < 0.5, "ClockDrift", "is not a fraction below 0.5"},
		{c.InitialAmount >= 0, "InitialAmount", "is negative"},
		{c.Hysteresis >= 0 && c.Hysteresis < 1, "Hysteresis", "is not a fraction below 1"},
	} {
		if !check.isValid {
			return &ConfigError{Field: check.field, Reason: check.reason}
		}
	}
	return nil
}
