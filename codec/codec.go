// Package codec holds the CBOR modes that the replicated states share:
// canonical encoding, and decoding that is bounded against damaged or hostile
// input.
package codec

import "github.com/fxamacker/cbor/v2"

// Limits bound what a decoder accepts.
type Limits struct {
	// Items bounds each list and map.
	Items int
	// Depth bounds nesting.
	Depth int
	// Strict refuses fields that the receiver does not know, and tags.
	Strict bool
}

// Encoder returns the canonical mode: equal values give equal bytes.
func Encoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}

// Decoder returns a mode that refuses repeated map keys, items of indefinite
// length and input beyond the limits. It panics on limits that the library
// does not support.
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
