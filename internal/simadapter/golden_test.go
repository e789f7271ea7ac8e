package simadapter

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
)

// The lines of the simulator's protocol are as recorded: two conversations in full, the output before a line that can't
// be read with the number of that line, and a hash of the output of seeded schedules.
func TestGoldenLines(t *testing.T) {
	var lines bytes.Buffer
	for _, text := range []string{conversation, cachedReads} {
		fmt.Fprintf(&lines, "%s\n%s\n", text, requireServed(t, text))
	}
	texts := []string{}
	for _, test := range malformed {
		texts = append(texts, test.text)
	}
	slices.Sort(texts)
	for _, text := range texts {
		output, err := serve(text)
		require.Error(t, err)
		lineNumber, _, _ := strings.Cut(err.Error(), ":")
		fmt.Fprintf(&lines, "%q %s %q\n", text, lineNumber, output)
	}
	for first := int64(0); first < 100; first += 10 {
		history := golden.NewHistory()
		for seed := first; seed < first+10; seed++ {
			apart, mixed := schedules(seed)
			for _, text := range []string{apart[0], apart[1], mixed} {
				history.Add(requireServed(t, text))
			}
		}
		fmt.Fprintf(&lines, "seeds %d to %d: %s\n", first, first+9, history)
	}
	golden.Check(t, "lines.txt", lines.Bytes())
}
