package schedule

import (
	"cmp"
	"fmt"
	"testing"

	"thistlequay/internal/golden"
)

// defaultLabel is the label format of a GoldenFile without a Label.
const defaultLabel = "seeds %d to %d:"

// GoldenFile is a golden file with the results of seeded schedules, starting with seed 0. Each line consists of a label
// and the history of one or more seeds.
type GoldenFile struct {
	// Name is the name of the file in testdata/golden.
	Name string
	// Seeds is the number of seeds, a multiple of SeedsPerLine.
	Seeds int
	// SeedsPerLine is the number of seeds that share one history and so one line.
	SeedsPerLine int
	// Label is the format of the labels. Its operands are the first and the last seed of the line. An empty Label means
	// "seeds %d to %d:".
	Label string
	// Preface is the text before the first line. It is empty or ends with a line feed.
	Preface string
	// Parallel runs the schedules of different lines in parallel, for schedules that take long. Without it the lines
	// run one after another, which leaves cores free for tests of other packages that depend on real time.
	Parallel bool
}

// Check calls runSeed for all seeds and compares their histories with the file. Each line runs in a subtest named after
// its first seed. Check returns when all subtests have ended.
func (f GoldenFile) Check(t *testing.T, runSeed func(t *testing.T, seed int64, history *golden.History)) {
	t.Helper()
	lines := make([]*golden.History, f.Seeds/f.SeedsPerLine)
	t.Run("seeds", func(t *testing.T) {
		for i := range lines {
			first := i * f.SeedsPerLine
			lines[i] = golden.NewHistory()
			t.Run(fmt.Sprint(first), func(t *testing.T) {
				if f.Parallel {
					t.Parallel()
				}
				for seed := first; seed < first+f.SeedsPerLine; seed++ {
					runSeed(t, int64(seed), lines[i])
				}
			})
		}
	})
	label := cmp.Or(f.Label, defaultLabel)
	histories := golden.NewHistories(f.Preface)
	for i, history := range lines {
		first := i * f.SeedsPerLine
		histories.Add(fmt.Sprintf(label, first, first+f.SeedsPerLine-1), history)
	}
	histories.Check(t, f.Name)
}
