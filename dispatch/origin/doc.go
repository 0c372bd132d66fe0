// Package origin handles callers' requests at the daemon that received them.
// It authorizes the request, uses package record to ensure that a request ID
// starts at most once, obtains a slot from an arbiter, sends the request to the
// granted endpoint and returns the complete response.
//
// A slot is held only from the grant until the response has been read. Slow
// callers do not occupy slots: the request body is read before a slot is
// requested, and the response is written after the slot is released. Once an
// attempt has been sent, its response is read even if the caller disconnects or
// the deadline passes. The endpoint's response then frees the slot, and a
// resend of the request can be served from the stored response.
package origin
