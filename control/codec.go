package control

import (
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/codec"
)

// maxListItems is the maximum length of each list in a decoded message.
const maxListItems = 1 << 17

// maxDepth is the maximum nesting depth of a decoded message.
const maxDepth = 32

// encMode produces canonical encodings: equal values have equal bytes.
var encMode = codec.Encoder()

// decMode rejects duplicate map keys, oversized lists and excessive nesting.
var decMode = codec.Decoder(codec.Limits{Items: maxListItems, Depth: maxDepth})

// EncodeCommand returns the log entry of a command. It returns an error for a
// command that DecodeCommand would reject, for example because of invalid UTF-8,
// since a committed log entry cannot be removed.
func EncodeCommand(c *Command) ([]byte, error) {
	b, err := encMode.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode control command")
	}
	if _, err := DecodeCommand(b); err != nil {
		return nil, err
	}
	return b, nil
}

// DecodeCommand parses a log entry.
func DecodeCommand(b []byte) (*Command, error) {
	var c Command
	if err := decMode.Unmarshal(b, &c); err != nil {
		return nil, errors.Wrap(err, "decode control command")
	}
	return &c, nil
}

// EncodeDelta returns the wire encoding of a delta.
func EncodeDelta(d *Delta) ([]byte, error) {
	b, err := encMode.Marshal(d)
	return b, errors.Wrap(err, "encode delta")
}

// DecodeDelta parses the wire encoding of a delta.
func DecodeDelta(b []byte) (*Delta, error) {
	var d Delta
	if err := decMode.Unmarshal(b, &d); err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	return &d, nil
}

// encodeDocument returns the canonical encoding of a document. It panics on an
// encoding error, which no document can cause.
func encodeDocument(doc *api.Document) []byte {
	b, err := encMode.Marshal(doc)
	if err != nil {
		panic(errors.Wrap(err, "encode document"))
	}
	return b
}
