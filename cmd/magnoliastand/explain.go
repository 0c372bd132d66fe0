package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"magnoliastand.example/explain"
)

func explainCommand(s streams) *ffcli.Command {
	fs := newFlags("explain", s)
	var files []string
	fs.Func("logs", "log file of a daemon, may be repeated; - is standard input, the default", func(name string) error {
		files = append(files, name)
		return nil
	})
	asJSON := fs.Bool("json", false, "write JSON")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "magnoliastand explain [--json] [--logs FILE]... ID",
		ShortHelp:  "Tells from logs what happened to a job, task, worker, instance, wave or version.",
		LongHelp: "ID is the id of a job (the last part of its path), of a task (JOB.OCCURRENCE.STEP.INDEX),\n" +
			"of a worker or instance, or wave/N, version/N or zone/NAME. The logs may be those of any number\n" +
			"of daemons, in any order.\n" +
			"Example: magnoliastand explain --logs core.log --logs edge.log 458cb8e176ade106",
		FlagSet: fs,
		Options: options(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usageError("one ID is required, got %d", len(args))
			}
			if len(files) == 0 {
				files = []string{"-"}
			}
			return runExplain(s, files, args[0], *asJSON)
		},
	}
}

func runExplain(s streams, files []string, id string, asJSON bool) error {
	var log explain.Log
	for _, name := range files {
		if err := readLog(&log, name); err != nil {
			return errors.Wrapf(err, "log %q", name)
		}
	}
	if log.Unreadable > 0 {
		printLines(s.err, errors.Errorf("%d lines are no log lines and were skipped", log.Unreadable).Error())
	}
	story, err := explain.Explain(&log, id)
	if err != nil {
		return err
	}
	if !asJSON {
		return story.Print(s.out)
	}
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(story), "write story")
}

func readLog(log *explain.Log, name string) error {
	var r io.Reader = os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return errors.WithStack(err)
		}
		defer func() { _ = f.Close() }() // only read
		r = f
	}
	return log.Read(r)
}
