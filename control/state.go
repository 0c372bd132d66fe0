package control

import (
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
	"magnoliastand.example/quota"
)

// Bounds of what State keeps.
const (
	// HistoryLen is the number of documents that the history lists.
	HistoryLen = 64
	// maxTombstones bounds the removed keys and daemons kept for deltas. A delta
	// from an older version is a full one.
	maxTombstones = 1_024
	// maxClusterTime bounds cluster time, so that sums with intervals cannot overflow.
	maxClusterTime = 100 * 365 * 24 * time.Hour
	// maxKeptFaults bounds the faults kept with the result of an operation.
	maxKeptFaults = 16
)

// Options configure a State. They are the same on all voters.
type Options struct {
	// Fleet receives the opaque commands; nil refuses them.
	Fleet Delegate
	// Bounds are the time bounds of allotments; the zero value means the defaults.
	Bounds quota.Bounds

	// forgetOperations and ignoreBase disable protections, for tests of the checkers.
	forgetOperations bool
	ignoreBase       bool
}

// HistoryEntry describes one document that came into force.
type HistoryEntry struct {
	Version     uint64 `cbor:"1,keyasint" json:"version"`
	Actor       string `cbor:"2,keyasint,omitempty" json:"actor,omitempty"`
	OperationID string `cbor:"3,keyasint,omitempty" json:"operation_id,omitempty"`
	UnixMilli   int64  `cbor:"4,keyasint,omitempty" json:"unix_ms"`
	// Digest is the SHA-256 of the document's canonical encoding, in hex.
	Digest string `cbor:"5,keyasint" json:"digest"`
}

// State is the control state machine. It is deterministic and not safe for
// concurrent use; the views that it returns are.
type State struct {
	cluster    string
	opts       Options
	index      uint64
	now        time.Duration
	version    uint64
	docVersion uint64
	doc        *api.Document
	docIndex   *api.Index
	parts      partVersions
	keys       map[string]KeyRecord // also withdrawn ones
	daemons    map[string]Daemon    // also forgotten ones
	arbiters   map[string]Arbiter
	removed    int    // withdrawn keys and forgotten daemons kept
	floor      uint64 // deltas from older versions are full
	ops        *operations
	history    []HistoryEntry
	ledger     *quota.Ledger
	view       *View
}

// New returns the empty state of a cluster.
func New(cluster string, opts Options) *State {
	if opts.Bounds == (quota.Bounds{}) {
		opts.Bounds = quota.DefaultBounds()
	}
	doc := &api.Document{}
	return &State{
		cluster:  cluster,
		opts:     opts,
		doc:      doc,
		docIndex: api.NewIndex(doc),
		keys:     make(map[string]KeyRecord),
		daemons:  make(map[string]Daemon),
		arbiters: make(map[string]Arbiter),
		ops:      newOperations(),
		ledger:   quota.NewLedger(opts.Bounds),
	}
}

// Apply applies the command of log entry index and returns its result. Entries
// are applied once each, in order; gaps of other entry kinds are allowed.
func (s *State) Apply(index uint64, cmd *Command) Result {
	invariant.Check(index > s.index, invariant.Consensus,
		"entry %d applied after entry %d", index, s.index)
	s.index = index
	s.now = max(s.now, min(cmd.At, maxClusterTime))
	s.ledger.Advance(s.now, cmd.Applied)
	s.ops.expire(s.now)
	if countOperations(cmd) != 1 {
		return s.finish(refuse(RefusedMalformed, "a command holds exactly one operation"))
	}
	op, fp, identified := identify(cmd)
	if !identified {
		return s.finish(s.execute(cmd))
	}
	if !ValidOperationID(op) {
		return s.finish(refuse(RefusedMalformed, "an operation id of 1 to %d visible ASCII characters is required", MaxOperationIDLen))
	}
	if r, known := s.ops.find(op, fp); known && !s.opts.forgetOperations {
		return r
	}
	if s.ops.full() {
		return s.finish(refuse(RefusedOperationsFull, "%d operations within %s are kept; retry later", MaxOperations, OperationWindow))
	}
	r := s.finish(s.execute(cmd))
	s.ops.add(op, fp, s.now, r)
	return r
}

// finish fills in the parts that every result has.
func (s *State) finish(r Result) Result {
	r.Index = s.index
	r.Version = s.version
	r.DocumentVersion = s.docVersion
	return r
}

// execute runs the one operation of a command.
func (s *State) execute(cmd *Command) Result {
	switch {
	case cmd.ApplyDocument != nil:
		return s.applyDocument(cmd.ApplyDocument, cmd.UnixMilli)
	case cmd.GrantKey != nil:
		return s.grantKey(cmd.GrantKey, cmd.UnixMilli)
	case cmd.WithdrawKey != nil:
		return s.withdrawKey(cmd.WithdrawKey)
	case cmd.RegisterDaemon != nil:
		return s.registerDaemon(cmd.RegisterDaemon)
	case cmd.ForgetDaemon != nil:
		return s.forgetDaemon(cmd.ForgetDaemon)
	case cmd.AssignArbiter != nil:
		return s.assignArbiter(cmd.AssignArbiter)
	case cmd.Allot != nil:
		s.ledger.Apply(cmd.Allot)
		return Result{}
	case cmd.Fleet != nil:
		return s.applyFleet(cmd.Fleet)
	}
	return Result{} // a tick
}

func (s *State) applyFleet(cmd []byte) Result {
	if s.opts.Fleet == nil {
		return refuse(RefusedFleet, "this cluster has no fleet state")
	}
	answer, err := s.opts.Fleet.Apply(cmd)
	if err != nil {
		return refuse(RefusedFleet, "%s", err)
	}
	return Result{Fleet: answer}
}

// Cluster returns the id of the cluster.
func (s *State) Cluster() string { return s.cluster }

// Index returns the log index of the newest entry applied.
func (s *State) Index() uint64 { return s.index }

// Now returns the newest cluster time applied; a new leader's Clock starts there.
func (s *State) Now() time.Duration { return s.now }

// Version returns the version of the configuration.
func (s *State) Version() uint64 { return s.version }

// Ledger returns the ledger of allotments. The caller only reads it, between
// calls of Apply.
func (s *State) Ledger() *quota.Ledger { return s.ledger }

// History lists the documents that came into force, the newest last.
func (s *State) History() []HistoryEntry {
	return append([]HistoryEntry(nil), s.history...)
}

// bump starts a new version of the configuration.
func (s *State) bump() uint64 {
	s.version++
	return s.version
}

// View returns the configuration in force.
func (s *State) View() *View {
	if s.view != nil && s.view.version == s.version {
		return s.view
	}
	from := s.view
	if from == nil {
		from = NewView(s.cluster)
	}
	d := s.Delta(from.version)
	d.Document = nil
	v, err := from.ApplyDelta(d)
	invariant.Check(err == nil, invariant.ConfigNeverReverts, "view of version %d: %v", s.version, err)
	// The document and its index are shared, not built again.
	v.doc = s.doc
	v.index = s.docIndex
	v.docVersion = s.docVersion
	s.view = v
	return v
}

// Delta returns what changed since version from. It is full if from is 0, newer
// than the state, or older than the removals that are still known.
func (s *State) Delta(from uint64) *Delta {
	full := from == 0 || from < s.floor || from > s.version
	if full {
		from = 0
	}
	d := &Delta{Cluster: s.cluster, From: from, To: s.version, Full: full}
	if s.docVersion > from {
		d.Document = documentDelta(s.doc, s.docVersion, s.parts.since(from))
	}
	for _, k := range sortedValues(s.keys) {
		if k.Version > from && (!full || !k.Withdrawn) {
			d.Keys = append(d.Keys, k)
		}
	}
	for _, dm := range sortedValues(s.daemons) {
		if dm.Version > from && (!full || !dm.Forgotten) {
			d.Daemons = append(d.Daemons, dm)
		}
	}
	for _, a := range sortedValues(s.arbiters) {
		if a.Version > from {
			d.Arbiters = append(d.Arbiters, a)
		}
	}
	return d
}

// dropTombstones removes the oldest half of the removed records once there are
// too many.
func (s *State) dropTombstones() {
	if s.removed <= maxTombstones {
		return
	}
	versions := make([]uint64, 0, s.removed)
	for _, k := range s.keys {
		if k.Withdrawn {
			versions = append(versions, k.Version)
		}
	}
	for _, d := range s.daemons {
		if d.Forgotten {
			versions = append(versions, d.Version)
		}
	}
	s.floor = max(s.floor, median(versions))
	for id, k := range s.keys {
		if k.Withdrawn && k.Version <= s.floor {
			delete(s.keys, id)
			s.removed--
		}
	}
	for name, d := range s.daemons {
		if d.Forgotten && d.Version <= s.floor {
			delete(s.daemons, name)
			s.removed--
		}
	}
}
