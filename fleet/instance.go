package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// Limits on the stored data of each instance.
const (
	// maxHistory is the number of history entries kept for one instance.
	maxHistory = 16
	// maxReasonBytes is the maximum length of a stored reason; longer ones are
	// truncated.
	maxReasonBytes = 160
)

// Millis is a point in time in milliseconds since the Unix epoch.
type Millis int64

// Role is the kind of component or person that issues a command.
type Role string

// Roles of actors.
const (
	RolePlanner  Role = "planner"
	RoleOperator Role = "operator"
	RolePlatform Role = "platform"
)

// Actor identifies who issued a command.
type Actor struct {
	Role Role   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint,omitempty"`
}

// Resources is the capacity that an instance offers to tasks.
type Resources struct {
	// Processors is the number of processor cores.
	Processors int `cbor:"1,keyasint,omitempty"`
	MemoryMB   int `cbor:"2,keyasint,omitempty"`
	// Accelerators is the number of accelerator devices.
	Accelerators int `cbor:"3,keyasint,omitempty"`
}

// Purpose is the reason for draining an instance.
type Purpose string

// Purposes of a drain permit.
const (
	PurposeMove        Purpose = "move"
	PurposeMaintenance Purpose = "maintenance"
	// PurposeRetire drains an instance before it is deregistered.
	PurposeRetire Purpose = "retire"
)

// Permit allows an instance to be drained. The instance holds it until it is
// active again or fails, or until the permit is cancelled.
type Permit struct {
	Purpose Purpose `cbor:"1,keyasint"`
	// Target is the destination pool of a move.
	Target string `cbor:"2,keyasint,omitempty"`
	// Wave names the maintenance wave that the permit belongs to, if any.
	Wave string `cbor:"3,keyasint,omitempty"`
	// Round is the round of the wave in which the permit was granted.
	Round uint64 `cbor:"4,keyasint,omitempty"`
	Since Millis `cbor:"5,keyasint"`
	By    Actor  `cbor:"6,keyasint"`
	// Rebooted is set once the reboot of a maintenance is confirmed.
	Rebooted bool `cbor:"7,keyasint,omitempty"`
}

// Visit records a maintenance of an instance by a wave.
type Visit struct {
	Wave  string `cbor:"1,keyasint"`
	Round uint64 `cbor:"2,keyasint"`
	At    Millis `cbor:"3,keyasint"`
}

// Entry is one event in the history of an instance.
type Entry struct {
	At     Millis    `cbor:"1,keyasint"`
	Actor  Actor     `cbor:"2,keyasint"`
	Event  Event     `cbor:"3,keyasint"`
	From   Lifecycle `cbor:"4,keyasint,omitempty"`
	To     Lifecycle `cbor:"5,keyasint"`
	Pool   string    `cbor:"6,keyasint"`
	Reason string    `cbor:"7,keyasint,omitempty"`
}

// Instance is one machine of the fleet. It belongs to exactly one pool.
type Instance struct {
	ID   string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Rack is unique within its availability zone.
	Rack      string    `cbor:"3,keyasint"`
	Resources Resources `cbor:"4,keyasint"`
	Pool      string    `cbor:"5,keyasint"`
	State     Lifecycle `cbor:"6,keyasint"`
	// Since is when State was entered.
	Since  Millis  `cbor:"7,keyasint"`
	Permit *Permit `cbor:"8,keyasint,omitempty"`
	// Boot identifies the last reported boot of the machine.
	Boot string `cbor:"9,keyasint,omitempty"`
	// Pinned instances may be drained only by operators.
	Pinned bool `cbor:"10,keyasint,omitempty"`
	// Revision increases with each change of the instance.
	Revision uint64  `cbor:"11,keyasint"`
	Visits   []Visit `cbor:"12,keyasint,omitempty"`
	History  []Entry `cbor:"13,keyasint,omitempty"`
}

// VisitOf returns the last maintenance by the given wave, or the zero Visit.
func (i *Instance) VisitOf(wave string) Visit {
	for _, v := range i.Visits {
		if v.Wave == wave {
			return v
		}
	}
	return Visit{}
}

// RackName returns the name that budgets use for the instance's rack,
// "zone/rack".
func (i *Instance) RackName() string { return i.Zone + "/" + i.Rack }

// LastChange describes, in one line for operators, the last event of the
// instance, who caused it and why.
func (i *Instance) LastChange() string {
	if len(i.History) == 0 {
		return "no history"
	}
	e := i.History[len(i.History)-1]
	who := string(e.Actor.Role)
	if e.Actor.Name != "" {
		who += " " + e.Actor.Name
	}
	line := fmt.Sprintf("%s by %s", e.Event, who)
	if i.Permit != nil && i.Permit.Target != "" {
		line += " on the way to " + i.Permit.Target
	}
	if i.Permit != nil && i.Permit.Wave != "" {
		line += " for wave " + i.Permit.Wave
	}
	if e.Reason != "" {
		line += ": " + e.Reason
	}
	return line
}

func (i *Instance) clone() *Instance {
	c := *i
	if i.Permit != nil {
		p := *i.Permit
		c.Permit = &p
	}
	c.Visits = slices.Clone(i.Visits)
	c.History = slices.Clone(i.History)
	return &c
}

// record appends a history entry and drops the oldest entries beyond maxHistory.
func (i *Instance) record(cmd *Command, e Event, from Lifecycle) {
	reason := cmd.Reason
	if len(reason) > maxReasonBytes {
		// Truncating within a UTF-8 character would make the snapshot
		// undecodable.
		reason = strings.ToValidUTF8(reason[:maxReasonBytes], "")
	}
	i.History = append(i.History, Entry{
		At: cmd.At, Actor: cmd.Actor, Event: e, From: from, To: i.State, Pool: i.Pool, Reason: reason,
	})
	if extra := len(i.History) - maxHistory; extra > 0 {
		i.History = slices.Delete(i.History, 0, extra)
	}
}

// recordVisit stores v in place of the previous visit by the same wave.
func (i *Instance) recordVisit(v Visit) {
	for n := range i.Visits {
		if i.Visits[n].Wave == v.Wave {
			i.Visits[n] = v
			return
		}
	}
	i.Visits = append(i.Visits, v)
}
