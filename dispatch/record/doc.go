// Package record decides that a request id starts at most once across all
// daemons, and stores answers for callers that resend a request.
//
// # Issued ids
//
// An id "<zone>.<daemon>-<incarnation>.<unique>" names the daemon incarnation
// that issued it. Only that incarnation, the home of the id, permits a start,
// from memory and once per id, so two starts would need two permissions from
// one memory. After the incarnation has ended nobody can permit a start: the id
// is unknown, or is answered from a copy at a peer. Ids are evicted after
// Retention, or earlier when the store is full. The home tracks the highest
// evicted counter and starts no id up to it that it has no record of. Ids that
// an origin assigns to requests without one (KindInternal) are started only by
// that call and are not recorded.
//
// # Caller-chosen ids
//
// Each id has three acceptors, chosen by rendezvous hashing over the configured
// daemons and spread over zones. Each acceptor permits the first token only. A
// start needs two permissions, and any two majorities share an acceptor. An
// acceptor that restarted without its records abstains for Retention: by then
// the resend window of ids begun before the restart has passed. When the
// configured daemons change, starts also need majorities of the acceptors under
// the former configuration until Retention has passed. Claims that split the
// votes withdraw and try again after a random pause.
//
// # Restarts
//
// A daemon that shuts down gracefully seals its records, so that it permits no
// more starts, and sends them to exactly one peer. Its next incarnation claims
// them there. The peer serves only the first incarnation that asks, and only
// for half a Retention. The records of a daemon are therefore active in one
// place at a time: an incarnation in between either claimed them, or abstains
// until no claim is possible any more. After a claim, the new incarnation
// decides on the ids of the former homes and votes as the former one did.
// Records that an earlier incarnation lost are not recovered by a claim, so the
// rest of an abstention is handed over too.
//
// # The "not run" guarantee
//
// A token that ended without running releases its id, so a caller may resend
// it. The deciders remember when the caller was told "not run". An attempt that
// arrived before that and is begun after it is superseded and does not start,
// because the caller was already told that the id did not run. An attempt that
// arrives after it may start. A caller that sends an id again without waiting
// for the answer must therefore apply the "not run" of one attempt to that
// attempt and the earlier ones only. The arrival and the refusal are compared
// on the origin's monotonic clock by the age of the refusal, so clocks need not
// agree. One case is not covered: bytes of an earlier attempt that stayed
// unread in the socket of a suspended origin count as arrived when they are
// read. An origin should therefore check that the caller's connection is still
// open before it sends to an endpoint.
//
// Obligations of callers: an id stands for one content (team, queue and body)
// and is sent again only within ResendWindow, and a request is resent only with
// the same id. A caller-chosen id must not have the form of an issued id; it
// would be treated as an id whose home has ended.
//
// Obligations of the daemon: member names are unique and stable over restarts,
// incarnations differ, FirstIncarnation is set only when that is certain, and a
// change of the members is passed to SetMembers, or to AddFormerMembers if it
// happened within Retention before the start.
package record
