package logs

import (
	"bytes"
	"encoding/json"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventIsWrittenAsTextAndJSON checks one log line in each format.
func TestEventIsWrittenAsTextAndJSON(t *testing.T) {
	var out bytes.Buffer
	New(&out, FormatText).Event("bad_peer").Str("reason", "two words").Int("count", 3).Send()
	require.Regexp(t, `^\d{4}-\d\d-\d\dT[\d:.]+Z event=bad_peer count=3 reason="two words"\n$`, out.String())
	out.Reset()
	New(&out, FormatJSON).Event("bad_peer").Str("reason", "two words").Int("count", 3).Send()
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "two words", line["reason"])
	require.NotEmpty(t, line["time"])
}

// BenchmarkEvent measures the cost of an event with five keys besides its name.
func BenchmarkEvent(b *testing.B) {
	for _, format := range []Format{FormatText, FormatJSON} {
		b.Run(string(format), func(b *testing.B) {
			logger := New(io.Discard, format)
			b.ReportAllocs()
			for b.Loop() {
				logger.Event("state").Int("requests", 7).Int("connections", 40).
					Int("idempotency_entries", 900).Int("downstream_calls", 3).Str("name", "n3").Send()
			}
		})
	}
}
