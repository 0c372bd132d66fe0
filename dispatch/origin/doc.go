// Package origin handles callers' requests at the daemon that received them:
// it checks key and queue, makes sure through package record that an id starts
// at most once, asks an arbiter for a slot, sends the request to the granted
// endpoint, and returns the whole answer.
//
// A slot is held only from the grant until the whole answer was read; slow
// callers hold none, since requests are read before a slot is asked for and
// answers are written after it was released. An attempt that went out is read
// to its end even when the caller is gone or its deadline passed, so that the
// slot frees by the endpoint's answer and a resend finds the answer.
package origin
