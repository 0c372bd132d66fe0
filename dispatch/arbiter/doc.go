// Package arbiter allocates endpoint slots to requests within one availability
// zone.
//
// Arbiter is a deterministic state machine: inputs carry the current time and
// outputs are Events. It starts no goroutine and reads no clock. The caller
// serialises inputs, passes non-decreasing times, and delivers the events.
//
// # Scheduling order
//
// Among the asks waiting for a service, the quick class has priority over the
// long class. Long work may not use a reserved part of the slots, so that quick
// work starts at once; quick work leaves another reserved part to waiting long
// work, so that long work is never starved. Within a class, the team furthest
// below its share is served first (package fairshare). The queues of a team
// share its slots equally while they all have waiting asks, and each queue is
// served first in, first out.
//
// An ask is refused immediately when the rate at which the asks ahead of it
// start shows that its wait limit will expire first. When a queue is full, the
// newest ask of the team with the most waiting asks relative to its share is
// refused to admit a new one.
//
// # Lifetime of slots and team units
//
// A grant occupies a slot of its endpoint and a unit of its team's limit until
// the request can no longer be running: a complete response was read, the
// endpoint reported that it did not accept the request, the grant was released
// unused, the endpoint process has ended, or the longest run has elapsed. A
// disconnected caller, an origin that timed out or crashed, and a truncated
// response free nothing.
//
// The first byte of a request is sent at most StartWithin after its origin
// received the grant, and the link delivers the grant within Margin or never.
// The latest first byte of a grant issued at t is therefore sent at
// t+Margin+StartWithin. When an endpoint announces a new incarnation, the
// previous one was alive when it was last heard from. Only grants whose latest
// first byte precedes that time are known to have ended with the old process; a
// later request may have reached the new one.
//
// # Succession
//
// A new arbiter does not know what its predecessor granted. It initially counts
// every slot that an endpoint announces as unknown, so that
//
//	granted + unknown <= slots
//
// holds throughout. An unknown slot becomes known when an origin declares a
// grant of the previous term, and usable when that grant is released. Unknown
// slots that are not declared become usable when
//
//   - every daemon that may hold a grant has declared
//     (Recovery.OriginsComplete), or
//   - the endpoint announces its number of running requests in a report sent
//     after the last possible start of an earlier term's grant: from then on the
//     unknown work is at most that number and can only decrease, or
//   - the endpoint process that the predecessor could have sent work to has
//     ended, or
//   - the longest run has elapsed since the latest start of an earlier term's
//     grant.
//
// Only a grant of the immediately preceding term accounts for an unknown slot,
// because the predecessor may have freed the slots of older ones. It reduces the
// bound derived from the slot count, not the bound derived from the endpoint's
// report, because the request may have ended before that report.
//
// Consequently no grant has to wait for the slowest origin: undeclared work
// stays within the unknown slots. A predecessor that still grants to origins
// partitioned from its successor can over-commit an endpoint, which then refuses
// requests. It can't exceed a team's limit, because each arbiter draws on its
// own allotment through Limiter and adopts the units of declared grants there.
//
// # Requirements on the caller
//
//   - Each term is used once.
//   - An origin that declared to a term ignores undeclared grants of lower terms
//     and uses each grant once.
//   - A declaration also lists grants that were released with an unknown
//     outcome, as started, until their longest run has elapsed.
//   - Links between daemons deliver in order and within Margin, or break. When
//     a link to an origin is re-established, OriginReconnected is called first,
//     and the origin repeats its waiting asks.
//   - An origin that was suspended for longer than Margin closes its links before
//     it processes buffered messages. The arbiter and the registry of each daemon
//     detect their own suspensions by the gap between inputs.
//   - Endpoints enforce the longest run, or it is set so that requests can't
//     exceed it.
package arbiter
