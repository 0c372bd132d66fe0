// Command magnoliastand is the fleet capacity and maintenance manager: the
// daemon, and the operator's command line that talks to it.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Exit codes of every verb.
const (
	exitOK       = 0
	exitFailure  = 1 // the operation failed or was refused
	exitUsage    = 2 // flags or arguments are wrong
	exitConflict = 3 // another operator's change came first
	exitPartial  = 4 // accepted, but not yet in force on every daemon
)

// exitError carries the exit code of a failed verb.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{code: exitUsage, err: errors.Errorf(format, args...)}
}

// logTimeFormat gives log times in milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func main() {
	zerolog.TimeFieldFormat = logTimeFormat
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one verb and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := newRoot(stdout, stderr).ParseAndRun(ctx, args)
	if err == nil || errors.Is(err, errHelp) {
		return exitOK
	}
	fmt.Fprintln(stderr, "magnoliastand:", err)
	var ee *exitError
	if errors.As(err, &ee) {
		return ee.code
	}
	return exitFailure
}
