package control

// evacuateZone marks a zone as evacuated. Every order gets a version, also one that
// changes nothing else, so that older orders that arrive later are refused.
func (s *State) evacuateZone(c *EvacuateZone, unixMilli int64) Result {
	if r := s.checkZoneOrder(c.Zone, c.Actor, c.BaseVersion); r != nil {
		return Result{Refusal: r}
	}
	e, known := s.evacuations[c.Zone]
	if known && e.Ended {
		s.tombstones--
	}
	if !known || e.Ended {
		e = ZoneEvacuation{Zone: c.Zone, Actor: c.Actor, OperationID: c.OperationID, UnixMilli: unixMilli}
	}
	e.Version = s.nextVersion()
	s.evacuations[c.Zone] = e
	s.tellEvacuatedZones()
	return Result{}
}

// restoreZone ends the evacuation of a zone, if there is one.
func (s *State) restoreZone(c *RestoreZone) Result {
	if r := s.checkZoneOrder(c.Zone, c.Actor, c.BaseVersion); r != nil {
		return Result{Refusal: r}
	}
	if e, known := s.evacuations[c.Zone]; !known || !e.Ended {
		s.tombstones++
	}
	s.evacuations[c.Zone] = ZoneEvacuation{Zone: c.Zone, Version: s.nextVersion(), Ended: true}
	s.compactTombstones()
	s.tellEvacuatedZones()
	return Result{}
}

// checkZoneOrder returns why an order for the zone is refused, or nil. An evacuated
// zone stays known after all that it contained has left, so that it can be restored.
func (s *State) checkZoneOrder(zone, actor string, base uint64) *Refusal {
	if len(actor) > MaxActorLen {
		return refusedResult(RefusedMalformed, "the actor has more than %d bytes", MaxActorLen).Refusal
	}
	if !s.zoneEvacuated(zone) && !s.hasZone(zone) {
		return refusedResult(RefusedUnknownZone, "no daemon, instance, worker or endpoint is in availability zone %q", zone).Refusal
	}
	// The version of a discarded tombstone is at most compactedVersion.
	if newest := max(s.evacuations[zone].Version, s.compactedVersion); base < newest {
		return refusedResult(RefusedConflict, "the order builds on version %d; a newer one for zone %q may have version %d", base, zone, newest).Refusal
	}
	return nil
}

func (s *State) zoneEvacuated(zone string) bool {
	e, ok := s.evacuations[zone]
	return ok && !e.Ended
}

// hasZone reports whether the zone contains a daemon, or an instance or worker of the
// delegate. Endpoints announce themselves to daemons of their own zone, so a zone with
// an endpoint contains a daemon.
func (s *State) hasZone(zone string) bool {
	for _, d := range s.daemons {
		if !d.Deregistered && d.Zone == zone {
			return true
		}
	}
	z, ok := s.opts.Fleet.(ZoneDelegate)
	return ok && z.HasZone(zone)
}

// tellEvacuatedZones passes the list of evacuated zones to the delegate.
func (s *State) tellEvacuatedZones() {
	z, ok := s.opts.Fleet.(ZoneDelegate)
	if !ok {
		return
	}
	var zones []string
	for _, e := range sortedValues(s.evacuations) {
		if !e.Ended {
			zones = append(zones, e.Zone)
		}
	}
	z.SetEvacuatedZones(zones)
}
