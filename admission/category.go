package admission

import "thistlequay/timeunit"

// categoryState is a Category with what was measured of its requests.
type categoryState struct {
	Category
	index         int
	runTimes      histogram // of all runs, aborted ones too, up to their abort
	quietRunTimes histogram // of successful runs that began and ended while the cores were quiet
}

func newCategoryState(category Category, index int) *categoryState {
	return &categoryState{
		Category:      category,
		index:         index,
		runTimes:      newHistogram(category.SoftDeadline),
		quietRunTimes: newHistogram(category.SoftDeadline),
	}
}

// typicalRunTime is the median run time in ticks, and at least one bin.
func (c *categoryState) typicalRunTime() float64 {
	return float64(max(c.runTimes.binWidth, c.runTimes.quantile(0.5)))
}

// valueAt is the priority of a request of this category that would start now with so much time to its soft
// deadline: the weight of its answer, by the share of recent runs that would be in time, for the time that
// such runs take.
func (c *categoryState) valueAt(timeLeft timeunit.Ticks) float64 {
	fits := c.runTimes.fractionBelow(timeLeft)
	return c.Weight * (fits + (1-fits)*c.LateValue) / c.typicalRunTime()
}
