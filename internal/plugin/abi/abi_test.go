package abi

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestThereAndBack(t *testing.T) {
	q := Request{Hook: HookResult, TimeLeftMS: 7, UnixMS: 1 << 40, Category: "look", Tenant: "acme", Tag: "vip", Body: []byte("body")}
	got, err := ParseRequest(q.Append(nil))
	require.NoError(t, err)
	require.Equal(t, q, got)
	v := Verdict{Actions: ActionReject | ActionTag, Status: 403, Category: "x", Tag: "y", Body: []byte("z")}
	back, err := ParseVerdict(v.Append(nil))
	require.NoError(t, err)
	require.Equal(t, v, back)
	for n := 1; n < len(v.Append(nil)); n++ {
		_, err := ParseVerdict(v.Append(nil)[:n])
		require.ErrorIs(t, err, ErrMalformed)
	}
}

func FuzzRead(f *testing.F) {
	f.Add((&Request{Category: "look"}).Append(nil))
	f.Add((&Verdict{Actions: ActionTag, Tag: "t"}).Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := ParseVerdict(data); err == nil && len(data) > 0 {
			require.Equal(t, data, v.Append(nil))
		}
		if q, err := ParseRequest(data); err == nil {
			_, err := ParseRequest(q.Append(nil))
			require.NoError(t, err)
		}
	})
}
