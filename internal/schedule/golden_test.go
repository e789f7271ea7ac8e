package schedule_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
)

// Each line must hold the events of its seeds in the order of the seeds, regardless of how the subtests are scheduled.
func TestGoldenFileHoldsOneLineForSeveralSeeds(t *testing.T) {
	t.Chdir(t.TempDir())
	t.Setenv("RECORD_GOLDEN", "1")
	var expected golden.Histories
	for _, seeds := range [][]int64{{0, 1}, {2, 3}} {
		history := golden.NewHistory()
		for _, seed := range seeds {
			history.Add(seed)
		}
		expected.Add(map[int64]string{0: "seeds=0..1", 2: "seeds=2..3"}[seeds[0]], history)
	}
	expected.Check(t, "seeds.txt") // records the file
	file := schedule.GoldenFile{Name: "seeds.txt", Seeds: 4, SeedsPerLine: 2, Label: "seeds=%d..%d"}
	file.Check(t, func(_ *testing.T, seed int64, history *golden.History) { history.Add(seed) })
}

func TestGoldenFileBeginsWithItsPreface(t *testing.T) {
	t.Chdir(t.TempDir())
	t.Setenv("RECORD_GOLDEN", "1")
	history := golden.NewHistory()
	history.Add(int64(0))
	golden.Check(t, "seeds.txt", fmt.Appendf(nil, "first\nseeds 0 to 0: %s\n", history)) // records the file
	file := schedule.GoldenFile{Name: "seeds.txt", Seeds: 1, SeedsPerLine: 1, Preface: "first\n"}
	file.Check(t, func(_ *testing.T, seed int64, history *golden.History) { history.Add(seed) })
}

func TestScaleFollowsMeasure(t *testing.T) {
	t.Setenv("MEASURE", "full")
	require.Equal(t, 2, schedule.Scale(1, 2))
	t.Setenv("MEASURE", "")
	require.Equal(t, 1, schedule.Scale(1, 2))
}
