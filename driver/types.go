package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

// Errors of a driver.
var (
	// ErrStopped tells that the driver took nothing on, because it has stopped.
	ErrStopped = errors.New("driver: stopped")
	// ErrOutcomeUnknown tells that a change may or may not be committed.
	ErrOutcomeUnknown = errors.New("driver: outcome unknown")
	// ErrBusy tells that the queue of events is full and nothing was taken on.
	ErrBusy = errors.New("driver: too many events wait")
)

// Log commits batches.
type Log interface {
	// Propose returns the error of each command once the batch is applied.
	Propose(ctx context.Context, data []byte) ([]error, error)
	// Leads reports whether this daemon surely leads the term of the driver.
	Leads(term uint64) bool
}

// Advisor asks the advice service.
type Advisor interface {
	Advise(ctx context.Context, address string, step workload.TaskRef, workers []string) (map[string]string, error)
}

// Instances lists and moves instances.
type Instances interface {
	Instances(ctx context.Context, address string) ([]platform.Instance, error)
	MoveInstance(ctx context.Context, address string, h platform.Holder, instance, pool string) error
	StartUpkeep(ctx context.Context, address string, h platform.Holder, instance string, wave int64) error
}

// Timing holds the bounds of a deployment.
type Timing struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Announce is the time between two announcements of a worker.
	Announce time.Duration
	// KeepFinished is how long the state of a finished job is kept.
	KeepFinished time.Duration
	// Migrate and Maintain are how long an instance is away for a move and for an upkeep.
	Migrate, Maintain time.Duration
	// Pace is the time until a changed pace takes effect.
	Pace time.Duration
}

// Config holds the settings of a driver.
type Config struct {
	// Name is the holder's name towards the machine service.
	Name string
	// Term is the term that this daemon leads; it fences all orders.
	Term  uint64
	State *workload.State
	Log   Log
	// Workers carries orders to workers; its calls may end somewhat after their contexts.
	Workers   platform.Workers
	Advisor   Advisor
	Instances Instances
	// AdviceAddress and MachineAddress may be empty where there is no such service.
	AdviceAddress, MachineAddress string
	Timing                        Timing
	// ReportTo is where workers should announce themselves.
	ReportTo string
	Metrics  *Metrics
	Logger   zerolog.Logger
}
