package chain

import (
	"testing"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// addEvaluation adds the state of an evaluation to history: the plug-in to call next, the timeout of the call, and the
// result so far.
func addEvaluation(history *golden.History, e *Evaluation, plugin *Plugin, timeout, now timeunit.Ticks) {
	index := -1
	if plugin != nil {
		index = plugin.Index
	}
	history.Add(now, index, timeout, e.Rejected, e.Status, e.Category, e.Tag, string(e.Body), e.Rewritten)
}

// addPlugins adds the state, calls and faults of each plug-in of a chain to history, and the number of open
// evaluations.
func addPlugins(history *golden.History, c *Chain) {
	for _, plugin := range c.Plugins {
		history.Add(plugin.Index, int(plugin.State), plugin.Calls, plugin.Faults, plugin.QuarantineEnd())
	}
	history.Add(c.OpenEvaluations)
}

// TestGoldenEvaluations compares the histories of a hundred seeded schedules with the golden file, which has one line
// for ten seeds.
func TestGoldenEvaluations(t *testing.T) {
	file := schedule.GoldenFile{Name: "walks.txt", Seeds: 100, SeedsPerLine: 10, Label: "seeds=%d..%d"}
	file.Check(t, runEvaluations)
}
