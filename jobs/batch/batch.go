// Package batch combines concurrently proposed changes into one command, so that
// bursts of submissions, cancellations and renewals need few log entries.
package batch

import (
	"context"

	"github.com/pkg/errors"

	"magnoliastand.example/jobs"
)

// maxQueued bounds the proposals that are queued for the next command.
const maxQueued = 8_192

// ErrFull is returned if the queue is full or a call has too many changes.
// Nothing was proposed.
var ErrFull = errors.New("too many proposals are waiting")

// Commit commits the changes as one command and returns one result for each.
type Commit func(ctx context.Context, changes []jobs.Change) (jobs.Result, error)

// proposal is a pending call of Propose.
type proposal struct {
	changes []jobs.Change
	done    chan response
}

type response struct {
	result jobs.Result
	err    error
}

// Batcher queues proposals while a command is being committed and commits them
// together in the next one. It is safe for concurrent use.
type Batcher struct {
	commit Commit
	queue  chan *proposal
}

// New returns a Batcher. It commits nothing until Run is called.
func New(commit Commit) *Batcher {
	return &Batcher{commit: commit, queue: make(chan *proposal, maxQueued)}
}

// Propose commits the changes, possibly in one command with those of concurrent
// calls, and returns one result for each. The order of the changes is kept.
// ErrFull means that they were not proposed; after any other error their outcome
// is unknown. A call takes at most jobs.MaxChanges changes.
func (b *Batcher) Propose(ctx context.Context, changes ...jobs.Change) (jobs.Result, error) {
	if len(changes) > jobs.MaxChanges {
		return jobs.Result{}, errors.Wrapf(ErrFull, "%d changes in one call", len(changes))
	}
	p := &proposal{changes: changes, done: make(chan response, 1)}
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

// Run commits proposals until the context is done. It must be called only once.
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
		group, next = b.collect(next)
		b.commitGroup(ctx, group)
	}
}

// collect returns the first proposal and the queued ones that fit into the same
// command, and the next one if it did not fit.
func (b *Batcher) collect(first *proposal) (group []*proposal, rest *proposal) {
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

// commitGroup commits a group and sends each proposal its results.
func (b *Batcher) commitGroup(ctx context.Context, group []*proposal) {
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
			p.done <- response{err: err}
			continue
		}
		n := len(p.changes)
		p.done <- response{result: jobs.Result{Changes: r.Changes[:n:n]}}
		r.Changes = r.Changes[n:]
	}
}
