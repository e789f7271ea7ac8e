package abi

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestThereAndBack(t *testing.T) {
	q := Request{Hook: Result, Left: 7, Now: 1 << 40, Category: "look", Tenant: "acme", Tag: "vip", Body: []byte("body")}
	got, err := ReadRequest(q.Append(nil))
	require.NoError(t, err)
	require.Equal(t, q, got)
	v := Verdict{Does: Declines | Tags, Status: 403, Category: "x", Tag: "y", Body: []byte("z")}
	back, err := ReadVerdict(v.Append(nil))
	require.NoError(t, err)
	require.Equal(t, v, back)
	for n := 1; n < len(v.Append(nil)); n++ {
		_, err := ReadVerdict(v.Append(nil)[:n])
		require.ErrorIs(t, err, ErrBytes)
	}
}

func FuzzRead(f *testing.F) {
	f.Add((&Request{Category: "look"}).Append(nil))
	f.Add((&Verdict{Does: Tags, Tag: "t"}).Append(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		if v, err := ReadVerdict(data); err == nil && len(data) > 0 {
			require.Equal(t, data, v.Append(nil))
		}
		if q, err := ReadRequest(data); err == nil {
			_, err := ReadRequest(q.Append(nil))
			require.NoError(t, err)
		}
	})
}
