// Package record decides that a request id starts at most once over all
// daemons, and keeps answers for callers that resend.
//
// # Ids of the home form
//
// An id "<zone>.<daemon>-<incarnation>.<unique>" names the daemon incarnation
// that handed it out. Only that incarnation permits a start, from memory, once
// for each id: two starts would need two permissions from one memory. When the
// incarnation has ended, nobody can permit a start, so the id is unknown, or
// answered by a copy at a peer. Ids are forgotten after Retention, or earlier
// when memory is short; counters up to the highest one forgotten never start.
// Ids that an origin gives to requests without one (KindOwn) are started only
// by that call and are recorded nowhere.
//
// # Ids in the callers' own form
//
// Three keepers, chosen by rendezvous hashing over the configured daemons and
// spread over zones, each permit the first token only. A start needs two
// permissions, and any two majorities share a keeper. A keeper that restarted
// without its memory abstains for Retention: ids begun before the restart are
// past their resend window by then. When the configured daemons change, starts
// need majorities of the keepers by the former configuration too, until
// Retention has passed. Claims that split the keepers withdraw and try again
// after a random pause.
//
// # Restarts
//
// A daemon that stops in order seals its records, so that it permits nothing
// any more, and gives them to exactly one peer. Its next incarnation claims
// them there; the peer serves only the first incarnation that asks, and only
// for half a Retention. So the memory of a daemon stands in one place at a
// time: an incarnation in between either claimed it, or abstains until no claim
// is possible any more. After a claim, the new incarnation decides on the ids of
// the former homes and votes as the former one did: what an incarnation before
// lost stays lost, so the rest of an abstention is handed over too.
//
// # What "not run" promises
//
// A token that ended without running releases its id, so a caller may resend
// it. The deciders remember when "not run" was said. An attempt that arrived
// before that, and is begun after it, is superseded and does not start: the
// caller was already told that the id did not run. An attempt that arrives
// after it may start, so a caller that sends an id again without waiting for
// the answer must take the "not run" of one attempt for the earlier ones only. Arrival and word are
// compared on the origin's monotonic clock by way of the word's age, so clocks
// need not agree. One case stays open: bytes of an earlier attempt that rested
// unread in a frozen origin's socket count as arrived when they are read. An
// origin should therefore check that the caller's connection still stands
// before it sends to an endpoint.
//
// Duties of callers: an id stands for one content (team, queue and body), is
// sent again only within ResendWindow, and a request is resent only with the
// same id. An id of a caller's own must not have the home form; it would count
// as one whose home is gone.
//
// Duties of the daemon: member names are unique and stable over restarts,
// incarnations differ, FirstIncarnation is only set when that is certain, and
// a change of the members is passed on by SetMembers, or by AddFormerMembers
// if it came within Retention before the start.
package record
