package main

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/peterbourgon/ff/v3/ffyaml"
)

// version is set by the release build.
var version = "0.1.0-dev"

const envPrefix = "MAGNOLIASTAND"

var errHelp = flag.ErrHelp

// streams are where a verb writes.
type streams struct {
	out io.Writer
	err io.Writer
}

// newRoot returns the command tree.
func newRoot(stdout, stderr io.Writer) *ffcli.Command {
	s := streams{out: stdout, err: stderr}
	root := &ffcli.Command{
		Name:       "magnoliastand",
		ShortUsage: "magnoliastand VERB [flags] [arguments]",
		ShortHelp:  "Manages pools of instances, teams and maintenance waves.",
		LongHelp: "Flags can also be set in the environment (--server as " + envPrefix + "_SERVER)\n" +
			"or in a YAML file named by --config. Exit codes: 0 done, 1 failed or refused,\n" +
			"2 wrong usage, 3 conflict with another operator, 4 accepted but not yet in force everywhere.",
		FlagSet: flag.NewFlagSet("magnoliastand", flag.ContinueOnError),
		Exec:    func(context.Context, []string) error { return errHelp },
		Subcommands: []*ffcli.Command{
			serveCommand(s), coreCommand(s), edgeCommand(s), checkCommand(s), applyCommand(s), getCommand(s), keyCommand(s),
			waveCommand(s), drainCommand(s), zoneCommand(s), statusCommand(s), reportCommand(s), explainCommand(s),
			endpointCommand(s), loadCommand(s), versionCommand(s),
		},
	}
	return root
}

// newFlags returns a flag set that fails by an error instead of ending the process.
func newFlags(name string, s streams) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(s.err)
	fs.String("config", "", "YAML file with flag values")
	return fs
}

func options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(envPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(ffyaml.Parser),
	}
}
