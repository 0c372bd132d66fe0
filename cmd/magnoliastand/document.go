package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/daemon/settings"
)

// readInput reads a file, or standard input for "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		b, err := io.ReadAll(os.Stdin)
		return b, errors.Wrap(err, "standard input")
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("%v", err)
	}
	return b, nil
}

func oneArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usageError("needs exactly one argument: %s", what)
	}
	return args[0], nil
}

func checkCommand(s streams) *ffcli.Command {
	fs := newFlags("check", s)
	settingsFile := fs.String("settings", "", "check a daemon's settings file in place of a document")
	output := fs.String("output", "text", "text or json")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "magnoliastand check DOCUMENT | --settings FILE",
		ShortHelp:  "Checks a fleet document or a settings file without a daemon.",
		LongHelp:   "Example: magnoliastand check fleet.yaml",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(_ context.Context, args []string) error {
			if *settingsFile != "" {
				if _, err := settings.Load(*settingsFile); err != nil {
					return err
				}
				_, err := fmt.Fprintln(s.out, "ok")
				return errors.Wrap(err, "write")
			}
			path, err := oneArgument(args, "the document's file")
			if err != nil {
				return err
			}
			return checkDocument(s, path, *output)
		},
	}
}

func checkDocument(s streams, path, output string) error {
	b, err := readInput(path)
	if err != nil {
		return err
	}
	faults := documentFaults(b)
	if output == "json" {
		if faults == nil {
			faults = []api.Fault{}
		}
		if err := json.NewEncoder(s.out).Encode(faults); err != nil {
			return errors.Wrap(err, "write")
		}
	} else {
		for _, f := range faults {
			fmt.Fprintln(s.out, f)
		}
	}
	if len(faults) > 0 {
		return errors.Errorf("%s has %d faults", path, len(faults))
	}
	if output != "json" {
		fmt.Fprintln(s.out, "ok")
	}
	return nil
}

func applyCommand(s streams) *ffcli.Command {
	fs := newFlags("apply", s)
	c := &client{streams: s}
	c.register(fs)
	base := fs.Int64("base", -1, "version that the change builds on; default: the version read just now")
	operation := fs.String("operation-id", "", "id of this operation; send the same again after a lost answer")
	wait := fs.Duration("wait", defaultWait, "how long to wait until the document is in force on every daemon")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "magnoliastand apply [--base N] [--operation-id ID] DOCUMENT",
		ShortHelp:  "Makes a document the configuration in force.",
		LongHelp:   "Example: magnoliastand apply --base 12 --operation-id change-77 fleet.yaml",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			path, err := oneArgument(args, "the document's file")
			if err != nil {
				return err
			}
			return c.apply(ctx, path, *base, *operation, *wait)
		},
	}
}

// defaultWait is how long apply waits for all daemons to run the document.
const defaultWait = 5 * time.Second

// currentVersion is the part of the answers that names the version.
type currentVersion struct {
	Version int64    `json:"document_version"`
	Missing []string `json:"missing"`
}

func (c *client) apply(ctx context.Context, path string, base int64, operation string, wait time.Duration) error {
	doc, err := readInput(path)
	if err != nil {
		return err
	}
	if base < 0 {
		if base, err = c.documentVersion(ctx); err != nil {
			return err
		}
	}
	if operation == "" {
		operation = newOperationID()
	}
	query := url.Values{
		"base":      {strconv.FormatInt(base, 10)},
		"operation": {operation},
		"wait":      {wait.String()},
	}
	body, err := c.call(ctx, http.MethodPost, "/v1/document?"+query.Encode(), nil, doc)
	if err != nil {
		return errors.WithMessagef(err, "operation %s", operation)
	}
	return c.printChange(body)
}

// printChange prints the answer to a change. It returns an error if the change is not
// in force on every daemon.
func (c *client) printChange(body []byte) error {
	if err := c.printIndented(body); err != nil {
		return err
	}
	var v currentVersion
	if err := json.Unmarshal(body, &v); err == nil && len(v.Missing) > 0 {
		return &exitError{code: exitPartial, err: errors.Errorf("accepted, but not yet in force on %v", v.Missing)}
	}
	return nil
}

func (c *client) documentVersion(ctx context.Context) (int64, error) {
	body, err := c.call(ctx, http.MethodGet, "/v1/document", nil, nil)
	if err != nil {
		return 0, err
	}
	var v currentVersion
	if err := json.Unmarshal(body, &v); err != nil {
		return 0, errors.Wrap(err, "answer of the daemon")
	}
	return v.Version, nil
}

func getCommand(s streams) *ffcli.Command {
	fs := newFlags("get", s)
	c := &client{streams: s}
	c.register(fs)
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "magnoliastand get [document|history|instances|keys]",
		ShortHelp:  "Prints the configuration in force, its history, or the instances.",
		LongHelp:   "Example: magnoliastand get history --output json",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			path, err := getPath(args)
			if err != nil {
				return err
			}
			body, err := c.call(ctx, http.MethodGet, path, nil, nil)
			if err != nil {
				return err
			}
			return c.printIndented(bytes.TrimSpace(body))
		},
	}
}

func getPath(args []string) (string, error) {
	what := "document"
	if len(args) > 0 {
		what = args[0]
	}
	switch what {
	case "document":
		return "/v1/document", nil
	case "history":
		return "/v1/document/history", nil
	case "instances":
		return "/v1/instances", nil
	case "keys":
		return "/v1/keys", nil
	default:
		return "", usageError("%q is none of document, history, instances, keys", what)
	}
}

// documentFaults returns every fault of a document's text.
func documentFaults(b []byte) []api.Fault {
	_, err := api.LoadDocument(b)
	var de *api.DocumentError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &de):
		return de.Faults
	default:
		return []api.Fault{{Path: "document", Message: err.Error()}}
	}
}
