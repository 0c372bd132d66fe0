package httpapi

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
)

// TaskState is the state of a task as reported by its worker.
type TaskState string

// States of a task on a worker.
const (
	TaskRunning  TaskState = "running"
	TaskStopping TaskState = "stopping"
	// TaskEnded tasks have an outcome that has not been acknowledged yet.
	TaskEnded TaskState = "ended"
	// TaskNotStarted tasks were stopped or withdrawn before their start, and this
	// outcome has not been acknowledged yet.
	TaskNotStarted TaskState = "not-started"
)

// Task is a task in a heartbeat.
type Task struct {
	ID    string    `json:"task"`
	Epoch uint64    `json:"epoch"`
	Used  jobs.Size `json:"used"`
	State TaskState `json:"state"`
	// Stage is the last preemption command that the worker executed: "checkpoint"
	// or "throttle".
	Stage CommandName `json:"stage,omitempty"`
}

// Heartbeat is the body of PUT /v1/workers/{worker}.
type Heartbeat struct {
	Zone     string    `json:"zone"`
	Rack     string    `json:"rack"`
	Pool     string    `json:"pool"`
	Capacity jobs.Size `json:"capacity"`
	Slots    int       `json:"slots"`
	// Incarnation changes each time the worker process starts.
	Incarnation string `json:"incarnation"`
	// Seq increases with each heartbeat of the incarnation.
	Seq uint64 `json:"seq"`
	// Tasks lists every running task and every ended one whose outcome has not
	// been acknowledged.
	Tasks   []Task `json:"tasks"`
	Leaving bool   `json:"leaving,omitempty"`
	// LeaseEpoch is the lease_epoch of the last reply to this incarnation, 0 before
	// the first. With it, a delayed heartbeat of a process that has ended can't
	// displace its successor.
	LeaseEpoch *uint64 `json:"lease_epoch,omitempty"`
	// Wait is how long the call waits for commands, at most MaxWait. A call that
	// renews the lease or reports a change is answered immediately.
	Wait api.Duration `json:"wait,omitempty"`
}

// HeartbeatReply is the response to a heartbeat.
type HeartbeatReply struct {
	// Lease is how long the worker may run its tasks, measured with its monotonic
	// clock from when it sent the heartbeat. DriftMargin is already deducted.
	Lease api.Duration `json:"lease"`
	// LeaseEpoch identifies the lease. A worker that lost its lease must stop
	// every task before it accepts commands of another epoch. While another
	// incarnation is registered, the first reply has no lease; the next heartbeat
	// confirms the epoch and gets one.
	LeaseEpoch uint64    `json:"lease_epoch"`
	Commands   []Command `json:"commands"`
}

// heartbeat renews the lease of a worker and returns its commands.
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
	if w != nil && w.Candidate != nil && w.Candidate.Incarnation == hb.Incarnation {
		return c.JSON(http.StatusOK, HeartbeatReply{LeaseEpoch: w.Candidate.LeaseEpoch, Commands: []Command{}})
	}
	if w == nil || w.Incarnation != hb.Incarnation {
		return api.NewProblem(http.StatusConflict, api.CodeConflict, api.RunNot, "a later incarnation of the worker is registered")
	}
	reply := HeartbeatReply{
		Lease:      api.Duration(time.Duration(w.Until-view.Now-jobs.DriftMargin) * time.Millisecond),
		LeaseEpoch: w.LeaseEpoch,
	}
	if renewed {
		// Waiting could delay the reply until the previous lease has expired.
		reply.Commands = Commands(view, w.ID, body.Tasks)
		return c.JSON(http.StatusOK, reply)
	}
	reply.Commands = h.waitForCommands(c.Request().Context(), view, w, body.Tasks, body.Wait.Std())
	return c.JSON(http.StatusOK, reply)
}

func (b *Heartbeat) change(worker string) *jobs.Heartbeat {
	hb := &jobs.Heartbeat{
		Worker: worker, Zone: b.Zone, Rack: b.Rack, Pool: b.Pool, Capacity: b.Capacity, Slots: b.Slots,
		Incarnation: b.Incarnation, Seq: b.Seq, Leaving: b.Leaving, LeaseEpoch: b.LeaseEpoch,
	}
	for _, t := range b.Tasks {
		if t.State == TaskNotStarted {
			// The state takes reported tasks for started ones.
			continue
		}
		hb.Tasks = append(hb.Tasks, jobs.TaskReport{ID: t.ID, Epoch: t.Epoch, Used: t.Used.Clamp()})
	}
	return hb
}

// renew returns a view with the current lease of the worker, and whether the
// heartbeat was written to the log. A heartbeat that reports nothing new is
// written only once the lease is LeaseRenewalAge old.
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

// waitForCommands returns the commands for the worker once one other than
// renew or withdraw is due, or the current ones after the wait. A worker that
// does not know withdraw gets it again in every reply.
func (h *handlers) waitForCommands(ctx context.Context, view *jobs.View, w *jobs.Worker, tasks []Task, wait time.Duration) []Command {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		out := Commands(view, w.ID, tasks)
		if slices.ContainsFunc(out, func(c Command) bool {
			return c.Command != CommandRenew && c.Command != CommandWithdraw
		}) {
			return out
		}
		next, changed := h.service.Watch()
		if next.Version() <= view.Version() {
			select {
			case <-ctx.Done():
				return out
			case <-changed:
			}
			if !sleep(ctx, coalesceDelay) {
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

// sleep waits for d and returns false if the context is done first.
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
	// Used is the peak resource usage of the task.
	Used    jobs.Size    `json:"used"`
	RunTime api.Duration `json:"run_time,omitempty"`
	// Reference is opaque: the result, or the checkpoint to resume from.
	Reference []byte `json:"reference,omitempty"`
}

// OutcomeCheckpointed reports a checkpoint of a task that keeps running.
const OutcomeCheckpointed = "checkpointed"

// OutcomeReply acknowledges an outcome with the state of the job, after which the
// worker can drop the task.
type OutcomeReply struct {
	State jobs.JobState `json:"state"`
}

// change returns the outcome with its details within their bounds. A worker drops a
// task once its outcome is answered, so details must not get the outcome refused: the
// job would be started again.
func (b *TaskOutcome) change(worker, task string) *jobs.Outcome {
	o := &jobs.Outcome{
		ID: task, Worker: worker, Epoch: b.Epoch, Kind: jobs.OutcomeKind(b.Outcome), Reason: b.Reason,
		Used: b.Used.Clamp(), Run: max(jobs.Millis(b.RunTime.Std().Milliseconds()), 0), Result: b.Reference,
	}
	if n := len(o.Result); n > jobs.MaxPayload {
		o.Result = nil
		dropped := fmt.Sprintf("result of %d bytes dropped, at most %d are kept; ", n, jobs.MaxPayload)
		o.Reason = strings.TrimSuffix(dropped+o.Reason, "; ")
	}
	return o
}

func (h *handlers) outcome(c *echo.Context) error {
	var body TaskOutcome
	if err := decodeBody(c, maxBodyBytes, &body); err != nil {
		return err
	}
	worker, task := c.Param("worker"), c.Param("task")
	change := jobs.Change{Outcome: body.change(worker, task)}
	if body.Outcome == OutcomeCheckpointed {
		change = jobs.Change{Checkpoint: &jobs.Checkpoint{ID: task, Worker: worker, Epoch: body.Epoch, Reference: body.Reference}}
	}
	r, err := h.propose(c, change)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, OutcomeReply{State: r.State})
}
