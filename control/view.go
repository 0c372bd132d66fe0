package control

import (
	"sort"

	"magnoliastand.example/api"
)

// View is the configuration in force at one version. It is immutable and safe
// for concurrent use.
type View struct {
	cluster    string
	version    uint64
	docVersion uint64
	doc        *api.Document
	index      *api.Index
	keys       map[string]KeyRecord
	daemons    map[string]Daemon
	arbiters   map[string]Arbiter
	// evacuations holds the evacuated zones.
	evacuations map[string]ZoneEvacuation
}

// KeyRecord is the stored record of a team key. It holds the hash, not the secret.
type KeyRecord struct {
	ID    string  `cbor:"1,keyasint"`
	Team  string  `cbor:"2,keyasint,omitempty"`
	Label string  `cbor:"3,keyasint,omitempty"`
	Hash  KeyHash `cbor:"4,keyasint"`
	// Version is the configuration version of the grant or withdrawal.
	Version uint64 `cbor:"5,keyasint"`
	// UnixMilli is the wall-clock time of the grant, for display only.
	UnixMilli int64 `cbor:"6,keyasint,omitempty"`
	Withdrawn bool  `cbor:"7,keyasint,omitempty"`
}

// Daemon is a registered daemon, or the tombstone of a deregistered one.
type Daemon struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	Zone        string `cbor:"3,keyasint,omitempty"`
	Address     string `cbor:"4,keyasint,omitempty"`
	// Version is the configuration version of the last change.
	Version      uint64 `cbor:"5,keyasint"`
	Deregistered bool   `cbor:"6,keyasint,omitempty"`
}

// Arbiter is the arbiter term of a zone.
type Arbiter struct {
	Zone string `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"`
	// Daemon and Incarnation identify the process; both are empty if the zone has no
	// arbiter.
	Daemon      string `cbor:"3,keyasint,omitempty"`
	Incarnation string `cbor:"4,keyasint,omitempty"`
	// Version is the configuration version of the assignment.
	Version uint64 `cbor:"5,keyasint"`
}

// ZoneEvacuation is the evacuation of an availability zone: nothing is started there.
type ZoneEvacuation struct {
	Zone string `cbor:"1,keyasint"`
	// Version is the configuration version of the latest order for the zone.
	Version uint64 `cbor:"2,keyasint"`
	// Actor, OperationID and UnixMilli describe the order that began the evacuation,
	// for display only.
	Actor       string `cbor:"3,keyasint,omitempty"`
	OperationID string `cbor:"4,keyasint,omitempty"`
	UnixMilli   int64  `cbor:"5,keyasint,omitempty"`
	// Ended marks the tombstone of an evacuation that has ended.
	Ended bool `cbor:"6,keyasint,omitempty"`
}

// NewView returns the empty view of a cluster, at version 0.
func NewView(cluster string) *View {
	doc := &api.Document{}
	return &View{cluster: cluster, doc: doc, index: api.NewIndex(doc)}
}

// Cluster returns the id of the cluster.
func (v *View) Cluster() string { return v.cluster }

// Version returns the configuration version; 0 for the empty view.
func (v *View) Version() uint64 { return v.version }

// DocumentVersion returns the version at which the document last changed, which is
// the base version of the next document; 0 if there is no document.
func (v *View) DocumentVersion() uint64 { return v.docVersion }

// Document returns the document in force. The caller must not modify it.
func (v *View) Document() *api.Document { return v.doc }

// Index returns the index of the document.
func (v *View) Index() *api.Index { return v.index }

// Queue returns the queue with the given name and its service.
func (v *View) Queue(name string) (api.QueueRef, bool) { return v.index.Queue(name) }

// Authorize returns the team of a key. The error is ErrKeyMissing or
// ErrKeyInvalid. Hashes are compared in constant time, even for unknown ids.
func (v *View) Authorize(key string) (string, error) {
	if key == "" {
		return "", ErrKeyMissing
	}
	id, ok := splitKey(key)
	if !ok {
		return "", ErrKeyInvalid
	}
	r, known := v.keys[id]
	equal := r.Hash.Equal(HashKey(key))
	if !known || !equal || r.Withdrawn {
		return "", ErrKeyInvalid
	}
	if _, ok := v.index.Team(r.Team); !ok {
		return "", ErrKeyInvalid
	}
	return r.Team, nil
}

// Keys returns the valid keys of a team, or of all teams if team is empty, in
// order of grant. The records hold hashes, not secrets.
func (v *View) Keys(team string) []KeyRecord {
	var keys []KeyRecord
	for _, r := range v.keys {
		if !r.Withdrawn && (team == "" || r.Team == team) {
			keys = append(keys, r)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].Version < keys[j].Version })
	return keys
}

// Key returns the record of the key with the given id.
func (v *View) Key(id string) (KeyRecord, bool) {
	r, ok := v.keys[id]
	return r, ok
}

// Arbiter returns the arbiter term of a zone.
func (v *View) Arbiter(zone string) (Arbiter, bool) {
	a, ok := v.arbiters[zone]
	return a, ok
}

// Arbiters returns the arbiter terms of all zones, sorted by zone.
func (v *View) Arbiters() []Arbiter { return sortedValues(v.arbiters) }

// Daemon returns the daemon with the given name.
func (v *View) Daemon(name string) (Daemon, bool) {
	d, ok := v.daemons[name]
	return d, ok
}

// Daemons returns all registered daemons, sorted by name.
func (v *View) Daemons() []Daemon { return sortedValues(v.daemons) }

// ZoneEvacuated reports whether an availability zone is evacuated.
func (v *View) ZoneEvacuated(zone string) bool {
	_, ok := v.evacuations[zone]
	return ok
}

// Evacuations returns the evacuations in force, sorted by zone.
func (v *View) Evacuations() []ZoneEvacuation { return sortedValues(v.evacuations) }

// FullDelta returns the complete view as a delta, for a receiver that has no base
// version.
func (v *View) FullDelta() *Delta {
	d := &Delta{
		Cluster:  v.cluster,
		To:       v.version,
		Full:     true,
		Keys:     sortedValues(v.keys),
		Daemons:  sortedValues(v.daemons),
		Arbiters: sortedValues(v.arbiters),

		Evacuations: sortedValues(v.evacuations),
	}
	if v.docVersion > 0 {
		d.Document = documentDelta(v.doc, v.docVersion, allParts)
	}
	return d
}

// sortedValues returns the values of m, sorted by key.
func sortedValues[V any](m map[string]V) []V {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	values := make([]V, 0, len(m))
	for _, name := range names {
		values = append(values, m[name])
	}
	return values
}
