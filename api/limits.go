package api

import "time"

// Bounds of a fleet document. They keep every document, its index and its
// validation within a few megabytes of memory.
const (
	// MaxDocumentBytes bounds the text of a document.
	MaxDocumentBytes = 1 << 20
	// MaxNameLen bounds a name, in bytes.
	MaxNameLen = 63
	// MaxAvailabilityZones bounds the availability zones of a document.
	MaxAvailabilityZones = 128
	// MaxPools bounds the pools of a document.
	MaxPools = 1_000
	// MaxServices bounds the services of a document.
	MaxServices = 1_000
	// MaxQueues bounds the queues of a document over all services.
	MaxQueues = 4_000
	// MaxTeams bounds the teams of a document.
	MaxTeams = 2_000
	// MaxBudgets bounds the availability budgets of a document.
	MaxBudgets = 1_000
	// MaxWaves bounds the maintenance waves of a document.
	MaxWaves = 1_000
	// MaxInstances bounds every count of instances and the sum of all lower bounds of pools.
	MaxInstances = 100_000
	// MaxTeamShare bounds the share of one team.
	MaxTeamShare = 1_000_000
	// MaxTeamLimit bounds the upper limit of one team.
	MaxTeamLimit = 1_000_000
	// MaxSlotsPerEndpoint bounds the slots and the connections of one endpoint.
	MaxSlotsPerEndpoint = 4_096
	// MaxQueuedPerZone bounds the requests of one queue that wait in one availability zone.
	MaxQueuedPerZone = 100_000
	// MaxRequestBodyBytes bounds what a queue may set as its largest request body.
	MaxRequestBodyBytes int64 = 64 << 20
	// MaxObjectiveWeight bounds each weight of the objective.
	MaxObjectiveWeight = 1e6
)

// Bounds of durations in a fleet document.
const (
	// MinLongestRun and MaxLongestRun bound the longest run time of a service's requests.
	MinLongestRun = time.Millisecond
	MaxLongestRun = 24 * time.Hour
	// MaxQueueWait bounds the time that a request may wait for a slot.
	MaxQueueWait = time.Hour
	// MaxObjectiveLatency bounds the latency of a service-level objective.
	MaxObjectiveLatency = 24 * time.Hour
	// MaxWaveTimeout bounds the drain and reboot timeouts of a wave.
	MaxWaveTimeout = 7 * 24 * time.Hour
	// MinWavePeriod and MaxWavePeriod bound the period of a standing wave.
	MinWavePeriod = time.Minute
	MaxWavePeriod = 366 * 24 * time.Hour
)

// Bounds of an announcement.
const (
	// MaxIncarnationLen bounds the incarnation of an endpoint, in bytes.
	MaxIncarnationLen = 64
	// MaxAddressLen bounds the address of an endpoint, in bytes.
	MaxAddressLen = 64
)

// Defaults of fields that a document may leave out.
const (
	// DefaultMaxBodyBytes bounds the request body of a queue that sets no bound.
	DefaultMaxBodyBytes int64 = 1 << 20
	// DefaultMaxWait bounds the wait for a slot on a queue that sets no bound.
	DefaultMaxWait = 10 * time.Second
	// DefaultMaxQueued bounds the waiting requests of a queue that sets no bound.
	DefaultMaxQueued = 1_024
)
