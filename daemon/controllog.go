package daemon

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/api"
	"magnoliastand.example/consensus"
	"magnoliastand.example/control"
	"magnoliastand.example/fleet"
	"magnoliastand.example/invariant"
	"magnoliastand.example/quota"
)

// fleetDelegate runs the fleet state inside the control state.
type fleetDelegate struct {
	state *fleet.State
}

// Apply implements control.Delegate.
func (d *fleetDelegate) Apply(cmd []byte) ([]byte, error) { return d.state.ApplyBytes(cmd) }

// Snapshot implements control.Delegate.
func (d *fleetDelegate) Snapshot() ([]byte, error) { return d.state.Snapshot() }

// Restore implements control.Delegate.
func (d *fleetDelegate) Restore(b []byte) error { return d.state.Restore(b) }

// CheckDocument implements control.DocumentChecker.
func (d *fleetDelegate) CheckDocument(doc *api.Document) []api.Fault {
	cfg := fleet.ConfigOf(doc)
	return d.state.CheckConfig(&cfg)
}

// DocumentApplied implements control.DocumentObserver.
func (d *fleetDelegate) DocumentApplied(doc *api.Document) {
	cmd := fleet.Command{
		Actor:     fleet.Actor{Role: fleet.RoleOperator, Name: "document"},
		SetConfig: &fleet.SetConfig{Version: d.state.Version() + 1, Config: fleet.ConfigOf(doc)},
	}
	_, err := d.state.Apply(cmd)
	invariant.Check(err == nil, invariant.ConfigNeverReverts, "a checked document was refused by the fleet state: %v", err)
}

// controlLog is the control state as a state machine of the replicated log. It
// is shared by the log's loop and by readers.
type controlLog struct {
	cluster string
	holder  *control.Holder
	log     zerolog.Logger

	mu    sync.Mutex
	fleet *fleet.State
	state *control.State
	// current is set once a read of the log has shown that the applied state is
	// not older than what this daemon showed before it started.
	current bool
}

func newControlLog(cluster string, holder *control.Holder, log zerolog.Logger) *controlLog {
	l := &controlLog{cluster: cluster, holder: holder, log: log}
	l.reset()
	return l
}

// reset installs the empty state. The lock is held, or not yet shared.
func (l *controlLog) reset() {
	l.fleet = fleet.New()
	l.state = control.New(l.cluster, control.Options{Fleet: &fleetDelegate{state: l.fleet}})
}

// Apply implements node.StateMachine.
func (l *controlLog) Apply(e consensus.Entry) control.Result {
	cmd, err := control.DecodeCommand(e.Data)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		cmd = &control.Command{}
	}
	r := l.state.Apply(e.Index, cmd)
	if err != nil {
		l.log.Error().Err(err).Uint64("index", e.Index).Msg("log entry not decoded")
	}
	l.offer()
	return r
}

// offer puts the state's view in force on this daemon, unless the state may
// still be older than what was shown before. The lock is held.
func (l *controlLog) offer() {
	if !l.current {
		return
	}
	if _, err := l.holder.OfferView(l.state.View()); err != nil {
		l.log.Error().Err(err).Msg("view not taken")
	}
}

// Snapshot implements node.StateMachine.
func (l *controlLog) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Snapshot()
}

// Restore implements node.StateMachine.
func (l *controlLog) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
	if len(data) == 0 {
		return nil
	}
	return errors.Wrap(l.state.Restore(data), "control log")
}

// show puts the applied state in force, after a read of the log.
func (l *controlLog) show() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = true
	l.offer()
}

// delta returns what changed since a version.
func (l *controlLog) delta(from uint64) *control.Delta {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Delta(from)
}

// version returns the version of the configuration applied.
func (l *controlLog) version() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Version()
}

func (l *controlLog) history() []control.HistoryEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.History()
}

// position returns the cluster time and index applied.
func (l *controlLog) position() (time.Duration, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Now(), l.state.Index()
}

// withLedger calls f with the ledger and the index that it shows.
func (l *controlLog) withLedger(f func(ledger *quota.Ledger, index uint64)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.state.Ledger(), l.state.Index())
}

// fleetView returns a snapshot of the fleet.
func (l *controlLog) fleetView() fleet.View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.View()
}
