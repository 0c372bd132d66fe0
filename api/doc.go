// Package api defines the types that callers, endpoints, operators and the
// daemons share: the fleet document and its validation, request headers,
// problem documents and durations. It performs no I/O.
package api
