package api

import "time"

// Limits of a fleet document. They keep the memory for a document, its index and
// its validation within a few megabytes.
const (
	// MaxDocumentBytes limits the size of a document's text, in bytes.
	MaxDocumentBytes = 1 << 20
	// MaxNameLen limits the length of a name, in bytes.
	MaxNameLen = 63
	// MaxAvailabilityZones limits the number of availability zones in a document.
	MaxAvailabilityZones = 128
	// MaxPools limits the number of pools in a document.
	MaxPools = 1_000
	// MaxServices limits the number of services in a document.
	MaxServices = 1_000
	// MaxQueues limits the number of queues in a document, over all services.
	MaxQueues = 4_000
	// MaxTeams limits the number of teams in a document.
	MaxTeams = 2_000
	// MaxBudgets limits the number of availability budgets in a document.
	MaxBudgets = 1_000
	// MaxWaves limits the number of maintenance waves in a document.
	MaxWaves = 1_000
	// MaxInstances limits each instance count and the sum of the min_instances of all pools.
	MaxInstances = 100_000
	// MaxTeamShare limits the share of one team.
	MaxTeamShare = 1_000_000
	// MaxTeamLimit limits the limit field of one team.
	MaxTeamLimit = 1_000_000
	// MaxSlotsPerEndpoint limits the slots and the connections of one endpoint.
	MaxSlotsPerEndpoint = 4_096
	// MaxQueuedPerZone limits the max_queued of a queue, which applies per
	// availability zone.
	MaxQueuedPerZone = 100_000
	// MaxRequestBodyBytes limits the max_body_bytes of a queue.
	MaxRequestBodyBytes int64 = 64 << 20
	// MaxObjectiveWeight limits each weight of the objective.
	MaxObjectiveWeight = 1e6
)

// Limits of durations in a fleet document.
const (
	// MinLongestRun and MaxLongestRun are the bounds of a service's longest_run.
	// MinLongestRun is also the lower bound of objective latencies and wave timeouts.
	MinLongestRun = time.Millisecond
	MaxLongestRun = 24 * time.Hour
	// MaxQueueWait limits the max_wait of a queue.
	MaxQueueWait = time.Hour
	// MaxObjectiveLatency limits the latency of a service-level objective.
	MaxObjectiveLatency = 24 * time.Hour
	// MaxWaveTimeout limits the drain and reboot timeouts of a wave.
	MaxWaveTimeout = 7 * 24 * time.Hour
	// MinWavePeriod and MaxWavePeriod are the bounds of the period of a repeating
	// wave.
	MinWavePeriod = time.Minute
	MaxWavePeriod = 366 * 24 * time.Hour
)

// Limits of an announcement.
const (
	// MaxIncarnationLen limits the length of an endpoint's incarnation, in bytes.
	MaxIncarnationLen = 64
	// MaxAddressLen limits the length of an endpoint's address, in bytes.
	MaxAddressLen = 64
)

// Defaults of optional document fields.
const (
	// DefaultMaxBodyBytes applies to queues that do not set max_body_bytes.
	DefaultMaxBodyBytes int64 = 1 << 20
	// DefaultMaxWait applies to queues that do not set max_wait.
	DefaultMaxWait = 10 * time.Second
	// DefaultMaxQueued applies to queues that do not set max_queued.
	DefaultMaxQueued = 1_024
)
