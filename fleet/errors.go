package fleet

import "fmt"

// Code is the stable, machine-readable reason why a command was refused.
type Code string

// Codes of refused commands.
const (
	CodeInvalid      Code = "invalid-command"
	CodeNotFound     Code = "not-found"
	CodeWrongState   Code = "wrong-state"
	CodeWrongPool    Code = "wrong-pool"
	CodeRevision     Code = "stale-revision"
	CodeBudget       Code = "budget"
	CodePoolBounds   Code = "pool-bounds"
	CodePinned       Code = "pinned"
	CodeWaveState    Code = "wave-state"
	CodeWaveLimit    Code = "wave-limit"
	CodeStaleConfig  Code = "stale-config"
	CodePoolInUse    Code = "pool-in-use"
	CodeWrongPurpose Code = "wrong-purpose"
	CodeSameBoot     Code = "same-boot"
)

// Refusal is the error of a command that was not applied. A refused command
// leaves the state unchanged.
type Refusal struct {
	Code   Code
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Detail }

func refuse(code Code, format string, args ...any) error {
	return &Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}
}
