package abi

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMessagesSurviveRoundTrip checks that a message that was written reads as the same, and that no verdict can be cut
// short unnoticed.
func TestMessagesSurviveRoundTrip(t *testing.T) {
	request := Request{
		Hook:       HookResult,
		TimeLeftMS: 7,
		UnixMS:     1 << 40,
		Category:   "look",
		Tenant:     "acme",
		Tag:        "vip",
		Body:       []byte("body"),
	}
	readRequest, err := ParseRequest(request.Append(nil))
	require.NoError(t, err)
	require.Equal(t, request, readRequest)
	verdict := Verdict{
		Actions:  ActionReject | ActionTag,
		Status:   403,
		Category: "x",
		Tag:      "y",
		Body:     []byte("z"),
	}
	data := verdict.Append(nil)
	readVerdict, err := ParseVerdict(data)
	require.NoError(t, err)
	require.Equal(t, verdict, readVerdict)
	for length := 1; length < len(data); length++ {
		_, err := ParseVerdict(data[:length])
		require.ErrorIs(t, err, ErrMalformed)
	}
}

// FuzzParse checks that any bytes can be parsed, and that what is a message can be written again.
func FuzzParse(f *testing.F) {
	f.Add((&Request{Category: "look"}).Append(nil))
	f.Add((&Verdict{Actions: ActionTag, Tag: "t"}).Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		if verdict, err := ParseVerdict(data); err == nil && len(data) > 0 {
			require.Equal(t, data, verdict.Append(nil))
		}
		if request, err := ParseRequest(data); err == nil {
			_, err := ParseRequest(request.Append(nil))
			require.NoError(t, err)
		}
	})
}
