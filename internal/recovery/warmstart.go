package recovery

import (
	"math"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

const (
	// warmStartHalfLife is the age, ten minutes, at which a stored state has half its weight.
	warmStartHalfLife = 600 * timeunit.TicksPerSecond
	// minWarmStartWeight is the weight below which a stored state is ignored.
	minWarmStartWeight = 1.0 / 64
	// maxBinCount is the highest plausible count in a histogram bin; real counts stay below it.
	maxBinCount = 256
	// maxLimit is an upper bound for plausible concurrency limits; real limits stay below it.
	maxLimit = 1e6
	// maxHistogramFraction is the largest fraction of a full histogram that is restored. It is one half, so that the
	// new process's own measurements soon outweigh the restored ones.
	maxHistogramFraction = 0.5
)

// WarmStartState holds the measurements of a process, when they were captured, and the settings that they depend on. It
// is stored as JSON.
type WarmStartState struct {
	CapturedAt   timeunit.Ticks `json:"At"`       // in the wall clock of the capturing process
	SettingsHash uint64         `json:"Settings"` // hash of the settings that admission decisions depend on
	Cores        float64        `json:"Cores"`    // CPU cores of the process; the least limit that Decay restores
	admission.WarmStartState
}

// Decay returns the state that a new process starts with, at the wall clock time now and under the settings with the
// given hash. The older the state, the less weight it has. Decay returns nil if the state cannot be used: if s is nil,
// too old, from the future, captured under other settings, or holds an impossible value.
func (s *WarmStartState) Decay(now timeunit.Ticks, settingsHash uint64) *admission.WarmStartState {
	if s == nil || s.SettingsHash != settingsHash || now < s.CapturedAt || !s.isPlausible() {
		return nil
	}
	weight := math.Exp2(-float64(now-s.CapturedAt) / float64(warmStartHalfLife))
	if weight < minWarmStartWeight {
		return nil
	}
	return &admission.WarmStartState{
		Limit:          s.Cores + max(0, s.Limit-s.Cores)*weight,
		RunTimes:       scaledHistograms(s.RunTimes, weight),
		QuietRunTimes:  scaledHistograms(s.QuietRunTimes, weight),
		QuickCallTimes: scaledHistogram(s.QuickCallTimes, weight),
	}
}

// isPlausible reports whether all values are within their possible ranges. The comparisons are written so that NaN
// fails them.
func (s *WarmStartState) isPlausible() bool {
	if !(s.Cores > 0) || !(s.Limit >= 0 && s.Limit < maxLimit) {
		return false
	}
	for _, histograms := range [][][]float64{s.RunTimes, s.QuietRunTimes, {s.QuickCallTimes}} {
		for _, bins := range histograms {
			for _, count := range bins {
				if !(count >= 0 && count <= maxBinCount) {
					return false
				}
			}
		}
	}
	return true
}

// scaledHistograms returns copies of the histograms, scaled as by scaledHistogram.
func scaledHistograms(histograms [][]float64, weight float64) (scaled [][]float64) {
	for _, bins := range histograms {
		scaled = append(scaled, scaledHistogram(bins, weight))
	}
	return scaled
}

// scaledHistogram returns a copy of a histogram with all counts multiplied by the weight and by maxHistogramFraction.
func scaledHistogram(bins []float64, weight float64) (scaled []float64) {
	for _, count := range bins {
		scaled = append(scaled, count*weight*maxHistogramFraction)
	}
	return scaled
}
