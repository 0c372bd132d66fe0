package node

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/consensus/bootstrap"
	"magnoliastand.example/consensus/storage"
)

// FormConfig holds the settings of a Former.
type FormConfig struct {
	// Machine holds the settings of the bootstrap; its Self.ID is filled in.
	Machine bootstrap.Config
	Storage storage.Storage
	// Send sends a message to a node by name. It must not block and may drop
	// the message.
	Send func(to string, m bootstrap.Message)
	// Clock defaults to SystemClock.
	Clock Clock
	// TickPeriod is the duration of one tick; zero is the default.
	TickPeriod time.Duration
}

// Former binds an empty disk to a cluster, and goes on to answer other nodes
// that look for one. Its methods are safe for concurrent use.
type Former struct {
	cfg     FormConfig
	machine *bootstrap.Machine
	inbox   chan bootstrap.Message
	bound   chan struct{}
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	err     error

	mu      sync.Mutex
	problem string
}

// StartFormer starts a Former. Once Bound is closed, the Former doesn't use the
// storage any more, and Start can take it over. Errors wrap ErrBadConfig or
// bootstrap.ErrBadConfig.
func StartFormer(cfg FormConfig) (*Former, error) {
	if cfg.Storage == nil || cfg.Send == nil {
		return nil, errors.Wrap(ErrBadConfig, "no storage or sender")
	}
	if cfg.Clock == nil {
		cfg.Clock = SystemClock{}
	}
	if cfg.TickPeriod == 0 {
		cfg.TickPeriod = DefaultTickPeriod
	}
	cfg.Machine.Self.ID = cfg.Storage.Node()
	m, err := bootstrap.New(cfg.Machine, cfg.Storage.Binding())
	if err != nil {
		return nil, err
	}
	f := &Former{
		cfg: cfg, machine: m,
		inbox: make(chan bootstrap.Message, DefaultInbox),
		bound: make(chan struct{}),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	if m.Done() {
		close(f.bound)
	}
	go f.run()
	return f, nil
}

// Bound is closed when the disk is durably bound to an existing cluster.
func (f *Former) Bound() <-chan struct{} { return f.bound }

// Done is closed when the Former has ended, by Stop or by a failure.
func (f *Former) Done() <-chan struct{} { return f.done }

// Err returns why the Former failed, or nil. It is valid once Done is closed.
func (f *Former) Err() error {
	select {
	case <-f.done:
		return f.err
	default:
		return nil
	}
}

// Problem returns the last refusal that stands in the way, for operators.
func (f *Former) Problem() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.problem
}

// Stop stops the Former and waits for its loop to end.
func (f *Former) Stop() {
	f.once.Do(func() { close(f.stop) })
	<-f.done
}

// Step hands in a message from another node. It waits while the inbox is full.
// Errors wrap ErrStopped or the error of ctx.
func (f *Former) Step(ctx context.Context, m bootstrap.Message) error {
	select {
	case f.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-f.done:
		return ErrStopped
	}
}

func (f *Former) run() {
	ticks, stopTicks := f.cfg.Clock.NewTicker(f.cfg.TickPeriod)
	defer close(f.done)
	defer stopTicks()
	for {
		if f.machine.Done() {
			stopTicks()
			ticks = nil
		}
		select {
		case <-f.stop:
			return
		case <-ticks:
			f.machine.Tick()
		case m := <-f.inbox:
			f.machine.Step(m)
		}
		if err := f.carryOut(); err != nil {
			f.err = err
			return
		}
	}
}

// carryOut persists the binding, then sends.
func (f *Former) carryOut() error {
	rd := f.machine.Ready()
	if rd.Binding != nil {
		if err := f.cfg.Storage.SaveBinding(*rd.Binding); err != nil {
			return errors.Wrap(ErrStorage, err.Error())
		}
		if rd.Binding.Bound() {
			close(f.bound)
		}
	}
	f.mu.Lock()
	f.problem = f.machine.Problem()
	f.mu.Unlock()
	for _, m := range rd.Messages {
		f.cfg.Send(m.To, m)
	}
	return nil
}
