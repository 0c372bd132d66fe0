package fleet

import "magnoliastand.example/api"

// Command is one change of the state. Exactly one of the body fields is set.
type Command struct {
	// At is when the command was proposed. Soak times and time-outs follow from
	// it, so the caller stamps commands by one clock, that of the leader.
	At     Millis `cbor:"1,keyasint"`
	Actor  Actor  `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint,omitempty"`

	SetConfig      *SetConfig     `cbor:"10,keyasint,omitempty"`
	Register       *Register      `cbor:"11,keyasint,omitempty"`
	Report         *Report        `cbor:"12,keyasint,omitempty"`
	PermitDrain    *PermitDrain   `cbor:"13,keyasint,omitempty"`
	BeginDrain     *OnInstance    `cbor:"14,keyasint,omitempty"`
	ConfirmDrained *OnInstance    `cbor:"15,keyasint,omitempty"`
	ChangePool     *ChangePool    `cbor:"16,keyasint,omitempty"`
	BeginReboot    *OnInstance    `cbor:"17,keyasint,omitempty"`
	ConfirmReboot  *ConfirmReboot `cbor:"18,keyasint,omitempty"`
	Join           *Join          `cbor:"19,keyasint,omitempty"`
	CancelPermit   *OnInstance    `cbor:"20,keyasint,omitempty"`
	Quarantine     *OnInstance    `cbor:"21,keyasint,omitempty"`
	Release        *OnInstance    `cbor:"22,keyasint,omitempty"`
	Pin            *Pin           `cbor:"23,keyasint,omitempty"`
	Deregister     *OnInstance    `cbor:"24,keyasint,omitempty"`
	StartWave      *OnWave        `cbor:"30,keyasint,omitempty"`
	PauseWave      *OnWave        `cbor:"31,keyasint,omitempty"`
	ResumeWave     *OnWave        `cbor:"32,keyasint,omitempty"`
	AbortWave      *OnWave        `cbor:"33,keyasint,omitempty"`
}

// SetConfig replaces the configuration.
type SetConfig struct {
	// Version must be above the version in force.
	Version uint64 `cbor:"1,keyasint"`
	Config  Config `cbor:"2,keyasint"`
}

// Config is the part of the fleet document that the state needs.
type Config struct {
	Pools     []api.Pool    `cbor:"1,keyasint"`
	Budgets   []api.Budget  `cbor:"2,keyasint,omitempty"`
	Waves     []api.Wave    `cbor:"3,keyasint,omitempty"`
	Objective api.Objective `cbor:"4,keyasint"`
}

// ConfigOf returns the part of the document that the state needs.
func ConfigOf(d *api.Document) Config {
	return Config{Pools: d.Pools, Budgets: d.Budgets, Waves: d.Waves, Objective: d.Objective}
}

// Register makes an instance known. A known instance keeps its pool; one that
// failed or fell silent joins again.
type Register struct {
	Instance  string    `cbor:"1,keyasint"`
	Zone      string    `cbor:"2,keyasint"`
	Rack      string    `cbor:"3,keyasint"`
	Resources Resources `cbor:"4,keyasint"`
	// Pool is the first pool of a new instance; empty means the spare pool.
	Pool string `cbor:"5,keyasint,omitempty"`
	Boot string `cbor:"6,keyasint,omitempty"`
}

// Health is what the platform reports about an instance.
type Health string

// Values of Health.
const (
	Healthy Health = "healthy"
	Broken  Health = "failed"
	// Silent means that the platform heard nothing from the instance.
	Silent Health = "silent"
)

// Report carries the health of an instance. A report that changes nothing is
// accepted.
type Report struct {
	Instance string `cbor:"1,keyasint"`
	Health   Health `cbor:"2,keyasint"`
	// Boot, if known, is the present boot of the machine.
	Boot string `cbor:"3,keyasint,omitempty"`
}

// OnInstance is the body of commands that need only an instance.
type OnInstance struct {
	Instance string `cbor:"1,keyasint"`
	// IfRevision, when positive, must equal the revision of the instance.
	IfRevision uint64 `cbor:"2,keyasint,omitempty"`
}

// PermitDrain asks for a drain permit. It is refused where the drain would
// pass a budget.
type PermitDrain struct {
	Instance   string  `cbor:"1,keyasint"`
	IfRevision uint64  `cbor:"2,keyasint,omitempty"`
	Purpose    Purpose `cbor:"3,keyasint"`
	// Target is the pool that a move ends in.
	Target string `cbor:"4,keyasint,omitempty"`
	// Wave names the running wave that a maintenance belongs to.
	Wave string `cbor:"5,keyasint,omitempty"`
}

// ChangePool puts a drained instance into the pool that its permit names.
type ChangePool struct {
	Instance string `cbor:"1,keyasint"`
	From     string `cbor:"2,keyasint"`
	To       string `cbor:"3,keyasint"`
}

// ConfirmReboot states that a rebooting instance started again.
type ConfirmReboot struct {
	Instance string `cbor:"1,keyasint"`
	// Boot must differ from the boot before the reboot.
	Boot string `cbor:"2,keyasint"`
}

// Join states that an instance was seen healthy and serving in Pool.
type Join struct {
	Instance string `cbor:"1,keyasint"`
	// Pool must be the pool of the instance.
	Pool string `cbor:"2,keyasint"`
}

// Pin keeps planners from draining an instance, or allows it again.
type Pin struct {
	Instance string `cbor:"1,keyasint"`
	Pinned   bool   `cbor:"2,keyasint"`
}

// OnWave is the body of commands on a wave.
type OnWave struct {
	Wave string `cbor:"1,keyasint"`
}

// Result describes the outcome of a command.
type Result struct {
	// Refused is empty for an accepted command.
	Refused Code `cbor:"1,keyasint,omitempty"`
	// Detail explains a refusal.
	Detail string `cbor:"2,keyasint,omitempty"`
	// Instance, State, Pool and Revision describe the instance after the command.
	Instance string    `cbor:"3,keyasint,omitempty"`
	State    Lifecycle `cbor:"4,keyasint,omitempty"`
	Pool     string    `cbor:"5,keyasint,omitempty"`
	Revision uint64    `cbor:"6,keyasint,omitempty"`
	// Wave is the state of the wave after a command on a wave.
	Wave WaveState `cbor:"7,keyasint,omitempty"`
}
