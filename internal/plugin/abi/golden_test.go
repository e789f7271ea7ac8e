package abi

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
)

// TestGoldenBytes holds the bytes of requests and verdicts: as they were recorded, and the same when read and written again.
func TestGoldenBytes(t *testing.T) {
	var lines []byte
	for _, q := range []Request{
		{},
		{Hook: HookRead, TimeLeftMS: 1500, UnixMS: 1_700_000_000_123, Category: "mottak", Tenant: "hall-nord", Body: []byte("note=17")},
		{Hook: HookResult, TimeLeftMS: 1<<32 - 1, UnixMS: -1, Category: "look", Tenant: "acme", Tag: "vip", Body: []byte{0, 1, 255, '\n'}},
		{Hook: HookTick, UnixMS: 1 << 40},
	} {
		data := q.Append(nil)
		back, err := ParseRequest(data)
		require.NoError(t, err)
		require.Equal(t, data, back.Append(nil))
		lines = fmt.Appendf(lines, "request %x\n", data)
	}
	for does := range knownActions + 1 {
		v := Verdict{Actions: does, Status: 400 + does}
		if does&ActionCategorize != 0 {
			v.Category = "pall"
		}
		if does&ActionTag != 0 {
			v.Tag = "checked"
		}
		if does&ActionReplace != 0 {
			v.Body = []byte("short\x00")
		}
		data := v.Append(nil)
		back, err := ParseVerdict(data)
		require.NoError(t, err)
		require.Equal(t, data, back.Append(nil))
		lines = fmt.Appendf(lines, "verdict %x\n", data)
	}
	golden.Check(t, "messages.txt", lines)
}
