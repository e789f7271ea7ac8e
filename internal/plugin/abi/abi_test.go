package abi

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// testVerdict has every field set.
var testVerdict = Verdict{
	Actions:  ActionReject | ActionTag,
	Status:   403,
	Category: "x",
	Tag:      "y",
	Body:     []byte("z"),
}

// TestMessagesSurviveRoundTrip checks that a message that was written reads as the same.
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
	readVerdict, err := ParseVerdict(testVerdict.Append(nil))
	require.NoError(t, err)
	require.Equal(t, testVerdict, readVerdict)
}

// TestTruncatedVerdictIsMalformed checks that no verdict can be cut short unnoticed.
func TestTruncatedVerdictIsMalformed(t *testing.T) {
	data := testVerdict.Append(nil)
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
