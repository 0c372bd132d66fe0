package control

import (
	"time"

	"magnoliastand.example/api"
	"magnoliastand.example/invariant"
	"magnoliastand.example/quota"
)

// Limits of the data that State stores.
const (
	// HistoryLen is the number of documents in the history.
	HistoryLen = 64
	// maxTombstones is the maximum number of withdrawn keys, deregistered daemons and
	// ended evacuations kept for incremental deltas. Deltas from versions before a discarded tombstone
	// are full.
	maxTombstones = 1_024
	// maxClusterTime limits cluster time, so that adding intervals cannot overflow.
	maxClusterTime = 100 * 365 * 24 * time.Hour
	// maxStoredFaults is the maximum number of faults stored with an operation result.
	maxStoredFaults = 16
)

// Options configure a State. They must be the same on all voters.
type Options struct {
	// Fleet executes opaque fleet commands; if it is nil, they are refused.
	Fleet Delegate
	// Bounds are the time bounds of allotments; the zero value selects
	// quota.DefaultBounds.
	Bounds quota.Bounds

	// disableDeduplication and disableBaseVersionCheck turn off protections. Tests
	// set them to verify that the checks detect the resulting violations.
	disableDeduplication    bool
	disableBaseVersionCheck bool
}

// HistoryEntry describes a document that came into force.
type HistoryEntry struct {
	Version     uint64 `cbor:"1,keyasint" json:"version"`
	Actor       string `cbor:"2,keyasint,omitempty" json:"actor,omitempty"`
	OperationID string `cbor:"3,keyasint,omitempty" json:"operation_id,omitempty"`
	UnixMilli   int64  `cbor:"4,keyasint,omitempty" json:"unix_ms"`
	// Digest is the SHA-256 hash of the document's canonical encoding, in hex.
	Digest string `cbor:"5,keyasint" json:"digest"`
}

// State is the deterministic control state machine. It is not safe for concurrent
// use; the views that it returns are.
type State struct {
	cluster          string
	opts             Options
	index            uint64
	now              time.Duration
	version          uint64
	docVersion       uint64
	doc              *api.Document
	docIndex         *api.Index
	parts            partVersions
	keys             map[string]KeyRecord // includes withdrawn keys
	daemons          map[string]Daemon    // includes deregistered daemons
	arbiters         map[string]Arbiter
	evacuations      map[string]ZoneEvacuation // includes ended ones
	tombstones       int                       // number of withdrawn keys, deregistered daemons and ended evacuations stored
	compactedVersion uint64                    // version of the newest discarded tombstone
	ops              *operationTable
	history          []HistoryEntry
	ledger           *quota.Ledger
	view             *View
}

// New returns the initial state of a cluster, with an empty document.
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
		ops:      newOperationTable(),
		ledger:   quota.NewLedger(opts.Bounds),

		evacuations: make(map[string]ZoneEvacuation),
	}
}

// Apply applies the command of the log entry at index and returns its result. The
// caller applies entries in order and each once. Indexes may have gaps, because
// the log also contains entries of other kinds.
func (s *State) Apply(index uint64, cmd *Command) Result {
	invariant.Check(index > s.index, invariant.Consensus,
		"entry %d applied after entry %d", index, s.index)
	s.index = index
	s.now = max(s.now, min(cmd.At, maxClusterTime))
	s.ledger.Advance(s.now, cmd.Applied)
	s.ops.expire(s.now)
	if countOperations(cmd) != 1 {
		return s.withVersions(refusedResult(RefusedMalformed, "a command holds exactly one operation"))
	}
	op, fingerprint, identified := operationIdentity(cmd)
	if !identified {
		return s.withVersions(s.execute(cmd))
	}
	if !ValidOperationID(op) {
		return s.withVersions(refusedResult(RefusedMalformed, "an operation id of 1 to %d visible ASCII characters is required", MaxOperationIDLen))
	}
	if r, known := s.ops.find(op, fingerprint); known && !s.opts.disableDeduplication {
		return r
	}
	if s.ops.full() {
		return s.withVersions(refusedResult(RefusedOperationsFull, "%d operations within %s are kept; retry later", MaxOperations, OperationWindow))
	}
	r := s.withVersions(s.execute(cmd))
	s.ops.add(op, fingerprint, s.now, r)
	return r
}

// withVersions sets the log index and versions that every result has.
func (s *State) withVersions(r Result) Result {
	r.Index = s.index
	r.Version = s.version
	r.DocumentVersion = s.docVersion
	return r
}

// execute performs the operation of a command.
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
	case cmd.DeregisterDaemon != nil:
		return s.deregisterDaemon(cmd.DeregisterDaemon)
	case cmd.AssignArbiter != nil:
		return s.assignArbiter(cmd.AssignArbiter)
	case cmd.Allot != nil:
		s.ledger.Apply(cmd.Allot)
		return Result{}
	case cmd.Fleet != nil:
		return s.applyFleet(cmd.Fleet)
	case cmd.EvacuateZone != nil:
		return s.evacuateZone(cmd.EvacuateZone, cmd.UnixMilli)
	case cmd.RestoreZone != nil:
		return s.restoreZone(cmd.RestoreZone)
	}
	return Result{} // Tick
}

func (s *State) applyFleet(cmd []byte) Result {
	if s.opts.Fleet == nil {
		return refusedResult(RefusedFleet, "this cluster has no fleet state")
	}
	answer, err := s.opts.Fleet.Apply(cmd)
	if err != nil {
		return refusedResult(RefusedFleet, "%s", err)
	}
	return Result{Fleet: answer}
}

// Cluster returns the id of the cluster.
func (s *State) Cluster() string { return s.cluster }

// Index returns the log index of the newest entry applied.
func (s *State) Index() uint64 { return s.index }

// Now returns the newest cluster time applied. A new leader's Clock continues from
// it.
func (s *State) Now() time.Duration { return s.now }

// Version returns the configuration version.
func (s *State) Version() uint64 { return s.version }

// Ledger returns the ledger of allotments. The caller must not modify it, nor read
// it concurrently with Apply.
func (s *State) Ledger() *quota.Ledger { return s.ledger }

// History returns the most recent documents that came into force, oldest first.
func (s *State) History() []HistoryEntry {
	return append([]HistoryEntry(nil), s.history...)
}

// nextVersion increments the configuration version and returns it.
func (s *State) nextVersion() uint64 {
	s.version++
	return s.version
}

// View returns the configuration in force. Views are cached by version.
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
	// Share the document and its index instead of rebuilding them.
	v.doc = s.doc
	v.index = s.docIndex
	v.docVersion = s.docVersion
	s.view = v
	return v
}

// Delta returns the changes since version from. It is full if from is 0, newer
// than the state, or older than the last discarded tombstone.
func (s *State) Delta(from uint64) *Delta {
	full := from == 0 || from < s.compactedVersion || from > s.version
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
		if dm.Version > from && (!full || !dm.Deregistered) {
			d.Daemons = append(d.Daemons, dm)
		}
	}
	for _, a := range sortedValues(s.arbiters) {
		if a.Version > from {
			d.Arbiters = append(d.Arbiters, a)
		}
	}
	for _, e := range sortedValues(s.evacuations) {
		if e.Version > from && (!full || !e.Ended) {
			d.Evacuations = append(d.Evacuations, e)
		}
	}
	return d
}

// compactTombstones discards the older half of the tombstones if there are more
// than maxTombstones.
func (s *State) compactTombstones() {
	if s.tombstones <= maxTombstones {
		return
	}
	versions := make([]uint64, 0, s.tombstones)
	for _, k := range s.keys {
		if k.Withdrawn {
			versions = append(versions, k.Version)
		}
	}
	for _, d := range s.daemons {
		if d.Deregistered {
			versions = append(versions, d.Version)
		}
	}
	for _, e := range s.evacuations {
		if e.Ended {
			versions = append(versions, e.Version)
		}
	}
	s.compactedVersion = max(s.compactedVersion, median(versions))
	for id, k := range s.keys {
		if k.Withdrawn && k.Version <= s.compactedVersion {
			delete(s.keys, id)
			s.tombstones--
		}
	}
	for name, d := range s.daemons {
		if d.Deregistered && d.Version <= s.compactedVersion {
			delete(s.daemons, name)
			s.tombstones--
		}
	}
	for zone, e := range s.evacuations {
		if e.Ended && e.Version <= s.compactedVersion {
			delete(s.evacuations, zone)
			s.tombstones--
		}
	}
}
