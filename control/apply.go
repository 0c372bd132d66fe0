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

// refuse returns the result of a refused command.
func refuse(code RefusalCode, format string, args ...any) Result {
	return Result{Refusal: &Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}}
}

func (s *State) applyDocument(c *ApplyDocument, unixMilli int64) Result {
	if len(c.Actor) > MaxActorLen {
		return refuse(RefusedMalformed, "the actor has more than %d bytes", MaxActorLen)
	}
	if c.BaseVersion != s.docVersion && !s.opts.ignoreBase {
		r := refuse(RefusedConflict, "the document builds on version %d; version %d is in force", c.BaseVersion, s.docVersion)
		r.Refusal.CurrentVersion = s.docVersion
		return r
	}
	if faults := s.checkDocument(&c.Document); len(faults) > 0 {
		r := refuse(RefusedDocument, "the document has %d faults", len(faults))
		r.Refusal.Faults = faults[:min(len(faults), maxKeptFaults)]
		return r
	}
	s.docVersion = s.bump()
	changed := changedParts(s.doc, &c.Document)
	if len(s.history) == 0 {
		changed = allParts
	}
	s.parts.set(changed, s.docVersion)
	s.install(&c.Document)
	s.ledger.SetLimits(teamLimits(&c.Document))
	s.ledger.SetLongestRun(c.Document.LongestRun(), s.index)
	s.record(c, unixMilli)
	if o, ok := s.opts.Fleet.(DocumentObserver); ok {
		o.DocumentApplied(s.doc)
	}
	return Result{}
}

// checkDocument returns the faults that the document has by itself, or those
// that the delegate finds against its state.
func (s *State) checkDocument(doc *api.Document) []api.Fault {
	if faults := doc.Validate(); len(faults) > 0 {
		return faults
	}
	if c, ok := s.opts.Fleet.(DocumentChecker); ok {
		return c.CheckDocument(doc)
	}
	return nil
}

// install makes doc the document in force.
func (s *State) install(doc *api.Document) {
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

// record appends the document in force to the history.
func (s *State) record(c *ApplyDocument, unixMilli int64) {
	digest := sha256.Sum256(documentBytes(s.doc))
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
		return refuse(RefusedMalformed, "the key id or label is malformed")
	}
	if _, ok := s.docIndex.Team(c.Team); !ok {
		return refuse(RefusedUnknownTeam, "there is no team %q", c.Team)
	}
	if _, taken := s.keys[c.KeyID]; taken {
		return refuse(RefusedKeyIDTaken, "key id %s is already used", c.KeyID)
	}
	ofTeam, all := s.countKeys(c.Team)
	if ofTeam >= MaxKeysPerTeam {
		return refuse(RefusedTooManyKeys, "team %s has %d valid keys; withdraw one first", c.Team, ofTeam)
	}
	if all >= MaxKeys {
		return refuse(RefusedTooManyKeys, "%d keys are valid; withdraw those of teams that are gone", all)
	}
	s.keys[c.KeyID] = KeyRecord{
		ID:        c.KeyID,
		Team:      c.Team,
		Label:     c.Label,
		Hash:      c.Hash,
		Version:   s.bump(),
		UnixMilli: unixMilli,
	}
	return Result{KeyID: c.KeyID}
}

// countKeys counts the valid keys of a team and of all teams.
func (s *State) countKeys(team string) (ofTeam, all int) {
	for _, k := range s.keys {
		if k.Withdrawn {
			continue
		}
		all++
		if k.Team == team {
			ofTeam++
		}
	}
	return ofTeam, all
}

func (s *State) withdrawKey(c *WithdrawKey) Result {
	k, ok := s.keys[c.KeyID]
	if !ok {
		return refuse(RefusedNotFound, "there is no key %q", c.KeyID)
	}
	if !k.Withdrawn {
		s.keys[c.KeyID] = KeyRecord{ID: k.ID, Team: k.Team, Version: s.bump(), Withdrawn: true}
		s.removed++
		s.dropTombstones()
	}
	return Result{KeyID: c.KeyID}
}

func (s *State) registerDaemon(c *RegisterDaemon) Result {
	_, err := netip.ParseAddrPort(c.Address)
	if !api.IsName(c.Name) || !api.IsName(c.Zone) || err != nil ||
		c.Incarnation == "" || len(c.Incarnation) > api.MaxIncarnationLen {
		return refuse(RefusedMalformed, "the registration of daemon %q is malformed", c.Name)
	}
	old, known := s.daemons[c.Name]
	next := Daemon{Name: c.Name, Incarnation: c.Incarnation, Zone: c.Zone, Address: c.Address, Version: old.Version}
	if known && old == next {
		return Result{}
	}
	if (!known || old.Forgotten) && s.countDaemons() >= MaxDaemons {
		return refuse(RefusedTooManyDaemons, "%d daemons are registered", MaxDaemons)
	}
	if old.Forgotten {
		s.removed--
	}
	next.Version = s.bump()
	s.daemons[c.Name] = next
	return Result{First: !known}
}

func (s *State) countDaemons() int {
	n := 0
	for _, d := range s.daemons {
		if !d.Forgotten {
			n++
		}
	}
	return n
}

func (s *State) forgetDaemon(c *ForgetDaemon) Result {
	d, ok := s.daemons[c.Name]
	if !ok {
		return refuse(RefusedNotFound, "there is no daemon %q", c.Name)
	}
	if !d.Forgotten {
		s.daemons[c.Name] = Daemon{Name: c.Name, Version: s.bump(), Forgotten: true}
		s.removed++
		s.dropTombstones()
	}
	return Result{}
}

func (s *State) assignArbiter(c *AssignArbiter) Result {
	if !api.IsName(c.Zone) {
		return refuse(RefusedMalformed, "%q is not a zone", c.Zone)
	}
	if d := s.daemons[c.Daemon]; c.Daemon != "" && (d.Zone != c.Zone || d.Incarnation != c.Incarnation) {
		return refuse(RefusedNotFound, "daemon %q is not registered in zone %s with this incarnation", c.Daemon, c.Zone)
	}
	old, known := s.arbiters[c.Zone]
	if c.Term <= old.Term {
		r := refuse(RefusedStaleTerm, "zone %s already has term %d", c.Zone, old.Term)
		r.Refusal.CurrentVersion = old.Term
		return r
	}
	if !known && len(s.arbiters) >= api.MaxAvailabilityZones {
		return refuse(RefusedMalformed, "%d zones have arbiters", api.MaxAvailabilityZones)
	}
	s.arbiters[c.Zone] = Arbiter{
		Zone:        c.Zone,
		Term:        c.Term,
		Daemon:      c.Daemon,
		Incarnation: c.Incarnation,
		Version:     s.bump(),
	}
	s.ledger.SetTerm(c.Zone, c.Term, s.index)
	return Result{}
}
