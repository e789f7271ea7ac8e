package simadapter

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/internal/schedule"
)

// TestGoldenLines compares the lines of the simulator's protocol with a golden file: two sessions in full, the output
// before a malformed line with the number of that line, and hashes of the output for random schedules that are
// generated from seeds.
func TestGoldenLines(t *testing.T) {
	var texts strings.Builder
	for _, text := range []string{basicSession, cachedReadsSession} {
		fmt.Fprintf(&texts, "%s\n%s\n", text, requireServed(t, text))
	}
	malformedTexts := []string{}
	for _, test := range malformedInputs {
		malformedTexts = append(malformedTexts, test.text)
	}
	slices.Sort(malformedTexts)
	for _, text := range malformedTexts {
		output, err := serve(text)
		require.Error(t, err)
		lineNumber, _, _ := strings.Cut(err.Error(), ":")
		fmt.Fprintf(&texts, "%q %s %q\n", text, lineNumber, output)
	}
	file := schedule.GoldenFile{Name: "lines.txt", Preface: texts.String(), Seeds: 100, SeedsPerLine: 10}
	file.Check(t, func(t *testing.T, seed int64, history *golden.History) {
		separateInputs, combinedInput := generateSchedules(seed)
		for _, text := range []string{separateInputs[0], separateInputs[1], combinedInput} {
			history.Add(requireServed(t, text))
		}
	})
}
