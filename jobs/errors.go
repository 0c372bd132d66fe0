package jobs

import "fmt"

// Code is a stable identifier of the reason why a change was refused.
type Code string

// Codes of refused changes.
const (
	CodeInvalid     Code = "invalid-change"
	CodeNotFound    Code = "not-found"
	CodeWrongState  Code = "wrong-state"
	CodeMismatch    Code = "request-mismatch"
	CodeUnknownTeam Code = "unknown-team"
	CodeTeamLimit   Code = "team-limit"
	CodeFull        Code = "too-many-jobs"
	CodeWorker      Code = "worker-not-ready"
	CodeStaleEpoch  Code = "stale-epoch"
	CodeStaleSeq    Code = "stale-heartbeat"
	CodeMayHaveRun  Code = "may-have-run"
	CodeLeaseActive Code = "lease-stands"
	CodeCrashes     Code = "crashed-workers"
)

// Refusal is the error for a change that the state rejected. A rejected change
// leaves the state unmodified.
type Refusal struct {
	Code Code
	// Field names the offending field of an invalid change.
	Field  string
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Detail }

func refuse(code Code, format string, args ...any) error {
	return &Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}
}

func invalid(field, format string, args ...any) error {
	return &Refusal{Code: CodeInvalid, Field: field, Detail: field + ": " + fmt.Sprintf(format, args...)}
}
