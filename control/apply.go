package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"

	"magnoliastand.example/api"
	"magnoliastand.example/quota"
)

// refusedResult returns the result of a command refused with code.
func refusedResult(code RefusalCode, format string, args ...any) Result {
	return Result{Refusal: &Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}}
}

func (s *State) applyDocument(c *ApplyDocument, unixMilli int64) Result {
	if len(c.Actor) > MaxActorLen {
		return refusedResult(RefusedMalformed, "the actor has more than %d bytes", MaxActorLen)
	}
	if c.BaseVersion != s.docVersion && !s.opts.disableBaseVersionCheck {
		r := refusedResult(RefusedConflict, "the document builds on version %d; version %d is in force", c.BaseVersion, s.docVersion)
		r.Refusal.CurrentVersion = s.docVersion
		return r
	}
	if faults := s.checkDocument(&c.Document); len(faults) > 0 {
		r := refusedResult(RefusedDocument, "the document has %d faults", len(faults))
		r.Refusal.Faults = faults[:min(len(faults), maxStoredFaults)]
		return r
	}
	s.docVersion = s.nextVersion()
	changed := changedParts(s.doc, &c.Document)
	if len(s.history) == 0 {
		changed = allParts
	}
	s.parts.set(changed, s.docVersion)
	s.setDocument(&c.Document)
	s.ledger.SetLimits(teamLimits(&c.Document))
	s.ledger.SetLongestRun(c.Document.LongestRun(), s.index)
	s.appendHistory(c, unixMilli)
	if o, ok := s.opts.Fleet.(DocumentObserver); ok {
		o.DocumentApplied(s.doc)
	}
	return Result{}
}

// checkDocument validates the document on its own. If it has no faults, the
// delegate, if any, checks it against the fleet state.
func (s *State) checkDocument(doc *api.Document) []api.Fault {
	if faults := doc.Validate(); len(faults) > 0 {
		return faults
	}
	if c, ok := s.opts.Fleet.(DocumentChecker); ok {
		return c.CheckDocument(doc)
	}
	return nil
}

// setDocument replaces the document in force and rebuilds its index.
func (s *State) setDocument(doc *api.Document) {
	s.doc = doc
	s.docIndex = api.NewIndex(doc)
}

func teamLimits(doc *api.Document) []quota.TeamLimit {
	limits := make([]quota.TeamLimit, 0, len(doc.Teams))
	for _, t := range doc.Teams {
		limits = append(limits, quota.TeamLimit{Team: t.Name, Limit: int64(t.Limit - t.JobLimit)})
	}
	return limits
}

// appendHistory adds the document in force to the history, which keeps the last
// HistoryLen entries.
func (s *State) appendHistory(c *ApplyDocument, unixMilli int64) {
	digest := sha256.Sum256(encodeDocument(s.doc))
	s.history = append(s.history, HistoryEntry{
		Version:     s.docVersion,
		Actor:       c.Actor,
		OperationID: c.OperationID,
		UnixMilli:   unixMilli,
		Digest:      hex.EncodeToString(digest[:]),
	})
	if n := len(s.history) - HistoryLen; n > 0 {
		s.history = slices.Delete(s.history, 0, n)
	}
}

func (s *State) grantKey(c *GrantKey, unixMilli int64) Result {
	if !validKeyID(c.KeyID) || len(c.Label) > MaxLabelLen {
		return refusedResult(RefusedMalformed, "the key id or label is malformed")
	}
	if _, ok := s.docIndex.Team(c.Team); !ok {
		return refusedResult(RefusedUnknownTeam, "there is no team %q", c.Team)
	}
	if _, taken := s.keys[c.KeyID]; taken {
		return refusedResult(RefusedKeyIDTaken, "key id %s is already used", c.KeyID)
	}
	teamKeys, totalKeys := s.countValidKeys(c.Team)
	if teamKeys >= MaxKeysPerTeam {
		return refusedResult(RefusedTooManyKeys, "team %s has %d valid keys; withdraw one first", c.Team, teamKeys)
	}
	if totalKeys >= MaxKeys {
		return refusedResult(RefusedTooManyKeys, "%d keys are valid; withdraw those of teams that are gone", totalKeys)
	}
	s.keys[c.KeyID] = KeyRecord{
		ID:        c.KeyID,
		Team:      c.Team,
		Label:     c.Label,
		Hash:      c.Hash,
		Version:   s.nextVersion(),
		UnixMilli: unixMilli,
	}
	return Result{KeyID: c.KeyID}
}

// countValidKeys returns the number of valid keys of a team and of all teams.
func (s *State) countValidKeys(team string) (teamKeys, totalKeys int) {
	for _, k := range s.keys {
		if k.Withdrawn {
			continue
		}
		totalKeys++
		if k.Team == team {
			teamKeys++
		}
	}
	return teamKeys, totalKeys
}

func (s *State) withdrawKey(c *WithdrawKey) Result {
	k, ok := s.keys[c.KeyID]
	if !ok {
		return refusedResult(RefusedNotFound, "there is no key %q", c.KeyID)
	}
	if !k.Withdrawn {
		s.keys[c.KeyID] = KeyRecord{ID: k.ID, Team: k.Team, Version: s.nextVersion(), Withdrawn: true}
		s.tombstones++
		s.compactTombstones()
	}
	return Result{KeyID: c.KeyID}
}

func (s *State) registerDaemon(c *RegisterDaemon) Result {
	_, err := netip.ParseAddrPort(c.Address)
	if !api.IsName(c.Name) || !api.IsName(c.Zone) || err != nil ||
		c.Incarnation == "" || len(c.Incarnation) > api.MaxIncarnationLen {
		return refusedResult(RefusedMalformed, "the registration of daemon %q is malformed", c.Name)
	}
	old, known := s.daemons[c.Name]
	next := Daemon{Name: c.Name, Incarnation: c.Incarnation, Zone: c.Zone, Address: c.Address, Version: old.Version}
	if known && old == next {
		return Result{}
	}
	if (!known || old.Deregistered) && s.countRegisteredDaemons() >= MaxDaemons {
		return refusedResult(RefusedTooManyDaemons, "%d daemons are registered", MaxDaemons)
	}
	if old.Deregistered {
		s.tombstones--
	}
	next.Version = s.nextVersion()
	s.daemons[c.Name] = next
	return Result{First: !known}
}

func (s *State) countRegisteredDaemons() int {
	n := 0
	for _, d := range s.daemons {
		if !d.Deregistered {
			n++
		}
	}
	return n
}

func (s *State) deregisterDaemon(c *DeregisterDaemon) Result {
	d, ok := s.daemons[c.Name]
	if !ok {
		return refusedResult(RefusedNotFound, "there is no daemon %q", c.Name)
	}
	if !d.Deregistered {
		s.daemons[c.Name] = Daemon{Name: c.Name, Version: s.nextVersion(), Deregistered: true}
		s.tombstones++
		s.compactTombstones()
	}
	return Result{}
}

func (s *State) assignArbiter(c *AssignArbiter) Result {
	if !api.IsName(c.Zone) {
		return refusedResult(RefusedMalformed, "%q is not a zone", c.Zone)
	}
	if d := s.daemons[c.Daemon]; c.Daemon != "" && (d.Zone != c.Zone || d.Incarnation != c.Incarnation) {
		return refusedResult(RefusedNotFound, "daemon %q is not registered in zone %s with this incarnation", c.Daemon, c.Zone)
	}
	old, known := s.arbiters[c.Zone]
	if c.Term <= old.Term {
		r := refusedResult(RefusedStaleTerm, "zone %s already has term %d", c.Zone, old.Term)
		r.Refusal.CurrentVersion = old.Term
		return r
	}
	if !known && len(s.arbiters) >= api.MaxAvailabilityZones {
		return refusedResult(RefusedMalformed, "%d zones have arbiters", api.MaxAvailabilityZones)
	}
	s.arbiters[c.Zone] = Arbiter{
		Zone:        c.Zone,
		Term:        c.Term,
		Daemon:      c.Daemon,
		Incarnation: c.Incarnation,
		Version:     s.nextVersion(),
	}
	s.ledger.SetTerm(c.Zone, c.Term, s.index)
	return Result{}
}
