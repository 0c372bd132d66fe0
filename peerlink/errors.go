package peerlink

import "github.com/pkg/errors"

// Errors of the package. Callers test for them with errors.Is.
var (
	// ErrDisconnected means that the link broke before the reply; the call may have been handled.
	ErrDisconnected = errors.New("peer link disconnected")
	// ErrUnreachable means that no link could be established; the call was not sent.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrUnknownPeer means that the peer's name is not in the address book.
	ErrUnknownPeer = errors.New("unknown peer")
	// ErrRefused means that a hello failed: wrong cluster, version, name or secret.
	ErrRefused = errors.New("peer refused")
	// ErrTooLarge means that a frame exceeds MaxFrameBytes.
	ErrTooLarge = errors.New("frame too large")
	// ErrMalformed means that a frame or payload could not be decoded.
	ErrMalformed = errors.New("malformed frame")
	// ErrBusy means that the send queue or the limit of concurrent calls is full; the call was not handled.
	ErrBusy = errors.New("peer link busy")
	// ErrClosed means that the node was closed.
	ErrClosed = errors.New("peer link closed")
)

// CodeBusy and the other codes are what a remote fault carries besides the
// codes that handlers choose.
const (
	CodeBusy          = "busy"
	CodeUnknownMethod = "unknown-method"
	CodeInternal      = "internal"
)

// RemoteError is a handler's error as received by the caller.
type RemoteError struct {
	Code   string
	Detail string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Detail }

// faultOf converts a handler's error to its wire form. Handlers that want a
// code of their own return a *RemoteError.
func faultOf(err error) *wireFault {
	var re *RemoteError
	if errors.As(err, &re) {
		return &wireFault{Code: re.Code, Detail: re.Detail}
	}
	return &wireFault{Code: CodeInternal, Detail: err.Error()}
}
