package admission

import "thistlequay/timeunit"

// Shape of the histograms and the number of samples that they need and keep.
const (
	histogramBins = 24  // number of bins; the last one also counts longer times
	binsPerScale  = 16  // number of bins that span the scale of a histogram
	minSamples    = 8   // with fewer samples a histogram is not used
	maxSamples    = 256 // at this total all counts are halved, so that old samples lose weight
)

// histogram is a coarse latency histogram with bins of equal width. Old samples lose weight as new ones are added.
type histogram struct {
	binWidth timeunit.Ticks
	total    float64
	counts   [histogramBins]float64
}

// newHistogram returns an empty histogram whose bins are each a sixteenth of scale wide.
func newHistogram(scale timeunit.Ticks) histogram {
	return histogram{binWidth: max(1, scale/binsPerScale)}
}

// add counts one sample. When the total reaches maxSamples, it halves the total and all counts.
func (h *histogram) add(t timeunit.Ticks) {
	h.counts[max(0, min(int(t/h.binWidth), histogramBins-1))]++
	h.total++
	if h.total >= maxSamples {
		h.total /= 2
		for i := range h.counts {
			h.counts[i] /= 2
		}
	}
}

// quantile returns the time below which the fraction q, from 0 to 1, of all samples lies; 0 without samples.
func (h *histogram) quantile(q float64) timeunit.Ticks {
	remaining := q * h.total
	for i, count := range &h.counts {
		if remaining <= count && count > 0 {
			return timeunit.Ticks((float64(i) + remaining/count) * float64(h.binWidth))
		}
		remaining -= count
	}
	return 0
}

// fractionBelow returns the fraction of all samples that lies below t; 1 without samples.
func (h *histogram) fractionBelow(t timeunit.Ticks) float64 {
	sum := 0.0
	for i, count := range &h.counts {
		sum += count * max(0, min(1, float64(t-timeunit.Ticks(i)*h.binWidth)/float64(h.binWidth)))
	}
	if h.total == 0 {
		return 1
	}
	return sum / h.total
}

// earliestEquivalent returns the earliest time with the same fractionBelow as t, or -noDeadline if there is no earliest
// one.
func (h *histogram) earliestEquivalent(t timeunit.Ticks) timeunit.Ticks {
	i := max(0, min(int(t/h.binWidth), histogramBins))
	if t >= 0 && i < histogramBins && h.counts[i] > 0 {
		return t
	}
	for i > 0 && h.counts[i-1] == 0 {
		i--
	}
	if i == 0 {
		return -noDeadline
	}
	return timeunit.Ticks(i) * h.binWidth
}

// snapshot returns a copy of the counts.
func (h *histogram) snapshot() []float64 { return append([]float64(nil), h.counts[:]...) }

// restore adds the counts of an earlier histogram. It ignores counts for a different number of bins, negative counts
// and counts that would bring the total to maxSamples.
func (h *histogram) restore(counts []float64) {
	if len(counts) != histogramBins {
		return
	}
	for i, count := range counts {
		if count >= 0 && h.total+count < maxSamples {
			h.counts[i] = count
			h.total += count
		}
	}
}
