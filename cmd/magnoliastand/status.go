package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"runtime"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"magnoliastand.example/burn"
)

func statusCommand(s streams) *ffcli.Command {
	fs := newFlags("status", s)
	c := &client{streams: s}
	c.register(fs)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "magnoliastand status",
		ShortHelp:  "Shows leader, arbiters, evacuated zones, daemons and the version in force on each.",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, _ []string) error {
			body, err := c.call(ctx, http.MethodGet, "/v1/status", nil, nil)
			if err != nil {
				return err
			}
			return c.printIndented(body)
		},
	}
}

func reportCommand(s streams) *ffcli.Command {
	fs := newFlags("report", s)
	c := &client{streams: s}
	c.register(fs)
	format := fs.String("format", "text", "text, json or html")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "magnoliastand report [--format text|json|html]",
		ShortHelp:  "Reports the service-level burn of every queue.",
		LongHelp:   "Example: magnoliastand report --format html > burn.html",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, _ []string) error {
			body, err := c.call(ctx, http.MethodGet, "/v1/report", nil, nil)
			if err != nil {
				return err
			}
			var r burn.Report
			if err := json.Unmarshal(body, &r); err != nil {
				return errors.Wrap(err, "answer of the daemon")
			}
			return writeReport(s.out, r, body, *format)
		},
	}
}

func writeReport(w io.Writer, r burn.Report, body []byte, format string) error {
	switch format {
	case "text":
		return r.WriteText(w)
	case "html":
		return r.WriteHTML(w)
	case "json":
		_, err := fmt.Fprintln(w, string(body))
		return errors.Wrap(err, "write")
	default:
		return usageError("--format: %q is none of text, json, html", format)
	}
}

func versionCommand(s streams) *ffcli.Command {
	return &ffcli.Command{
		Name:      "version",
		ShortHelp: "Prints the version.",
		FlagSet:   newFlags("version", s),
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprintf(s.out, "magnoliastand %s %s\n", version, runtime.Version())
			return errors.Wrap(err, "write")
		},
	}
}
