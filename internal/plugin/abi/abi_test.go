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

// TestMessagesSurviveRoundTrip checks that an encoded message decodes to the original value.
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
	parsedRequest, err := ParseRequest(request.Append(nil))
	require.NoError(t, err)
	require.Equal(t, request, parsedRequest)
	parsedVerdict, err := ParseVerdict(testVerdict.Append(nil))
	require.NoError(t, err)
	require.Equal(t, testVerdict, parsedVerdict)
}

// TestTruncatedVerdictIsMalformed checks that every proper prefix of an encoded verdict, except the empty one, is
// rejected as malformed.
func TestTruncatedVerdictIsMalformed(t *testing.T) {
	data := testVerdict.Append(nil)
	for length := 1; length < len(data); length++ {
		_, err := ParseVerdict(data[:length])
		require.ErrorIs(t, err, ErrMalformed)
	}
}

// FuzzParse checks that parsing arbitrary bytes does not panic. A parsed verdict must encode to the same bytes, and a
// parsed request must encode to a valid message.
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
