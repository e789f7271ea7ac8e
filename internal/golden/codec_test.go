package golden_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
)

// panickingTB is a testing.TB whose Fatalf panics with the message, so that a test can check how Encode fails.
type panickingTB struct{ testing.TB }

func (panickingTB) Helper() {}

func (panickingTB) Fatalf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// TestCodecReturnsTheEncodingAndFillsDecoded checks the result and the decoded value of a successful Encode.
func TestCodecReturnsTheEncodingAndFillsDecoded(t *testing.T) {
	var decoded []int
	codec := golden.Codec{Marshal: json.Marshal, Unmarshal: json.Unmarshal}
	require.Equal(t, "[1,2]", string(codec.Encode(t, []int{1, 2}, &decoded)))
	require.Equal(t, []int{1, 2}, decoded)
}

// TestCodecFailsUnlessTheEncodingIsTheSameAgain checks that Encode fails the test if encoding or decoding fails, or if
// the decoded value has another encoding.
func TestCodecFailsUnlessTheEncodingIsTheSameAgain(t *testing.T) {
	errEncoding := errors.New("encoding failed")
	failDecode := func([]byte, any) error { return errEncoding }
	ignoreData := func([]byte, any) error { return nil }
	for message, codec := range map[string]golden.Codec{
		"encode []int: encoding failed": {
			Marshal:   func(any) ([]byte, error) { return nil, errEncoding },
			Unmarshal: json.Unmarshal,
		},
		"decode *[]int: encoding failed":                                {Marshal: json.Marshal, Unmarshal: failDecode},
		"[]int was encoded as\n5b312c325d\nand after decoding as\n5b5d": {Marshal: json.Marshal, Unmarshal: ignoreData},
	} {
		require.PanicsWithValue(t, message, func() { codec.Encode(panickingTB{t}, []int{1, 2}, &[]int{}) })
	}
}
