package daemon

import (
	"time"

	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/endpoint"
)

// Methods of calls and notifications between daemons.
const (
	methodHeartbeat    = "zone.heartbeat"
	methodPing         = "zone.ping"
	methodFeed         = "zone.feed"
	methodSummary      = "zone.summary"
	methodAsk          = "slot.ask"
	methodCancel       = "slot.cancel"
	methodRelease      = "slot.release"
	methodPoll         = "control.poll"
	methodPropose      = "control.propose"
	methodClaim        = "control.claim"
	methodDemand       = "control.demand"
	methodHoldings     = "slot.holdings"
	methodJobs         = "jobs.call"
	methodReport       = "control.report"
	methodLoad         = "fleet.load"
	methodFleet        = "fleet.status"
	methodBurn         = "report.burn"
	methodRecordBegin  = "record.begin"
	methodRecordFinish = "record.finish"
	methodRecordLookup = "record.lookup"
	// methodRecordHold and methodRecordInherit carry records over a restart.
	methodRecordHold    = "record.hold"
	methodRecordInherit = "record.inherit"
)

// codeNotArbiter is the fault of a call to a daemon that is not the arbiter of
// the term that the caller named.
const codeNotArbiter = "not-arbiter"

// arbiterRef names the arbiter of a zone. Terms given by the control log are
// multiples of provisionalTerms; terms between them belong to provisional
// arbiters of a zone without the control quorum.
type arbiterRef struct {
	Name string `cbor:"1,keyasint"`
	Term uint64 `cbor:"2,keyasint"`
	// Incarnation names the process: a daemon that restarted does not go on with
	// the term of its former process.
	Incarnation string `cbor:"3,keyasint"`
}

const (
	// provisionalTerms is the distance between two terms of the control log.
	provisionalTerms = 1 << 16
	// provisionalStep is the distance between two provisional attempts; the
	// remainder tells daemons of the zone apart.
	provisionalStep = 1 << 6
)

// heartbeat tells a zone peer who is alive and who the arbiter is.
type heartbeat struct {
	Daemon  dispatch.DaemonID `cbor:"1,keyasint"`
	Arbiter arbiterRef        `cbor:"2,keyasint"`
	// Leaving daemons do not become arbiter.
	Leaving bool `cbor:"3,keyasint,omitempty"`
}

// feedRequest asks a zone peer for what changed in its registry.
type feedRequest struct {
	Since uint64 `cbor:"1,keyasint"`
}

// askRequest is an ask addressed to one term of a zone's arbiter.
type askRequest struct {
	Term uint64       `cbor:"1,keyasint"`
	Ask  dispatch.Ask `cbor:"2,keyasint"`
}

// askReply holds either a grant or a refusal.
type askReply struct {
	Grant   *dispatch.Grant   `cbor:"1,keyasint,omitempty"`
	Refusal *dispatch.Refusal `cbor:"2,keyasint,omitempty"`
}

// cancelNotice takes back an ask, or a grant that its origin did not take.
type cancelNotice struct {
	Term      uint64            `cbor:"1,keyasint"`
	RequestID string            `cbor:"2,keyasint"`
	Origin    dispatch.DaemonID `cbor:"3,keyasint"`
}

// releaseRequest returns grants to the arbiter of a term. Declaration is set in
// the first request to a new term.
type releaseRequest struct {
	Term        uint64                `cbor:"1,keyasint"`
	Declaration *dispatch.Declaration `cbor:"2,keyasint,omitempty"`
	Releases    []dispatch.Release    `cbor:"3,keyasint,omitempty"`
}

// summaryNotice tells another zone's arbiter what this zone has.
type summaryNotice struct {
	Summary endpoint.Summary `cbor:"1,keyasint"`
}

// Times of the protocols within a zone.
const (
	// heartbeatInterval applies between the arbiter and the zone's other daemons,
	// and between all of them while the arbiter is missing.
	heartbeatInterval = 250 * time.Millisecond
	// peerSilence is the age of a peer's last heartbeat from which on it counts as down.
	peerSilence = 750 * time.Millisecond
	// restInterval and restSilence apply between daemons that are not the arbiter.
	restInterval = time.Second
	restSilence  = 2500 * time.Millisecond
	// feedInterval applies to the arbiter, restInterval to the others.
	feedInterval    = 300 * time.Millisecond
	summaryInterval = 500 * time.Millisecond
	// summaryRepeat is how often an unchanged summary is sent again.
	summaryRepeat  = 2 * time.Second
	electionTick   = 50 * time.Millisecond
	arbiterTick    = 50 * time.Millisecond
	releaseTimeout = time.Second
	releaseBackoff = 50 * time.Millisecond
)
