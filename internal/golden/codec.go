package golden

import (
	"bytes"
	"testing"
)

// Codec encodes and decodes messages or files whose bytes a test compares.
type Codec struct {
	Marshal   func(value any) ([]byte, error)
	Unmarshal func(data []byte, value any) error
}

// Encode returns the encoding of a value. It fails the test unless the encoding can be decoded into decoded, a pointer
// to an empty value, which then has the same encoding.
func (c Codec) Encode(t testing.TB, value, decoded any) []byte {
	t.Helper()
	data, err := c.Marshal(value)
	if err != nil {
		t.Fatalf("encode %T: %v", value, err)
	}
	if err := c.Unmarshal(data, decoded); err != nil {
		t.Fatalf("decode %T: %v", decoded, err)
	}
	again, err := c.Marshal(decoded)
	if err != nil {
		t.Fatalf("encode %T again: %v", decoded, err)
	}
	if !bytes.Equal(data, again) {
		t.Fatalf("%T was encoded as\n%x\nand after decoding as\n%x", value, data, again)
	}
	return data
}
