package peerlink

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// protocolVersion must be equal on both sides of a link.
const protocolVersion = 1

// MaxFrameBytes is the maximum size of an encoded frame.
const MaxFrameBytes = 4 << 20

type frameKind uint8

const (
	frameCall frameKind = iota + 1
	frameReply
	frameNotify
)

// frame is a message on an established link.
type frame struct {
	Kind    frameKind `cbor:"1,keyasint"`
	Seq     uint64    `cbor:"2,keyasint,omitempty"`
	Method  string    `cbor:"3,keyasint,omitempty"`
	Payload []byte    `cbor:"4,keyasint,omitempty"`
	// Error is set in replies to failed calls.
	Error *wireError `cbor:"5,keyasint,omitempty"`

	// call is the pending call that the frame carries. It is not transmitted.
	call *pendingCall
}

// wireError carries a handler's error to the caller.
type wireError struct {
	Code   string `cbor:"1,keyasint"`
	Detail string `cbor:"2,keyasint"`
}

var encMode, decMode = mustModes()

func mustModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
		MaxNestedLevels:  32,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

func encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(b) > MaxFrameBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(b))
	}
	return b, nil
}

func decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}
