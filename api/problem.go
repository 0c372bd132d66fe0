package api

import (
	"fmt"
	"net/http"
)

// Run is the execution state of a request as reported to its caller.
type Run string

// Values of Run.
const (
	// RunNot means that no endpoint accepted this attempt or any earlier attempt
	// with the same request id.
	RunNot Run = "not-run"
	// RunDone means that an endpoint ran the request and that its complete response
	// is returned.
	RunDone Run = "ran"
	// RunUnknown means that the request may have run.
	RunUnknown Run = "unknown"
)

// Code is the stable machine-readable code of a problem.
type Code string

// Problem codes of the caller, endpoint and operator interfaces.
const (
	CodeKeyRequired      Code = "key-required"
	CodeKeyInvalid       Code = "key-invalid"
	CodeUnknownQueue     Code = "unknown-queue"
	CodeBodyTooLarge     Code = "body-too-large"
	CodeInvalidField     Code = "invalid-field"
	CodeQueueFull        Code = "queue-full"
	CodeDeadline         Code = "deadline"
	CodeNoEndpoint       Code = "no-endpoint"
	CodeTeamLimit        Code = "team-limit"
	CodeControlStale     Code = "control-stale"
	CodeShuttingDown     Code = "shutting-down"
	CodeOutcomeUnknown   Code = "outcome-unknown"
	CodeEndpointRefused  Code = "endpoint-refused"
	CodeConflict         Code = "conflict"
	CodeInvalidDocument  Code = "invalid-document"
	CodeNotFound         Code = "not-found"
	CodeUnavailable      Code = "unavailable"
	CodeInternal         Code = "internal"
	CodeOperatorRequired Code = "operator-required"
	CodeRequestMismatch  Code = "request-mismatch"
	CodeUnknownZone      Code = "unknown-zone"
)

// ProblemMediaType is the media type of a problem document.
const ProblemMediaType = "application/problem+json"

// Problem is an application/problem+json document (RFC 9457) with extension
// members, among them the stable code, the run state and the request id.
type Problem struct {
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Code      Code   `json:"code"`
	Run       Run    `json:"run,omitempty"`
	RequestID string `json:"request_id,omitempty"`
	// Field is the path of the invalid field, if a single field caused the problem.
	Field string `json:"field,omitempty"`
	// Faults lists all faults of a rejected document.
	Faults []Fault `json:"faults,omitempty"`
	// RetryAfterMS, if positive, is also sent in whole seconds as the Retry-After
	// header.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s", p.Code, p.Detail)
}

// NewProblem returns a problem whose title is the standard text of the HTTP
// status.
func NewProblem(status int, code Code, run Run, detail string) *Problem {
	return &Problem{
		Title:  http.StatusText(status),
		Status: status,
		Code:   code,
		Run:    run,
		Detail: detail,
	}
}

// Fault is a validation error in a document, an announcement or settings.
type Fault struct {
	// Path locates the field, for example "teams[2].share".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns the path and the message, or only the message if the fault
// concerns the whole document.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}
