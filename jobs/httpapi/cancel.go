package httpapi

import (
	"net/http"

	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/jobs"
)

// cancelReason is recorded in the history of a job cancelled by its submitter.
const cancelReason = "cancelled by the submitter"

// Cancellation is the body of POST /v1/jobs/cancel.
type Cancellation struct {
	// Jobs lists operation ids, at most 1,000.
	Jobs []string `json:"jobs"`
}

// CancelledJob is the state of a job after its cancellation.
type CancelledJob struct {
	ID string `json:"id"`
	// State is empty if the job does not exist.
	State jobs.JobState `json:"state,omitempty"`
}

// CancellationReply is the response to a cancellation, in the order of its jobs.
type CancellationReply struct {
	Jobs []CancelledJob `json:"jobs"`
}

func (h *handlers) cancel(c *echo.Context) error {
	team, err := h.authorize(c, "")
	if err != nil {
		return err
	}
	id := jobs.JobID(team, c.Param("job"))
	if _, err := h.propose(c, jobs.Change{Cancel: &jobs.Cancel{ID: id, Reason: cancelReason}}); err != nil {
		return err
	}
	return h.respondWithJob(c, http.StatusOK, id)
}

// cancelMany cancels several jobs of a team in one log entry. It is idempotent;
// unknown jobs do not prevent the cancellation of the others.
func (h *handlers) cancelMany(c *echo.Context) error {
	var body Cancellation
	if err := decodeBody(c, maxCancelBytes, &body); err != nil {
		return err
	}
	if n := len(body.Jobs); n < 1 || n > maxCancelled {
		return fieldProblem("jobs", "1 to %d ids are required", maxCancelled)
	}
	team, err := h.authorize(c, "")
	if err != nil {
		return err
	}
	changes := make([]jobs.Change, 0, len(body.Jobs))
	for _, id := range body.Jobs {
		changes = append(changes, jobs.Change{Cancel: &jobs.Cancel{ID: jobs.JobID(team, id), Reason: cancelReason}})
	}
	r, err := h.service.Propose(c.Request().Context(), changes...)
	if err != nil {
		return proposalProblem(err)
	}
	if len(r.Changes) != len(changes) {
		return errors.Errorf("%d changes had %d results", len(changes), len(r.Changes))
	}
	reply := CancellationReply{Jobs: make([]CancelledJob, 0, len(changes))}
	for n := range r.Changes {
		reply.Jobs = append(reply.Jobs, CancelledJob{ID: body.Jobs[n], State: r.Changes[n].State})
	}
	return c.JSON(http.StatusOK, reply)
}

// proposalProblem returns the problem for a failed proposal. Its run status says
// whether the changes may still take effect.
func proposalProblem(err error) *api.Problem {
	run := api.RunUnknown
	if errors.Is(err, ErrNotProposed) {
		run = api.RunNot
	}
	return unavailable(run, err)
}
