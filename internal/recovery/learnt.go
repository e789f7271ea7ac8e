package recovery

// This file owns what of an earlier life's learning still holds. It must never trust it whole, nor a figure that cannot be.

import (
	"math"

	"thistlequay/admission"
	"thistlequay/timeunit"
)

const (
	halfLife  = 6_000_000 // in ten minutes what was learnt is worth half
	worthless = 1.0 / 64  // and this much of it is not worth having
	mostCount = 256       // no histogram counts more
)

// Snapshot is what was learnt, when, and under which settings.
type Snapshot struct {
	At       timeunit.Ticks `json:"At"`       // by the wall then
	Settings uint64         `json:"Settings"` // a hash of them
	Cores    float64        `json:"Cores"`
	admission.Learnt
}

// Weigh gives what of a snapshot a new life begins with: older ones count for less, those of other settings, of the future or
// with figures that cannot be for nothing.
func (s *Snapshot) Weigh(now timeunit.Ticks, settings uint64) *admission.Learnt {
	if s == nil || s.Settings != settings || now < s.At || !(s.Cores > 0) || !(s.Pool >= 0 && s.Pool < 1e6) {
		return nil
	}
	weight := math.Exp2(-float64(now-s.At) / halfLife)
	if weight < worthless {
		return nil
	}
	l := &admission.Learnt{Pool: s.Cores + max(0, s.Pool-s.Cores)*weight}
	ok := true
	part := func(counts []float64) (out []float64) {
		for _, c := range counts {
			if !(c >= 0 && c <= mostCount) {
				ok = false
			}
			out = append(out, c*weight/2) // never more than half of what makes a histogram full
		}
		return out
	}
	l.Quick = part(s.Quick)
	for _, c := range s.Runs {
		l.Runs = append(l.Runs, part(c))
	}
	for _, c := range s.Quiet {
		l.Quiet = append(l.Quiet, part(c))
	}
	if !ok {
		return nil
	}
	return l
}
