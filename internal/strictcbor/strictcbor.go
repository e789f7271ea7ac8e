// Package strictcbor creates decoders of CBOR (RFC 8949) for input from other servers and from files. Their bounds keep
// a faulty sender from exhausting memory or stack.
package strictcbor

import "github.com/fxamacker/cbor/v2"

// maxNestedLevels is the maximum nesting depth. It is more than any message or stored record of this program needs.
const maxNestedLevels = 8

// Bounds limits the input that a decoder accepts.
type Bounds struct {
	// MaxArrayElements is the maximum number of elements of one array. With 0, the default of the library applies.
	MaxArrayElements int
	// MaxMapPairs is the maximum number of key-value pairs of one map. With 0, the default of the library applies.
	MaxMapPairs int
	// RejectDuplicateKeys makes the decoder reject a map that has a key twice. Otherwise the last value counts.
	RejectDuplicateKeys bool
}

// NewDecoder returns a decoder that rejects input that exceeds the bounds, is nested too deeply or has an indefinite
// length. It panics if the library does not accept the bounds. All bounds are constants of the program, so any test of
// the calling package reveals such a panic.
func NewDecoder(bounds Bounds) cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: bounds.MaxArrayElements,
		MaxMapPairs:      bounds.MaxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
	}
	if bounds.RejectDuplicateKeys {
		options.DupMapKey = cbor.DupMapKeyEnforcedAPF
	}
	decoder, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return decoder
}
