package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// Bounds of what is kept for each instance.
const (
	// maxHistory is the number of history entries kept for one instance.
	maxHistory = 16
	// maxReason is the length of a kept reason in bytes.
	maxReason = 160
)

// Millis is a point in time in milliseconds since the Unix epoch.
type Millis int64

// Role names the kind of party that issues a command.
type Role string

// Roles of actors.
const (
	RolePlanner  Role = "planner"
	RoleOperator Role = "operator"
	RolePlatform Role = "platform"
)

// Actor is the party that issued a command.
type Actor struct {
	Role Role   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint,omitempty"`
}

// Resources is what an instance offers to tasks.
type Resources struct {
	// Processors is a number of cores.
	Processors int `cbor:"1,keyasint,omitempty"`
	// MemoryMB is in megabytes.
	MemoryMB int `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of devices.
	Accelerators int `cbor:"3,keyasint,omitempty"`
}

// Purpose says why an instance is drained.
type Purpose string

// Purposes of a drain permit.
const (
	PurposeMove        Purpose = "move"
	PurposeMaintenance Purpose = "maintenance"
	// PurposeRetire drains an instance that is then deregistered.
	PurposeRetire Purpose = "retire"
)

// Permit allows an instance to be drained. It is held from the permit until
// the instance is active again or fails.
type Permit struct {
	Purpose Purpose `cbor:"1,keyasint"`
	// Target is the pool that a move ends in.
	Target string `cbor:"2,keyasint,omitempty"`
	// Wave names the maintenance wave, if the permit belongs to one.
	Wave string `cbor:"3,keyasint,omitempty"`
	// Round is the round of the wave.
	Round uint64 `cbor:"4,keyasint,omitempty"`
	Since Millis `cbor:"5,keyasint"`
	By    Actor  `cbor:"6,keyasint"`
	// Rebooted is set once the reboot of a maintenance is confirmed.
	Rebooted bool `cbor:"7,keyasint,omitempty"`
}

// Visit records that a wave maintained the instance.
type Visit struct {
	Wave  string `cbor:"1,keyasint"`
	Round uint64 `cbor:"2,keyasint"`
	At    Millis `cbor:"3,keyasint"`
}

// Entry is one line of an instance's history.
type Entry struct {
	At     Millis    `cbor:"1,keyasint"`
	Actor  Actor     `cbor:"2,keyasint"`
	Event  Event     `cbor:"3,keyasint"`
	From   Lifecycle `cbor:"4,keyasint,omitempty"`
	To     Lifecycle `cbor:"5,keyasint"`
	Pool   string    `cbor:"6,keyasint"`
	Reason string    `cbor:"7,keyasint,omitempty"`
}

// Instance is one machine of the fleet. It belongs to exactly one pool, the
// one named by Pool.
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
	// Boot identifies the boot of the machine, as last reported.
	Boot string `cbor:"9,keyasint,omitempty"`
	// Pinned instances are drained by operators only.
	Pinned bool `cbor:"10,keyasint,omitempty"`
	// Revision increases with each change of the instance.
	Revision uint64  `cbor:"11,keyasint"`
	Visits   []Visit `cbor:"12,keyasint,omitempty"`
	History  []Entry `cbor:"13,keyasint,omitempty"`
}

// VisitOf returns the latest visit of the wave, or the zero Visit.
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

// Why tells an operator in one line what brought the instance into its state
// and who asked for it.
func (i *Instance) Why() string {
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

// record appends a history entry and drops the oldest above maxHistory.
func (i *Instance) record(cmd *Command, e Event, from Lifecycle) {
	reason := cmd.Reason
	if len(reason) > maxReason {
		// A cut within a character would make the snapshot undecodable.
		reason = strings.ToValidUTF8(reason[:maxReason], "")
	}
	i.History = append(i.History, Entry{
		At: cmd.At, Actor: cmd.Actor, Event: e, From: from, To: i.State, Pool: i.Pool, Reason: reason,
	})
	if extra := len(i.History) - maxHistory; extra > 0 {
		i.History = slices.Delete(i.History, 0, extra)
	}
}

// visit records a visit of the wave in place of its previous one.
func (i *Instance) visit(v Visit) {
	for n := range i.Visits {
		if i.Visits[n].Wave == v.Wave {
			i.Visits[n] = v
			return
		}
	}
	i.Visits = append(i.Visits, v)
}
