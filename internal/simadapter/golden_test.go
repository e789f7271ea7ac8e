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

// The lines of the simulator's wire: two conversations in full, what is answered before a line that cannot be read
// and which line that is, and a hash of the answers to seeded schedules.
func TestGoldenLines(t *testing.T) {
	var out bytes.Buffer
	for _, text := range []string{conversation, cachedReads} {
		answer, err := serve(text)
		require.NoError(t, err)
		fmt.Fprintf(&out, "%s\n%s\n", text, answer)
	}
	texts := []string{}
	for _, c := range malformed {
		texts = append(texts, c.text)
	}
	slices.Sort(texts)
	for _, text := range texts {
		answer, err := serve(text)
		require.Error(t, err)
		place, _, _ := strings.Cut(err.Error(), ":")
		fmt.Fprintf(&out, "%q %s %q\n", text, place, answer)
	}
	for first := int64(0); first < 100; first += 10 {
		history := golden.NewHistory()
		for seed := first; seed < first+10; seed++ {
			apart, mixed := schedules(seed)
			for _, text := range []string{apart[0], apart[1], mixed} {
				answer, err := serve(text)
				require.NoError(t, err)
				history.Add(answer)
			}
		}
		fmt.Fprintf(&out, "seeds %d to %d: %s\n", first, first+9, history)
	}
	golden.Check(t, "lines.txt", out.Bytes())
}
