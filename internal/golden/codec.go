package golden

import (
	"bytes"
	"testing"
)

// Codec holds the functions that encode and decode a message or file format under test.
type Codec struct {
	Marshal   func(value any) ([]byte, error)
	Unmarshal func(data []byte, value any) error
}

// Encode returns the encoding of a value. It also decodes the result into decoded, which must point to an empty value,
// and encodes that again. It fails the test if decoding fails or the two encodings differ.
func (c Codec) Encode(t testing.TB, value, decoded any) []byte {
	t.Helper()
	data, err := c.Marshal(value)
	if err != nil {
		t.Fatalf("encode %T: %v", value, err)
	}
	if err := c.Unmarshal(data, decoded); err != nil {
		t.Fatalf("decode %T: %v", decoded, err)
	}
	reencoded, err := c.Marshal(decoded)
	if err != nil {
		t.Fatalf("encode %T again: %v", decoded, err)
	}
	if !bytes.Equal(data, reencoded) {
		t.Fatalf("%T was encoded as\n%x\nand after decoding as\n%x", value, data, reencoded)
	}
	return data
}
