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
		{Hook: Read, Left: 1500, Now: 1_700_000_000_123, Category: "mottak", Tenant: "hall-nord", Body: []byte("note=17")},
		{Hook: Result, Left: 1<<32 - 1, Now: -1, Category: "look", Tenant: "acme", Tag: "vip", Body: []byte{0, 1, 255, '\n'}},
		{Hook: Tick, Now: 1 << 40},
	} {
		data := q.Append(nil)
		back, err := ReadRequest(data)
		require.NoError(t, err)
		require.Equal(t, data, back.Append(nil))
		lines = fmt.Appendf(lines, "request %x\n", data)
	}
	for does := range known + 1 {
		v := Verdict{Does: does, Status: 400 + does}
		if does&Categorises != 0 {
			v.Category = "pall"
		}
		if does&Tags != 0 {
			v.Tag = "checked"
		}
		if does&Replaces != 0 {
			v.Body = []byte("short\x00")
		}
		data := v.Append(nil)
		back, err := ReadVerdict(data)
		require.NoError(t, err)
		require.Equal(t, data, back.Append(nil))
		lines = fmt.Appendf(lines, "verdict %x\n", data)
	}
	golden.Check(t, "messages.txt", lines)
}
