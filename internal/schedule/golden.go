package schedule

import (
	"cmp"
	"fmt"
	"testing"

	"thistlequay/internal/golden"
)

// defaultLabel is the label of a line for which a GoldenFile gives none.
const defaultLabel = "seeds %d to %d:"

// GoldenFile is a golden file of what came of seeded schedules, from seed 0 on. Each line has a label and the history
// of one or more seeds.
type GoldenFile struct {
	// Name is the file's name in testdata/golden.
	Name string
	// Seeds is the number of seeds, a multiple of SeedsPerLine.
	Seeds int
	// SeedsPerLine is the number of seeds whose history is one line.
	SeedsPerLine int
	// Label is the format of a line's label; its operands are the first and the last seed of the line. The zero value
	// stands for "seeds %d to %d:".
	Label string
	// Preface is the text before the first line. The zero value is none; another ends with a line feed.
	Preface string
	// Parallel has the lines played side by side, for schedules that take long. The others are played one by one, so
	// that tests of other packages, which wait in real time, find free cores.
	Parallel bool
}

// Check plays all seeds, each line in a subtest named after its first seed, and compares what they added to
// their histories with the file. It returns when all have ended.
func (f GoldenFile) Check(t *testing.T, play func(t *testing.T, seed int64, history *golden.History)) {
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
					play(t, int64(seed), lines[i])
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
