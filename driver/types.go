package driver

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/platform"
	"magnoliastand.example/workload"
)

var (
	// ErrStopped is returned when the driver has stopped and did not accept the
	// call.
	ErrStopped = errors.New("driver: stopped")
	// ErrOutcomeUnknown is returned when a change may or may not be committed.
	ErrOutcomeUnknown = errors.New("driver: outcome unknown")
	// ErrBusy is returned when the event queue is full and the call was not
	// accepted.
	ErrBusy = errors.New("driver: too many events wait")
)

// Log commits batches of commands.
type Log interface {
	// Propose appends a batch in the given term only, and returns the error of each
	// command once the batch is applied.
	Propose(ctx context.Context, term uint64, data []byte) ([]error, error)
	// IsLeader reports whether this daemon is certain to be the leader of the
	// given term.
	IsLeader(term uint64) bool
}

// Advisor requests placement tickets from the advice service.
type Advisor interface {
	Advise(ctx context.Context, address string, step workload.TaskRef, workers []string) (platform.Advice, error)
}

// Instances lists instances, moves them between pools and starts their upkeep.
type Instances interface {
	Instances(ctx context.Context, address string) (*platform.InstanceList, error)
	MoveInstance(ctx context.Context, address string, h platform.Holder, instance, pool string) error
	StartUpkeep(ctx context.Context, address string, h platform.Holder, instance string, wave int64) error
}

// Timing holds the time limits of a deployment.
type Timing struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Announce is the interval between announcements of a worker.
	Announce time.Duration
	// KeepFinished is how long the state of a finished job is kept.
	KeepFinished time.Duration
	// Migrate and Maintain are how long an instance is unavailable during a move
	// and during an upkeep.
	Migrate, Maintain time.Duration
	// Pace is the delay until a changed pace takes effect.
	Pace time.Duration
}

// Config holds the settings of a driver.
type Config struct {
	// Name identifies this daemon to the machine service.
	Name string
	// Term is the term this daemon leads. The fencing tokens of all orders begin with it.
	Term uint64
	// Fences is kept over the drivers of a daemon; nil for a driver without predecessors.
	Fences *Fences
	State  *workload.State
	Log    Log
	// Zones lists the availability zones of the deployment; empty if they are not known.
	Zones []string
	// Workers sends orders to workers. Calls may return slightly after their
	// context ends.
	Workers   platform.Workers
	Advisor   Advisor
	Instances Instances
	// AdviceAddress and MachineAddress are empty if the service does not exist.
	AdviceAddress, MachineAddress string
	// InstanceOrdersPerS bounds the orders to the machine service; 0 means no
	// limit.
	InstanceOrdersPerS float64
	// RemoteFactor is the multiple of its run time that a task takes outside the
	// rack of its data.
	RemoteFactor float64
	Timing       Timing
	// ReportTo is the address to which workers send their announcements.
	ReportTo string
	Metrics  *Metrics
	Logger   zerolog.Logger
}
