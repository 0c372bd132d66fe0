package daemon

import (
	"context"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
)

// SetUp puts a first document in force and grants a key to one of its teams,
// for development and tests of one daemon. It waits until the daemon is ready.
func (d *Daemon) SetUp(ctx context.Context, doc api.Document, team string) (key string, err error) {
	apply := &control.Command{ApplyDocument: &control.ApplyDocument{OperationID: "set-up-document", Actor: "set-up", Document: doc}}
	if err := d.proposeUntilDone(ctx, apply); err != nil {
		return "", errors.Wrap(err, "apply document")
	}
	k := control.NewKey()
	grant := &control.Command{GrantKey: &control.GrantKey{OperationID: "set-up-key", Team: team, Label: "set-up", KeyID: k.ID, Hash: k.Hash}}
	if err := d.proposeUntilDone(ctx, grant); err != nil {
		return "", errors.Wrap(err, "grant key")
	}
	for d.notReady() != "" || !d.control.Fresh() {
		if ctx.Err() != nil {
			return "", errors.Wrapf(ctx.Err(), "wait until ready: %s", d.notReady())
		}
		sleepCtx(ctx, pollBackoff)
	}
	return k.Text, nil
}

// proposeUntilDone repeats a command with an operation id until its outcome is known.
func (d *Daemon) proposeUntilDone(ctx context.Context, cmd *control.Command) error {
	for {
		result, err := d.control.propose(ctx, cmd)
		if err == nil && result.Refusal != nil {
			return result.Refusal
		}
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		sleepCtx(ctx, pollBackoff)
	}
}
