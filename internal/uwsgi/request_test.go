package uwsgi

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func request(t testing.TB, body string, pairs ...[2]string) []byte {
	data, err := AppendRequest(nil, pairs, []byte(body))
	require.NoError(t, err)
	return data
}

func TestSplitDoesNotMatter(t *testing.T) {
	data := request(t, "four",
		[2]string{"PATH_INFO", "/rpc/look"}, [2]string{"CONTENT_LENGTH", "4"}, [2]string{"EMPTY", ""})
	for size := 1; size <= len(data); size++ {
		p := Parser{MaxBodyBytes: 4}
		for rest := data; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			require.False(t, p.Complete())
			require.NoError(t, p.Feed(rest[:min(size, len(rest))]))
		}
		require.True(t, p.Complete())
		require.Equal(t, "four /rpc/look", string(p.Body())+" "+string(p.Variable("PATH_INFO")))
		require.Equal(t, []byte{}, p.Variable("EMPTY"))
		require.Nil(t, p.Variable("MISSING"))
		require.ErrorIs(t, p.Feed([]byte{0}), errTrailingBytes)
	}
	values := make([][]byte, 1)
	p := Parser{}
	require.NoError(t, p.Feed(request(t, "", [2]string{"A", "1"}, [2]string{"A", "2"})))
	require.True(t, p.Variables([]string{"A"}, values))
	require.True(t, p.Complete())
}

func TestPingIsComplete(t *testing.T) {
	p := Parser{}
	require.NoError(t, p.Feed([]byte{ModifierPing, 0, 0, 0}))
	require.True(t, p.Complete())
	require.Equal(t, byte(ModifierPing), p.Modifier)
	require.Equal(t, []byte{ModifierPing, 0, 0, 0}, AppendPong(nil))
}

func TestBadRequestsHaveTheirStatus(t *testing.T) {
	var many [][2]string
	for range MaxVariables + 1 {
		many = append(many, [2]string{"A", "b"})
	}
	for _, c := range []struct {
		data []byte
		want StatusError
	}{
		{[]byte{5, 0, 0, 0}, ErrModifier},
		{[]byte{0, 0, 0, 7}, ErrModifier},
		{[]byte{ModifierPing, 1, 0, 0}, ErrModifier},
		{[]byte{0, 0xff, 0xff, 0}, ErrBlockTooLarge},
		{request(t, "", many...), ErrBlockTooLarge},
		{[]byte{0, 3, 0, 0, 9, 0, 'A'}, ErrUnreadableVariables},
		{[]byte{0, 2, 0, 0, 0, 0}, ErrUnreadableVariables},
		{request(t, "", [2]string{strings.Repeat("n", MaxNameBytes+1), ""}), ErrUnreadableVariables},
		{request(t, "", [2]string{"CONTENT_LENGTH", "-1"}), ErrContentLength},
		{request(t, "", [2]string{"CONTENT_LENGTH", "1e3"}), ErrContentLength},
		{request(t, "", [2]string{"CONTENT_LENGTH", "5"}), ErrBodyTooLong},
	} {
		p := Parser{MaxBodyBytes: 4}
		require.ErrorIs(t, p.Feed(c.data), c.want)
	}
}

func TestParseResponse(t *testing.T) {
	data := AppendResponse(nil, "200 OK", "Server-Hint: 1\r\n", []byte("body"))
	for n := range len(data) {
		_, _, complete, err := ParseResponse(data[:n], false, 100)
		require.False(t, complete)
		require.NoError(t, err)
		_, _, complete, err = ParseResponse(data[:n], true, 100)
		require.False(t, complete, "cut off after %d", n)
		require.Error(t, err)
	}
	status, body, complete, err := ParseResponse(data, false, 100)
	require.NoError(t, err)
	require.True(t, complete)
	require.Equal(t, "200 body", fmt.Sprint(status, " ", string(body)))
	for _, bad := range []string{
		"HTTP/1.0 200\r\nContent-Length: x\r\n\r\n",
		"HTTP/1.0 900 X\r\n\r\n",
		"SPDY 200 X\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nab",
		"HTTP/1.0 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
		"HTTP/1.0 200 OK\r\nContent-Length: 1000\r\n\r\n",
	} {
		_, _, complete, err := ParseResponse([]byte(bad), false, 100)
		require.False(t, complete)
		require.Error(t, err, bad)
	}
}

func FuzzFeed(f *testing.F) {
	f.Add(request(f, "four", [2]string{"CONTENT_LENGTH", "4"}), 3)
	f.Add([]byte{ModifierPing, 0, 0, 0}, 1)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		size = max(1, size)
		whole, pieces := Parser{MaxBodyBytes: 64}, Parser{MaxBodyBytes: 64}
		errWhole := whole.Feed(data)
		var errPieces error
		for rest := data; len(rest) > 0 && errPieces == nil; rest = rest[min(size, len(rest)):] {
			errPieces = pieces.Feed(rest[:min(size, len(rest))])
		}
		require.Equal(t, errWhole, errPieces)
		require.Equal(t, whole.Complete(), pieces.Complete())
		require.Equal(t, whole.Body(), pieces.Body())
		require.LessOrEqual(t, len(whole.body), 64)
		_, _, _, _ = ParseResponse(data, size%2 == 0, 64) // must not panic
	})
}

func BenchmarkFeed(b *testing.B) {
	data := request(b, "0123456789",
		[2]string{"PATH_INFO", "/rpc/look"}, [2]string{"HTTP_REQUEST_ID", "00000000000000aa"},
		[2]string{"HTTP_ACCOUNT", "acme"}, [2]string{"HTTP_BUDGET_MS", "7000"}, [2]string{"CONTENT_LENGTH", "10"})
	b.ReportAllocs()
	for b.Loop() {
		p := Parser{MaxBodyBytes: 64}
		if p.Feed(data) != nil || !p.Complete() {
			b.Fatal("not whole")
		}
	}
}
