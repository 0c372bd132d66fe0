package peerlink

import "github.com/pkg/errors"

// Errors of the package. Callers test for them with errors.Is.
var (
	// ErrDisconnected means that the link broke before the reply arrived; the call
	// may have been handled.
	ErrDisconnected = errors.New("peer link disconnected")
	// ErrUnreachable means that no link was established; the call was not sent.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrUnknownPeer means that no address is configured for the peer.
	ErrUnknownPeer = errors.New("unknown peer")
	// ErrRefused means that the handshake failed because the cluster, protocol
	// version, name or secret did not match.
	ErrRefused = errors.New("peer refused")
	// ErrTooLarge means that a frame exceeds MaxFrameBytes.
	ErrTooLarge = errors.New("frame too large")
	// ErrMalformed means that a frame or payload could not be decoded.
	ErrMalformed = errors.New("malformed frame")
	// ErrBusy means that the send queue is full; the call was not sent. A call
	// beyond the peer's limit of concurrent calls fails with CodeBusy instead.
	ErrBusy = errors.New("peer link busy")
	// ErrClosed means that the node was closed.
	ErrClosed = errors.New("peer link closed")
)

// Codes of remote errors that the package itself returns. Handlers may use codes
// of their own.
const (
	CodeBusy          = "busy"
	CodeUnknownMethod = "unknown-method"
	CodeInternal      = "internal"
	// CodeOutcomeUnknown means that the handler failed unexpectedly; the call may
	// have been carried out.
	CodeOutcomeUnknown = "outcome-unknown"
)

// RemoteError is an error reply to a call, as received by the caller.
type RemoteError struct {
	Code   string
	Detail string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Detail }

// toWireError converts a handler's error to its wire representation. The code of
// a *RemoteError is kept; any other error gets CodeInternal.
func toWireError(err error) *wireError {
	var re *RemoteError
	if errors.As(err, &re) {
		return &wireError{Code: re.Code, Detail: re.Detail}
	}
	return &wireError{Code: CodeInternal, Detail: err.Error()}
}
