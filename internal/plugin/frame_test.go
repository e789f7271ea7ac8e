package plugin

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParseFrame checks that parsing arbitrary bytes does not panic, and that each parsed frame consumes some of them,
// so that a loop over the frames ends.
func FuzzParseFrame(f *testing.F) {
	f.Add(AppendFrame(nil, FrameVerdict, 1, 2, []byte{0, 1, 0, 0, 0, 1}))
	f.Fuzz(func(t *testing.T, data []byte) {
		for {
			frame, rest, isComplete, err := ParseFrame(data)
			if err != nil || !isComplete {
				return
			}
			frame.Verdict()
			frame.StateEntry()
			require.Less(t, len(rest), len(data))
			data = rest
		}
	})
}
