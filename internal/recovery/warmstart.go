package recovery

import (
	"math"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

const (
	// warmStartHalfLife is ten minutes: by then what an earlier process learnt counts half.
	warmStartHalfLife = 600 * timeunit.TicksPerSecond
	// minWarmStartWeight is the weight below which it isn't worth having.
	minWarmStartWeight = 1.0 / 64
	// maxBinCount is more than any bin of a histogram reaches.
	maxBinCount = 256
	// maxLimit is more than any concurrency limit reaches.
	maxLimit = 1e6
	// maxHistogramPart bounds what is restored of a histogram to half of what makes it full, so that the new process's
	// own measurements soon outweigh it.
	maxHistogramPart = 0.5
)

// WarmStartState is what a process has learnt, when, and under which settings. It is stored as JSON.
type WarmStartState struct {
	CapturedAt   timeunit.Ticks `json:"At"`       // by the wall clock of then
	SettingsHash uint64         `json:"Settings"` // of the settings that decisions depend on
	Cores        float64        `json:"Cores"`
	admission.WarmStartState
}

// Decay returns what a new process begins with, by the present wall clock and settings: older states count less. It
// returns nil where nothing of it counts: for no state, one that is too old, from the future, of other settings, or
// with an impossible value.
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

// isPlausible reports whether no value is one that can't be. Comparisons are written so that NaN fails them.
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

func scaledHistograms(histograms [][]float64, weight float64) (scaled [][]float64) {
	for _, bins := range histograms {
		scaled = append(scaled, scaledHistogram(bins, weight))
	}
	return scaled
}

func scaledHistogram(bins []float64, weight float64) (scaled []float64) {
	for _, count := range bins {
		scaled = append(scaled, count*weight*maxHistogramPart)
	}
	return scaled
}
