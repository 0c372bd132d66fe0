package system

import (
	"context"

	"github.com/pkg/errors"

	"magnoliastand.example/codec"
	"magnoliastand.example/driver"
	"magnoliastand.example/peerlink"
	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// Methods of the peer links that the leader serves.
const (
	methodRequest  = "system.request"
	methodAnnounce = "system.announce"
	methodDepart   = "system.depart"
	methodPut      = "system.put"
	methodDocument = "system.document"
	methodWave     = "system.wave"
	methodWaveRead = "system.wave-read"
)

// Codes of errors that cross a peer link.
const (
	codeUnavailable = "unavailable"
	codeInvalid     = "invalid"
	codeNotFound    = "not-found"
	codeUnknown     = "outcome-unknown"
)

// documentMessage carries a document as it was sent.
type documentMessage struct {
	Raw []byte `cbor:"1,keyasint"`
}

// waveMessage starts a wave.
type waveMessage struct {
	Wave   workload.Wave   `cbor:"1,keyasint"`
	Within workload.Millis `cbor:"2,keyasint"`
}

// waveQuery asks for the progress of a wave.
type waveQuery struct {
	Wave int64 `cbor:"1,keyasint"`
}

// waveReply answers a waveQuery.
type waveReply struct {
	Completed bool `cbor:"1,keyasint"`
}

// empty is a reply without content.
type empty struct{}

// Bounds of decoding.
const (
	maxItems = 1 << 20
	maxDepth = 32
)

var decMode = codec.Decoder(codec.Limits{Items: maxItems, Depth: maxDepth})

// handler adapts a typed function to a handler of peer calls.
func handler[Q, R any](f func(context.Context, *Q) (R, error)) peerlink.CallHandler {
	return func(ctx context.Context, _ peerlink.Identity, payload []byte) (any, error) {
		var q Q
		if err := decMode.Unmarshal(payload, &q); err != nil {
			return nil, &peerlink.RemoteError{Code: codeInvalid, Detail: err.Error()}
		}
		r, err := f(ctx, &q)
		if err != nil {
			return nil, toRemote(err)
		}
		return r, nil
	}
}

// toRemote gives an error the code by which the other side knows it.
func toRemote(err error) error {
	code := codeUnavailable
	switch {
	case errors.Is(err, workload.ErrInvalidDocument), errors.Is(err, workload.ErrMalformed):
		code = codeInvalid
	case errors.Is(err, workload.ErrNoJob):
		code = codeNotFound
	case errors.Is(err, driver.ErrOutcomeUnknown):
		code = codeUnknown
	}
	return &peerlink.RemoteError{Code: code, Detail: err.Error()}
}

// fromRemote restores the errors that the platform's routes tell apart.
func fromRemote(err error) error {
	var remote *peerlink.RemoteError
	if errors.As(err, &remote) {
		switch remote.Code {
		case codeInvalid:
			return errors.Wrap(workload.ErrMalformed, remote.Detail)
		case codeNotFound:
			return errors.Wrap(workload.ErrNoJob, remote.Detail)
		}
	}
	return errors.Wrap(platform.ErrUnavailable, err.Error())
}
