package arbiter

import "time"

// SetEvacuated starts or ends the evacuation of the arbiter's zone. No slot of an
// evacuated zone is granted; requests that run continue. Asks that wait, and new ones,
// are forwarded to zones that have endpoints, or refused. Asks of other zones are
// refused, so that they wait in their own zone.
func (a *Arbiter) SetEvacuated(now time.Time, evacuated bool) []Event {
	a.begin(now)
	if a.evacuated != evacuated {
		a.evacuated = evacuated
		for _, sl := range a.slots {
			a.refresh(sl)
		}
		for _, s := range a.byName {
			a.endAsksWithoutEndpoint(s)
		}
	}
	return a.finish()
}

// withheld reports whether the arbiter grants no slots because its zone is evacuated.
func (a *Arbiter) withheld() bool { return a.evacuated && !a.mutations.ignoreEvacuation }
