// Package batch gathers changes that are proposed at the same time into one
// command, so that waves of submissions, cancels and renewals cost few entries
// of the log.
package batch

import (
	"context"

	"github.com/pkg/errors"

	"magnoliastand.example/jobs"
)

// maxQueued bounds the proposals that wait for the next command.
const maxQueued = 8_192

// ErrFull means that too many proposals wait. Nothing was proposed.
var ErrFull = errors.New("too many proposals are waiting")

// Commit commits the changes as one command and returns one result for each.
type Commit func(ctx context.Context, changes []jobs.Change) (jobs.Result, error)

// proposal is a call of Propose that waits for its results.
type proposal struct {
	changes []jobs.Change
	done    chan answer
}

type answer struct {
	result jobs.Result
	err    error
}

// Batcher gathers proposals while a command is being committed and commits
// them together next. It is safe for concurrent use.
type Batcher struct {
	commit Commit
	queue  chan *proposal
}

// New returns a Batcher that does nothing until Run.
func New(commit Commit) *Batcher {
	return &Batcher{commit: commit, queue: make(chan *proposal, maxQueued)}
}

// Propose commits the changes, possibly in one command with those of others,
// and returns one result for each. The changes stay in order. ErrFull means
// that they were not proposed; after any other error their outcome is unknown.
// A call takes at most jobs.MaxChanges changes.
func (b *Batcher) Propose(ctx context.Context, changes ...jobs.Change) (jobs.Result, error) {
	if len(changes) > jobs.MaxChanges {
		return jobs.Result{}, errors.Wrapf(ErrFull, "%d changes in one call", len(changes))
	}
	p := &proposal{changes: changes, done: make(chan answer, 1)}
	select {
	case b.queue <- p:
	default:
		return jobs.Result{}, errors.WithStack(ErrFull)
	}
	select {
	case a := <-p.done:
		return a.result, a.err
	case <-ctx.Done():
		return jobs.Result{}, errors.Wrap(ctx.Err(), "wait for the commit")
	}
}

// Run commits proposals until the context ends. It is called once.
func (b *Batcher) Run(ctx context.Context) {
	var next *proposal
	for {
		if next == nil {
			select {
			case <-ctx.Done():
				return
			case next = <-b.queue:
			}
		}
		var group []*proposal
		group, next = b.gather(next)
		b.finish(ctx, group)
	}
}

// gather returns the first proposal with those that wait and fit into one
// command, and the first that did not fit.
func (b *Batcher) gather(first *proposal) (group []*proposal, rest *proposal) {
	group = []*proposal{first}
	size := len(first.changes)
	for {
		select {
		case p := <-b.queue:
			if size+len(p.changes) > jobs.MaxChanges {
				return group, p
			}
			size += len(p.changes)
			group = append(group, p)
		default:
			return group, nil
		}
	}
}

// finish commits a group and hands each proposal its results.
func (b *Batcher) finish(ctx context.Context, group []*proposal) {
	var changes []jobs.Change
	for _, p := range group {
		changes = append(changes, p.changes...)
	}
	r, err := b.commit(ctx, changes)
	if err == nil && len(r.Changes) != len(changes) {
		err = errors.Errorf("%d results for %d changes", len(r.Changes), len(changes))
	}
	for _, p := range group {
		if err != nil {
			p.done <- answer{err: err}
			continue
		}
		n := len(p.changes)
		p.done <- answer{result: jobs.Result{Changes: r.Changes[:n:n]}}
		r.Changes = r.Changes[n:]
	}
}
