package control

import (
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/codec"
)

// maxListItems bounds every list of a decoded message.
const maxListItems = 1 << 17

// maxDepth bounds the nesting of a decoded message.
const maxDepth = 32

// encMode encodes canonically: equal values give equal bytes.
var encMode = codec.Encoder()

// decMode refuses repeated map keys and oversized lists.
var decMode = codec.Decoder(codec.Limits{Items: maxListItems, Depth: maxDepth})

// EncodeCommand returns the log entry of a command. It refuses a command that
// DecodeCommand would not read back, such as text that is not UTF-8, since an
// entry in the log cannot be taken back.
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

// DecodeCommand returns the command of a log entry.
func DecodeCommand(b []byte) (*Command, error) {
	var c Command
	if err := decMode.Unmarshal(b, &c); err != nil {
		return nil, errors.Wrap(err, "decode control command")
	}
	return &c, nil
}

// EncodeDelta returns the wire form of a delta.
func EncodeDelta(d *Delta) ([]byte, error) {
	b, err := encMode.Marshal(d)
	return b, errors.Wrap(err, "encode delta")
}

// DecodeDelta returns the delta of a wire form.
func DecodeDelta(b []byte) (*Delta, error) {
	var d Delta
	if err := decMode.Unmarshal(b, &d); err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	return &d, nil
}

// documentBytes returns the canonical bytes of a document. Documents have no
// value that fails to encode.
func documentBytes(doc *api.Document) []byte {
	b, err := encMode.Marshal(doc)
	if err != nil {
		panic(errors.Wrap(err, "encode document"))
	}
	return b
}
