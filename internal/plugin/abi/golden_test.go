package abi

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
)

// TestGoldenMessages compares encoded requests and verdicts with the golden file, and checks that decoding and encoding
// them again yields the same bytes.
func TestGoldenMessages(t *testing.T) {
	var lines []byte
	for _, request := range goldenRequests {
		data := request.Append(nil)
		parsed, err := ParseRequest(data)
		require.NoError(t, err)
		require.Equal(t, data, parsed.Append(nil))
		lines = fmt.Appendf(lines, "request %x\n", data)
	}
	for actions := range knownActions + 1 {
		verdict := Verdict{Actions: actions, Status: 400 + actions}
		if actions&ActionCategorize != 0 {
			verdict.Category = "pall"
		}
		if actions&ActionTag != 0 {
			verdict.Tag = "checked"
		}
		if actions&ActionReplace != 0 {
			verdict.Body = []byte("short\x00")
		}
		data := verdict.Append(nil)
		parsed, err := ParseVerdict(data)
		require.NoError(t, err)
		require.Equal(t, data, parsed.Append(nil))
		lines = fmt.Appendf(lines, "verdict %x\n", data)
	}
	golden.Check(t, "messages.txt", lines)
}

// goldenRequests are the requests whose encoding is recorded in the golden file.
var goldenRequests = []Request{
	{},
	{
		Hook:       HookRead,
		TimeLeftMS: 1500,
		UnixMS:     1_700_000_000_123,
		Category:   "mottak",
		Tenant:     "hall-nord",
		Body:       []byte("note=17"),
	},
	{
		Hook:       HookResult,
		TimeLeftMS: 1<<32 - 1,
		UnixMS:     -1,
		Category:   "look",
		Tenant:     "acme",
		Tag:        "vip",
		Body:       []byte{0, 1, 255, '\n'},
	},
	{Hook: HookTick, UnixMS: 1 << 40},
}
