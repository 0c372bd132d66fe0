package httpapi

import (
	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
	"magnoliastand.example/placement"
)

// CommandName is the name of a command to a worker.
type CommandName string

// Commands to workers.
const (
	CommandStart      CommandName = "start"
	CommandRenew      CommandName = "renew"
	CommandThrottle   CommandName = "throttle"
	CommandCheckpoint CommandName = "checkpoint"
	CommandStop       CommandName = "stop"
	// CommandWithdraw withdraws a start that the worker may not have received. A worker
	// that has not started the task answers with the outcome not-started and does not
	// start it; otherwise the task continues.
	CommandWithdraw CommandName = "withdraw"
)

// Command is an instruction to a worker about one task. Commands are repeated
// until a heartbeat shows that they were executed.
type Command struct {
	Command CommandName `json:"command"`
	Task    string      `json:"task"`
	// Epoch identifies the assignment of the task.
	Epoch uint64 `json:"epoch"`
	// Start is set in start commands.
	Start *Start `json:"start,omitempty"`
}

// Start describes a task to start.
type Start struct {
	Team       string       `json:"team,omitempty"`
	Queue      string       `json:"queue,omitempty"`
	Size       jobs.Size    `json:"size"`
	RunTime    api.Duration `json:"run_time"`
	Idempotent bool         `json:"idempotent"`
	Payload    []byte       `json:"payload,omitempty"`
	// Checkpoint is the reference of the last checkpoint, or empty.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// Commands returns the commands for a worker that reported the tasks.
func Commands(view *jobs.View, worker string, tasks []Task) []Command {
	reports := make(map[string]*Task, len(tasks))
	for n := range tasks {
		reports[tasks[n].ID] = &tasks[n]
	}
	out := []Command{}
	w := view.Worker(worker)
	evacuated := w != nil && view.InEvacuatedZone(w)
	for _, j := range view.TasksOf(worker) {
		r := reports[j.ID]
		if r != nil && r.Epoch != j.Epoch {
			// The worker must end the task of the earlier assignment first.
			continue
		}
		delete(reports, j.ID)
		name := commandFor(j, r)
		if name == CommandStart && evacuated {
			name = CommandWithdraw
		}
		if name != "" {
			out = append(out, commandOf(name, j))
		}
	}
	for n := range tasks {
		t := &tasks[n]
		if reports[t.ID] != nil && t.State == TaskRunning {
			out = append(out, Command{Command: CommandStop, Task: t.ID, Epoch: t.Epoch})
		}
	}
	return out
}

// commandFor returns the command for a job that is assigned to the worker, or ""
// if none is needed. r is the worker's report of the task, or nil.
func commandFor(j *jobs.Job, r *Task) CommandName {
	switch {
	case r != nil && r.State != TaskRunning:
		return ""
	case j.State == jobs.Stopping:
		return CommandStop
	case r == nil && j.State == jobs.Assigned:
		return CommandStart
	case r == nil:
		return ""
	case j.Stage == placement.Checkpoint && r.Stage == "":
		return CommandCheckpoint
	case j.Stage == placement.Throttle && r.Stage != CommandThrottle:
		return CommandThrottle
	}
	return CommandRenew
}

func commandOf(name CommandName, j *jobs.Job) Command {
	c := Command{Command: name, Task: j.ID, Epoch: j.Epoch}
	if name == CommandStart {
		c.Start = &Start{
			Team: j.Team, Queue: j.Spec.Queue, Size: j.Spec.Size, RunTime: durationOf(j.Spec.RunTime),
			Idempotent: j.Spec.Idempotent, Payload: j.Spec.Payload, Checkpoint: j.Checkpoint,
		}
	}
	return c
}
