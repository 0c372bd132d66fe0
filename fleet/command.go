package fleet

import "magnoliastand.example/api"

// Command is one change to the state. Exactly one of the body fields is set.
type Command struct {
	// At is when the command was proposed. Soak times and time-outs are
	// computed from it, so all commands must be stamped by the leader's clock.
	At     Millis `cbor:"1,keyasint"`
	Actor  Actor  `cbor:"2,keyasint"`
	Reason string `cbor:"3,keyasint,omitempty"`

	SetConfig      *SetConfig       `cbor:"10,keyasint,omitempty"`
	Register       *Register        `cbor:"11,keyasint,omitempty"`
	Report         *Report          `cbor:"12,keyasint,omitempty"`
	PermitDrain    *PermitDrain     `cbor:"13,keyasint,omitempty"`
	BeginDrain     *InstanceCommand `cbor:"14,keyasint,omitempty"`
	ConfirmDrained *InstanceCommand `cbor:"15,keyasint,omitempty"`
	ChangePool     *ChangePool      `cbor:"16,keyasint,omitempty"`
	BeginReboot    *InstanceCommand `cbor:"17,keyasint,omitempty"`
	ConfirmReboot  *ConfirmReboot   `cbor:"18,keyasint,omitempty"`
	Join           *Join            `cbor:"19,keyasint,omitempty"`
	CancelPermit   *InstanceCommand `cbor:"20,keyasint,omitempty"`
	Quarantine     *InstanceCommand `cbor:"21,keyasint,omitempty"`
	Release        *InstanceCommand `cbor:"22,keyasint,omitempty"`
	Pin            *Pin             `cbor:"23,keyasint,omitempty"`
	Deregister     *InstanceCommand `cbor:"24,keyasint,omitempty"`
	StartWave      *WaveCommand     `cbor:"30,keyasint,omitempty"`
	PauseWave      *WaveCommand     `cbor:"31,keyasint,omitempty"`
	ResumeWave     *WaveCommand     `cbor:"32,keyasint,omitempty"`
	AbortWave      *WaveCommand     `cbor:"33,keyasint,omitempty"`
}

// SetConfig replaces the configuration.
type SetConfig struct {
	// Version must be greater than the current version.
	Version uint64 `cbor:"1,keyasint"`
	Config  Config `cbor:"2,keyasint"`
}

// Config is the subset of the fleet document that the state uses.
type Config struct {
	Pools     []api.Pool    `cbor:"1,keyasint"`
	Budgets   []api.Budget  `cbor:"2,keyasint,omitempty"`
	Waves     []api.Wave    `cbor:"3,keyasint,omitempty"`
	Objective api.Objective `cbor:"4,keyasint"`
}

// ConfigOf extracts the Config from a document.
func ConfigOf(d *api.Document) Config {
	return Config{Pools: d.Pools, Budgets: d.Budgets, Waves: d.Waves, Objective: d.Objective}
}

// Register adds an instance. An instance that is already registered keeps its
// pool; if its state is failed or unknown, it joins again.
type Register struct {
	Instance  string    `cbor:"1,keyasint"`
	Zone      string    `cbor:"2,keyasint"`
	Rack      string    `cbor:"3,keyasint"`
	Resources Resources `cbor:"4,keyasint"`
	// Pool is the initial pool of a new instance; empty means the spare pool.
	Pool string `cbor:"5,keyasint,omitempty"`
	Boot string `cbor:"6,keyasint,omitempty"`
}

// Health is the health of an instance as reported by the platform.
type Health string

// Values of Health.
const (
	Healthy Health = "healthy"
	Broken  Health = "failed"
	// Silent means that the instance does not respond to the platform.
	Silent Health = "silent"
)

// Report carries the health of an instance. A report that does not change the
// state of the instance is accepted.
type Report struct {
	Instance string `cbor:"1,keyasint"`
	Health   Health `cbor:"2,keyasint"`
	// Boot identifies the current boot of the machine; empty if not known.
	Boot string `cbor:"3,keyasint,omitempty"`
}

// InstanceCommand is the body of commands that need only an instance.
type InstanceCommand struct {
	Instance string `cbor:"1,keyasint"`
	// IfRevision, when positive, must equal the revision of the instance.
	IfRevision uint64 `cbor:"2,keyasint,omitempty"`
}

// PermitDrain requests a drain permit. It is refused if the drain would exceed
// a budget.
type PermitDrain struct {
	Instance   string  `cbor:"1,keyasint"`
	IfRevision uint64  `cbor:"2,keyasint,omitempty"`
	Purpose    Purpose `cbor:"3,keyasint"`
	// Target is the destination pool of a move.
	Target string `cbor:"4,keyasint,omitempty"`
	// Wave names the running wave that a maintenance belongs to.
	Wave string `cbor:"5,keyasint,omitempty"`
}

// ChangePool moves a drained instance to the target pool of its permit.
type ChangePool struct {
	Instance string `cbor:"1,keyasint"`
	From     string `cbor:"2,keyasint"`
	To       string `cbor:"3,keyasint"`
}

// ConfirmReboot reports that a rebooting instance has started again.
type ConfirmReboot struct {
	Instance string `cbor:"1,keyasint"`
	// Boot must differ from the boot before the reboot.
	Boot string `cbor:"2,keyasint"`
}

// Join reports that an instance is healthy and serving in Pool.
type Join struct {
	Instance string `cbor:"1,keyasint"`
	// Pool must be the pool of the instance.
	Pool string `cbor:"2,keyasint"`
}

// Pin sets whether an instance is pinned. Only operators may drain a pinned
// instance.
type Pin struct {
	Instance string `cbor:"1,keyasint"`
	Pinned   bool   `cbor:"2,keyasint"`
}

// WaveCommand is the body of wave commands.
type WaveCommand struct {
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
	// Wave is the state of the wave after a wave command.
	Wave WaveState `cbor:"7,keyasint,omitempty"`
}
