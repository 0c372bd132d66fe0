package arbiter

import (
	"time"

	"magnoliastand.example/dispatch"
)

// Options sets the identity, durations and limits of an Arbiter. Zero durations
// and limits select the defaults.
type Options struct {
	// Zone is the availability zone and Term the arbiter's term in it. Each term
	// is used once.
	Zone string
	Term uint64
	// Evacuated is set if the zone is evacuated at the start of the term; see
	// SetEvacuated.
	Evacuated bool
	// Recovery describes the possible holders of a predecessor's grants.
	Recovery Recovery
	// StartWithin bounds the time from an origin's receipt of a grant to the
	// first byte. Default 200 ms.
	StartWithin time.Duration
	// Margin bounds the delivery time of a message between daemons and the clock
	// drift over a longest run. Default 100 ms.
	Margin time.Duration
	// EndpointGrace is how long asks wait while a service has no endpoint. Default 1 s.
	EndpointGrace time.Duration
	// QuickReserve is the fraction of a service's slots that long work may not
	// use. LongReserve is the fraction that quick work may not use while long
	// work waits. They apply to services with both classes. Defaults 0.125 and 0.25.
	QuickReserve, LongReserve float64
	// OpenShare is the combined share of all asks without a team. Default 1.
	OpenShare float64
	// MaxCredit bounds the slot time by which a team that was idle may be ahead of
	// the others. Default 0.
	MaxCredit time.Duration
	// MaxWaiting bounds the number of waiting asks over all queues. Default 65,536.
	MaxWaiting int
	// OverflowWait is the expected wait above which an ask is forwarded to
	// another zone that has free slots. Default 200 ms.
	OverflowWait time.Duration
	// OverflowShare bounds the number of asks forwarded to a zone per received
	// summary, as a fraction of the zone's free slots. Default 0.5.
	OverflowShare float64
	// PeerStale is the maximum age of a summary of another zone. Default 3 s.
	PeerStale time.Duration
}

// Recovery describes the daemons that may hold grants of earlier terms.
type Recovery struct {
	// Origins lists the daemons known to hold or to have held grants.
	Origins []dispatch.DaemonID
	// OriginsComplete is set if no other daemon can hold a grant of an earlier
	// term. The first arbiter of a zone has a complete list without origins.
	OriginsComplete bool
	// LongestRun is the largest longest run of any service in earlier terms,
	// including services that were removed. Default 30 s.
	LongestRun time.Duration
}

// Default values of Options.
const (
	DefaultStartWithin   = 200 * time.Millisecond
	DefaultMargin        = 100 * time.Millisecond
	DefaultEndpointGrace = time.Second
	DefaultQuickReserve  = 0.125
	DefaultLongReserve   = 0.25
	DefaultOpenShare     = 1.0
	DefaultMaxWaiting    = 65536
	DefaultOverflowWait  = 200 * time.Millisecond
	DefaultOverflowShare = 0.5
	DefaultPeerStale     = 3 * time.Second
)

func (o Options) withDefaults() Options {
	o.Recovery.LongestRun = orDefault(o.Recovery.LongestRun, defaultLongestRun)
	o.StartWithin = orDefault(o.StartWithin, DefaultStartWithin)
	o.Margin = orDefault(o.Margin, DefaultMargin)
	o.EndpointGrace = orDefault(o.EndpointGrace, DefaultEndpointGrace)
	o.QuickReserve = orDefault(o.QuickReserve, DefaultQuickReserve)
	o.LongReserve = orDefault(o.LongReserve, DefaultLongReserve)
	o.OpenShare = orDefault(o.OpenShare, DefaultOpenShare)
	o.MaxWaiting = orDefault(o.MaxWaiting, DefaultMaxWaiting)
	o.OverflowWait = orDefault(o.OverflowWait, DefaultOverflowWait)
	o.OverflowShare = orDefault(o.OverflowShare, DefaultOverflowShare)
	o.PeerStale = orDefault(o.PeerStale, DefaultPeerStale)
	return o
}

// reportDelayMargins is the number of message deliveries between sending a
// request's first byte and receiving an endpoint report that includes the
// request: to the endpoint, from there to a daemon, and on to the arbiter.
const reportDelayMargins = 3

// reportCovers returns the time from which a received endpoint report accounts
// for every request whose first byte was sent no later than latest.
func (o *Options) reportCovers(latest time.Time) time.Time {
	return latest.Add(reportDelayMargins * o.Margin)
}

// Limiter manages the arbiter's allotment of the teams' upper limits.
type Limiter interface {
	// Acquire takes one unit of the team's limit. It returns false if none is free.
	Acquire(team string) bool
	// Adopt adds units occupied by grants of earlier terms, even beyond the limit.
	Adopt(team string, units int64)
	// Release returns one unit that was acquired or adopted.
	Release(team string)
}

// mutations are defects that tests enable to verify that each rule is necessary
// and that the checks detect its violation. They are never set in production.
type mutations struct {
	leavingGetsWork   bool // grants slots of endpoints that are not ready
	freeOnUnknown     bool // an unknown outcome frees the slot and the unit
	freeUnitOnUnknown bool // an unknown outcome frees only the unit
	ignoreLimit       bool // the limiter is not consulted
	freeOnOriginLost  bool // a lost origin's grants are freed
	freeOnRestart     bool // a new incarnation frees every grant
	assumeFree        bool // a successor treats undeclared slots as free
	noReserve         bool // no slots are reserved for either class
	firstComeFirst    bool // teams are served in order of arrival
	noEarlyRefusal    bool // asks wait until their deadline
	ignoreSlots       bool // grants ignore occupied slots
	ignoreStalls      bool // latest starts are not extended after a suspension
	ignoreForwardHops bool // asks from other zones are forwarded again
	ignoreEvacuation  bool // grants slots of an evacuated zone
}
