package main

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/daemon"
	"magnoliastand.example/daemon/settings"
)

func serveCommand(s streams) *ffcli.Command {
	fs := newFlags("serve", s)
	file := fs.String("settings", "", "YAML settings file of the daemon")
	dev := fs.Bool("dev", false, "run one daemon with built-in settings, a sample document and stand-in endpoints")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "magnoliastand serve --settings FILE | --dev",
		ShortHelp:  "Runs a daemon until SIGTERM; a second SIGTERM cuts what still runs.",
		LongHelp:   "Example: magnoliastand serve --settings /etc/magnoliastand/fukuoka-1.yaml",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, _ []string) error {
			switch {
			case *dev && *file != "":
				return usageError("--dev excludes --settings")
			case *dev:
				return serveDev(ctx, s)
			case *file == "":
				return usageError("--settings is required; try --dev to see the system at work")
			}
			set, err := settings.Load(*file)
			if err != nil {
				return &exitError{code: exitUsage, err: err}
			}
			return runDaemon(ctx, set, newLogger(s.err, set.LogLevel))
		},
	}
}

func newLogger(w io.Writer, level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(l).With().Timestamp().Logger()
}

// runDaemon serves until ctx ends. A second signal ends the grace period.
func runDaemon(ctx context.Context, set settings.Settings, log zerolog.Logger) error {
	// net/http reports surplus bytes of endpoints through the standard logger,
	// with their content, which must not enter a log.
	stdlog.SetOutput(io.Discard)
	if mb := set.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(mb << 20 / 100 * memoryShare)
	}
	d, err := daemon.New(set, log)
	if err != nil {
		return errors.Wrap(err, "start")
	}
	logSuspensions(ctx, log)
	hard := make(chan struct{})
	go func() {
		<-ctx.Done()
		second := make(chan os.Signal, 1)
		signal.Notify(second, os.Interrupt, syscall.SIGTERM)
		<-second
		close(hard)
	}()
	return d.Run(ctx, hard)
}

// printLines writes lines to w; an error means that nobody reads them.
func printLines(w io.Writer, lines ...string) {
	for _, l := range lines {
		_, _ = fmt.Fprintln(w, l)
	}
}
