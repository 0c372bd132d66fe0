package httpapi

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
)

// TaskState is what a worker says about a task that it holds.
type TaskState string

// States of a task on a worker.
const (
	TaskRunning  TaskState = "running"
	TaskStopping TaskState = "stopping"
	// TaskEnded tasks have an outcome that was not acknowledged yet.
	TaskEnded TaskState = "ended"
)

// Task is a task in a heartbeat.
type Task struct {
	ID    string    `json:"task"`
	Epoch uint64    `json:"epoch"`
	Used  jobs.Size `json:"used"`
	State TaskState `json:"state"`
	// Stage is the last of "checkpoint" and "throttle" that the worker carried out.
	Stage CommandName `json:"stage,omitempty"`
}

// Heartbeat is the body of PUT /v1/workers/{worker}.
type Heartbeat struct {
	Zone     string    `json:"zone"`
	Rack     string    `json:"rack"`
	Pool     string    `json:"pool"`
	Capacity jobs.Size `json:"capacity"`
	Slots    int       `json:"slots"`
	// Incarnation differs at each start of the worker's process.
	Incarnation string `json:"incarnation"`
	// Seq grows with each heartbeat of the incarnation.
	Seq uint64 `json:"seq"`
	// Tasks lists every task that the worker holds.
	Tasks   []Task `json:"tasks"`
	Leaving bool   `json:"leaving,omitempty"`
	// Wait is how long the call waits for commands, at most MaxWait. A call that
	// renews the lease or brings news is answered at once.
	Wait api.Duration `json:"wait,omitempty"`
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	// Lease is how long the worker may run its tasks, counted by its monotonic
	// clock from when it sent the heartbeat. Margins are taken off already.
	Lease api.Duration `json:"lease"`
	// LeaseEpoch identifies the lease. A worker that lost its lease has stopped
	// every task before it accepts commands of another epoch.
	LeaseEpoch uint64    `json:"lease_epoch"`
	Commands   []Command `json:"commands"`
}

// heartbeat renews the lease of a worker and answers its commands.
func (h *handlers) heartbeat(c *echo.Context) error {
	var body Heartbeat
	if err := decodeBody(c, maxHeartbeatBytes, &body); err != nil {
		return err
	}
	if body.Wait < 0 || body.Wait.Std() > MaxWait {
		return fieldProblem("wait", "0s to %s is required", MaxWait)
	}
	hb := body.change(c.Param("worker"))
	view, renewed, err := h.renew(c, hb)
	if err != nil {
		return err
	}
	w := view.Worker(hb.Worker)
	if w == nil || w.Incarnation != hb.Incarnation {
		return api.NewProblem(http.StatusConflict, api.CodeConflict, api.RunNot, "a later incarnation of the worker is registered")
	}
	reply := HeartbeatReply{
		Lease:      api.Duration(time.Duration(w.Until-view.Now-jobs.DriftMargin) * time.Millisecond),
		LeaseEpoch: w.LeaseEpoch,
	}
	if renewed {
		// The lease must reach the worker before the earlier one ends.
		reply.Commands = Commands(view, w.ID, body.Tasks)
		return c.JSON(http.StatusOK, reply)
	}
	reply.Commands = h.await(c.Request().Context(), view, w, body.Tasks, body.Wait.Std())
	return c.JSON(http.StatusOK, reply)
}

func (b *Heartbeat) change(worker string) *jobs.Heartbeat {
	hb := &jobs.Heartbeat{
		Worker: worker, Zone: b.Zone, Rack: b.Rack, Pool: b.Pool, Capacity: b.Capacity, Slots: b.Slots,
		Incarnation: b.Incarnation, Seq: b.Seq, Leaving: b.Leaving,
	}
	for _, t := range b.Tasks {
		hb.Tasks = append(hb.Tasks, jobs.TaskReport{ID: t.ID, Epoch: t.Epoch, Used: t.Used})
	}
	return hb
}

// renew returns a view whose lease of the worker was granted after the call
// began, and whether the heartbeat entered the log. A heartbeat that brings
// nothing new does so only once the lease is RenewAfter old.
func (h *handlers) renew(c *echo.Context, hb *jobs.Heartbeat) (*jobs.View, bool, error) {
	view, err := h.read(c)
	if err != nil {
		return nil, false, err
	}
	change, needed := view.HeartbeatChange(hb)
	if !needed {
		return view, false, nil
	}
	if _, err := h.propose(c, change); err != nil {
		return nil, false, err
	}
	view, err = h.read(c)
	return view, true, err
}

// await returns the commands for the worker once there are any, or what there
// is after the wait.
func (h *handlers) await(ctx context.Context, view *jobs.View, w *jobs.Worker, tasks []Task, wait time.Duration) []Command {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		out := Commands(view, w.ID, tasks)
		if slices.ContainsFunc(out, func(c Command) bool { return c.Command != CommandRenew }) {
			return out
		}
		next, changed := h.service.Watch()
		if next.Version() <= view.Version() {
			select {
			case <-ctx.Done():
				return out
			case <-changed:
			}
			if !sleep(ctx, settleTime) {
				return out
			}
			next, _ = h.service.Watch()
		}
		now := next.Worker(w.ID)
		if now == nil || now.LeaseEpoch != w.LeaseEpoch || now.State == jobs.Lost {
			return out
		}
		view = next
	}
}

// sleep waits for d and returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// TaskOutcome is the body of POST /v1/workers/{worker}/tasks/{task}.
type TaskOutcome struct {
	Epoch uint64 `json:"epoch"`
	// Outcome is succeeded, failed, stopped, not-started or checkpointed.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	// Used is the largest use of the task.
	Used    jobs.Size    `json:"used"`
	RunTime api.Duration `json:"run_time,omitempty"`
	// Reference is opaque: the result, or the checkpoint to continue from.
	Reference []byte `json:"reference,omitempty"`
}

// OutcomeCheckpointed reports a checkpoint; the task goes on.
const OutcomeCheckpointed = "checkpointed"

// OutcomeReply acknowledges an outcome with the state of the job. The worker
// may then forget the task.
type OutcomeReply struct {
	State jobs.JobState `json:"state"`
}

func (h *handlers) outcome(c *echo.Context) error {
	var body TaskOutcome
	if err := decodeBody(c, maxBodyBytes, &body); err != nil {
		return err
	}
	worker, task := c.Param("worker"), c.Param("task")
	change := jobs.Change{Outcome: &jobs.Outcome{
		ID: task, Worker: worker, Epoch: body.Epoch, Kind: jobs.OutcomeKind(body.Outcome), Reason: body.Reason,
		Used: body.Used, Run: jobs.Millis(body.RunTime.Std().Milliseconds()), Result: body.Reference,
	}}
	if body.Outcome == OutcomeCheckpointed {
		change = jobs.Change{Checkpoint: &jobs.Checkpoint{ID: task, Worker: worker, Epoch: body.Epoch, Reference: body.Reference}}
	}
	r, err := h.propose(c, change)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, OutcomeReply{State: r.State})
}
