package worker

import (
	"maps"
	"slices"
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
	"magnoliastand.example/jobs/httpapi"
)

// Behaviour tells how a worker and its tasks depart from what is declared.
type Behaviour struct {
	// FailAll makes every task fail.
	FailAll bool
	// CrashQueue names a queue whose tasks end the worker's process when they are due.
	CrashQueue string
	// CrashTime is how long the process is away then.
	CrashTime time.Duration
	// SizeFactor is the actual size divided by the declared one; 0 means 1.
	SizeFactor float64
	// RunFactor is the actual run time divided by the declared one; 0 means 1.
	RunFactor float64
	// ReportLag is how much later than its start the use of a task is reported.
	ReportLag time.Duration
}

// Stats counts what a worker did.
type Stats struct {
	// Starts counts the starts of each task id.
	Starts map[string]int
	// Running is the number of tasks running now.
	Running int
	// Checkpoints, Throttles and Stops count the commands carried out.
	Checkpoints int
	Throttles   int
	Stops       int
	// Lapses counts how often the lease ended while tasks ran.
	Lapses int
	// Crashes counts how often the process ended.
	Crashes int
}

// task is a task that the worker holds.
type task struct {
	epoch   uint64
	start   httpapi.Start
	began   time.Duration
	ends    time.Duration
	state   httpapi.TaskState
	stage   httpapi.CommandName
	outcome httpapi.TaskOutcome
}

// core is the state of a worker. It reads no clock: now is the time of the
// worker's monotonic clock. It is not safe for concurrent use.
type core struct {
	behaviour  Behaviour
	seq        uint64
	until      time.Duration
	leaseEpoch uint64
	tasks      map[string]*task
	stats      Stats
	// down is until when the process that crashed is away.
	down time.Duration
}

func newCore(b Behaviour) *core {
	return &core{behaviour: b, tasks: map[string]*task{}, stats: Stats{Starts: map[string]int{}}}
}

func factor(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}

// used returns the actual use of the task.
func (c *core) used(t *task) jobs.Size {
	f := factor(c.behaviour.SizeFactor)
	s := t.start.Size
	s.Processors = int(float64(s.Processors) * f)
	s.MemoryMB = int(float64(s.MemoryMB) * f)
	return s
}

// heartbeat fills in the next heartbeat.
func (c *core) heartbeat(now time.Duration, hb *httpapi.Heartbeat) {
	c.tick(now)
	c.seq++
	hb.Seq = c.seq
	hb.Tasks = []httpapi.Task{}
	for _, id := range slices.Sorted(maps.Keys(c.tasks)) {
		t := c.tasks[id]
		report := httpapi.Task{ID: id, Epoch: t.epoch, State: t.state, Stage: t.stage}
		if t.outcome.Outcome == string(jobs.OutcomeNotStarted) {
			report.State = httpapi.TaskNotStarted
		}
		if now-t.began >= c.behaviour.ReportLag {
			report.Used = c.used(t)
		}
		hb.Tasks = append(hb.Tasks, report)
	}
}

// reply takes in the answer to the heartbeat that was sent at the time. It
// returns the ids of tasks that made a checkpoint.
func (c *core) reply(sent, now time.Duration, r *httpapi.HeartbeatReply) []string {
	c.tick(now)
	if now < c.down {
		return nil
	}
	if r.LeaseEpoch != c.leaseEpoch {
		c.endAll("the lease was lost")
		c.leaseEpoch = r.LeaseEpoch
	}
	c.until = sent + r.Lease.Std()
	var checkpoints []string
	for n := range r.Commands {
		if c.obey(now, &r.Commands[n]) {
			checkpoints = append(checkpoints, r.Commands[n].Task)
		}
	}
	return checkpoints
}

// obey carries out one command and returns whether it made a checkpoint.
func (c *core) obey(now time.Duration, cmd *httpapi.Command) bool {
	t := c.tasks[cmd.Task]
	if t == nil {
		c.obeyNew(now, cmd)
		return false
	}
	if t.epoch != cmd.Epoch || t.state != httpapi.TaskRunning {
		return false
	}
	switch cmd.Command {
	case httpapi.CommandStop:
		c.stats.Stops++
		t.end(jobs.OutcomeStopped, "stopped on command")
	case httpapi.CommandThrottle:
		c.stats.Throttles++
		t.stage = cmd.Command
	case httpapi.CommandCheckpoint:
		c.stats.Checkpoints++
		t.stage = cmd.Command
		return true
	}
	return false
}

// obeyNew handles a command for a task that the worker does not hold.
func (c *core) obeyNew(now time.Duration, cmd *httpapi.Command) {
	t := &task{epoch: cmd.Epoch}
	switch {
	case cmd.Command == httpapi.CommandStop:
		t.end(jobs.OutcomeNotStarted, "stopped before the start")
	case cmd.Command == httpapi.CommandWithdraw:
		t.end(jobs.OutcomeNotStarted, "start withdrawn")
	case cmd.Command == httpapi.CommandStart && cmd.Start != nil && now < c.until:
		t.start, t.began, t.state = *cmd.Start, now, httpapi.TaskRunning
		t.ends = now + time.Duration(float64(cmd.Start.RunTime.Std())*factor(c.behaviour.RunFactor))
		c.stats.Starts[cmd.Task]++
	default:
		return
	}
	c.tasks[cmd.Task] = t
}

func (t *task) end(kind jobs.OutcomeKind, reason string) {
	t.state = httpapi.TaskEnded
	t.outcome = httpapi.TaskOutcome{Epoch: t.epoch, Outcome: string(kind), Reason: reason}
}

// tick ends the tasks that are due, and all of them once the lease has ended.
func (c *core) tick(now time.Duration) {
	if now >= c.until && c.running() > 0 {
		c.stats.Lapses++
		c.endAll("the lease ended")
	}
	for _, t := range c.tasks {
		if t.state != httpapi.TaskRunning || now < t.ends {
			continue
		}
		if t.start.Queue != "" && t.start.Queue == c.behaviour.CrashQueue {
			c.crash(now)
			return
		}
		t.end(jobs.OutcomeSucceeded, "")
		if c.behaviour.FailAll {
			t.end(jobs.OutcomeFailed, "the worker fails every task")
		}
		t.outcome.Used = c.used(t)
		t.outcome.RunTime = api.Duration(now - t.began)
	}
}

// crash drops everything, as a process that ends.
func (c *core) crash(now time.Duration) {
	c.stats.Crashes++
	c.down = now + c.behaviour.CrashTime
	c.seq, c.until, c.leaseEpoch, c.tasks = 0, 0, 0, map[string]*task{}
}

func (c *core) endAll(reason string) {
	for _, t := range c.tasks {
		if t.state == httpapi.TaskRunning {
			t.end(jobs.OutcomeStopped, reason)
		}
	}
}

func (c *core) running() int {
	n := 0
	for _, t := range c.tasks {
		if t.state == httpapi.TaskRunning {
			n++
		}
	}
	return n
}

// ended returns the tasks whose outcome is to be posted, by id.
func (c *core) ended() map[string]httpapi.TaskOutcome {
	out := map[string]httpapi.TaskOutcome{}
	for id, t := range c.tasks {
		if t.state == httpapi.TaskEnded {
			out[id] = t.outcome
		}
	}
	return out
}

// forget drops a task whose outcome was acknowledged.
func (c *core) forget(id string, epoch uint64) {
	if t := c.tasks[id]; t != nil && t.epoch == epoch {
		delete(c.tasks, id)
	}
}
