package chain

import (
	"fmt"
	"testing"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// addWalk adds where a walk stands: which plug-in is asked, for how long, and what came of it so far.
func addWalk(history *golden.History, w *Evaluation, p *Plugin, within, now timeunit.Ticks) {
	asked := -1
	if p != nil {
		asked = p.Index
	}
	history.Add(now, asked, within, w.Rejected, w.Status, w.Category, w.Tag, string(w.Body), w.Rewritten)
}

// addPlugins adds how each plug-in of a chain stands.
func addPlugins(history *golden.History, c *Chain) {
	for _, p := range c.Plugins {
		history.Add(p.Index, int(p.State), p.Calls, p.Faults, p.QuarantineEnd())
	}
	history.Add(c.OpenEvaluations)
}

// TestGoldenWalks plays a hundred seeded schedules; what came of every walk, ten seeds a line, is as it was recorded.
func TestGoldenWalks(t *testing.T) {
	var lines []byte
	for group := range 10 {
		history := golden.NewHistory()
		for seed := range 10 {
			playWalks(t, int64(group*10+seed), history)
		}
		lines = fmt.Appendf(lines, "seeds=%d..%d %s\n", group*10, group*10+9, history)
	}
	golden.Check(t, "walks.txt", lines)
}
