package recovery

// This file owns what of an earlier life's learning still holds. It must never trust it whole, nor a figure that cannot be.

import (
	"math"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

const (
	warmStartHalfLife  = 6_000_000 // in ten minutes what was learnt is worth half
	minWarmStartWeight = 1.0 / 64  // and this much of it is not worth having
	maxBinCount        = 256       // no histogram counts more
)

// WarmStartState is what was learnt, when, and under which settings.
type WarmStartState struct {
	CapturedAt   timeunit.Ticks `json:"At"`       // by the wall then
	SettingsHash uint64         `json:"Settings"` // a hash of them
	Cores        float64        `json:"Cores"`
	admission.WarmStartState
}

// Decay gives what of a snapshot a new life begins with: older ones count for less, those of other settings, of the future or
// with figures that cannot be for nothing.
func (s *WarmStartState) Decay(now timeunit.Ticks, settings uint64) *admission.WarmStartState {
	if s == nil || s.SettingsHash != settings || now < s.CapturedAt || !(s.Cores > 0) || !(s.Limit >= 0 && s.Limit < 1e6) {
		return nil
	}
	weight := math.Exp2(-float64(now-s.CapturedAt) / warmStartHalfLife)
	if weight < minWarmStartWeight {
		return nil
	}
	l := &admission.WarmStartState{Limit: s.Cores + max(0, s.Limit-s.Cores)*weight}
	ok := true
	part := func(counts []float64) (out []float64) {
		for _, c := range counts {
			if !(c >= 0 && c <= maxBinCount) {
				ok = false
			}
			out = append(out, c*weight/2) // never more than half of what makes a histogram full
		}
		return out
	}
	l.QuickCallTimes = part(s.QuickCallTimes)
	for _, c := range s.RunTimes {
		l.RunTimes = append(l.RunTimes, part(c))
	}
	for _, c := range s.QuietRunTimes {
		l.QuietRunTimes = append(l.QuietRunTimes, part(c))
	}
	if !ok {
		return nil
	}
	return l
}
