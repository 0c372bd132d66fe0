// Package api defines the types shared by callers, endpoints, operators and
// daemons: the fleet document and its validation, endpoint announcements, request
// headers, problem documents and durations. It performs no I/O.
package api
