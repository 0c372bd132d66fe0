package control

import (
	"fmt"
	"maps"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
)

// Delta holds every part of the configuration that changed between two versions,
// with its value at the newer version.
type Delta struct {
	Cluster string `cbor:"1,keyasint"`
	// From is the oldest version to which the delta can be applied; 0 if Full is set.
	From uint64 `cbor:"2,keyasint"`
	To   uint64 `cbor:"3,keyasint"`
	// Full reports that the delta holds the complete configuration.
	Full bool `cbor:"4,keyasint,omitempty"`
	// Document holds the changed parts of the document; nil if none changed.
	Document *DocumentDelta `cbor:"5,keyasint,omitempty"`
	Keys     []KeyRecord    `cbor:"6,keyasint,omitempty"`
	Daemons  []Daemon       `cbor:"7,keyasint,omitempty"`
	Arbiters []Arbiter      `cbor:"8,keyasint,omitempty"`

	Evacuations []ZoneEvacuation `cbor:"9,keyasint,omitempty"`
}

// ErrOtherCluster is returned for a view, delta or snapshot of another cluster.
var ErrOtherCluster = errors.New("the configuration belongs to another cluster")

// GapError is returned for a delta whose base version is newer than the view. The
// receiver must request a delta from its own version.
type GapError struct {
	Have uint64
	From uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("the delta builds on version %d; the view has version %d", e.From, e.Have)
}

// ApplyDelta returns the view at the delta's version, or v itself if the delta is
// not newer. The error is ErrOtherCluster or a *GapError.
func (v *View) ApplyDelta(d *Delta) (*View, error) {
	if d.Cluster != v.cluster {
		return v, ErrOtherCluster
	}
	if d.To <= v.version {
		return v, nil
	}
	if !d.Full && d.From > v.version {
		return v, &GapError{Have: v.version, From: d.From}
	}
	next := *v
	if d.Full {
		next = *NewView(v.cluster)
	}
	next.version = d.To
	if d.Document != nil {
		next.doc = d.Document.merge(next.doc)
		next.docVersion = d.Document.Version
		next.index = api.NewIndex(next.doc)
	}
	next.mergeRecords(d)
	return &next, nil
}

// mergeRecords merges the keys, daemons, arbiters and evacuations of d into v. It copies the
// affected maps first, because other views share them.
func (v *View) mergeRecords(d *Delta) {
	if len(d.Keys) > 0 {
		v.keys = cloneMap(v.keys)
	}
	for _, k := range d.Keys {
		if k.Withdrawn {
			delete(v.keys, k.ID)
			continue
		}
		v.keys[k.ID] = k
	}
	if len(d.Daemons) > 0 {
		v.daemons = cloneMap(v.daemons)
	}
	for _, dm := range d.Daemons {
		if dm.Deregistered {
			delete(v.daemons, dm.Name)
			continue
		}
		v.daemons[dm.Name] = dm
	}
	if len(d.Arbiters) > 0 {
		v.arbiters = cloneMap(v.arbiters)
	}
	for _, a := range d.Arbiters {
		v.arbiters[a.Zone] = a
	}
	if len(d.Evacuations) > 0 {
		v.evacuations = cloneMap(v.evacuations)
	}
	for _, e := range d.Evacuations {
		if e.Ended {
			delete(v.evacuations, e.Zone)
			continue
		}
		v.evacuations[e.Zone] = e
	}
}

// cloneMap returns a writable copy of m, also if m is nil.
func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}
