package workload

import (
	"iter"
	"maps"

	"github.com/pkg/errors"
)

// evacuationMemory is how long the end of an evacuation is kept, in milliseconds: a day, far
// longer than workers stay slow after it.
const evacuationMemory = 24 * 3600 * 1000

// ZoneEvacuation is the evacuation of an availability zone that goes on, or the last one.
type ZoneEvacuation struct {
	Zone string `cbor:"1,keyasint"`
	// Since is when the evacuation that goes on was ordered; 0 if there is none.
	Since Millis `cbor:"2,keyasint,omitempty"`
	// Ended is when the last evacuation ended; 0 if none has.
	Ended Millis `cbor:"3,keyasint,omitempty"`
}

// IsEvacuated reports whether no task may be assigned to the workers of a zone.
func (s *State) IsEvacuated(zone string) bool { return s.zones[zone].Since != 0 }

// EvacuationEnded returns when the last evacuation of a zone ended, or 0 if it is not known.
func (s *State) EvacuationEnded(zone string) Millis { return s.zones[zone].Ended }

// EvacuatedZones returns the zones that are evacuated, in no particular order.
func (s *State) EvacuatedZones() iter.Seq[string] {
	return func(yield func(string) bool) {
		for zone := range s.zones {
			if s.IsEvacuated(zone) && !yield(zone) {
				return
			}
		}
	}
}

// evacuateZone starts or finishes the evacuation of a zone. Runs in the zone go on.
func (s *State) evacuateZone(c *EvacuateZone, now Millis) error {
	if c.Zone == "" {
		return errors.Wrap(ErrMalformed, "evacuation without a zone")
	}
	maps.DeleteFunc(s.zones, func(_ string, z ZoneEvacuation) bool {
		return z.Since == 0 && now-z.Ended > evacuationMemory
	})
	z := s.zones[c.Zone]
	switch {
	case c.Finish == (z.Since == 0): // nothing changes
		return nil
	case c.Finish:
		z.Since, z.Ended = 0, now
	default:
		z.Zone, z.Since = c.Zone, max(now, 1)
	}
	s.zones[c.Zone] = z
	return nil
}
