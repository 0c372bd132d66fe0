package httpapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
)

// maxOperationLen bounds the submitter's id of a job, in bytes.
const maxOperationLen = 63

func durationOf(m jobs.Millis) api.Duration { return api.Duration(time.Duration(m) * time.Millisecond) }

// Submission is the body of POST /v1/jobs.
type Submission struct {
	Queue      string       `json:"queue"`
	Pool       string       `json:"pool"`
	Size       jobs.Size    `json:"size"`
	RunTime    api.Duration `json:"run_time"`
	Idempotent bool         `json:"idempotent,omitempty"`
	Urgent     bool         `json:"urgent,omitempty"`
	// Payload is an opaque reference for the worker.
	Payload []byte `json:"payload,omitempty"`
}

// Job is the representation of a job for its submitter.
type Job struct {
	// ID is the operation id of the submission.
	ID         string        `json:"id"`
	Team       string        `json:"team,omitempty"`
	Queue      string        `json:"queue"`
	Pool       string        `json:"pool"`
	Size       jobs.Size     `json:"size"`
	RunTime    api.Duration  `json:"run_time"`
	Idempotent bool          `json:"idempotent"`
	Urgent     bool          `json:"urgent"`
	State      jobs.JobState `json:"state"`
	// Run is the run status of the job: not-run, ran or unknown.
	Run    api.Run `json:"run"`
	Reason string  `json:"reason,omitempty"`
	Worker string  `json:"worker,omitempty"`
	// SubmittedMS and SinceMS are times of the control clock.
	SubmittedMS jobs.Millis `json:"submitted_ms"`
	SinceMS     jobs.Millis `json:"since_ms"`
	Used        jobs.Size   `json:"used"`
	FailedOn    []string    `json:"failed_on,omitempty"`
	// Crashes lists the workers whose process ended while the job was on them.
	Crashes []jobs.Crash  `json:"crashes,omitempty"`
	Result  []byte        `json:"result,omitempty"`
	History []jobs.Record `json:"history,omitempty"`
}

// JobList is the response to GET /v1/jobs.
type JobList struct {
	Jobs []Job `json:"jobs"`
	// Next is the "after" parameter of the next page; empty on the last one.
	Next string `json:"next,omitempty"`
}

func jobOf(j *jobs.Job) Job {
	return Job{
		ID: operationOf(j), Team: j.Team, Queue: j.Spec.Queue, Pool: j.Spec.Pool, Size: j.Spec.Size,
		RunTime: durationOf(j.Spec.RunTime), Idempotent: j.Spec.Idempotent, Urgent: j.Spec.Urgent,
		State: j.State, Run: runOf(j), Reason: j.Reason(), Worker: j.Worker,
		SubmittedMS: j.Submitted, SinceMS: j.Since, Used: j.Used, FailedOn: j.FailedOn, Crashes: j.Crashes,
		Result: j.Result, History: j.History,
	}
}

func operationOf(j *jobs.Job) string { return strings.TrimPrefix(j.ID, jobs.JobID(j.Team, "")) }

// runOf returns the run status of the job.
func runOf(j *jobs.Job) api.Run {
	switch {
	case !j.MayHaveRun:
		return api.RunNot
	case j.State == jobs.Succeeded, j.State == jobs.Failed:
		return api.RunDone
	}
	return api.RunUnknown
}

// validOperation reports whether id is a valid operation id.
func validOperation(id string) bool {
	if id == "" || len(id) > maxOperationLen {
		return false
	}
	return !strings.ContainsFunc(id, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && r != '.' && r != '_' && r != '-'
	})
}

func (h *handlers) submit(c *echo.Context) error {
	op := c.Request().Header.Get(HeaderOperationID)
	if !validOperation(op) {
		return fieldProblem(HeaderOperationID, "an operation id of 1 to %d letters, digits and ._- is required", maxOperationLen)
	}
	var body Submission
	if err := decodeBody(c, maxBodyBytes, &body); err != nil {
		return err
	}
	team, err := h.authorize(c, body.Queue)
	if err != nil {
		return err
	}
	id := jobs.JobID(team, op)
	_, err = h.propose(c, jobs.Change{Submit: &jobs.Submit{ID: id, Team: team, Spec: jobs.Spec{
		Queue: body.Queue, Pool: body.Pool, Size: body.Size,
		RunTime:    jobs.Millis(body.RunTime.Std().Milliseconds()),
		Idempotent: body.Idempotent, Urgent: body.Urgent, Payload: body.Payload,
	}}})
	if err != nil {
		return err
	}
	return h.respondWithJob(c, http.StatusAccepted, id)
}

// respondWithJob writes the job with the id as the response.
func (h *handlers) respondWithJob(c *echo.Context, status int, id string) error {
	view, err := h.read(c)
	if err != nil {
		return err
	}
	j := view.Job(id)
	if j == nil {
		return api.NewProblem(http.StatusNotFound, api.CodeNotFound, "", "there is no such job, or it finished long ago")
	}
	return c.JSON(status, jobOf(j))
}

func (h *handlers) get(c *echo.Context) error {
	team, err := h.authorize(c, "")
	if err != nil {
		return err
	}
	return h.respondWithJob(c, http.StatusOK, jobs.JobID(team, c.Param("job")))
}

// list returns a page of the team's jobs in order of id, without histories.
func (h *handlers) list(c *echo.Context) error {
	team, err := h.authorize(c, "")
	if err != nil {
		return err
	}
	limit := maxListed
	if text := c.QueryParam("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxListed {
			return fieldProblem("limit", "1 to %d is required", maxListed)
		}
	}
	view, err := h.read(c)
	if err != nil {
		return err
	}
	state := jobs.JobState(c.QueryParam("state"))
	found := view.JobsOf(team, state, c.QueryParam("after"), limit+1)
	list := JobList{Jobs: []Job{}}
	for n, j := range found {
		if n == limit {
			list.Next = operationOf(found[n-1])
			break
		}
		item := jobOf(j)
		item.History = nil
		list.Jobs = append(list.Jobs, item)
	}
	return c.JSON(http.StatusOK, list)
}
