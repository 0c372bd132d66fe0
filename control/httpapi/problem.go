package httpapi

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
)

// fieldProblem reports an invalid header, query parameter or body field.
func fieldProblem(field, format string, args ...any) *api.Problem {
	p := api.NewProblem(http.StatusBadRequest, api.CodeInvalidField, api.RunNot, fmt.Sprintf(format, args...))
	p.Field = field
	return p
}

// documentProblem reports the faults of an invalid document.
func documentProblem(faults []api.Fault) *api.Problem {
	detail := fmt.Sprintf("the document has %d faults", len(faults))
	if len(faults) == 1 {
		detail = faults[0].String()
	}
	p := api.NewProblem(http.StatusUnprocessableEntity, api.CodeInvalidDocument, api.RunNot, detail)
	p.Faults = faults
	return p
}

// unavailableProblem reports that the request cannot be served at present, because
// the control quorum does not answer or the operation table is full, and that it may
// be retried after retryAfter.
func unavailableProblem(run api.Run, detail string) *api.Problem {
	p := api.NewProblem(http.StatusServiceUnavailable, api.CodeUnavailable, run, detail)
	p.RetryAfterMS = retryAfter.Milliseconds()
	return p
}

// proposeProblem converts an error of Service.Propose to a problem. Unless the error
// wraps ErrNotProposed, the outcome of the command is unknown.
func proposeProblem(err error) *api.Problem {
	if errors.Is(err, ErrNotProposed) {
		return unavailableProblem(api.RunNot, err.Error())
	}
	return unavailableProblem(api.RunUnknown, "the outcome is unknown; repeat the call with the same operation id: "+err.Error())
}

// refusalProblem converts a refusal of the control state to a problem.
func refusalProblem(r *control.Refusal) *api.Problem {
	status, code := http.StatusConflict, api.CodeConflict
	switch r.Code {
	case control.RefusedDocument:
		return documentProblem(r.Faults)
	case control.RefusedOperationsFull:
		return unavailableProblem(api.RunNot, r.Detail)
	case control.RefusedUnknownTeam, control.RefusedNotFound:
		status, code = http.StatusNotFound, api.CodeNotFound
	case control.RefusedUnknownZone:
		status, code = http.StatusNotFound, api.CodeUnknownZone
	case control.RefusedMalformed, control.RefusedFleet:
		status, code = http.StatusBadRequest, api.CodeInvalidField
	}
	return api.NewProblem(status, code, api.RunNot, r.Detail)
}
