package control

import (
	"bytes"

	"magnoliastand.example/api"
)

// DocumentDelta holds the changed parts of a document.
type DocumentDelta struct {
	// Version is the configuration version at which the document came into force.
	Version uint64 `cbor:"1,keyasint"`
	// Parts is the set of parts that Document holds.
	Parts    PartSet      `cbor:"2,keyasint"`
	Document api.Document `cbor:"3,keyasint"`
}

// PartSet is a bit set of document parts.
type PartSet uint16

// Parts of a document. The numbers are part of the encoding of deltas and
// snapshots and must not change.
const (
	partName = iota
	partZones
	partPools
	partServices
	partTeams
	partBudgets
	partWaves
	partObjective
	partCount
)

const allParts PartSet = 1<<partCount - 1

// has reports whether the set contains a part.
func (p PartSet) has(part int) bool { return p&(1<<part) != 0 }

// copyPart makes a shallow copy of one part of a document; lists are shared.
func copyPart(part int, to, from *api.Document) {
	switch part {
	case partName:
		to.Name = from.Name
	case partZones:
		to.AvailabilityZones = from.AvailabilityZones
	case partPools:
		to.Pools = from.Pools
	case partServices:
		to.Services = from.Services
	case partTeams:
		to.Teams = from.Teams
	case partBudgets:
		to.Budgets = from.Budgets
	case partWaves:
		to.Waves = from.Waves
	case partObjective:
		to.Objective = from.Objective
	}
}

// copyParts makes shallow copies of the given parts of a document.
func copyParts(parts PartSet, to, from *api.Document) {
	for part := range partCount {
		if parts.has(part) {
			copyPart(part, to, from)
		}
	}
}

// changedParts returns the set of parts in which two documents differ.
func changedParts(a, b *api.Document) PartSet {
	var changed PartSet
	for part := range partCount {
		if !bytes.Equal(encodePart(part, a), encodePart(part, b)) {
			changed |= 1 << part
		}
	}
	return changed
}

// encodePart returns the canonical encoding of one part.
func encodePart(part int, doc *api.Document) []byte {
	var only api.Document
	copyPart(part, &only, doc)
	return encodeDocument(&only)
}

// partVersions holds the configuration version at which each part last changed.
type partVersions [partCount]uint64

// set records version as the last change of the given parts.
func (v *partVersions) set(parts PartSet, version uint64) {
	for part := range v {
		if parts.has(part) {
			v[part] = version
		}
	}
}

// since returns the set of parts that changed after a version.
func (v *partVersions) since(version uint64) PartSet {
	var parts PartSet
	for part, at := range v {
		if at > version {
			parts |= 1 << part
		}
	}
	return parts
}

// merge returns a copy of old with the parts of the delta replaced.
func (d *DocumentDelta) merge(old *api.Document) *api.Document {
	next := *old
	copyParts(d.Parts, &next, &d.Document)
	return &next
}

// documentDelta returns a delta with the given parts of doc.
func documentDelta(doc *api.Document, version uint64, parts PartSet) *DocumentDelta {
	d := &DocumentDelta{Version: version, Parts: parts}
	copyParts(parts, &d.Document, doc)
	return d
}
