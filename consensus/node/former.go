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
	// Machine configures the bootstrap protocol. StartFormer sets its Self.ID.
	Machine bootstrap.Config
	Storage storage.Storage
	// Send sends a message to the named node. It must not block and may drop
	// the message.
	Send func(to string, m bootstrap.Message)
	// Clock defaults to SystemClock.
	Clock Clock
	// TickPeriod is the duration of one tick; zero selects DefaultTickPeriod.
	TickPeriod time.Duration
}

// Former binds an empty disk to a cluster, and afterwards keeps answering the
// bootstrap messages of other nodes. Its methods are safe for concurrent use.
type Former struct {
	cfg      FormConfig
	machine  *bootstrap.Machine
	inbox    chan bootstrap.Message
	bound    chan struct{}
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
	err      error

	mu          sync.Mutex
	lastRefusal string
}

// StartFormer starts a Former. Once Bound is closed, the Former no longer uses
// the storage, and the storage can be passed to Start. Errors wrap ErrBadConfig
// or bootstrap.ErrBadConfig.
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
		inbox: make(chan bootstrap.Message, DefaultInboxSize),
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

// Done is closed when the Former has terminated after Stop or a failure.
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

// Problem returns the last refusal that prevents the disk from being bound, as
// a text for operators.
func (f *Former) Problem() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRefusal
}

// Stop stops the Former and waits for its loop to end.
func (f *Former) Stop() {
	f.stopOnce.Do(func() { close(f.stop) })
	<-f.done
}

// Step delivers a message from another node. It blocks while the inbox is full.
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
		if err := f.handleReady(); err != nil {
			f.err = err
			return
		}
	}
}

// handleReady persists a changed binding before it sends any messages.
func (f *Former) handleReady() error {
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
	f.lastRefusal = f.machine.Problem()
	f.mu.Unlock()
	for _, m := range rd.Messages {
		f.cfg.Send(m.To, m)
	}
	return nil
}
