package uwsgi

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// encodeRequest returns an encoded request with the given variables.
func encodeRequest(t testing.TB, body string, pairs ...[2]string) []byte {
	t.Helper()
	data, err := AppendRequest(nil, pairs, []byte(body))
	require.NoError(t, err)
	return data
}

func TestSplitDoesNotMatter(t *testing.T) {
	data := encodeRequest(t, "four",
		[2]string{"PATH_INFO", "/rpc/look"}, [2]string{"CONTENT_LENGTH", "4"}, [2]string{"EMPTY", ""})
	for size := 1; size <= len(data); size++ {
		parser := Parser{MaxBodyBytes: 4}
		for piece := range slices.Chunk(data, size) {
			require.False(t, parser.IsComplete())
			require.NoError(t, parser.Feed(piece))
		}
		require.True(t, parser.IsComplete())
		require.Equal(t, "four /rpc/look", string(parser.Body())+" "+string(parser.Variable("PATH_INFO")))
		require.Equal(t, []byte{}, parser.Variable("EMPTY"))
		require.Nil(t, parser.Variable("MISSING"))
		require.ErrorIs(t, parser.Feed([]byte{0}), errTrailingBytes)
	}
}

func TestRepeatedVariableIsReported(t *testing.T) {
	values := make([][]byte, 1)
	parser := Parser{}
	require.NoError(t, parser.Feed(encodeRequest(t, "", [2]string{"A", "1"}, [2]string{"A", "2"})))
	require.True(t, parser.Variables([]string{"A"}, values))
	require.True(t, parser.IsComplete())
}

func TestPingIsComplete(t *testing.T) {
	parser := Parser{}
	require.NoError(t, parser.Feed([]byte{ModifierPing, 0, 0, 0}))
	require.True(t, parser.IsComplete())
	require.Equal(t, byte(ModifierPing), parser.Modifier)
	require.Equal(t, []byte{ModifierPing, 0, 0, 0}, AppendPong(nil))
}

func TestInvalidRequestsHaveTheirStatus(t *testing.T) {
	tooManyVariables := slices.Repeat([][2]string{{"A", "b"}}, MaxVariables+1)
	withLength := func(length string) []byte { return encodeRequest(t, "", [2]string{"CONTENT_LENGTH", length}) }
	for _, test := range []struct {
		name   string
		data   []byte
		status StatusError
	}{
		{"unknown modifier1", []byte{5, 0, 0, 0}, ErrUnsupportedModifier},
		{"unknown modifier2", []byte{0, 0, 0, 7}, ErrUnsupportedModifier},
		{"ping with a block", []byte{ModifierPing, 1, 0, 0}, ErrUnsupportedModifier},
		{"block too large", []byte{0, 0xff, 0xff, 0}, ErrBlockTooLarge},
		{"too many variables", encodeRequest(t, "", tooManyVariables...), ErrBlockTooLarge},
		{"name longer than the block", []byte{0, 3, 0, 0, 9, 0, 'A'}, ErrMalformedVariables},
		{"empty name", []byte{0, 2, 0, 0, 0, 0}, ErrMalformedVariables},
		{"name too long", encodeRequest(t, "", [2]string{strings.Repeat("n", MaxNameBytes+1), ""}),
			ErrMalformedVariables},
		{"negative length", withLength("-1"), ErrInvalidContentLength},
		{"length with an exponent", withLength("1e3"), ErrInvalidContentLength},
		{"body too long", withLength("5"), ErrBodyTooLong},
	} {
		t.Run(test.name, func(t *testing.T) {
			parser := Parser{MaxBodyBytes: 4}
			require.ErrorIs(t, parser.Feed(test.data), test.status)
		})
	}
}

func TestResponseIsCompleteOnlyAtItsEnd(t *testing.T) {
	data := AppendResponse(nil, "200 OK", "Server-Hint: 1\r\n", []byte("body"))
	for length := range len(data) {
		_, _, complete, err := ParseResponse(data[:length], false, 100)
		require.False(t, complete)
		require.NoError(t, err)
		_, _, complete, err = ParseResponse(data[:length], true, 100)
		require.False(t, complete, "cut off after %d bytes", length)
		require.Error(t, err)
	}
	status, body, complete, err := ParseResponse(data, false, 100)
	require.NoError(t, err)
	require.True(t, complete)
	require.Equal(t, "200 body", fmt.Sprint(status, " ", string(body)))
}

func TestInvalidResponsesAreErrors(t *testing.T) {
	for _, test := range []struct{ name, response string }{
		{"length is not a number", "HTTP/1.0 200\r\nContent-Length: x\r\n\r\n"},
		{"status out of range", "HTTP/1.0 900 X\r\n\r\n"},
		{"unknown protocol", "SPDY 200 X\r\n\r\n"},
		{"body longer than its length", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nab"},
		{"two lengths", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na"},
		{"length beyond the bound", "HTTP/1.0 200 OK\r\nContent-Length: 1000\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, _, complete, err := ParseResponse([]byte(test.response), false, 100)
			require.False(t, complete)
			require.Error(t, err)
		})
	}
}

// FuzzFeed checks that neither parser panics on any input, and that the result of Parser.Feed does not depend on how
// the input is split.
func FuzzFeed(f *testing.F) {
	f.Add(encodeRequest(f, "four", [2]string{"CONTENT_LENGTH", "4"}), 3)
	f.Add([]byte{ModifierPing, 0, 0, 0}, 1)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		size = max(1, size)
		whole := Parser{MaxBodyBytes: 64}
		split := Parser{MaxBodyBytes: 64}
		errWhole := whole.Feed(data)
		var errSplit error
		for piece := range slices.Chunk(data, size) {
			errSplit = split.Feed(piece)
			if errSplit != nil {
				break
			}
		}
		require.Equal(t, errWhole, errSplit)
		require.Equal(t, whole.IsComplete(), split.IsComplete())
		require.Equal(t, whole.Body(), split.Body())
		require.LessOrEqual(t, len(whole.body), 64)
		_, _, _, _ = ParseResponse(data, size%2 == 0, 64) // must not panic
	})
}

func BenchmarkFeed(b *testing.B) {
	data := encodeRequest(b, "0123456789",
		[2]string{"PATH_INFO", "/rpc/look"}, [2]string{"HTTP_REQUEST_ID", "00000000000000aa"},
		[2]string{"HTTP_ACCOUNT", "acme"}, [2]string{"HTTP_BUDGET_MS", "7000"}, [2]string{"CONTENT_LENGTH", "10"})
	b.ReportAllocs()
	for b.Loop() {
		parser := Parser{MaxBodyBytes: 64}
		if parser.Feed(data) != nil || !parser.IsComplete() {
			b.Fatal("the request is not complete")
		}
	}
}
