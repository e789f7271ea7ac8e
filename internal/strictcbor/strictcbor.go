// Package strictcbor makes decoders of CBOR (RFC 8949) for input of other servers and of files, within bounds that keep
// a faulty sender from exhausting memory or stack.
package strictcbor

import "github.com/fxamacker/cbor/v2"

// maxNestedLevels is more than any message or stored record of this program needs.
const maxNestedLevels = 8

// Bounds of what a decoder accepts.
type Bounds struct {
	// MaxArrayElements of one array.
	MaxArrayElements int
	// MaxMapPairs of one map; 0 for the library's default.
	MaxMapPairs int
	// RejectDuplicateKeys has a map with the same key twice rejected; otherwise the last value counts.
	RejectDuplicateKeys bool
}

// NewDecoder returns a decoder that rejects what is beyond the bounds, nested too deeply or of indefinite length. It
// panics on bounds that the library does not take: they are constants of the program, so that any test shows it.
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
