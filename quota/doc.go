// Package quota keeps teams within their upper limits over many availability
// zones. A team's limit is split into allotments, one for each zone arbiter
// term. A unit of an allotment permits one request or task to run. The sum of
// all allotments of a team never exceeds its limit, so arbiters that cannot
// reach each other cannot exceed it together.
//
// Ledger is the leader's half: a deterministic part of the replicated control
// state. Balancer decides on the leader which units move. Holder is the
// arbiter's half: it admits work against the units that it holds.
//
// # Leases
//
// A Holder may start work only while a Renewal covers it. The leader sends a
// Renewal only after a quorum confirmed, later than the Holder's question, that
// it still leads. The lease runs from the moment the Holder asked, so transit
// time shortens it. A renewal states that the Holder's term is current, and
// needs no entry in the log.
//
// A term ends when the log assigns a newer term to its zone (Ledger.SetTerm).
// No leader can confirm the old term after that entry committed. Therefore the
// old term's last lease ends at most Bounds.Lease after the commit. An origin
// starts a grant at most Bounds.StartWithin after it received it, and accepts a
// grant only of the newest term that it knows while its own configuration is
// fresh, with a window of at most Bounds.Lease. A grant delayed in the network
// is therefore refused, and nothing of the old term starts later than
// Lease+StartWithin after the commit. What started by then may run for the
// longest run time. The Ledger keeps the old term's units as retired units:
//
//   - until the no-start time (Lease+StartWithin) they may not move at all;
//   - from then on Transfer moves the units that live origins declared as
//     running to the new term, and frees the others if every possible origin
//     has declared;
//   - the rest becomes free once the longest run time has passed as well.
//
// An origin bounds a run by the longest run time of its own configuration, not
// only by that of the grant: a grant of the current term may have been delayed
// while the document changed.
//
// Units of a term that is still current are never taken away: its arbiter hands
// them back (Return), which states that nothing runs or will start on them.
//
// A process that starts anew holds nothing; it needs a new term even if the
// daemon before it was the arbiter. The Balancer leaves zones that fall silent
// out of its plans; their units stay counted until the leader ends the term.
//
// # Time
//
// The Ledger counts cluster time, which enters with each command. The caller
// guarantees that cluster time never runs ahead of real time by more than the
// drift bound: a new leader continues from the last applied time on its own
// monotonic clock. Time without a leader is then not counted, which only delays
// reclaiming. An interval starts at the first command whose proposer had
// applied the entry that the interval follows, because a proposer's time stamp
// may be older than the commit.
//
// Clocks are monotonic and may run fast or slow by 1/DriftDivisor. Holders
// shorten their lease and the Ledger lengthens its intervals accordingly. A
// monotonic clock that stops while a virtual machine is suspended breaks this
// bound; such a host must end the process on resume. A process that is stopped
// between its last check and the write to the endpoint is not covered either;
// callers keep that window short.
//
// # Counting
//
// Granted and Returned of an allotment are counters that only rise; the units
// held are their difference. Messages carry the counters, so repeated or
// reordered messages change nothing.
package quota
