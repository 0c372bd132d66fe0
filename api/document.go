package api

// Document is the fleet document: everything that operators configure. It is
// validated as a whole and takes effect in full or is refused.
type Document struct {
	// Name identifies the deployment.
	Name string `json:"name"`
	// AvailabilityZones lists the failure domains of the deployment.
	AvailabilityZones []AvailabilityZone `json:"availability_zones"`
	Pools             []Pool             `json:"pools"`
	Services          []Service          `json:"services"`
	Teams             []Team             `json:"teams"`
	Budgets           []Budget           `json:"budgets,omitempty"`
	Waves             []Wave             `json:"waves,omitempty"`
	Objective         Objective          `json:"objective"`
}

// AvailabilityZone is one failure domain that a network partition can cut off.
type AvailabilityZone struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
}

// Pool is a named set of instances. Every instance belongs to exactly one pool.
type Pool struct {
	Name string `json:"name"`
	// Spare marks the pool that lends instances to others; at most one pool is spare.
	Spare bool `json:"spare,omitempty"`
	// MinInstances bounds from below how many instances the planner leaves in the pool.
	MinInstances int `json:"min_instances,omitempty"`
	// MaxInstances bounds the pool from above; 0 means no bound.
	MaxInstances int `json:"max_instances,omitempty"`
}

// Service is a set of endpoints that run the requests of its queues.
type Service struct {
	Name string `json:"name"`
	// Pool names the pool whose instances run the service's endpoints.
	Pool string `json:"pool"`
	// SlotsPerEndpoint bounds requests running at once on one endpoint.
	SlotsPerEndpoint int `json:"slots_per_endpoint"`
	// ConnectionsPerEndpoint bounds connections to one endpoint over all daemons.
	ConnectionsPerEndpoint int `json:"connections_per_endpoint"`
	// LongestRun bounds how long one request may occupy a slot.
	LongestRun Duration `json:"longest_run"`
	Queues     []Queue  `json:"queues"`
}

// Class orders the work of queues within one arbiter.
type Class string

// Classes of work. Quick work holds reserved slots that long work cannot take.
const (
	ClassQuick Class = "quick"
	ClassLong  Class = "long"
)

// Queue is a named stream of requests for one service.
type Queue struct {
	Name string `json:"name"`
	// Open queues accept requests without a team key.
	Open bool `json:"open,omitempty"`
	// Class is quick or long; empty means quick.
	Class Class `json:"class,omitempty"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// MaxBodyBytes bounds the request body; 0 means 1 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxWait bounds the time a request waits for a slot; 0 means 10 s.
	MaxWait Duration `json:"max_wait,omitempty"`
	// MaxQueued bounds requests waiting at once in one availability zone; 0 means 1,024.
	MaxQueued int `json:"max_queued,omitempty"`
	// Objective is the service-level objective; nil means none.
	Objective *QueueObjective `json:"objective,omitempty"`
}

// QueueObjective is a service-level objective: Ratio of the requests are
// answered within Latency.
type QueueObjective struct {
	Latency Duration `json:"latency"`
	// Ratio lies strictly between 0 and 1.
	Ratio float64 `json:"ratio"`
}

// Team is a customer with keys, a share and an upper limit.
type Team struct {
	Name string `json:"name"`
	// Share is the team's weight when the fleet is full, a positive number.
	Share int `json:"share"`
	// Limit bounds requests and jobs of the team that may be running at once, fleet-wide; 0 means none may run.
	Limit int `json:"limit"`
	// JobLimit is the part of Limit that is set aside for jobs; the rest is for requests.
	JobLimit int `json:"job_limit,omitempty"`
}

// BudgetScope names what an availability budget ranges over.
type BudgetScope string

// Scopes of availability budgets.
const (
	ScopePool BudgetScope = "pool"
	ScopeRack BudgetScope = "rack"
	ScopeZone BudgetScope = "zone"
)

// Budget is an availability budget: within each domain of the scope at most
// MaxUnavailable instances may be unavailable through voluntary actions.
type Budget struct {
	Scope BudgetScope `json:"scope"`
	// Name selects one domain; empty applies the budget to every domain of the scope.
	Name           string `json:"name,omitempty"`
	MaxUnavailable int    `json:"max_unavailable"`
}

// Wave is a maintenance wave over the instances of some pools.
type Wave struct {
	Name  string   `json:"name"`
	Pools []string `json:"pools"`
	// Canary is the size of the first batch, in instances.
	Canary int `json:"canary"`
	// MaxBatch bounds the size of later batches, in instances.
	MaxBatch int `json:"max_batch"`
	// DrainTimeout bounds the time from permit to drained.
	DrainTimeout Duration `json:"drain_timeout"`
	// RebootTimeout bounds the time from drained to healthy again.
	RebootTimeout Duration `json:"reboot_timeout"`
	// StopAfterFailures pauses the wave once this many of its instances failed.
	StopAfterFailures int `json:"stop_after_failures"`
	// Period repeats the wave as a standing wave; 0 runs it once when started.
	Period Duration `json:"period,omitempty"`
}

// Objective weighs the planner's goals against each other. Weights are
// non-negative; only their ratios matter.
type Objective struct {
	BufferCost  float64 `json:"buffer_cost"`
	RollOutTime float64 `json:"roll_out_time"`
	Moves       float64 `json:"moves"`
	ShareError  float64 `json:"share_error"`
}
