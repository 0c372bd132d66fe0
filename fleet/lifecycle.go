package fleet

// Lifecycle is the state of an instance. The set of values is closed.
type Lifecycle string

// States of an instance. Only an active instance counts as available.
const (
	// Joining instances are starting in their pool and not yet known to be
	// healthy there.
	Joining Lifecycle = "joining"
	Active  Lifecycle = "active"
	// Permitted instances hold a drain permit but have not started to drain.
	Permitted Lifecycle = "permitted"
	Draining  Lifecycle = "draining"
	// Drained instances run no work.
	Drained   Lifecycle = "drained"
	Rebooting Lifecycle = "rebooting"
	// Failed instances were reported as failed.
	Failed Lifecycle = "failed"
	// Unknown instances do not respond to the platform and may still run work.
	Unknown Lifecycle = "unknown"
	// Quarantined instances receive no work until they are repaired or released.
	Quarantined Lifecycle = "quarantined"
)

// Event is the cause of a lifecycle transition. The set of values is closed.
type Event string

// Events of an instance.
const (
	EventRegister   Event = "register"
	EventJoin       Event = "join"
	EventPermit     Event = "permit-drain"
	EventBeginDrain Event = "begin-drain"
	EventDrained    Event = "confirm-drained"
	EventChangePool Event = "change-pool"
	EventReboot     Event = "begin-reboot"
	EventRebooted   Event = "confirm-reboot"
	EventCancel     Event = "cancel-permit"
	EventHealthy    Event = "report-healthy"
	EventFail       Event = "report-failed"
	EventSilent     Event = "report-silent"
	EventQuarantine Event = "quarantine"
	EventRelease    Event = "release"
	EventPin        Event = "pin"
)

// Available reports whether an instance in state l counts as available for
// budgets.
func (l Lifecycle) Available() bool { return l == Active }

// Next returns the state that event e leads to from state l, and false if e is
// not allowed in l. It is the single definition of the state machine.
func Next(l Lifecycle, e Event) (Lifecycle, bool) {
	switch e {
	case EventRegister:
		return Joining, l == "" || l == Failed || l == Unknown
	case EventJoin:
		return Active, l == Joining
	case EventPermit:
		return Permitted, l == Active || l == Quarantined
	case EventBeginDrain:
		return Draining, l == Permitted
	case EventDrained:
		return Drained, l == Permitted || l == Draining
	case EventChangePool:
		return Joining, l == Drained
	case EventReboot:
		return Rebooting, l == Drained
	case EventRebooted:
		return Joining, l == Rebooting
	case EventCancel:
		return Joining, l == Permitted || l == Draining || l == Drained
	case EventHealthy:
		return Active, l == Failed || l == Unknown
	case EventFail:
		return Failed, l != "" && l != Failed && l != Quarantined
	case EventSilent:
		return Unknown, l == Active || l == Permitted || l == Draining || l == Joining
	case EventQuarantine:
		return Quarantined, l != "" && l != Quarantined && l != Rebooting
	case EventRelease:
		return Joining, l == Quarantined
	case EventPin:
		return l, l != ""
	}
	return l, false
}
