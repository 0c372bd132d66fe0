// Package arbiter decides which request gets which slot in one availability
// zone.
//
// Arbiter is a pure state machine: inputs carry the time, outputs are Events.
// It starts no goroutine and reads no clock. The caller serialises inputs,
// passes times that never go back, and delivers the events.
//
// # Order
//
// Among the asks that wait for a service, quick work goes before long work. A
// part of the slots is kept free of long work, so that quick work starts at
// once; quick work leaves another part to long work that waits, so that long
// work is never starved. Within a class the team that is furthest below its
// share goes first (package fairshare). The queues of a team share its slots
// equally while they all wait, and within a queue the oldest ask goes first.
//
// An ask is refused at once when the rate at which the asks ahead of it start
// shows that its patience will end first. When a queue is full, the team that
// holds most of it for its share gives way.
//
// # Occupied slots and units
//
// A grant occupies a slot of its endpoint and a unit of its team's limit until
// the request can no longer be running: a whole answer was read, the endpoint
// said that it did not accept it, the grant was released unused, the endpoint's
// process has ended, or the longest run has passed. A caller that hung up, an
// origin that timed out or died, and an answer that broke off free nothing.
//
// The first byte of a request is sent at most StartWithin after its origin
// received the grant, and the link delivers the grant within Margin or never.
// So the latest first byte of a grant given at t is t+Margin+StartWithin. When
// an endpoint announces a new incarnation, the old one was alive when it was
// last heard. Only grants whose latest first byte lies before that time are
// known to have ended with it; a later one may have reached the new process.
//
// # Succession
//
// A new arbiter does not know what its predecessor granted. It counts every
// slot that an endpoint announces as unknown at first, so that
//
//	granted + unknown <= slots
//
// holds throughout. An unknown slot becomes known when an origin declares a
// grant that it holds, and usable when that grant is released. Unknown slots
// that nobody declares become usable when
//
//   - every daemon that may hold a grant has declared (Recovery.Complete), or
//   - the endpoint announces how many requests it runs, in a word from after
//     the last possible start of an earlier term's grant: from then on unknown
//     work is at most that number and only falls, or
//   - the endpoint's process that the predecessor could have given work to has
//     ended, or
//   - the latest start of an earlier term's grant plus the longest run has passed.
//
// A declared grant counts against the slots, not against the number that the
// endpoint said to be running, since it may have ended before that word.
//
// It follows that no grant has to wait for the slowest origin: what is not
// declared yet stays within the unknown slots. A predecessor that still grants
// to origins cut off from its successor can over-ask an endpoint, which then
// refuses; it can't exceed a team's limit, since each arbiter draws on its own
// allotment through Limiter and adopts the units of declared grants there.
//
// # Duties of the caller
//
//   - A term is used once.
//   - An origin that declared to a term ignores grants of lower terms that it
//     did not declare, and uses each grant once.
//   - A declaration also lists grants that were released with an unknown
//     outcome, as started, until their longest run has passed.
//   - Links between daemons deliver in order and within Margin, or break. When
//     one to an origin is made anew, Reconnected comes first, and the origin
//     repeats its waiting asks.
//   - An origin that was stopped for longer than Margin breaks its links before
//     it handles what it finds in their buffers. The arbiter itself, and the
//     registry of each daemon, notice their own stops by the gap between inputs.
//   - Endpoints enforce the longest run, or it is set so that they can't exceed it.
package arbiter
