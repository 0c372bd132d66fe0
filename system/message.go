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

// Methods of peer calls that the leader serves.
const (
	methodRequest     = "system.request"
	methodAnnounce    = "system.announce"
	methodDepart      = "system.depart"
	methodPutDocument = "system.put"
	methodDocument    = "system.document"
	methodStartWave   = "system.wave"
	methodWaveStatus  = "system.wave-read"
	methodZoneTime    = "system.zone-time"
	methodZone        = "system.zone"
)

// Codes of remote errors.
const (
	codeUnavailable = "unavailable"
	codeInvalid     = "invalid"
	codeNotFound    = "not-found"
	codeTooLarge    = "too-large"
	codeUnknownZone = "unknown-zone"
	codeUnknown     = peerlink.CodeOutcomeUnknown
)

// documentMessage carries the original bytes of a document.
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

// emptyMessage is a request or reply without content.
type emptyMessage struct{}

// Limits of the decoder.
const (
	maxItems = 1 << 20
	maxDepth = 32
)

var decMode = codec.Decoder(codec.Limits{Items: maxItems, Depth: maxDepth})

// handler adapts a function with typed arguments to a peerlink.CallHandler.
func handler[Q, R any](f func(context.Context, *Q) (R, error)) peerlink.CallHandler {
	return func(ctx context.Context, _ peerlink.Identity, payload []byte) (any, error) {
		var q Q
		if err := decMode.Unmarshal(payload, &q); err != nil {
			return nil, &peerlink.RemoteError{Code: codeInvalid, Detail: err.Error()}
		}
		r, err := f(ctx, &q)
		if err != nil {
			return nil, toRemoteError(err)
		}
		return r, nil
	}
}

// toRemoteError returns a remote error with the code for err.
func toRemoteError(err error) error {
	code := codeUnavailable
	switch {
	case errors.Is(err, workload.ErrInvalidDocument), errors.Is(err, workload.ErrMalformed):
		code = codeInvalid
	case errors.Is(err, workload.ErrNoJob):
		code = codeNotFound
	case errors.Is(err, workload.ErrTooLarge):
		code = codeTooLarge
	case errors.Is(err, workload.ErrUnknownZone):
		code = codeUnknownZone
	case errors.Is(err, driver.ErrOutcomeUnknown):
		code = codeUnknown
	}
	return &peerlink.RemoteError{Code: code, Detail: err.Error()}
}

// fromRemoteError converts a remote error to the error that the platform's routes
// map to a status.
func fromRemoteError(err error) error {
	var remote *peerlink.RemoteError
	if errors.As(err, &remote) {
		switch remote.Code {
		case codeInvalid:
			return errors.Wrap(workload.ErrMalformed, remote.Detail)
		case codeNotFound:
			return errors.Wrap(workload.ErrNoJob, remote.Detail)
		case codeTooLarge:
			return errors.Wrap(workload.ErrTooLarge, remote.Detail)
		case codeUnknownZone:
			return errors.Wrap(workload.ErrUnknownZone, remote.Detail)
		}
	}
	if errors.Is(err, peerlink.ErrTooLarge) {
		return errors.Wrap(workload.ErrTooLarge, err.Error())
	}
	return errors.Wrap(platform.ErrUnavailable, err.Error())
}
