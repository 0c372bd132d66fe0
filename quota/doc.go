// Package quota enforces per-team concurrency limits across availability zones.
// A team's limit is split into allotments, one for each term of a zone arbiter.
// One unit of an allotment permits one running request or task. The sum of all
// allotments of a team never exceeds the team's limit, so arbiters cannot
// exceed the limit together, even when they are partitioned from each other.
//
// Ledger is the leader's part: a deterministic component of the replicated
// control state. Balancer runs on the leader and decides which units move
// between zones. Holder runs in the arbiter and admits work against the units
// that its term holds.
//
// # Leases
//
// A Holder may start work only while its lease is valid. The leader sends a
// Renewal only if a quorum confirmed its leadership after it received the
// Holder's Demand. The lease is counted from the moment the Holder sent the
// Demand, so network delay shortens it. A renewal states that the Holder's term
// is current and needs no entry in the log.
//
// A term ends when the log assigns a newer term to its zone (Ledger.SetTerm).
// No leader can confirm the old term after that entry is committed, so the old
// term's last lease expires at most Bounds.Lease after the commit. An origin
// starts granted work at most Bounds.StartWithin after it received the grant. It
// accepts only grants of the newest term that it knows, and only while its own
// configuration is fresh, with a freshness window of at most Bounds.Lease. A
// grant that is delayed in the network is therefore refused, and no work of the
// old term starts later than Lease+StartWithin after the commit. Work that has
// started by then may run for the longest run time. The Ledger keeps the units
// of the old term as retired units:
//
//   - Until the start cutoff (Lease+StartWithin) they cannot move at all.
//   - After the start cutoff, Transfer moves the units that live origins declare
//     as running to the new term, and frees the other units if every origin that
//     could hold a grant has declared.
//   - The remaining units become free once the longest run time has passed too.
//
// An origin limits a run by the longest run time of its own configuration as
// well as by that of the grant, because a grant of the current term may have
// been delayed while the document changed.
//
// Units of a current term are never revoked. Its arbiter returns them (Return),
// which states that nothing runs or will start on them.
//
// A restarted process holds no units and needs a new term, even if the same
// daemon was the arbiter before. The Balancer excludes unreachable zones from
// its plans; their units stay counted until the leader ends the term.
//
// # Time
//
// The Ledger uses cluster time, which each command carries. The caller
// guarantees that cluster time never runs ahead of real time by more than the
// drift bound: a new leader continues from the last applied time on its own
// monotonic clock. Time without a leader is not counted, which only delays
// reclaiming. A timer starts at the first command whose proposer had applied
// the entry that set the timer, because a proposer's timestamp may be older
// than the commit of that entry.
//
// Clocks are monotonic and may run fast or slow by 1/DriftDivisor. Holders
// shorten their lease and the Ledger lengthens its timers accordingly. A
// monotonic clock that stops while a virtual machine is suspended violates this
// bound; such a host must end the process on resume. A process that is stopped
// between its last check and the write to the endpoint is not covered either;
// callers keep that window short.
//
// # Counters
//
// Granted and Returned of an allotment are monotonic counters; the units held
// are their difference. Messages carry the counters rather than differences, so
// they may be repeated or reordered.
package quota
