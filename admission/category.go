package admission

import "thistlequay/timeunit"

// categoryState holds a Category and the measured run times of its requests.
type categoryState struct {
	Category
	index         int
	runTimes      histogram // of all runs; an aborted run counts with the time up to its abort
	quietRunTimes histogram // of successful runs during whose start and end the cores were quiet
}

func newCategoryState(category Category, index int) *categoryState {
	return &categoryState{
		Category:      category,
		index:         index,
		runTimes:      newHistogram(category.SoftDeadline),
		quietRunTimes: newHistogram(category.SoftDeadline),
	}
}

// typicalRunTime returns the median run time in ticks, and at least the width of one histogram bin.
func (c *categoryState) typicalRunTime() float64 {
	return float64(max(c.runTimes.binWidth, c.runTimes.quantile(0.5)))
}

// valueAt returns the priority of a request of this category that would start now with timeLeft to its soft deadline:
// the weight of its answer, scaled by the fraction of recent runs that would be in time, per tick of typical run time.
func (c *categoryState) valueAt(timeLeft timeunit.Ticks) float64 {
	fractionInTime := c.runTimes.fractionBelow(timeLeft)
	return c.Weight * (fractionInTime + (1-fractionInTime)*c.LateValue) / c.typicalRunTime()
}
