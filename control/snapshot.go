package control

import (
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/quota"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// snapshotState is the serialized form of a State. Its lists have a deterministic
// order, so equal states have equal encodings.
type snapshotState struct {
	Format           int                `cbor:"1,keyasint"`
	Cluster          string             `cbor:"2,keyasint"`
	Index            uint64             `cbor:"3,keyasint"`
	Now              time.Duration      `cbor:"4,keyasint"`
	Version          uint64             `cbor:"5,keyasint"`
	DocVersion       uint64             `cbor:"6,keyasint"`
	Document         api.Document       `cbor:"7,keyasint"`
	Keys             []KeyRecord        `cbor:"8,keyasint,omitempty"`
	Daemons          []Daemon           `cbor:"9,keyasint,omitempty"`
	Arbiters         []Arbiter          `cbor:"10,keyasint,omitempty"`
	CompactedVersion uint64             `cbor:"11,keyasint,omitempty"`
	Operations       []*operationRecord `cbor:"12,keyasint,omitempty"`
	History          []HistoryEntry     `cbor:"13,keyasint,omitempty"`
	Ledger           quota.LedgerState  `cbor:"14,keyasint"`
	Fleet            []byte             `cbor:"15,keyasint,omitempty"`
	Parts            partVersions       `cbor:"16,keyasint"`
	// Evacuations is missing in snapshots of builds that had none.
	Evacuations []ZoneEvacuation `cbor:"17,keyasint,omitempty"`
}

// Snapshot returns the canonical encoding of the state. It has no checksum; the
// caller must add one.
func (s *State) Snapshot() ([]byte, error) {
	out := snapshotState{
		Format:           snapshotFormat,
		Cluster:          s.cluster,
		Index:            s.index,
		Now:              s.now,
		Version:          s.version,
		DocVersion:       s.docVersion,
		Document:         *s.doc,
		Keys:             sortedValues(s.keys),
		Daemons:          sortedValues(s.daemons),
		Arbiters:         sortedValues(s.arbiters),
		CompactedVersion: s.compactedVersion,
		Operations:       s.ops.queue,
		History:          s.history,
		Ledger:           s.ledger.State(),
		Parts:            s.parts,
		Evacuations:      sortedValues(s.evacuations),
	}
	if s.opts.Fleet != nil {
		fleet, err := s.opts.Fleet.Snapshot()
		if err != nil {
			return nil, errors.Wrap(err, "snapshot of the fleet state")
		}
		out.Fleet = fleet
	}
	b, err := encMode.Marshal(&out)
	return b, errors.Wrap(err, "encode control snapshot")
}

// Restore replaces the state by that of a snapshot. It returns ErrOtherCluster for
// a snapshot of another cluster, and other errors if the snapshot cannot be
// decoded. After an error the State is unchanged, but the Delegate may have been
// modified if its Restore failed.
func (s *State) Restore(snapshot []byte) error {
	var in snapshotState
	if err := decMode.Unmarshal(snapshot, &in); err != nil {
		return errors.Wrap(err, "decode control snapshot")
	}
	if in.Format != snapshotFormat {
		return errors.Errorf("control snapshot has format %d; format %d is expected", in.Format, snapshotFormat)
	}
	if in.Cluster != s.cluster {
		return ErrOtherCluster
	}
	next := New(s.cluster, s.opts)
	next.load(&in)
	if s.opts.Fleet != nil {
		if err := s.opts.Fleet.Restore(in.Fleet); err != nil {
			return errors.Wrap(err, "restore the fleet state")
		}
		next.tellEvacuatedZones()
	}
	*s = *next
	return nil
}

func (s *State) load(in *snapshotState) {
	s.index = in.Index
	s.now = in.Now
	s.version = in.Version
	s.docVersion = in.DocVersion
	s.setDocument(&in.Document)
	s.parts = in.Parts
	for _, k := range in.Keys {
		s.keys[k.ID] = k
		if k.Withdrawn {
			s.tombstones++
		}
	}
	for _, d := range in.Daemons {
		s.daemons[d.Name] = d
		if d.Deregistered {
			s.tombstones++
		}
	}
	for _, a := range in.Arbiters {
		s.arbiters[a.Zone] = a
	}
	for _, e := range in.Evacuations {
		s.evacuations[e.Zone] = e
		if e.Ended {
			s.tombstones++
		}
	}
	s.compactedVersion = in.CompactedVersion
	s.history = in.History
	s.ledger = quota.RestoreLedger(s.opts.Bounds, &in.Ledger)
	for _, op := range in.Operations {
		s.ops.byID[op.ID] = op
		s.ops.queue = append(s.ops.queue, op)
	}
}
