package api

// Document is the fleet document, which holds the operators' configuration. It
// is validated as a whole and is either applied in full or rejected.
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

// AvailabilityZone is a failure domain that a network partition can isolate.
type AvailabilityZone struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
}

// Pool is a named set of instances. Every instance belongs to exactly one pool.
type Pool struct {
	Name string `json:"name"`
	// Spare marks the pool that lends instances to other pools; at most one
	// pool is the spare pool.
	Spare bool `json:"spare,omitempty"`
	// MinInstances is the minimum number of instances that the planner leaves in
	// the pool.
	MinInstances int `json:"min_instances,omitempty"`
	// MaxInstances limits the number of instances in the pool; 0 means no limit.
	MaxInstances int `json:"max_instances,omitempty"`
}

// Service is a set of endpoints that process the requests of its queues.
type Service struct {
	Name string `json:"name"`
	// Pool names the pool whose instances run the service's endpoints.
	Pool string `json:"pool"`
	// SlotsPerEndpoint limits the requests running concurrently on one endpoint.
	SlotsPerEndpoint int `json:"slots_per_endpoint"`
	// ConnectionsPerEndpoint limits the connections to one endpoint from all
	// daemons together.
	ConnectionsPerEndpoint int `json:"connections_per_endpoint"`
	// LongestRun limits the time that one request may occupy a slot.
	LongestRun Duration `json:"longest_run"`
	Queues     []Queue  `json:"queues"`
}

// Class is the scheduling class of a queue's work within one arbiter.
type Class string

// Scheduling classes. Some slots are reserved for quick work and are not given
// to long work.
const (
	ClassQuick Class = "quick"
	ClassLong  Class = "long"
)

// Queue is a named stream of requests for one service.
type Queue struct {
	Name string `json:"name"`
	// Open allows requests without a team key.
	Open bool `json:"open,omitempty"`
	// Class is ClassQuick or ClassLong; empty means ClassQuick.
	Class Class `json:"class,omitempty"`
	// Idempotent allows a request to run more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// MaxBodyBytes limits the size of a request body; 0 means 1 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxWait limits the time that a request waits for a slot; 0 means 10 s.
	MaxWait Duration `json:"max_wait,omitempty"`
	// MaxQueued limits the requests waiting concurrently in one availability zone;
	// 0 means 1,024.
	MaxQueued int `json:"max_queued,omitempty"`
	// Objective is the service-level objective; nil means none.
	Objective *QueueObjective `json:"objective,omitempty"`
}

// QueueObjective is a service-level objective: the fraction Ratio of all requests
// is answered within Latency.
type QueueObjective struct {
	Latency Duration `json:"latency"`
	// Ratio lies strictly between 0 and 1.
	Ratio float64 `json:"ratio"`
}

// Team is a tenant with its own keys, a share of the fleet and an upper limit.
type Team struct {
	Name string `json:"name"`
	// Share is the team's weight when the fleet has no free slots. It is positive.
	Share int `json:"share"`
	// Limit is the number of the team's requests and jobs that may run
	// concurrently in the whole fleet; 0 means that none may run.
	Limit int `json:"limit"`
	// JobLimit is the part of Limit that is reserved for jobs; the rest is for
	// requests.
	JobLimit int `json:"job_limit,omitempty"`
}

// BudgetScope is the kind of domain that an availability budget applies to.
type BudgetScope string

// Scopes of availability budgets.
const (
	ScopePool BudgetScope = "pool"
	ScopeRack BudgetScope = "rack"
	ScopeZone BudgetScope = "zone"
)

// Budget is an availability budget: in each domain of the scope, voluntary
// disruptions may make at most MaxUnavailable instances unavailable at a time.
type Budget struct {
	Scope BudgetScope `json:"scope"`
	// Name selects one domain; empty applies the budget to every domain of the scope.
	Name           string `json:"name,omitempty"`
	MaxUnavailable int    `json:"max_unavailable"`
}

// Wave is a rolling maintenance of all instances in a set of pools.
type Wave struct {
	Name  string   `json:"name"`
	Pools []string `json:"pools"`
	// Canary is the size of the first batch, in instances.
	Canary int `json:"canary"`
	// MaxBatch is the maximum size of later batches, in instances.
	MaxBatch int `json:"max_batch"`
	// DrainTimeout limits the time from the maintenance permit of an instance to
	// the end of its drain.
	DrainTimeout Duration `json:"drain_timeout"`
	// RebootTimeout limits the time from the end of the drain until the instance
	// is healthy again.
	RebootTimeout Duration `json:"reboot_timeout"`
	// StopAfterFailures is the number of failed instances at which the wave is
	// paused.
	StopAfterFailures int `json:"stop_after_failures"`
	// Period is the interval at which the wave repeats; 0 means that it runs once
	// when started.
	Period Duration `json:"period,omitempty"`
}

// Objective holds the weights of the terms in the planner's objective function.
// Weights are non-negative; only their ratios matter.
type Objective struct {
	BufferCost  float64 `json:"buffer_cost"`
	RollOutTime float64 `json:"roll_out_time"`
	Moves       float64 `json:"moves"`
	ShareError  float64 `json:"share_error"`
}
