package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// newOperationID returns a random id for an operation that was given none.
func newOperationID() string { return "cli-" + rand.Text() }

// grantKey is the body of a key grant.
type grantKey struct {
	Label string `json:"label"`
}

func keyCommand(s streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "key",
		ShortUsage: "magnoliastand key grant TEAM | key withdraw KEY-ID",
		ShortHelp:  "Grants and withdraws team keys.",
		FlagSet:    newFlags("key", s),
		Exec:       func(context.Context, []string) error { return errHelp },
		Subcommands: []*ffcli.Command{
			keyGrantCommand(s),
			keyWithdrawCommand(s),
		},
	}
}

func keyGrantCommand(s streams) *ffcli.Command {
	fs := newFlags("key grant", s)
	c := &client{streams: s}
	c.register(fs)
	label := fs.String("label", "", "note that lists show beside the key")
	operation := fs.String("operation-id", "", "id of this operation")
	return &ffcli.Command{
		Name:       "grant",
		ShortUsage: "magnoliastand key grant [--label TEXT] TEAM",
		ShortHelp:  "Grants a key to a team and prints it. It is not shown again.",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			team, err := oneArgument(args, "the team")
			if err != nil {
				return err
			}
			if *operation == "" {
				*operation = newOperationID()
			}
			body, err := json.Marshal(grantKey{Label: *label})
			if err != nil {
				return errors.Wrap(err, "encode")
			}
			return c.post(ctx, http.MethodPost, "/v1/teams/"+url.PathEscape(team)+"/keys?operation="+url.QueryEscape(*operation), body)
		},
	}
}

func keyWithdrawCommand(s streams) *ffcli.Command {
	fs := newFlags("key withdraw", s)
	c := &client{streams: s}
	c.register(fs)
	operation := fs.String("operation-id", "", "id of this operation")
	return &ffcli.Command{
		Name:       "withdraw",
		ShortUsage: "magnoliastand key withdraw KEY-ID",
		ShortHelp:  "Withdraws a key; it is refused everywhere within 3 s.",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArgument(args, "the key's id")
			if err != nil {
				return err
			}
			if *operation == "" {
				*operation = newOperationID()
			}
			query := url.Values{"operation": {*operation}}
			return c.post(ctx, http.MethodDelete, "/v1/keys/"+url.PathEscape(id)+"?"+query.Encode(), nil)
		},
	}
}

// post calls an operation and prints its answer.
func (c *client) post(ctx context.Context, method, path string, body []byte) error {
	header := http.Header{"Content-Type": {"application/json"}}
	answer, err := c.call(ctx, method, path, header, body)
	if err != nil {
		return err
	}
	return c.printIndented(answer)
}

func waveCommand(s streams) *ffcli.Command {
	fs := newFlags("wave", s)
	c := &client{streams: s}
	c.register(fs)
	return &ffcli.Command{
		Name:       "wave",
		ShortUsage: "magnoliastand wave start|pause|resume|abort WAVE",
		ShortHelp:  "Controls a maintenance wave.",
		LongHelp:   "Example: magnoliastand wave pause kernel-update",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return usageError("needs an action and a wave")
			}
			switch args[0] {
			case "start", "pause", "resume", "abort":
			default:
				return usageError("%q is none of start, pause, resume, abort", args[0])
			}
			return c.post(ctx, http.MethodPost, "/v1/waves/"+url.PathEscape(args[1])+"/"+args[0], []byte("{}"))
		},
	}
}

func zoneCommand(s streams) *ffcli.Command {
	return &ffcli.Command{
		Name:       "zone",
		ShortUsage: "magnoliastand zone evacuate ZONE | zone restore ZONE",
		ShortHelp:  "Evacuates and restores an availability zone.",
		FlagSet:    newFlags("zone", s),
		Exec:       func(context.Context, []string) error { return errHelp },
		Subcommands: []*ffcli.Command{
			zoneOrderCommand(s, "evacuate", "Starts nothing in a zone until it is restored; what runs there continues."),
			zoneOrderCommand(s, "restore", "Ends the evacuation of a zone."),
		},
	}
}

func zoneOrderCommand(s streams, order, help string) *ffcli.Command {
	fs := newFlags("zone "+order, s)
	c := &client{streams: s}
	c.register(fs)
	operation := fs.String("operation-id", "", "id of this operation; send the same again after a lost answer")
	wait := fs.Duration("wait", defaultWait, "how long to wait until the order is in force on every daemon")
	return &ffcli.Command{
		Name:       order,
		ShortUsage: "magnoliastand zone " + order + " [--operation-id ID] ZONE",
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			zone, err := oneArgument(args, "the availability zone")
			if err != nil {
				return err
			}
			if *operation == "" {
				*operation = newOperationID()
			}
			query := url.Values{"operation": {*operation}, "wait": {wait.String()}}
			path := "/v1/availability-zones/" + url.PathEscape(zone) + "/" + order + "?" + query.Encode()
			body, err := c.call(ctx, http.MethodPost, path, nil, nil)
			if err != nil {
				return errors.WithMessagef(err, "operation %s", *operation)
			}
			return c.printChange(body)
		},
	}
}

func drainCommand(s streams) *ffcli.Command {
	fs := newFlags("drain", s)
	c := &client{streams: s}
	c.register(fs)
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "magnoliastand drain INSTANCE",
		ShortHelp:  "Asks for a permit to drain an instance; refused where a budget would break.",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArgument(args, "the instance")
			if err != nil {
				return err
			}
			return c.post(ctx, http.MethodPost, "/v1/instances/"+url.PathEscape(id)+"/drain", []byte("{}"))
		},
	}
}
