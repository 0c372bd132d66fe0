// Package codec provides the CBOR modes shared by the replicated state machines:
// deterministic encoding, and decoding with limits that protect against corrupt
// or malicious input.
package codec

import "github.com/fxamacker/cbor/v2"

// Limits restricts the input that a decoder accepts.
type Limits struct {
	// Items is the maximum number of elements of an array and of pairs of a map.
	Items int
	// Depth is the maximum nesting depth.
	Depth int
	// Strict rejects unknown fields and CBOR tags.
	Strict bool
}

// Encoder returns the core deterministic encoding mode (RFC 8949, section 4.2):
// equal values have equal encodings.
func Encoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // unreachable: the options are constant
	}
	return m
}

// Decoder returns a mode that rejects duplicate map keys, items of indefinite
// length and input that exceeds the limits. It panics if the CBOR library does
// not support the limits.
func Decoder(l Limits) cbor.DecMode {
	opts := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		MaxArrayElements: l.Items,
		MaxMapPairs:      l.Items,
		MaxNestedLevels:  l.Depth,
	}
	if l.Strict {
		opts.ExtraReturnErrors = cbor.ExtraDecErrorUnknownField
		opts.TagsMd = cbor.TagsForbidden
	}
	m, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
