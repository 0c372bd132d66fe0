package origin

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
)

// Retry-After values of problems.
const (
	retryAfterFull     = 1 * time.Second
	retryAfterStale    = 1 * time.Second
	retryAfterShutdown = 100 * time.Millisecond
)

func shuttingDown() *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeShuttingDown, api.RunNot,
		"this daemon is shutting down; send the request to another one")
	p.RetryAfterMS = retryAfterShutdown.Milliseconds()
	return p
}

func originFull(what string) *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeQueueFull, api.RunNot,
		"this daemon holds as many "+what+" as it may")
	p.RetryAfterMS = retryAfterFull.Milliseconds()
	return p
}

func controlStale() *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeControlStale, api.RunNot,
		"this daemon is cut off from the control quorum and cannot vouch for team keys")
	p.RetryAfterMS = retryAfterStale.Milliseconds()
	return p
}

func unknownQueue(name string) *api.Problem {
	return api.NewProblem(http.StatusNotFound, api.CodeUnknownQueue, api.RunNot,
		fmt.Sprintf("there is no queue %q", name))
}

func bodyTooLarge(limit int64) *api.Problem {
	return api.NewProblem(http.StatusRequestEntityTooLarge, api.CodeBodyTooLarge, api.RunNot,
		fmt.Sprintf("the queue accepts bodies of up to %d bytes", limit))
}

func invalidField(field, detail string) *api.Problem {
	p := api.NewProblem(http.StatusBadRequest, api.CodeInvalidField, api.RunNot, detail)
	p.Field = field
	return p
}

func queueChanged() *api.Problem {
	return api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, api.RunNot,
		"the queue is no longer idempotent; send the request again")
}

func keyInvalid(detail string) *api.Problem {
	return api.NewProblem(http.StatusUnauthorized, api.CodeKeyInvalid, api.RunNot, detail)
}

func outcomeUnknown(detail string) *api.Problem {
	return api.NewProblem(http.StatusBadGateway, api.CodeOutcomeUnknown, api.RunUnknown, detail)
}

func deadlinePassed(detail string) *api.Problem {
	return api.NewProblem(http.StatusGatewayTimeout, api.CodeDeadline, api.RunNot, detail)
}

func endpointRefused(detail string) *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeEndpointRefused, api.RunNot, detail)
	p.RetryAfterMS = retryAfterFull.Milliseconds()
	return p
}

// fromRefusal converts an arbiter's refusal into a problem.
func fromRefusal(r *dispatch.Refusal) *api.Problem {
	p := api.NewProblem(refusalStatus(r.Code), r.Code, api.RunNot, r.Detail)
	p.RetryAfterMS = r.RetryAfter.Milliseconds()
	return p
}

func refusalStatus(code api.Code) int {
	switch code {
	case api.CodeQueueFull, api.CodeTeamLimit:
		return http.StatusTooManyRequests
	case api.CodeDeadline:
		return http.StatusGatewayTimeout
	case api.CodeUnknownQueue:
		return http.StatusNotFound
	case api.CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// authorize checks a request against the configuration in force.
func (o *Origin) authorize(q QueueInfo, key string) (team string, p *api.Problem) {
	if q.Queue.Open {
		return "", nil
	}
	if key == "" {
		return "", api.NewProblem(http.StatusUnauthorized, api.CodeKeyRequired, api.RunNot,
			"the queue requires a team key: Authorization: Bearer <key>")
	}
	if !o.cfg.Control.Fresh() {
		return "", controlStale()
	}
	team, err := o.cfg.Control.Authorize(key)
	switch {
	case err == nil:
		return team, nil
	case errors.Is(err, ErrKeyInvalid):
		return "", keyInvalid("the team key is not valid")
	default:
		return "", api.NewProblem(http.StatusInternalServerError, api.CodeInternal, api.RunNot,
			"the team key could not be checked")
	}
}
