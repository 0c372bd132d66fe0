package daemon

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"magnoliastand.example/api"
	"magnoliastand.example/consensus"
	"magnoliastand.example/control"
	"magnoliastand.example/fleet"
	"magnoliastand.example/invariant"
	"magnoliastand.example/jobs"
	"magnoliastand.example/quota"
)

// jobsPrefix marks a delegated command as one of the jobs' state. It can't
// begin a fleet command, which is a CBOR map.
const jobsPrefix = 0

// fleetDelegate runs the states of fleet and jobs inside the control state.
type fleetDelegate struct {
	state *fleet.State
	jobs  *jobs.State
	// jobsChanged is called after each command of the jobs' state.
	jobsChanged func()
}

// delegateImage is the snapshot of both states.
type delegateImage struct {
	Fleet []byte `cbor:"1,keyasint"`
	Jobs  []byte `cbor:"2,keyasint"`
}

// Apply implements control.Delegate.
func (d *fleetDelegate) Apply(cmd []byte) ([]byte, error) {
	if len(cmd) == 0 || cmd[0] != jobsPrefix {
		return d.state.ApplyBytes(cmd)
	}
	defer d.jobsChanged()
	return d.jobs.ApplyBytes(cmd[1:])
}

// Snapshot implements control.Delegate.
func (d *fleetDelegate) Snapshot() ([]byte, error) {
	var img delegateImage
	var err error
	if img.Fleet, err = d.state.Snapshot(); err != nil {
		return nil, errors.Wrap(err, "fleet")
	}
	if img.Jobs, err = d.jobs.Snapshot(); err != nil {
		return nil, errors.Wrap(err, "jobs")
	}
	b, err := cbor.Marshal(img)
	return b, errors.Wrap(err, "encode")
}

// Restore implements control.Delegate.
func (d *fleetDelegate) Restore(b []byte) error {
	var img delegateImage
	if err := cbor.Unmarshal(b, &img); err != nil {
		return errors.Wrap(err, "decode")
	}
	if err := d.state.Restore(img.Fleet); err != nil {
		return errors.Wrap(err, "fleet")
	}
	return errors.Wrap(d.jobs.Restore(img.Jobs), "jobs")
}

// HasZone implements control.ZoneDelegate.
func (d *fleetDelegate) HasZone(zone string) bool {
	return d.state.HasZone(zone) || d.jobs.HasZone(zone)
}

// SetEvacuatedZones implements control.ZoneDelegate.
func (d *fleetDelegate) SetEvacuatedZones(zones []string) {
	d.jobs.SetEvacuatedZones(zones)
	d.jobsChanged()
}

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
	d.setTeams(doc)
}

// setTeams gives the jobs' state the teams with their limits for jobs.
func (d *fleetDelegate) setTeams(doc *api.Document) {
	set := &jobs.SetTeams{}
	for _, t := range doc.Teams {
		set.Teams = append(set.Teams, jobs.Team{Name: t.Name, Share: t.Share, Limit: t.JobLimit})
	}
	b, err := jobs.EncodeCommand(jobs.Command{At: d.jobs.Now(), Changes: []jobs.Change{{SetTeams: set}}})
	if err == nil {
		_, err = d.jobs.ApplyBytes(b)
	}
	invariant.Check(err == nil, invariant.ConfigNeverReverts, "teams were refused by the state of jobs: %v", err)
}

// controlLog is the control state as a state machine of the replicated log. It
// is shared by the log's loop and by readers.
type controlLog struct {
	cluster string
	holder  *control.Holder
	log     zerolog.Logger

	mu    sync.Mutex
	fleet *fleet.State
	jobs  *jobs.State
	state *control.State
	// jobsNews is closed at the next command of the jobs' state.
	jobsNews chan struct{}
	// current is set once a read of the log has shown that the applied state is
	// not older than what this daemon showed before the log was started.
	current bool
	// generation counts the starts of the log.
	generation int
}

func newControlLog(cluster string, holder *control.Holder, log zerolog.Logger) *controlLog {
	l := &controlLog{cluster: cluster, holder: holder, log: log}
	l.reset()
	return l
}

// reset installs the empty state. The lock is held, or not yet shared.
func (l *controlLog) reset() {
	l.fleet = fleet.New()
	l.jobs = jobs.New()
	l.state = control.New(l.cluster, control.Options{Fleet: &fleetDelegate{
		state: l.fleet, jobs: l.jobs, jobsChanged: l.tellJobs,
	}})
	l.tellJobs()
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

// show puts the applied state in force after a read of the log, unless the log
// was started again since the given generation.
func (l *controlLog) show(generation int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if generation != l.generation {
		return
	}
	l.current = true
	l.offer()
}

// hide keeps the applied state from being put in force until show is called. It
// is called before each start of the log.
func (l *controlLog) hide() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = false
	l.generation++
}

// hidden reports whether the applied state is not in force, and the generation
// to pass to show.
func (l *controlLog) hidden() (generation int, hidden bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation, !l.current
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

// tellJobs wakes those that wait for news of jobs. The lock is held, or not
// yet shared.
func (l *controlLog) tellJobs() {
	if l.jobsNews != nil {
		close(l.jobsNews)
	}
	l.jobsNews = make(chan struct{})
}

// jobsView returns a snapshot of the jobs and a channel that is closed once
// there is a newer one.
func (l *controlLog) jobsView() (*jobs.View, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.jobs.View(), l.jobsNews
}

// jobsInZone returns the number of jobs that may be running on workers of the zone.
func (l *controlLog) jobsInZone(zone string) int {
	v, _ := l.jobsView()
	n := 0
	for _, w := range v.Workers {
		if w.Zone == zone {
			n += len(v.TasksOf(w.ID))
		}
	}
	return n
}

// fleetView returns a snapshot of the fleet and the evacuated zones.
func (l *controlLog) fleetView() (fleet.View, []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var evacuated []string
	for _, e := range l.state.View().Evacuations() {
		evacuated = append(evacuated, e.Zone)
	}
	return l.fleet.View(), evacuated
}
