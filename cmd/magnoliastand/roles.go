package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"magnoliastand.example/invariant"
	"magnoliastand.example/system"
)

const (
	// settingsVariable names the settings file on the users' platform.
	settingsVariable = envPrefix + "_CONFIG"
	// gcPercent lets the heap grow further between two collections than by
	// default, within the memory limit, because processor time is scarcer than memory.
	gcPercent = 200
	// memoryShare is the part of the process's memory, in percent, that the
	// runtime aims to stay below.
	memoryShare = 70
)

// runRole runs a role until ctx ends.
type runRole func(ctx context.Context, set system.Settings, registry *prometheus.Registry, log zerolog.Logger, reload <-chan system.Settings) error

func coreCommand(s streams) *ffcli.Command {
	return roleCommand(s, "core", "Runs a daemon with a disk: a member of the log that serves workers and operators.",
		func(ctx context.Context, set system.Settings, registry *prometheus.Registry, log zerolog.Logger, _ <-chan system.Settings) error {
			return system.RunCore(ctx, set, registry, log)
		})
}

func edgeCommand(s streams) *ffcli.Command {
	return roleCommand(s, "edge", "Runs a daemon without state that serves callers.", system.RunEdge)
}

func roleCommand(s streams, name, help string, run runRole) *ffcli.Command {
	fs := newFlags(name, s)
	file := fs.String("settings", os.Getenv(settingsVariable), "YAML settings file of the daemon")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "magnoliastand " + name + " --settings FILE",
		ShortHelp:  help,
		FlagSet:    fs,
		// No options of ff: its environment prefix would take the variable of the
		// settings file for a file of flags.
		Exec: func(ctx context.Context, _ []string) error {
			if *file == "" {
				return usageError("--settings is required, or the variable %s", settingsVariable)
			}
			return startRole(ctx, s, *file, run)
		},
	}
}

func startRole(ctx context.Context, s streams, file string, run runRole) error {
	set, err := system.LoadSettings(file)
	if err != nil {
		return &exitError{code: exitUsage, err: err}
	}
	lines := newLineWriter(s.out, set.Name, set.LogBytesPerSecond)
	defer lines.Close()
	log := newLogger(lines, set.LogLevel).With().Str("daemon", set.Name).Logger()
	registry := prometheus.NewRegistry()
	registry.MustRegister(lines.Collectors()...)
	registry.MustRegister(newSuspensionMetric())
	logSuspensions(ctx, log)
	invariant.SetSink(func(b invariant.Breach) {
		log.Error().Str("invariant", string(b.Invariant)).Str("detail", b.Detail).Msg("invariant broken")
	})
	if set.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(set.MemoryMB << 20 / 100 * memoryShare)
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	return run(ctx, set, registry, log, system.WatchSettings(ctx, file, hup, log))
}
