package arbiter

import (
	"time"

	"magnoliastand.example/dispatch"
)

// Options sets the identity, times and bounds of an Arbiter. Zero times and
// bounds take defaults.
type Options struct {
	// Zone is the availability zone, Term the arbiter's term in it. A term is
	// used once only.
	Zone string
	Term uint64
	// Recovery tells what a predecessor may have left behind.
	Recovery Recovery
	// StartWithin bounds the time from an origin's receipt of a grant to the
	// first byte. Default 200 ms.
	StartWithin time.Duration
	// Margin bounds the delivery of a message between daemons and the drift of
	// clocks over a longest run. Default 100 ms.
	Margin time.Duration
	// EndpointGrace is the time that asks wait while a service has no endpoint. Default 1 s.
	EndpointGrace time.Duration
	// QuickReserve is the share of a service's slots that long work leaves
	// free, LongReserve the share that quick work leaves to long work that
	// waits. They apply to services with both classes. Defaults 0.125 and 0.25.
	QuickReserve, LongReserve float64
	// OpenShare is the share of all asks without a team. Default 1.
	OpenShare float64
	// Credit bounds what a team that returns from idle is ahead of others, in
	// slot time. Default 0.
	Credit time.Duration
	// MaxWaiting bounds waiting asks over all queues. Default 65,536.
	MaxWaiting int
	// OverflowWait is the expected wait from which on an ask goes to another
	// zone that has free slots. Default 200 ms.
	OverflowWait time.Duration
	// OverflowShare bounds the asks forwarded to a zone per summary of it, as a
	// share of its free slots. Default 0.5.
	OverflowShare float64
	// PeerStale is the age at which another zone's summary is no longer used. Default 3 s.
	PeerStale time.Duration
}

// Recovery describes the daemons that may hold grants of earlier terms.
type Recovery struct {
	// Origins lists the daemons known to hold or to have held grants.
	Origins []dispatch.DaemonID
	// Complete states that no other daemon can hold a grant of an earlier term.
	// The first arbiter of a zone has no origins and a complete list.
	Complete bool
	// LongestRun is the longest run that any service had in earlier terms, also
	// one that is configured no more. Default 30 s.
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

// wordMargins is the number of message deliveries between the sending of a
// request's first byte and the time at which an endpoint's word about it counts
// as heard: to the endpoint, from it to a daemon, from there to the arbiter.
const reportDelayMargins = 3

// wordAfter returns the time from which on an endpoint's word takes account of
// every request whose first byte was sent at latest.
func (o *Options) reportCovers(latest time.Time) time.Time {
	return latest.Add(reportDelayMargins * o.Margin)
}

// Limiter holds the arbiter's part of the teams' upper limits.
type Limiter interface {
	// Acquire takes one unit of the team's limit. It reports false when none is free.
	Acquire(team string) bool
	// Adopt counts units that grants of earlier terms occupy, also beyond the limit.
	Adopt(team string, units int64)
	// Release returns one unit that Acquire took or Adopt counted.
	Release(team string)
}

// mutations are switched off by tests only, to show that each one matters.
type mutations struct {
	leavingGetsWork   bool // grants on endpoints that are not ready
	freeOnUnknown     bool // an unknown outcome frees slot and unit
	freeUnitOnUnknown bool // an unknown outcome frees the unit only
	ignoreLimit       bool // the limiter is not asked
	freeOnOriginLost  bool // a lost origin's grants are freed
	freeOnRestart     bool // a new incarnation frees every grant
	assumeFree        bool // a successor takes undeclared slots as free
	noReserve         bool // classes hold no minimum
	firstComeFirst    bool // teams are served in order of arrival
	noEarlyRefusal    bool // asks wait until their patience ends
	ignoreSlots       bool // grants regardless of occupied slots
	ignoreStalls      bool // grants sent after a stall count from before it
	ignoreForwardHops bool // forwards what was forwarded already
}
