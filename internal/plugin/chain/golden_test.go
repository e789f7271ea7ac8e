package chain

import (
	"testing"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
	"thistlequay/timeunit"
)

// addEvaluation adds where an evaluation stands: which plug-in is to be called, with which timeout, and the result so
// far.
func addEvaluation(history *golden.History, e *Evaluation, plugin *Plugin, timeout, now timeunit.Ticks) {
	index := -1
	if plugin != nil {
		index = plugin.Index
	}
	history.Add(now, index, timeout, e.Rejected, e.Status, e.Category, e.Tag, string(e.Body), e.Rewritten)
}

// addPlugins adds how each plug-in of a chain has been doing.
func addPlugins(history *golden.History, c *Chain) {
	for _, plugin := range c.Plugins {
		history.Add(plugin.Index, int(plugin.State), plugin.Calls, plugin.Faults, plugin.QuarantineEnd())
	}
	history.Add(c.OpenEvaluations)
}

// TestGoldenEvaluations compares what came of a hundred seeded schedules, a line for ten seeds, with what was recorded.
func TestGoldenEvaluations(t *testing.T) {
	file := schedule.GoldenFile{Name: "walks.txt", Seeds: 100, SeedsPerLine: 10, Label: "seeds=%d..%d"}
	file.Check(t, playEvaluations)
}
